//! What a testbed consists of.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use model::config::{DetectionProfile, RetryRule};
use model::span::TimeSpan;
use standin::upstream_server::Behaviour;

/// An address on loopback with a port that the system picks.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// One service of a testbed.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Its name.
    pub name: &'static str,
    /// Its route's prefix.
    pub prefix: &'static str,
    /// Its upstreams, spread over the data centres in turn.
    pub upstreams: usize,
    /// Healthy slots that must remain.
    pub floor: u32,
    /// Which detection error weighs more.
    pub profile: DetectionProfile,
    /// When requests may be sent again.
    pub repeat: RetryRule,
    /// The longest a request may take.
    pub deadline: TimeSpan,
    /// How its upstreams behave.
    pub behaviour: Behaviour,
}

impl ServicePlan {
    /// A service for lookups.
    pub fn lookups(name: &'static str, prefix: &'static str, upstreams: usize) -> Self {
        Self {
            name,
            prefix,
            upstreams,
            floor: 4,
            profile: DetectionProfile::Detection,
            repeat: RetryRule::SafeMethods,
            deadline: TimeSpan::from_secs(4),
            behaviour: Behaviour::default(),
        }
    }

    /// A service whose actions run at most once.
    pub fn actions(name: &'static str, prefix: &'static str, upstreams: usize) -> Self {
        Self {
            repeat: RetryRule::OnceOnly,
            ..Self::lookups(name, prefix, upstreams)
        }
    }

    /// The same service with another behaviour.
    #[must_use]
    pub fn behaving(mut self, change: impl FnOnce(&mut Behaviour)) -> Self {
        change(&mut self.behaviour);
        self
    }
}

/// What a testbed consists of.
#[derive(Debug, Clone)]
pub struct TestbedPlan {
    /// Data centres.
    pub centres: Vec<&'static str>,
    /// Entry nodes in each data centre.
    pub nodes_per_centre: usize,
    /// Services.
    pub services: Vec<ServicePlan>,
    /// Time that each call to the platform takes.
    pub platform_delay: Duration,
    /// How long a stopping node keeps accepting.
    pub stop_delay: Duration,
    /// How long a head may take to arrive.
    pub head_timeout: Duration,
    /// Seed of every random choice of the stand-ins.
    pub seed: u64,
}

impl TestbedPlan {
    /// One data centre with one node.
    pub fn small(services: Vec<ServicePlan>) -> Self {
        Self {
            centres: vec!["ikeja"],
            nodes_per_centre: 1,
            services,
            platform_delay: Duration::from_millis(2),
            stop_delay: Duration::from_millis(300),
            head_timeout: Duration::from_secs(15),
            seed: 1,
        }
    }

    /// Three data centres with some nodes each.
    pub fn three_centres(nodes_per_centre: usize, services: Vec<ServicePlan>) -> Self {
        let centres = vec!["ikeja", "lekki", "ibadan"];
        Self {
            centres,
            nodes_per_centre,
            ..Self::small(services)
        }
    }
}
