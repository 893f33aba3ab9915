//! Permits for upstreams with a rate limit, drawn from the node that owns the limit.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;

use policy::permit::{PermitReply, PermitRequest};

/// A draw in progress; resolves to the owner's reply, or to `None` if there was none.
pub type PermitFuture = Pin<Box<dyn Future<Output = Option<PermitReply>> + Send>>;

/// Draws permits from the owner of a limit.
#[derive(Clone)]
pub struct PermitSource(Arc<dyn Fn(PermitRequest) -> PermitFuture + Send + Sync>);

impl PermitSource {
    /// Creates a source from the function that makes a draw.
    pub fn new(draw: impl Fn(PermitRequest) -> PermitFuture + Send + Sync + 'static) -> Self {
        Self(Arc::new(draw))
    }

    /// Draws one permit.
    pub async fn draw(&self, request: PermitRequest) -> Option<PermitReply> {
        (self.0)(request).await
    }
}

impl fmt::Debug for PermitSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PermitSource")
    }
}
