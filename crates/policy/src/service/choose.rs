//! Selection of an upstream: the less loaded of two random ones, or the least loaded.

use model::ids;
use rand::Rng;
use tokio::time::Instant;

use super::entry::{UpstreamEntry, UpstreamStatus};
use super::measure::LoadMeasure;
use super::placement::Placement;

/// One repeatable request in this many ignores the preference for the local data centre,
/// so that nodes learn about remote upstreams.
const EXPLORE_ONE_IN: u32 = 32;

/// How many candidates are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChoiceWidth {
    /// Two random ones, if only this node's own requests are known, or those of the other nodes
    /// as they were a while ago. If all were compared, every node would select the same least
    /// loaded upstream.
    Two,
    /// All of them, if the requests of the other nodes of the data centre are known, too.
    All,
}

/// Share of its slots that an upstream of another data centre has to have free of the requests of
/// this data centre. Those of its own data centre are not known.
const REMOTE_FREE_SHARE: f64 = 0.5;

model::text_enum! {
    /// Groups of candidates.
    pub enum CandidateGroup {
        /// Healthy upstreams of the node's data centre that the node prefers.
        LocalSubset = "local-preferred",
        /// Healthy upstreams of other data centres that the node prefers and that have slots free.
        RemoteRelief = "remote-with-free-slots",
        /// Healthy upstreams of the node's data centre.
        Local = "local",
        /// Healthy upstreams that the node prefers.
        Subset = "preferred",
        /// Healthy upstreams.
        Healthy = "healthy",
        /// Upstreams that the node avoids.
        Avoided = "avoided",
    }
}

impl CandidateGroup {
    /// Whether an upstream belongs to the group, for a node in a data centre.
    pub(super) fn contains(
        self,
        entry: &UpstreamEntry,
        local_data_centre: &ids::DataCentreId,
        now: Instant,
    ) -> bool {
        let is_local = || entry.upstream.data_centre == *local_data_centre;
        let is_healthy = || entry.status() == UpstreamStatus::Healthy;
        match self {
            Self::LocalSubset => is_healthy() && entry.in_subset && is_local(),
            Self::RemoteRelief => {
                is_healthy()
                    && entry.in_subset
                    && !is_local()
                    && entry.has_free_share(now, REMOTE_FREE_SHARE)
            }
            Self::Local => is_healthy() && is_local(),
            Self::Subset => is_healthy() && entry.in_subset,
            Self::Healthy => is_healthy(),
            Self::Avoided => entry.status() == UpstreamStatus::Avoided,
        }
    }
}

/// Groups of candidates, in order of preference.
const LOCAL_TIERS: [CandidateGroup; 1] = [CandidateGroup::LocalSubset];
const ANY_TIERS: [CandidateGroup; 3] = [
    CandidateGroup::Subset,
    CandidateGroup::Healthy,
    CandidateGroup::Avoided,
];

/// Groups of local candidates, and of those that relieve them, if the subset is assigned.
///
/// In a model of 90 nodes in 3 data centres, requests that go to another data centre when the
/// local subset has no free slot wait less than half as long. Local upstreams outside of the
/// subset are no relief: they are as loaded, and all nodes select the same ones. They come before
/// remote ones when the subset is full, since a new connection costs less than the way there.
///
/// The first group is skipped if it has no free slot. If only the upstreams with free slots were
/// candidates, many nodes would select the few that the last totals show as free.
const ASSIGNED_LOCAL_TIERS: [CandidateGroup; 4] = [
    CandidateGroup::LocalSubset,
    CandidateGroup::RemoteRelief,
    CandidateGroup::LocalSubset,
    CandidateGroup::Local,
];

/// The groups of candidates in order of preference; `explores` leaves out those of local upstreams.
pub(super) fn tiers(
    placement: Placement,
    explores: bool,
) -> impl Iterator<Item = CandidateGroup> + Clone {
    let local: &[CandidateGroup] = match placement {
        _ if explores => &[],
        Placement::Hashed => &LOCAL_TIERS,
        Placement::Assigned => &ASSIGNED_LOCAL_TIERS,
    };
    local.iter().chain(&ANY_TIERS).copied()
}

/// Draws whether a request ignores the preference for the local data centre.
pub(super) fn draw_exploration(repeatable: bool, rng: &mut impl Rng) -> bool {
    repeatable && rng.random_ratio(1, EXPLORE_ONE_IN)
}

/// Picks an upstream with room from the first group that has one, and states the group; `explores` skips the
/// groups of local upstreams. `load` gives the load that is compared.
pub(super) fn pick<'a, K: Copy>(
    upstreams: &(impl Iterator<Item = (K, &'a UpstreamEntry)> + Clone),
    local_data_centre: &ids::DataCentreId,
    explores: bool,
    placement: Placement,
    width: ChoiceWidth,
    measure: &LoadMeasure,
    rng: &mut impl Rng,
) -> Option<(K, CandidateGroup)> {
    let is_relieved = placement == Placement::Assigned && !explores;
    let mut tiers = tiers(placement, explores).enumerate();
    tiers.find_map(|(place, tier)| {
        let with_room: Vec<_> = upstreams
            .clone()
            .filter(|(_, entry)| {
                tier.contains(entry, local_data_centre, measure.now) && entry.has_room()
            })
            .collect();
        let has_free_slot = || {
            let mut entries = with_room.iter();
            entries.any(|(_, entry)| entry.has_free_share(measure.now, 0.0))
        };
        if is_relieved && place == 0 && !has_free_slot() {
            return None;
        }
        let mean = measure.mean_of_others(with_room.iter().map(|(_, entry)| *entry));
        let load = |entry: &UpstreamEntry| measure.load(entry, mean);
        // Upstreams outside of the subset are candidates of all nodes.
        let is_shared =
            placement == Placement::Assigned && with_room.iter().any(|(_, entry)| !entry.in_subset);
        let key = match width {
            ChoiceWidth::All if is_shared => less_loaded_of_two(&with_room, load, rng),
            ChoiceWidth::Two => less_loaded_of_two(&with_room, load, rng),
            ChoiceWidth::All => least_loaded(&with_room, load, rng),
        };
        key.map(|key| (key, tier))
    })
}

/// Picks an avoided upstream whose trial is due.
pub(super) fn pick_trial<'a, K: Copy>(
    mut upstreams: impl Iterator<Item = (K, &'a UpstreamEntry)>,
    now: Instant,
) -> Option<K> {
    let due = upstreams.find(|(_, entry)| {
        entry.status() == UpstreamStatus::Avoided && entry.next_trial_at <= now && entry.has_room()
    });
    due.map(|(key, _)| key)
}

fn less_loaded_of_two<K: Copy>(
    with_room: &[(K, &UpstreamEntry)],
    load: impl Fn(&UpstreamEntry) -> f64,
    rng: &mut impl Rng,
) -> Option<K> {
    if with_room.is_empty() {
        return None;
    }
    let (first, first_entry) = with_room[rng.random_range(0..with_room.len())];
    let (second, second_entry) = with_room[rng.random_range(0..with_room.len())];
    let second_wins = load(second_entry) < load(first_entry);
    Some(if second_wins { second } else { first })
}

fn least_loaded<K: Copy>(
    with_room: &[(K, &UpstreamEntry)],
    load: impl Fn(&UpstreamEntry) -> f64,
    rng: &mut impl Rng,
) -> Option<K> {
    // If several are equally loaded, a random start spreads the nodes over them.
    let start = rng.random_range(0..with_room.len().max(1));
    let (head, tail) = with_room.split_at(start.min(with_room.len()));
    let least = tail
        .iter()
        .chain(head)
        .map(|(key, entry)| (*key, load(entry)))
        .min_by(|(_, a), (_, b)| a.total_cmp(b));
    least.map(|(key, _)| key)
}
