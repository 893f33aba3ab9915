//! Where a node's repeats come from when its data centre shares them.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;

/// A draw under way; tells whether there was a repeat.
pub type RepeatFuture = Pin<Box<dyn Future<Output = bool> + Send>>;

/// Draws repeats of one service.
#[derive(Clone)]
pub struct RepeatSource(Arc<dyn Fn() -> RepeatFuture + Send + Sync>);

impl RepeatSource {
    /// A source that draws as a function tells.
    pub fn new(draw: impl Fn() -> RepeatFuture + Send + Sync + 'static) -> Self {
        Self(Arc::new(draw))
    }

    /// Draws one repeat.
    pub async fn draw(&self) -> bool {
        (self.0)().await
    }
}

impl fmt::Debug for RepeatSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RepeatSource")
    }
}
