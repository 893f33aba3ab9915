//! Permits for upstreams with a rate limit, drawn from the node that owns the limit.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;

use policy::office::OfficeGrant;
use policy::permit::{PermitReply, PermitRequest};

/// The owner's reply, and who gave it and until when a permit may be used.
pub type PermitOffer = (PermitReply, OfficeGrant);

/// A draw in progress; resolves to the owner's reply, or to `None` if there was none.
pub type PermitFuture = Pin<Box<dyn Future<Output = Option<PermitOffer>> + Send>>;

/// Draws permits from the owner of a limit.
#[derive(Clone)]
pub struct PermitSource(Arc<dyn Fn(PermitRequest) -> PermitFuture + Send + Sync>);

impl PermitSource {
    /// Creates a source from the function that makes a draw.
    pub fn new(draw: impl Fn(PermitRequest) -> PermitFuture + Send + Sync + 'static) -> Self {
        Self(Arc::new(draw))
    }

    /// Draws one permit.
    pub async fn draw(&self, request: PermitRequest) -> Option<PermitOffer> {
        (self.0)(request).await
    }
}

impl fmt::Debug for PermitSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PermitSource")
    }
}
