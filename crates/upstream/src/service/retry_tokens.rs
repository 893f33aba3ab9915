//! Retry tokens drawn from the pool that the nodes of a data centre share.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;

use policy::office::OfficeGrant;

/// A draw in progress; resolves to the token, if the pool granted one.
pub type RetryTokenFuture = Pin<Box<dyn Future<Output = Option<OfficeGrant>> + Send>>;

/// Draws retry tokens for one service from the shared pool.
#[derive(Clone)]
pub struct RetryTokenSource(Arc<dyn Fn() -> RetryTokenFuture + Send + Sync>);

impl RetryTokenSource {
    /// Creates a source from the function that makes a draw.
    pub fn new(draw: impl Fn() -> RetryTokenFuture + Send + Sync + 'static) -> Self {
        Self(Arc::new(draw))
    }

    /// Draws one token; returns `None` if the pool did not grant it.
    pub async fn draw(&self) -> Option<OfficeGrant> {
        (self.0)().await
    }
}

impl fmt::Debug for RetryTokenSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RetryTokenSource")
    }
}
