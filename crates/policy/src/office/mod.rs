//! Which node holds an office, and with how much of it.
//!
//! An office hands out something that the whole data centre has only once: permits of limited
//! upstreams, or retry tokens. Nodes choose its holder by their own view of the members, and
//! views differ. So a holder hands out only the share that its votes give it: each node gives its
//! vote to one holder at a time, for a term. The shares of all holders together never exceed the
//! whole, whatever the nodes believe.
//!
//! - [`OfficeVote`]: the vote of one node.
//! - [`VoteTally`]: the votes that a holder has.
//! - [`OfficeGrant`]: what a node was handed out, and until when it may use it.

mod grant;
mod tally;
mod time;
mod vote;

pub use grant::{HolderTerm, OfficeGrant, OfficeTerm};
pub use tally::VoteTally;
pub use time::{HolderTime, HolderTimes};
pub use vote::{OfficeVote, VOTE_INTERVAL, VOTE_RETRY_INTERVAL, VOTE_WAIT, VoteStep};
