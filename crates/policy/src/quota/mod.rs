//! Quotas of workspaces over the whole fleet: who hands out tokens, and who spends them.
//!
//! The holder of a data centre's retry tokens also holds that data centre's part of each quota.
//! A node draws tokens from the holders and spends one for each request.
//!
//! - [`QuotaBudget`]: how the bound of a quota is divided.
//! - [`VoterLedger`]: which part of its data centre's rate a holder may mint.
//! - [`QuotaPool`]: the tokens of a holder.
//! - [`QuotaStock`]: the tokens of one workspace at a node.
//! - [`SilentHolders`]: holders that a node does not ask for a while.
//! - [`QuotaDraw`], [`QuotaGrant`]: what a node asks for, and what the holder replies.

mod account;
mod budget;
mod ledger;
mod message;
mod pool;
mod recent;
mod silence;
mod standing;
mod stock;

pub use budget::QuotaBudget;
pub use ledger::{HolderPower, VoterLedger};
pub use message::{QuotaDraw, QuotaGrant, TOKEN_TTL};
pub use pool::{FleetCounts, QuotaPool};
pub use silence::SilentHolders;
pub use standing::VoteStanding;
pub use stock::{DrawPlan, QuotaStock, QuotaToken, StockReply};
