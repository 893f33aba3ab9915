//! Which part of its data centre's rate a holder may mint.

use std::collections::BTreeMap;
use std::time::Duration;

use model::ids;

use super::message::RESERVATION_TTL;
use crate::office::{HolderTime, VoteTally};

/// Part of a vote's rate that moves with the vote. The rest stays with a holder for
/// [`LEASE_TTL`] after the vote was last counted, so that it can be reserved for nodes that are
/// cut off.
pub(super) const MOVING_PART: f64 = 0.25;
/// How long a holder has the staying part of a vote that it no longer counts. Shorter than
/// [`RESERVATION_TTL`] by more than a vote counts, so that the next holder has it later.
const LEASE_TTL: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct VoterRecord {
    first: HolderTime,
    last: HolderTime,
    /// Whether no former holder can have the staying part any more.
    established: bool,
}

/// The votes that a holder counts now and did lately.
#[derive(Debug, Default)]
pub struct VoterLedger {
    voters: BTreeMap<ids::NodeId, VoterRecord>,
}

/// How much of its data centre's rate a holder may mint.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct HolderPower {
    /// Share of the votes, of which the moving part counts.
    pub moving: f64,
    /// Share of the votes of which the holder has the staying part.
    pub staying: f64,
    /// Share of the votes whose staying part it may reserve: it counts them now, so no other
    /// holder has that part before what is reserved has ended.
    pub reservable: f64,
    /// Whether it counts every vote of the data centre.
    pub complete: bool,
}

impl HolderPower {
    /// The whole share of the data centre's rate.
    pub fn total(&self) -> f64 {
        MOVING_PART.mul_add(self.moving, (1.0 - MOVING_PART) * self.staying)
    }
}

impl VoterLedger {
    /// Reads the tally of a holder; `nodes` is the number of nodes that have a vote, as far as
    /// it knows.
    pub fn update(&mut self, now: HolderTime, tally: &VoteTally, nodes: usize) -> HolderPower {
        let moving = tally.share(now, nodes).get();
        let complete = moving >= 1.0;
        for voter in tally.voters(now) {
            let record = self.voters.entry(voter.clone()).or_insert(VoterRecord {
                first: now,
                last: now,
                established: false,
            });
            record.last = now;
            // A former holder can reserve nothing that outlasts this. With every vote, the holder
            // reaches all nodes, and its replies end what was reserved for them.
            record.established |= complete || record.first.saturating_add(RESERVATION_TTL) <= now;
        }
        self.voters
            .retain(|_, record| record.last.saturating_add(LEASE_TTL) > now);
        let established = self.voters.values().filter(|record| record.established);
        let nodes = tally.nodes(now, nodes);
        let reservable = established.clone().filter(|record| record.last == now);
        HolderPower {
            moving,
            staying: share(established.count(), nodes),
            reservable: share(reservable.count(), nodes),
            complete,
        }
    }

    /// Forgets every vote: the holder gave its own to another one.
    pub fn clear(&mut self) {
        self.voters.clear();
    }
}

fn share(count: usize, nodes: usize) -> f64 {
    let [count, nodes] =
        [count, nodes.max(1)].map(|count| f64::from(u32::try_from(count).unwrap_or(u32::MAX)));
    (count / nodes).min(1.0)
}
