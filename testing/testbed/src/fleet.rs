//! Starts a testbed and lets tests change it.

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
use operator::commit::{Accepted, ChangeRequest, Committer};
use platform::PlatformClient;
use platform::vm::{Vm, VmState};
use policy::service::UpstreamStatus;
use standin::fault_proxy::FaultProxy;
use standin::platform_api::PlatformStandin;
use standin::upstream_server::{RunLedger, UpstreamStandin};
use tokio::time::{self, Instant};

use crate::client::CallerClient;
use crate::plan::{ANY_PORT, ServicePlan, TestbedPlan};

/// How long a node may take to serve.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How often readiness is looked at.
const READY_PAUSE: Duration = Duration::from_millis(10);

/// One upstream of a testbed.
#[derive(Debug)]
pub struct TestbedUpstream {
    /// The service that it belongs to.
    pub service: ids::ServiceId,
    /// The upstream.
    pub standin: UpstreamStandin,
    /// The link between the nodes and it.
    pub link: FaultProxy,
    /// Its data centre.
    pub data_centre: ids::DataCentreId,
}

/// A running fleet on loopback.
pub struct Testbed {
    /// The platform.
    pub platform: PlatformStandin,
    /// The links between the nodes of each data centre and the platform.
    pub platform_links: BTreeMap<ids::DataCentreId, FaultProxy>,
    /// Runs of every action.
    pub ledger: RunLedger,
    /// Upstreams by name.
    pub upstreams: BTreeMap<ids::UpstreamId, TestbedUpstream>,
    /// Entry nodes by name.
    pub entries: BTreeMap<ids::NodeId, EntryServer>,
    /// Makes changes of configuration, straight at the platform.
    pub committer: Committer,
    plan: TestbedPlan,
    ca: FleetCa,
    vms: Vec<Vm>,
}

/// Parses a name of the testbed.
///
/// # Panics
/// When the text is no name, which is a fault of the test.
pub fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is not a name"))
}

impl Testbed {
    /// Starts everything and waits until every node serves.
    ///
    /// # Errors
    /// When an address cannot be bound or the configuration is refused.
    pub async fn start(plan: TestbedPlan) -> io::Result<Self> {
        let platform = PlatformStandin::start(ANY_PORT, plan.platform_delay).await?;
        let mut platform_links = BTreeMap::new();
        for centre in &plan.centres {
            let link = FaultProxy::start(ANY_PORT, platform.address(), plan.seed).await?;
            platform_links.insert(name(centre), link);
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
        let centres = testbed.plan.centres.clone();
        for centre in centres {
            for number in 0..testbed.plan.nodes_per_centre {
                testbed
                    .start_entry(&format!("{centre}-{number}"), centre)
                    .await?;
            }
        }
        testbed.list_vms().await;
        testbed.wait_ready().await?;
        Ok(testbed)
    }

    async fn start_service(&mut self, plan: &ServicePlan) -> io::Result<()> {
        let mut service = Service::new(name(plan.name), sizes::SlotCount::new(plan.floor));
        service.profile = plan.profile;
        service.deadline = plan.deadline;
        for number in 0..plan.upstreams {
            let upstream = self.start_upstream(plan, number).await?;
            service.upstreams.push(upstream);
        }
        let route = Route {
            id: name(plan.name),
            host: None,
            prefix: plan.prefix.into(),
            methods: Vec::new(),
            service: service.id.clone(),
            retry_rule: plan.repeat,
            options: RouteOptions::default(),
        };
        self.change(ConfigStep::PutService(service))
            .await
            .map_err(io::Error::other)?;
        self.change(ConfigStep::PutRoute(route))
            .await
            .map_err(io::Error::other)?;
        Ok(())
    }

    /// Starts an upstream without configuring it.
    ///
    /// # Errors
    /// When no address can be bound.
    pub async fn start_upstream(
        &mut self,
        plan: &ServicePlan,
        number: usize,
    ) -> io::Result<Upstream> {
        let centre = self.plan.centres[number % self.plan.centres.len()];
        let seed = self.plan.seed ^ (number as u64) << 32;
        let ledger = self.ledger.clone();
        let standin = UpstreamStandin::start(ANY_PORT, plan.behaviour, ledger, seed).await?;
        let link = FaultProxy::start(ANY_PORT, standin.address(), seed).await?;
        let upstream = Upstream {
            id: name(&format!("{}-{number}", plan.name)),
            address: link.address(),
            data_centre: name(centre),
            slots: sizes::SlotCount::new(u32::try_from(plan.behaviour.slots).unwrap_or(u32::MAX)),
            state: UpstreamState::Active,
            instance: None,
        };
        let data_centre = upstream.data_centre.clone();
        let entry = TestbedUpstream {
            service: name(plan.name),
            standin,
            link,
            data_centre,
        };
        self.upstreams.insert(upstream.id.clone(), entry);
        Ok(upstream)
    }

    /// Starts one entry node and lists its VM from the next [`Self::list_vms`] on.
    ///
    /// # Errors
    /// When no address can be bound.
    pub async fn start_entry(&mut self, node: &str, centre: &str) -> io::Result<SocketAddr> {
        let settings = EntrySettings {
            node: name(node),
            data_centre: name(centre),
            caller_address: ANY_PORT,
            node_address: ANY_PORT,
            ops_address: ANY_PORT,
            platform: self.platform_links[&name::<ids::DataCentreId>(centre)].address(),
            seeds: self.members(),
            ca: self.ca.clone(),
            stop_delay: span_of(self.plan.stop_delay),
            stop_timeout: TimeSpan::from_secs(30),
            limits: self.limits(),
            claim_pace: TimeSpan::from_millis(10),
        };
        let server = EntryServer::start(settings).await?;
        let address = server.caller_address;
        self.vms.push(Vm {
            node: name(node),
            address: server.node_address,
            data_centre: name(centre),
            state: VmState::Live,
        });
        self.entries.insert(name(node), server);
        Ok(address)
    }

    fn limits(&self) -> CallerLimits {
        let mut limits = CallerLimits::default();
        limits.connection.head_timeout = self.plan.head_timeout;
        limits
    }

    fn members(&self) -> Vec<policy::membership::Member> {
        let members = self.vms.iter().map(|vm| policy::membership::Member {
            node: vm.node.clone(),
            address: vm.address,
            data_centre: vm.data_centre.clone(),
            leaving: false,
            capacity: model::sizes::NodeCapacity::default(),
        });
        members.collect()
    }

    /// Writes the VM list to the platform.
    pub async fn list_vms(&self) {
        self.platform.set_vms(self.vms.clone()).await;
    }

    /// Waits until every node serves the newest configuration.
    ///
    /// # Errors
    /// When a node takes too long.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let wanted = self
            .committer
            .read()
            .await
            .map_err(io::Error::other)?
            .generation;
        self.wait_generation(wanted).await.map(|_| ())
    }

    /// Waits until every node serves a generation; returns how long that took.
    ///
    /// # Errors
    /// When a node takes too long.
    pub async fn wait_generation(&self, wanted: sizes::Generation) -> io::Result<Duration> {
        let started = Instant::now();
        for entry in self.entries.values() {
            while entry.directory().borrow().config.generation < wanted {
                if started.elapsed() > READY_TIMEOUT {
                    return Err(io::Error::other("a node does not take the configuration"));
                }
                time::sleep(READY_PAUSE).await;
            }
        }
        Ok(started.elapsed())
    }

    /// Waits until no node gives an upstream its ordinary share; returns how long that took.
    pub async fn wait_avoided(&self, upstream: &str, timeout: Duration) -> Option<Duration> {
        let id: ids::UpstreamId = name(upstream);
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
                time::sleep(READY_PAUSE).await;
            }
        }
        Some(started.elapsed())
    }

    /// Makes a change of configuration.
    ///
    /// # Errors
    /// As [`Committer::commit`].
    pub async fn change(&self, step: ConfigStep) -> Result<Accepted, FleetError> {
        let request = ChangeRequest {
            operator: name("testbed"),
            step,
            expected: None,
        };
        self.committer.commit(&request).await
    }

    /// Addresses for callers, in the order of the nodes' names.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .values()
            .map(|entry| entry.caller_address)
            .collect()
    }

    /// A caller of one node.
    ///
    /// # Panics
    /// When there are not so many nodes.
    pub fn client(&self, index: usize) -> CallerClient {
        CallerClient::new(self.caller_addresses()[index])
    }

    /// Takes a node out of the testbed, to stop or kill it.
    pub fn take_entry(&mut self, node: &str) -> Option<EntryServer> {
        self.vms.retain(|vm| vm.node.as_str() != node);
        self.entries.remove(&name::<ids::NodeId>(node))
    }

    /// One upstream by name.
    ///
    /// # Panics
    /// When it does not exist.
    pub fn upstream(&self, id: &str) -> &TestbedUpstream {
        &self.upstreams[&name::<ids::UpstreamId>(id)]
    }
}

fn span_of(duration: Duration) -> TimeSpan {
    TimeSpan::from_millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
