//! This node as the holder of its data centre's part of the quotas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::config::QuotaBound;
use policy::membership::MemberTable;
use policy::office::{HolderTime, VoteTally};
use policy::quota::{FleetCounts, QuotaDraw, QuotaGrant, QuotaPool};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::replica::task::ReplicaSnapshot;

/// How long a node waits for a holder that has no access table yet.
const UNKNOWN_WAIT: Duration = Duration::from_millis(250);

/// What the quotas need.
#[derive(Clone)]
pub(in crate::replica) struct QuotaHolderParts {
    pub(in crate::replica) bound: QuotaBound,
    pub(in crate::replica) snapshots: watch::Receiver<ReplicaSnapshot>,
    pub(in crate::replica) seeds: watch::Receiver<Vec<SocketAddr>>,
}

/// The tokens that this node hands out. They are minted by the votes for its relay.
pub(in crate::replica) struct QuotaHolder {
    parts: QuotaHolderParts,
    pool: QuotaPool,
    counts: Option<(Arc<MemberTable>, FleetCounts)>,
    is_minting: bool,
}

impl QuotaHolder {
    pub(in crate::replica) fn new(parts: QuotaHolderParts) -> Self {
        Self {
            pool: QuotaPool::new(parts.bound),
            parts,
            counts: None,
            is_minting: false,
        }
    }

    /// Counts the known nodes again; nodes that are out of reach for long have no vote.
    pub(in crate::replica) fn recount(&mut self, table: &Arc<MemberTable>) {
        let seeds = self.parts.seeds.borrow();
        let own = table.own().address;
        let counts = FleetCounts {
            local: table.local_len(),
            all: table.len(),
            data_centres: table.data_centres().len(),
            voters: table.local_voters(Instant::now()),
            may_be_whole: seeds.iter().all(|seed| *seed == own),
        };
        drop(seeds);
        self.counts = Some((Arc::clone(table), counts));
    }

    /// Mints by the votes. `may_hold` is false if this node voted for another relay.
    pub(in crate::replica) fn update(
        &mut self,
        now: HolderTime,
        tally: &VoteTally,
        table: &Arc<MemberTable>,
        may_hold: bool,
    ) {
        let is_current = |(counted, _): &(Arc<MemberTable>, _)| Arc::ptr_eq(counted, table);
        if !self.counts.as_ref().is_some_and(is_current) {
            self.recount(table);
        }
        let Some((_, counts)) = &self.counts else {
            return;
        };
        let may_hold = may_hold && !table.own().leaving;
        let power = self.pool.update(now, tally, counts, may_hold);
        let is_minting = power.total() > 0.0;
        if is_minting != self.is_minting {
            self.is_minting = is_minting;
            let action = if is_minting { "begins" } else { "ceases" };
            log::info!(
                target: "quota",
                votes = power.moving,
                nodes = counts.all;
                "This node {action} to mint its data centre's part of the quotas."
            );
        }
    }

    /// Hands out tokens. Without an access table this node knows no quota.
    pub(in crate::replica) fn draw(&mut self, now: HolderTime, draw: &QuotaDraw) -> QuotaGrant {
        let snapshot = self.parts.snapshots.borrow();
        let access = snapshot
            .routes
            .as_ref()
            .and_then(|routes| routes.access.clone());
        drop(snapshot);
        let Some(access) = access else {
            return QuotaGrant::refusal(UNKNOWN_WAIT);
        };
        match access.quota(&draw.workspace) {
            Some(quota) => self.pool.draw(now, draw, &quota),
            // The table of the other node is older or newer; here the workspace is not limited.
            None => QuotaGrant {
                tokens: draw.count,
                ..QuotaGrant::refusal(Duration::ZERO)
            },
        }
    }
}
