//! A service and the upstreams behind it.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::{ids, sizes, span};

crate::text_enum! {
    /// Which error of failure detection a service weighs more.
    pub enum DetectionProfile {
        /// Detection time weighs more.
        Detection = "detection",
        /// False ejections weigh more.
        Stability = "stability",
        /// Upstreams fail in spells of seconds: they are avoided at once and
        /// briefly, and never ejected.
        Episodes = "spells",
    }
}

crate::text_enum! {
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
        #[serde(rename = "permille")]
        pub ratio_permille: u32,
        /// Repeats that are paid for at the start, in thousandths.
        #[serde(rename = "start_millis")]
        pub initial_millitokens: u32,
        /// The most that is saved up, in thousandths.
        #[serde(rename = "most_millis")]
        pub max_millitokens: u32,
        /// Repeats that the whole fleet may save up, in thousandths. Each data centre
        /// holds its part in a pool; when zero, each node has a budget of its own.
        #[serde(rename = "fleet_most_millis")]
        pub fleet_max_millitokens: u32,
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
        #[serde(default, rename = "retries")]
        pub retry_allowance: RetryAllowance,
        /// Answers up to this size are read whole before the caller gets any of
        /// them, so that a broken one can be replaced; none streams every answer.
        #[serde(default, rename = "held_answer")]
        pub buffered_response_max: Option<sizes::ByteSize>,
        /// Its upstreams.
        pub upstreams: Vec<Upstream>,
    }
}

impl Default for RetryAllowance {
    fn default() -> Self {
        Self {
            ratio_permille: 100,
            initial_millitokens: 3_000,
            max_millitokens: 10_000,
            fleet_max_millitokens: 0,
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
            retry_allowance: RetryAllowance::default(),
            buffered_response_max: None,
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
