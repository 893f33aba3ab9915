//! Connections to other nodes over QUIC; every message is a stream of its own with a reply.

mod acceptor;
mod endpoint;
mod peers;

pub use acceptor::{ReplyFuture, RequestHandler, accept};
pub use endpoint::open_endpoint;
pub use peers::{PeerSet, SentObserver};
