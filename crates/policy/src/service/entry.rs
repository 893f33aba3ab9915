//! State that one node keeps of an upstream.

use std::sync::Arc;
use std::time::Duration;

use model::{config, ids, sizes};
use tokio::time::Instant;

use super::balancer::loads::DataCentreLoad;
use super::balancer::offers::{LastOffer, OFFER_WINDOW};
use super::balancer::permits::KnownLimit;
use super::balancer::remembered::StatedSignals;
use crate::detection;
use crate::limit;
use crate::suspicion::SuspicionScore;

/// Share of its usual load with which an upstream starts when it returns to service.
const RAMP_INITIAL_SHARE: f64 = 0.1;
/// Time in which the load of a returning upstream grows to its full share.
const RAMP_DURATION: Duration = Duration::from_secs(30);
/// Time in which the load of an upstream grows to its full share after a pause that it asked
/// for. Such an upstream is sound.
const PAUSE_RAMP_DURATION: Duration = Duration::from_secs(3);

/// How long a node avoids an upstream on its own evidence alone.
const OWN_AVOID_TTL: Duration = Duration::from_secs(3);
/// How long a collector's verdict is valid unless it is sent again.
const COLLECTOR_AVOID_TTL: Duration = Duration::from_secs(10);
/// How long a drain signal from a response, a probe or another node is valid unless a
/// configuration confirms it.
const DRAIN_SIGNAL_TTL: Duration = Duration::from_mins(1);

model::text_enum! {
    /// How a node treats an upstream.
    pub enum UpstreamStatus {
        /// Takes its share of the requests.
        Healthy = "healthy",
        /// Gets trials, and requests that no healthy upstream has room for.
        Avoided = "avoided",
        /// Gets no requests.
        Ejected = "ejected",
        /// Finishes its requests and gets no new ones.
        Draining = "draining",
    }
}

/// State of one upstream at this node, for the status page.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamView {
    /// The upstream.
    pub upstream: ids::UpstreamId,
    /// How the node treats it.
    pub status: UpstreamStatus,
    /// Requests in flight from this node.
    pub in_flight: u32,
    /// Maximum number of requests that this node keeps in flight there.
    pub limit: f64,
    /// Whether it should get requests from this node's data centre, which is also its own,
    /// but is not known to have got one lately.
    pub unoffered: bool,
    /// The rate of requests that it takes from the whole fleet; `None` without a limit.
    pub rate_limit: Option<sizes::RateLimit>,
    /// The pause that it asked for; `None` without one.
    pub pause: Option<UpstreamPause>,
    /// Whether this node prefers it.
    pub preferred: bool,
    /// Nodes of this data centre that prefer it if all have subsets as wide as this node's;
    /// `None` if it is not assigned to this node.
    pub sharing_nodes: Option<u32>,
}

/// A pause that an upstream asked this node for, for the status page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamPause {
    /// Time since the upstream last asked for it.
    pub age: Duration,
    /// Time to its end.
    pub left: Duration,
}

/// What is known of a drain of an upstream beyond its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DrainState {
    /// Nothing.
    None,
    /// A drain was last signalled at this time.
    SeenAt(Instant),
    /// An instance, which never returns to service, stated that it drains.
    Final,
}

/// Suspicion of an upstream, and whether it is avoided for it. If too many upstreams are
/// suspect, some stay in use.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamSuspicion {
    pub(super) score: SuspicionScore,
    pub(super) avoided: bool,
}

/// An upstream with the state that this node keeps of it.
#[derive(Debug, Clone)]
pub(super) struct UpstreamEntry {
    pub(super) upstream: Arc<config::Upstream>,
    pub(super) in_flight: u32,
    pub(super) limit: limit::AdaptiveLimit,
    pub(super) in_subset: bool,
    /// Nodes of this data centre to which it is assigned, if it is to this one.
    pub(super) sharing_nodes: Option<u32>,
    /// Load that the upstream reported, from 0 to 1.
    pub(super) reported_load: f64,
    /// Test over the failures that this node sees itself.
    pub(super) own_test: detection::SequentialTest,
    /// Time at which `own_test` last found the upstream failing.
    pub(super) own_avoid_at: Option<Instant>,
    /// Time of the collector's last verdict to avoid the upstream.
    pub(super) collector_avoid_at: Option<Instant>,
    pub(super) ejected: bool,
    /// What responses, probes and other nodes tell of a drain.
    pub(super) drain: DrainState,
    /// The end of the pause that the upstream asked for.
    paused_until: Option<Instant>,
    /// The time at which it asked for that end.
    pause_asked_at: Instant,
    /// Whether the configuration no longer contains the upstream.
    pub(super) unconfigured: bool,
    /// Earliest time of this node's next trial; unused if the nodes share signals, since
    /// offers are then due at the time of the last one.
    pub(super) next_trial_at: Instant,
    /// Suspicion from the signals of all nodes; `None` if the upstream is not suspect.
    pub(super) suspicion: Option<UpstreamSuspicion>,
    /// The last request that this node knows of, from any node of the data centre.
    pub(super) last_offer: LastOffer,
    /// Requests in flight from all nodes of the data centre.
    pub(super) data_centre_load: Option<DataCentreLoad>,
    /// Time of the last response, or of the first request in flight after none was; of this
    /// data centre's requests.
    pub(super) progress_at: Instant,
    /// Time of the last response to this node.
    pub(super) own_answer_at: Option<Instant>,
    /// This node's requests in flight as last reported to the snapshot relay.
    pub(super) reported_in_flight: u32,
    /// How many more reports are to contain that number.
    pub(super) reports_due: u32,
    /// The limit that the upstream names on the requests of the whole fleet.
    pub(super) known_limit: KnownLimit,
    /// The return to service.
    return_ramp: Option<LoadRamp>,
    /// The return after a pause.
    pause_ramp: Option<LoadRamp>,
}

/// The return of an upstream to its full share of the load.
#[derive(Debug, Clone, Copy)]
struct LoadRamp {
    start: Instant,
    duration: Duration,
}

impl LoadRamp {
    /// The share of its usual load that the upstream gets.
    fn share(self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.start).as_secs_f64();
        (RAMP_INITIAL_SHARE + elapsed / self.duration.as_secs_f64()).min(1.0)
    }
}

impl UpstreamEntry {
    pub(super) fn new(now: Instant, upstream: Arc<config::Upstream>, score_cap: f64) -> Self {
        Self {
            limit: limit::AdaptiveLimit::new(upstream.slots),
            upstream,
            in_flight: 0,
            in_subset: true,
            sharing_nodes: None,
            reported_load: 0.0,
            own_test: detection::SequentialTest::new(score_cap),
            own_avoid_at: None,
            collector_avoid_at: None,
            ejected: false,
            drain: DrainState::None,
            paused_until: None,
            pause_asked_at: now,
            unconfigured: false,
            next_trial_at: now,
            suspicion: None,
            last_offer: LastOffer::none(now),
            data_centre_load: None,
            progress_at: now,
            own_answer_at: None,
            reported_in_flight: 0,
            reports_due: 0,
            known_limit: KnownLimit::none(now),
            return_ramp: None,
            pause_ramp: None,
        }
    }

    /// What the upstream stated that still holds, to be remembered while it is not configured.
    pub(super) fn stated(&self, now: Instant) -> StatedSignals {
        let is_recent = |until: &Instant| now < *until + PAUSE_RAMP_DURATION;
        let until = self.paused_until.filter(is_recent);
        StatedSignals {
            drains: self.drain == DrainState::Final,
            pause: until.map(|until| (self.pause_asked_at, until)),
            limit: self.known_limit.state(),
        }
    }

    /// Applies what the upstream stated before it was configured again.
    pub(super) fn restore(&mut self, now: Instant, stated: StatedSignals, turn: f64) {
        if stated.drains && self.upstream.instance.is_some() {
            self.drain = DrainState::Final;
        }
        if let Some((asked_at, until)) = stated.pause {
            self.pause_until(asked_at, until, turn);
        }
        self.known_limit = KnownLimit::new(now, stated.limit);
    }

    pub(super) fn status(&self) -> UpstreamStatus {
        let drains = self.upstream.state == config::UpstreamState::Draining;
        if drains || self.unconfigured || self.drain != DrainState::None {
            UpstreamStatus::Draining
        } else if self.ejected {
            UpstreamStatus::Ejected
        } else if self.collector_avoid_at.is_some()
            || self.own_avoid_at.is_some()
            || self.is_suspected()
        {
            UpstreamStatus::Avoided
        } else {
            UpstreamStatus::Healthy
        }
    }

    /// Whether the upstream is avoided because of suspicion.
    pub(super) fn is_suspected(&self) -> bool {
        self.suspicion.is_some_and(|suspicion| suspicion.avoided)
    }

    /// Whether the next load report is to contain this upstream.
    pub(super) const fn has_unreported_load(&self) -> bool {
        self.in_flight != self.reported_in_flight || self.reports_due > 0
    }

    /// Whether the upstream would take requests if it did not fail.
    pub(super) fn is_eligible(&self) -> bool {
        matches!(
            self.status(),
            UpstreamStatus::Healthy | UpstreamStatus::Avoided
        )
    }

    /// Whether some of the state expires with time.
    pub(super) const fn has_expiring_state(&self) -> bool {
        self.own_avoid_at.is_some()
            || self.collector_avoid_at.is_some()
            || matches!(self.drain, DrainState::SeenAt(_))
    }

    /// Clears the state whose validity has ended.
    pub(super) fn expire(&mut self, now: Instant) {
        let has_elapsed = |since: Option<Instant>, span| {
            since.is_some_and(|at| now.saturating_duration_since(at) >= span)
        };
        if has_elapsed(self.own_avoid_at, OWN_AVOID_TTL) {
            self.own_avoid_at = None;
            self.own_test.set(0.0);
        }
        if has_elapsed(self.collector_avoid_at, COLLECTOR_AVOID_TTL) {
            self.collector_avoid_at = None;
        }
        if let DrainState::SeenAt(at) = self.drain
            && has_elapsed(Some(at), DRAIN_SIGNAL_TTL)
        {
            self.drain = DrainState::None;
        }
    }

    /// Whether one more request fits. An avoided upstream gets one request at a time.
    pub(super) fn has_room(&self) -> bool {
        let trial_only = self.status() == UpstreamStatus::Avoided;
        self.limit.has_room(self.in_flight) && !(trial_only && self.in_flight > 0)
    }

    /// Whether more than this share of the slots is free, by what is known of all requests.
    pub(super) fn has_free_share(&self, now: Instant, share: f64) -> bool {
        let in_flight = f64::from(self.in_flight + self.in_flight_of_other_nodes(now));
        in_flight < f64::from(self.upstream.slots.get()) * (1.0 - share)
    }

    /// Whether this node has fewer requests in flight than the upstream has slots.
    pub(super) fn has_free_slot(&self) -> bool {
        self.in_flight < self.upstream.slots.get()
    }

    /// Requests in flight from the other nodes of the data centre.
    pub(super) fn in_flight_of_other_nodes(&self, now: Instant) -> u32 {
        self.data_centre_load
            .map_or(0, |load| load.of_other_nodes(now))
    }

    /// Starts the ramp of an upstream that returns to service.
    pub(super) const fn start_ramp(&mut self, now: Instant) {
        self.return_ramp = Some(LoadRamp {
            start: now,
            duration: RAMP_DURATION,
        });
    }

    /// Records a pause that the upstream asked for. After it, the load returns gradually.
    /// `turn` is the place of this node, from 0 to 1, in the order in which the nodes return.
    pub(super) fn pause_until(&mut self, asked_at: Instant, until: Instant, turn: f64) {
        if self.paused_until.is_none_or(|current| current < until) {
            self.paused_until = Some(until);
            self.pause_asked_at = asked_at;
            self.last_offer = self.last_offer.after_pause(until, turn);
            self.pause_ramp = Some(LoadRamp {
                start: until,
                duration: PAUSE_RAMP_DURATION,
            });
        }
    }

    /// Time until the end of the pause; `None` without one.
    pub(super) fn pause_left(&self, now: Instant) -> Option<Duration> {
        let until = self.paused_until.filter(|until| now < *until)?;
        Some(until.saturating_duration_since(now))
    }

    /// Whether an attempt of this node was answered within `reuse_time` and none is in flight, so
    /// that its connection is idle.
    pub(super) fn has_idle_connection(&self, now: Instant, reuse_time: Duration) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < reuse_time;
        self.in_flight == 0 && self.own_answer_at.is_some_and(is_recent)
    }

    /// Load per slot of so many requests, raised by suspicion and during a ramp. The upstream
    /// with the lowest value is preferred.
    ///
    /// Each usual latency that passes without a response counts like a further request in
    /// flight; a fraction of one does not, so that many upstreams are equally loaded and
    /// the nodes spread over them.
    pub(super) fn load_per_slot(
        &self,
        now: Instant,
        requests: f64,
        usual_latency: Option<Duration>,
    ) -> f64 {
        let slots = f64::from(self.upstream.slots.get()).max(1.0);
        let in_flight = self.in_flight + self.in_flight_of_other_nodes(now);
        let stalled = usual_latency
            .filter(|_| in_flight > 0)
            .map_or(0.0, |usual| {
                let waiting = now.saturating_duration_since(self.progress_at);
                (waiting.as_secs_f64() / usual.as_secs_f64()).floor()
            });
        let requests = (requests + stalled + 1.0) / slots;
        let healthy_probability = self
            .suspicion
            .map_or(1.0, |suspicion| 1.0 - suspicion.score.probability(now));
        (requests + self.reported_load / slots) / (self.ramp_share(now) * healthy_probability)
    }

    fn ramp_share(&self, now: Instant) -> f64 {
        let ramps = [self.return_ramp, self.pause_ramp];
        let shares = ramps.into_iter().flatten().map(|ramp| ramp.share(now));
        shares.fold(1.0, f64::min)
    }

    /// Whether the upstream, which is in this node's data centre, is out of service although
    /// it may get requests. An upstream with a rate limit gets what it takes.
    pub(super) fn is_unoffered(&self, now: Instant) -> bool {
        self.is_eligible()
            && !self.known_limit.is_limited()
            && self.pause_left(now).is_none()
            && self.last_offer.age(now) >= OFFER_WINDOW
    }

    pub(super) fn view(&self, now: Instant, is_local: bool) -> UpstreamView {
        UpstreamView {
            upstream: self.upstream.id.clone(),
            status: self.status(),
            in_flight: self.in_flight,
            limit: self.limit.get(),
            unoffered: is_local && self.is_unoffered(now),
            rate_limit: self.known_limit.state().rate,
            pause: self.pause_left(now).map(|left| UpstreamPause {
                age: now.saturating_duration_since(self.pause_asked_at),
                left,
            }),
            preferred: self.in_subset,
            sharing_nodes: self.sharing_nodes,
        }
    }
}
