//! What nodes and holders tell each other about quotas.

use std::time::Duration;

use model::{ids, sizes};

/// Time after which a token that was drawn can no longer be spent, counted from when the node
/// asked for it. The bound allows for the tokens that are out at once.
pub const TOKEN_TTL: Duration = Duration::from_millis(200);
/// How long a node may spend at a reserved rate after its holder last stated it. Cuts in a
/// network usually last about ten seconds.
pub(super) const RESERVATION_TTL: Duration = Duration::from_secs(12);
/// Time for which a node saves up at a reserved rate, in seconds. Requests do not come evenly:
/// with one token at most, a third of them would find none.
const SAVING_SECONDS: f64 = 1.5;
/// Most tokens that a node saves.
const SAVED_MAX: f64 = 3.0;

/// The tokens that a node may save at a reserved rate.
pub(super) fn saved_max(rate: f64) -> f64 {
    (rate * SAVING_SECONDS).clamp(1.0, SAVED_MAX)
}

model::record! {
    /// A node asks for tokens of a workspace.
    #[derive(Eq)]
    pub struct QuotaDraw {
        /// The node.
        pub from: ids::NodeId,
        /// The workspace.
        pub workspace: ids::WorkspaceId,
        /// How many tokens it can use.
        pub count: u32,
        /// Thousandths of a token that the node has saved at a rate which a former holder reserved
        /// for it. It hands them over, so that the nodes that lost that holder share them.
        pub deposit_millitokens: u32,
        /// Whether the node started lately, asks the holder of its own data centre, and has not been
        /// able to vote yet, since the vote of its former process may count.
        pub is_new: bool,
    }

    /// What a holder hands out.
    #[derive(Copy)]
    pub struct QuotaGrant {
        /// Tokens; they end [`TOKEN_TTL`] after they were asked for.
        pub tokens: u32,
        /// Milliseconds until another draw may bring more; zero if the draw was met in full.
        pub wait_ms: u32,
        /// The rate at which the node may spend once this holder can no longer count its vote.
        /// The holder mints less by that while it does not count the vote.
        pub reserved: sizes::Rate,
        /// Whether the holder counts the votes of its whole data centre. Rates that former holders
        /// reserved then end.
        pub complete: bool,
    }
}

impl QuotaGrant {
    /// A refusal without anything reserved.
    pub fn refusal(wait: Duration) -> Self {
        Self {
            tokens: 0,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            reserved: sizes::Rate::per_second(0.0),
            complete: false,
        }
    }

    /// Time until another draw may bring more.
    pub const fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms as u64)
    }
}
