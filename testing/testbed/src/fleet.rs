//! Starts a fleet in one process and changes it while it runs.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use caller::CallerLimits;
use entry::{EntryServer, EntrySettings};
use model::config::{Route, RouteOptions, Service, Upstream, UpstreamState};
use model::error::FleetError;
use model::span::TimeSpan;
use model::{ids, sizes};
use node::keys::FleetCa;
use operator::change::ConfigStep;
use operator::commit::{ChangeOutcome, ChangeRequest, Committer};
use platform::PlatformClient;
use platform::vm::{Vm, VmState};
use policy::service::UpstreamStatus;
use standin::fault_proxy::FaultProxy;
use standin::platform_api::PlatformStandin;
use standin::upstream_server::{RunLedger, UpstreamStandin};
use tokio::time::{self, Instant};

use crate::client::CallerClient;
use crate::plan::{ANY_PORT, ServicePlan, TestbedPlan};

/// How long a node may take to apply a configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two checks of a condition that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running upstream of a testbed.
#[derive(Debug)]
pub struct TestbedUpstream {
    /// The service that the upstream belongs to.
    pub service: ids::ServiceId,
    /// The upstream itself, behind `link`.
    pub standin: UpstreamStandin,
    /// The link from the nodes to the upstream, at the configured address.
    pub link: FaultProxy,
    /// The data centre that the upstream is configured in.
    pub data_centre: ids::DataCentreId,
}

/// A running fleet on loopback; dropping it stops the stand-ins.
pub struct Testbed {
    /// The stand-in of the platform.
    pub platform: PlatformStandin,
    /// The link to the platform that the nodes of each data centre share.
    pub platform_links: BTreeMap<ids::DataCentreId, FaultProxy>,
    /// Counts of the requests and actions at all upstreams.
    pub ledger: RunLedger,
    /// Running upstreams, configured or not.
    pub upstreams: BTreeMap<ids::UpstreamId, TestbedUpstream>,
    /// Running entry nodes.
    pub entries: BTreeMap<ids::NodeId, EntryServer>,
    /// Commits configuration changes to the platform, without a link that can fail.
    pub committer: Committer,
    plan: TestbedPlan,
    ca: FleetCa,
    vms: Vec<Vm>,
}

/// Parses an id that a test gives as a literal.
///
/// # Panics
/// When the text is not a valid id, which is an error in the test.
pub fn parse_id<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is not a valid id"))
}

impl Testbed {
    /// Starts all parts of the plan and waits until every node serves the configuration.
    ///
    /// # Errors
    /// When an address cannot be bound, the configuration is rejected, or a node does not serve
    /// it in time.
    pub async fn start(plan: TestbedPlan) -> io::Result<Self> {
        let platform = PlatformStandin::start(ANY_PORT, plan.platform_delay).await?;
        let mut platform_links = BTreeMap::new();
        for data_centre in &plan.data_centres {
            let link = FaultProxy::start(ANY_PORT, platform.address(), plan.seed).await?;
            platform_links.insert(parse_id(data_centre), link);
        }
        let client = PlatformClient::start(platform.address(), std::sync::Arc::new(|_| {}));
        let mut testbed = Self {
            platform,
            platform_links,
            ledger: RunLedger::start(),
            upstreams: BTreeMap::new(),
            entries: BTreeMap::new(),
            committer: Committer::new(client),
            ca: FleetCa::generate().map_err(io::Error::other)?,
            plan,
            vms: Vec::new(),
        };
        for service in testbed.plan.services.clone() {
            testbed.start_service(&service).await?;
        }
        let data_centres = testbed.plan.data_centres.clone();
        for data_centre in data_centres {
            for number in 0..testbed.plan.nodes_per_data_centre {
                testbed
                    .start_entry(&format!("{data_centre}-{number}"), data_centre)
                    .await?;
            }
        }
        testbed.publish_vms().await;
        testbed.wait_ready().await?;
        Ok(testbed)
    }

    async fn start_service(&mut self, plan: &ServicePlan) -> io::Result<()> {
        let mut service = Service::new(parse_id(plan.name), sizes::SlotCount::new(plan.floor));
        service.profile = plan.profile;
        service.deadline = plan.deadline;
        service.retry_allowance = plan.retry_allowance;
        for number in 0..plan.upstreams {
            let upstream = self.start_upstream(plan, number).await?;
            service.upstreams.push(upstream);
        }
        let route = Route {
            id: parse_id(plan.name),
            host: None,
            prefix: plan.prefix.into(),
            methods: Vec::new(),
            service: Some(service.id.clone()),
            retry_rule: plan.retry_rule,
            options: RouteOptions::default(),
        };
        self.commit(ConfigStep::PutService(service))
            .await
            .map_err(io::Error::other)?;
        self.commit(ConfigStep::PutRoute(route))
            .await
            .map_err(io::Error::other)?;
        Ok(())
    }

    /// Starts an upstream with its link; the nodes use it once a test configures it.
    ///
    /// # Errors
    /// When no address can be bound.
    pub async fn start_upstream(
        &mut self,
        plan: &ServicePlan,
        number: usize,
    ) -> io::Result<Upstream> {
        let data_centre = self.plan.data_centres[number % self.plan.data_centres.len()];
        let seed = self.plan.seed ^ (number as u64) << 32;
        let ledger = self.ledger.clone();
        let standin = UpstreamStandin::start(ANY_PORT, plan.behaviour, ledger, seed).await?;
        let link = FaultProxy::start(ANY_PORT, standin.address(), seed).await?;
        let upstream = Upstream {
            id: parse_id(&format!("{}-{number}", plan.name)),
            address: link.address(),
            data_centre: parse_id(data_centre),
            slots: sizes::SlotCount::new(u32::try_from(plan.behaviour.slots).unwrap_or(u32::MAX)),
            state: UpstreamState::Active,
            instance: None,
        };
        let data_centre = upstream.data_centre.clone();
        let running = TestbedUpstream {
            service: parse_id(plan.name),
            standin,
            link,
            data_centre,
        };
        self.upstreams.insert(upstream.id.clone(), running);
        Ok(upstream)
    }

    /// Starts an entry node and returns its address for callers. The platform lists its VM
    /// from the next [`Self::publish_vms`] on.
    ///
    /// # Errors
    /// When no address can be bound.
    pub async fn start_entry(&mut self, node: &str, data_centre: &str) -> io::Result<SocketAddr> {
        let settings = EntrySettings {
            node: parse_id(node),
            data_centre: parse_id(data_centre),
            caller_address: ANY_PORT,
            node_address: ANY_PORT,
            ops_address: ANY_PORT,
            platform_address: self.platform_links[&parse_id::<ids::DataCentreId>(data_centre)]
                .address(),
            seeds: self.seed_members(),
            ca: self.ca.clone(),
            stop_delay: time_span(self.plan.stop_delay),
            stop_timeout: TimeSpan::from_secs(30),
            limits: self.caller_limits(),
            claim_interval: TimeSpan::from_millis(10),
        };
        let server = EntryServer::start(settings).await?;
        let address = server.caller_address;
        self.vms.push(Vm {
            node: parse_id(node),
            address: server.node_address,
            data_centre: parse_id(data_centre),
            state: VmState::Live,
        });
        self.entries.insert(parse_id(node), server);
        Ok(address)
    }

    fn caller_limits(&self) -> CallerLimits {
        let mut limits = CallerLimits::default();
        limits.connection.head_timeout = self.plan.head_timeout;
        limits
    }

    /// The nodes of the testbed, which a new node contacts first.
    fn seed_members(&self) -> Vec<policy::membership::Member> {
        let members = self.vms.iter().map(|vm| policy::membership::Member {
            node: vm.node.clone(),
            address: vm.address,
            data_centre: vm.data_centre.clone(),
            leaving: false,
            capacity: model::sizes::NodeCapacity::default(),
        });
        members.collect()
    }

    /// Publishes the VMs of the testbed's nodes in the platform's VM list.
    pub async fn publish_vms(&self) {
        self.platform.set_vms(self.vms.clone()).await;
    }

    /// Waits until every node serves the latest configuration.
    ///
    /// # Errors
    /// When the configuration cannot be read, or a node does not serve it within 20 s.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let latest = self
            .committer
            .read()
            .await
            .map_err(io::Error::other)?
            .generation;
        self.wait_generation(latest).await.map(|_| ())
    }

    /// Waits until every node serves the generation or a later one; returns the time waited.
    ///
    /// # Errors
    /// When a node does not serve it within 20 s of the call.
    pub async fn wait_generation(&self, generation: sizes::Generation) -> io::Result<Duration> {
        let started = Instant::now();
        for entry in self.entries.values() {
            while entry.directory().borrow().config.generation < generation {
                if started.elapsed() > READY_TIMEOUT {
                    return Err(io::Error::other(format!(
                        "a node did not serve configuration {generation} within {READY_TIMEOUT:?}"
                    )));
                }
                time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(started.elapsed())
    }

    /// Waits until no node reports the upstream as healthy; returns the time waited, or `None`
    /// after the timeout or for an unknown upstream.
    pub async fn wait_avoided(&self, upstream: &str, timeout: Duration) -> Option<Duration> {
        let id: ids::UpstreamId = parse_id(upstream);
        let service = self.upstreams.get(&id)?.service.clone();
        let started = Instant::now();
        for entry in self.entries.values() {
            loop {
                let directory = entry.directory().borrow().clone();
                let views = directory.handles.get(&service)?.views().await;
                if views
                    .get(&id)
                    .is_none_or(|view| view.status != UpstreamStatus::Healthy)
                {
                    break;
                }
                if started.elapsed() > timeout {
                    return None;
                }
                time::sleep(POLL_INTERVAL).await;
            }
        }
        Some(started.elapsed())
    }

    /// Commits a configuration change as the operator `testbed`.
    ///
    /// # Errors
    /// See [`Committer::commit`].
    pub async fn commit(&self, step: ConfigStep) -> Result<ChangeOutcome, FleetError> {
        let request = ChangeRequest {
            operator: parse_id("testbed"),
            step,
            expected: None,
        };
        self.committer.commit(&request).await
    }

    /// Addresses for callers of all nodes, sorted by node id.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .values()
            .map(|entry| entry.caller_address)
            .collect()
    }

    /// Creates a caller of one node, by its index in [`Self::caller_addresses`].
    ///
    /// # Panics
    /// When there is no node with this index.
    pub fn client(&self, index: usize) -> CallerClient {
        CallerClient::new(self.caller_addresses()[index])
    }

    /// Removes a node from the testbed so that the test can stop or kill it. The platform lists
    /// its VM until the next [`Self::publish_vms`].
    pub fn remove_entry(&mut self, node: &str) -> Option<EntryServer> {
        self.vms.retain(|vm| vm.node.as_str() != node);
        self.entries.remove(&parse_id::<ids::NodeId>(node))
    }

    /// A running upstream, by its id.
    ///
    /// # Panics
    /// When no upstream has this id.
    pub fn upstream(&self, id: &str) -> &TestbedUpstream {
        &self.upstreams[&parse_id::<ids::UpstreamId>(id)]
    }
}

fn time_span(duration: Duration) -> TimeSpan {
    TimeSpan::from_millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
