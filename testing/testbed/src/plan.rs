//! Descriptions of the fleets that tests start.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use model::config::{DetectionProfile, RetryAllowance, RetryRule};
use model::span::TimeSpan;
use standin::upstream_server::Behaviour;

/// A loopback address with a port that the system assigns.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// One service of a testbed.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Name of the service and of its route; upstreams are named `NAME-NUMBER`.
    pub name: &'static str,
    /// Path prefix of the service's route.
    pub prefix: &'static str,
    /// Number of upstreams, assigned to the data centres in turn.
    pub upstreams: usize,
    /// Capacity floor: healthy slots that drains and ejections must leave.
    pub floor: u32,
    /// Trade-off between the speed and the accuracy of failure detection.
    pub profile: DetectionProfile,
    /// Which requests may run more than once.
    pub retry_rule: RetryRule,
    /// The retry budget.
    pub retry_allowance: RetryAllowance,
    /// Deadline of a request, over all attempts.
    pub deadline: TimeSpan,
    /// Initial behaviour of every upstream.
    pub behaviour: Behaviour,
}

impl ServicePlan {
    /// A service for lookups, which may run more than once when their method is safe.
    pub fn lookups(name: &'static str, prefix: &'static str, upstreams: usize) -> Self {
        Self {
            name,
            prefix,
            upstreams,
            floor: 4,
            profile: DetectionProfile::Detection,
            retry_rule: RetryRule::SafeMethods,
            retry_allowance: RetryAllowance::default(),
            deadline: TimeSpan::from_secs(4),
            behaviour: Behaviour::default(),
        }
    }

    /// A service for actions, each of which runs at most once.
    pub fn actions(name: &'static str, prefix: &'static str, upstreams: usize) -> Self {
        Self {
            retry_rule: RetryRule::OnceOnly,
            ..Self::lookups(name, prefix, upstreams)
        }
    }

    /// Modifies the initial behaviour of the upstreams.
    #[must_use]
    pub fn with_behaviour(mut self, modify: impl FnOnce(&mut Behaviour)) -> Self {
        modify(&mut self.behaviour);
        self
    }
}

/// The data centres, nodes and services of a testbed.
#[derive(Debug, Clone)]
pub struct TestbedPlan {
    /// Names of the data centres.
    pub data_centres: Vec<&'static str>,
    /// Number of entry nodes in each data centre.
    pub nodes_per_data_centre: usize,
    /// Services, which all nodes serve.
    pub services: Vec<ServicePlan>,
    /// Latency of each call to the platform.
    pub platform_delay: Duration,
    /// How long a stopping node still accepts connections.
    pub stop_delay: Duration,
    /// Timeout for receiving the head of a request.
    pub head_timeout: Duration,
    /// Seed from which the random generators of upstreams and links are derived.
    pub seed: u64,
}

impl TestbedPlan {
    /// One entry node in one data centre.
    pub fn single_node(services: Vec<ServicePlan>) -> Self {
        Self {
            data_centres: vec!["ikeja"],
            nodes_per_data_centre: 1,
            services,
            platform_delay: Duration::from_millis(2),
            stop_delay: Duration::from_millis(300),
            head_timeout: Duration::from_secs(15),
            seed: 1,
        }
    }

    /// Three data centres with the given number of entry nodes in each.
    pub fn three_data_centres(nodes_per_data_centre: usize, services: Vec<ServicePlan>) -> Self {
        let data_centres = vec!["ikeja", "lekki", "ibadan"];
        Self {
            data_centres,
            nodes_per_data_centre,
            ..Self::single_node(services)
        }
    }
}
