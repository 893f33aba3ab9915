//! Connections between nodes over QUIC.
//!
//! A request with a reply uses a stream of its own. A notification is a datagram, which
//! may be lost.

mod acceptor;
mod contact;
mod endpoint;
mod peers;
mod publish;

pub use acceptor::{ReplyFuture, RequestHandler, accept};
pub(crate) use contact::ContactGap;
pub use endpoint::open_endpoint;
pub use peers::{PeerSet, SentObserver};
