//! Retry tokens drawn from the pool that the nodes of a data centre share.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;

/// A draw in progress; resolves to whether the pool granted a token.
pub type RetryTokenFuture = Pin<Box<dyn Future<Output = bool> + Send>>;

/// Draws retry tokens for one service from the shared pool.
#[derive(Clone)]
pub struct RetryTokenSource(Arc<dyn Fn() -> RetryTokenFuture + Send + Sync>);

impl RetryTokenSource {
    /// Creates a source from the function that makes a draw.
    pub fn new(draw: impl Fn() -> RetryTokenFuture + Send + Sync + 'static) -> Self {
        Self(Arc::new(draw))
    }

    /// Draws one token; returns whether the pool granted it.
    pub async fn draw(&self) -> bool {
        (self.0)().await
    }
}

impl fmt::Debug for RetryTokenSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RetryTokenSource")
    }
}
