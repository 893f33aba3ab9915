//! A service and the upstreams behind it.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::{ids, sizes, span};

crate::choice! {
    /// Which error of failure detection a service weighs more.
    pub enum DetectionProfile {
        /// Detection time weighs more.
        Detection = "detection",
        /// False ejections weigh more.
        Stability = "stability",
        /// Upstreams fail in spells of seconds: they are avoided at once and
        /// briefly, and never ejected.
        Spells = "spells",
    }
}

crate::choice! {
    /// Whether an upstream takes new work.
    pub enum UpstreamState {
        /// It takes new work.
        Active = "active",
        /// It finishes its work and takes no more.
        Draining = "draining",
    }
}

crate::record! {
    /// One upstream of a service.
    pub struct Upstream {
        /// Its name.
        pub id: ids::UpstreamId,
        /// Where it listens.
        pub address: SocketAddr,
        /// The data centre it stands in.
        pub data_centre: ids::DataCentreId,
        /// Requests it runs at once.
        pub slots: sizes::SlotCount,
        /// Whether it takes new work.
        pub state: UpstreamState,
        /// The instance that must answer at the address; any when none.
        #[serde(default)]
        pub instance: Option<Arc<str>>,
    }

    /// How many attempts of one node may be repeats.
    #[derive(Eq, Copy)]
    pub struct RetryAllowance {
        /// Repeats that a thousand requests pay for.
        pub permille: u32,
        /// Repeats that are paid for at the start, in thousandths.
        pub start_millis: u32,
        /// The most that is saved up, in thousandths.
        pub most_millis: u32,
        /// Repeats that the whole fleet may save up, in thousandths. Each data centre
        /// holds its part in a pool; when zero, each node has a budget of its own.
        pub fleet_most_millis: u32,
    }

    /// A service: its settings and its upstreams.
    pub struct Service {
        /// Its name.
        pub id: ids::ServiceId,
        /// Which detection error weighs more.
        pub profile: DetectionProfile,
        /// Healthy slots that must always remain.
        pub floor: sizes::SlotCount,
        /// The longest a request may take.
        pub deadline: span::TimeSpan,
        /// Requests that one node keeps waiting.
        pub queue: sizes::RequestCount,
        /// Requests of one workspace that one node keeps in flight.
        pub workspace_limit: sizes::RequestCount,
        /// Whether a shed answer means that the request did not run.
        pub shed_is_not_run: bool,
        /// How long a used key is remembered.
        pub key_retention: span::TimeSpan,
        /// The path that probes ask for.
        pub probe_path: Arc<str>,
        /// What repeated attempts may cost at one node.
        #[serde(default)]
        pub retries: RetryAllowance,
        /// Answers up to this size are read whole before the caller gets any of
        /// them, so that a broken one can be replaced; none streams every answer.
        #[serde(default)]
        pub held_answer: Option<sizes::ByteSize>,
        /// Its upstreams.
        pub upstreams: Vec<Upstream>,
    }
}

impl Default for RetryAllowance {
    fn default() -> Self {
        Self {
            permille: 100,
            start_millis: 3_000,
            most_millis: 10_000,
            fleet_most_millis: 0,
        }
    }
}

impl Service {
    /// A service with default settings and no upstreams.
    pub fn new(id: ids::ServiceId, floor: sizes::SlotCount) -> Self {
        Self {
            id,
            profile: DetectionProfile::Detection,
            floor,
            deadline: span::TimeSpan::from_secs(10),
            queue: sizes::RequestCount::new(256),
            workspace_limit: sizes::RequestCount::new(256),
            shed_is_not_run: true,
            key_retention: span::TimeSpan::from_secs(86_400),
            probe_path: "/healthz".into(),
            retries: RetryAllowance::default(),
            held_answer: None,
            upstreams: Vec::new(),
        }
    }

    /// Slots of the upstreams that take new work.
    pub fn active_slots(&self) -> sizes::SlotCount {
        let active = self
            .upstreams
            .iter()
            .filter(|up| up.state == UpstreamState::Active);
        sizes::SlotCount::new(active.map(|up| up.slots.get()).sum())
    }
}
