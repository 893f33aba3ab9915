//! Where the books come from, as closures that the front end of the platform gives.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use model::config::RouteSnapshot;
use model::sizes;
use policy::replica::SourceEvent;

/// Why a read brought nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SourceError {
    /// The source did not answer, or refused.
    Unavailable(Arc<str>),
    /// The source no longer has the changes since that revision.
    HistoryGone,
}

impl std::fmt::Display for SourceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unavailable(why) => f.write_str(why),
            Self::HistoryGone => f.write_str("the history since the last read is gone"),
        }
    }
}

/// A read of routes.
#[derive(Debug, Clone)]
pub struct RoutesRead {
    /// The revision that the read reflects.
    pub revision: sizes::ObjectVersion,
    /// The book; none when there is none or it did not change.
    pub snapshot: Option<RouteSnapshot>,
}

/// A read of upstreams.
#[derive(Debug, Clone)]
pub struct UpstreamsRead {
    /// The revision that the read reflects.
    pub revision: sizes::ObjectVersion,
    /// Every entry, or those that changed.
    pub events: Vec<SourceEvent>,
}

/// A read under way.
pub type SourceFuture<T> = Pin<Box<dyn Future<Output = Result<T, SourceError>> + Send>>;

/// Reads one kind of book.
type ReadAll<T> = Arc<dyn Fn() -> SourceFuture<T> + Send + Sync>;

/// Waits for changes after a revision, at most so long.
type Watch<T> = Arc<dyn Fn(sizes::ObjectVersion, Duration) -> SourceFuture<T> + Send + Sync>;

/// The source of both books.
#[derive(Clone)]
pub struct FleetSource {
    /// Reads the route book.
    pub read_routes: ReadAll<RoutesRead>,
    /// Waits for another route book.
    pub watch_routes: Watch<RoutesRead>,
    /// Reads every upstream.
    pub read_upstreams: ReadAll<UpstreamsRead>,
    /// Waits for changes of upstreams.
    pub watch_upstreams: Watch<UpstreamsRead>,
}
