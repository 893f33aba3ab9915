//! Services and their upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::{ids, sizes, span};

crate::text_enum! {
    /// Trade-off between the speed and the accuracy of failure detection.
    pub enum DetectionProfile {
        /// Fast detection matters more than few false ejections.
        Detection = "detection",
        /// Few false ejections matter more than fast detection.
        Stability = "stability",
        /// Upstreams have gray-failure episodes of a few seconds: they are avoided
        /// immediately and briefly, and never ejected.
        Episodes = "spells",
    }
}

crate::text_enum! {
    /// Whether an upstream accepts new requests.
    pub enum UpstreamState {
        /// Accepts new requests.
        Active = "active",
        /// Finishes its requests in flight and accepts no new ones.
        Draining = "draining",
    }
}

crate::record! {
    /// One upstream of a service.
    pub struct Upstream {
        /// Unique id.
        pub id: ids::UpstreamId,
        /// Address of its HTTP listener.
        pub address: SocketAddr,
        /// The data centre in which it runs.
        pub data_centre: ids::DataCentreId,
        /// Number of requests that it can run concurrently.
        pub slots: sizes::SlotCount,
        /// Whether it accepts new requests.
        pub state: UpstreamState,
        /// The only instance behind the address that may run requests; any if none.
        #[serde(default)]
        pub instance: Option<Arc<str>>,
    }

    /// Retry budget of a service: each request deposits a fraction of a retry token, and a
    /// retry costs a whole one. A millitoken is a thousandth of a token.
    #[derive(Eq, Copy)]
    pub struct RetryAllowance {
        /// Deposit of one request in millitokens, which is the ratio of retries to
        /// requests in thousandths.
        #[serde(rename = "permille")]
        pub ratio_permille: u32,
        /// Initial balance of a node's own budget.
        #[serde(rename = "start_millis")]
        pub initial_millitokens: u32,
        /// Limit on the balance of a node's own budget.
        #[serde(rename = "most_millis")]
        pub max_millitokens: u32,
        /// Limit on the balance of the whole fleet, divided over one pool per data
        /// centre. If zero, there are no pools and each node has its own budget.
        #[serde(rename = "fleet_most_millis")]
        pub fleet_max_millitokens: u32,
    }

    /// Settings and upstreams of a service.
    pub struct Service {
        /// Unique id.
        pub id: ids::ServiceId,
        /// Profile of failure detection.
        pub profile: DetectionProfile,
        /// Capacity floor: healthy slots that ejections and drains must leave.
        pub floor: sizes::SlotCount,
        /// Limit on the duration of a request.
        pub deadline: span::TimeSpan,
        /// Limit on the queued requests of one node.
        pub queue: sizes::RequestCount,
        /// Limit on the requests in flight of one workspace at one node.
        pub workspace_limit: sizes::RequestCount,
        /// Whether a shed response guarantees that the request did not run.
        pub shed_is_not_run: bool,
        /// How long the claim of an idempotency key is retained.
        pub key_retention: span::TimeSpan,
        /// The path that health probes request.
        pub probe_path: Arc<str>,
        /// The retry budget.
        #[serde(default, rename = "retries")]
        pub retry_allowance: RetryAllowance,
        /// Responses up to this size are buffered completely before they are forwarded, so
        /// that a truncated one can be retried; all responses are streamed if none.
        #[serde(default, rename = "held_answer")]
        pub buffered_response_max: Option<sizes::ByteSize>,
        /// The upstreams that run the service.
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
    /// Creates a service with default settings and no upstreams.
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

    /// Total slots of the upstreams that accept new requests.
    pub fn active_slots(&self) -> sizes::SlotCount {
        let active = self
            .upstreams
            .iter()
            .filter(|up| up.state == UpstreamState::Active);
        sizes::SlotCount::new(active.map(|up| up.slots.get()).sum())
    }
}
