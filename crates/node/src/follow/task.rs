//! The task that owns the configuration in force and the ejection records.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use model::config::{Chunk, ChunkCache, ConfigRoot, FleetConfig};
use model::{digest, ids, sizes};
use platform::{PlatformClient, config_store};
use policy::invariant::{self, Invariant};
use policy::membership::Member;
use rand::seq::IndexedRandom as _;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time;

use super::fetch::{self, FetchSource, FetchedConfig};
use super::watcher;
use crate::link::PeerSet;
use crate::members::MemberSet;
use crate::wire::{NodeReply, NodeRequest, StateSummary, VersionedRecord};

/// How often a node compares its summary with other nodes.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one comparison.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(2);
/// Messages queued for the task; senders wait when the queue is full.
const COMMANDS_MAX: usize = 256;
/// Maximum number of concurrent fetches from other nodes. A fetch that is not started is
/// made up for by the next comparison.
const NODE_FETCHES_MAX: usize = 2;

/// The configuration and the ejection records that a node has.
#[derive(Debug, Clone)]
pub struct FleetSnapshot {
    /// The configuration in force.
    pub config: Arc<FleetConfig>,
    /// Ejection records by service.
    pub records: Arc<BTreeMap<ids::ServiceId, VersionedRecord>>,
}

#[derive(Debug)]
pub(super) enum ConfigCommand {
    PeerSummary {
        summary: StateSummary,
        from: Arc<Member>,
    },
    Fetched(Box<FetchedConfig>),
    FetchEnded {
        from_platform: bool,
    },
    PlatformRootChanged,
    Records(Vec<VersionedRecord>),
    Summary(oneshot::Sender<StateSummary>),
    Root(oneshot::Sender<Bytes>),
    Chunks(
        Vec<digest::ContentHash>,
        oneshot::Sender<BTreeMap<digest::ContentHash, Vec<u8>>>,
    ),
}

/// A handle to the task.
#[derive(Debug, Clone)]
pub struct ConfigFollower {
    pub(super) commands: mpsc::Sender<ConfigCommand>,
    snapshot: watch::Receiver<FleetSnapshot>,
}

impl ConfigFollower {
    /// Starts the task, and those that watch the platform and compare with other nodes.
    pub fn start(platform: PlatformClient, peers: PeerSet, members: MemberSet) -> Self {
        let empty = FleetSnapshot {
            config: Arc::new(FleetConfig::empty()),
            records: Arc::new(BTreeMap::new()),
        };
        let (publisher, snapshot) = watch::channel(empty);
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let follower = Self {
            commands: commands.clone(),
            snapshot,
        };
        let task = ConfigTask {
            platform: platform.clone(),
            peers: peers.clone(),
            members: members.clone(),
            commands,
            publisher,
            root: ConfigRoot::empty(),
            root_bytes: Bytes::new(),
            cache: ChunkCache::default(),
            chunk_bytes: HashMap::new(),
            records: BTreeMap::new(),
            platform_fetch_running: false,
            platform_changed: false,
            node_fetches: 0,
        };
        tokio::spawn(task.run(inbox));
        tokio::spawn(watcher::run(platform, members.clone(), follower.clone()));
        tokio::spawn(run_comparisons(peers, members, follower.clone()));
        follower
    }

    /// Subscribes to the configuration and the ejection records.
    pub fn watch(&self) -> watch::Receiver<FleetSnapshot> {
        self.snapshot.clone()
    }

    /// The current configuration and ejection records.
    pub fn snapshot(&self) -> FleetSnapshot {
        self.snapshot.borrow().clone()
    }

    /// The summary of what this node has, to compare with other nodes.
    pub async fn summary(&self) -> StateSummary {
        let (sender, reply) = oneshot::channel();
        let _ = self.commands.send(ConfigCommand::Summary(sender)).await;
        let empty = StateSummary {
            generation: sizes::Generation::new(0),
            records: 0,
        };
        reply.await.unwrap_or(empty)
    }

    /// The bytes of the root in force; empty before the first configuration.
    pub async fn root(&self) -> Bytes {
        let (sender, reply) = oneshot::channel();
        let _ = self.commands.send(ConfigCommand::Root(sender)).await;
        reply.await.unwrap_or_default()
    }

    /// The bytes of those of the given chunks that this node has.
    pub async fn chunks(
        &self,
        hashes: Vec<digest::ContentHash>,
    ) -> BTreeMap<digest::ContentHash, Vec<u8>> {
        let (sender, reply) = oneshot::channel();
        let _ = self
            .commands
            .send(ConfigCommand::Chunks(hashes, sender))
            .await;
        reply.await.unwrap_or_default()
    }

    /// Applies ejection records that are newer than the known ones.
    pub async fn put_records(&self, records: Vec<VersionedRecord>) {
        let _ = self.commands.send(ConfigCommand::Records(records)).await;
    }

    /// Compares with the summary of another node, and fetches what this node lacks.
    pub async fn compare(&self, summary: StateSummary, from: Arc<Member>) {
        let _ = self
            .commands
            .send(ConfigCommand::PeerSummary { summary, from })
            .await;
    }
}

struct ConfigTask {
    platform: PlatformClient,
    peers: PeerSet,
    members: MemberSet,
    commands: mpsc::Sender<ConfigCommand>,
    publisher: watch::Sender<FleetSnapshot>,
    root: ConfigRoot,
    root_bytes: Bytes,
    cache: ChunkCache,
    chunk_bytes: HashMap<digest::ContentHash, Bytes>,
    records: BTreeMap<ids::ServiceId, VersionedRecord>,
    /// Whether a fetch from the platform runs. It does not count towards the limit of
    /// fetches from nodes, which must not wait for it.
    platform_fetch_running: bool,
    /// Whether the platform's root changed while the fetch was running.
    platform_changed: bool,
    node_fetches: usize,
}

impl ConfigTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<ConfigCommand>) {
        while let Some(command) = inbox.recv().await {
            self.handle(command);
        }
    }

    fn handle(&mut self, command: ConfigCommand) {
        match command {
            ConfigCommand::PeerSummary { summary, from } => self.compare(summary, from),
            ConfigCommand::PlatformRootChanged => self.fetch(FetchSource::Platform),
            ConfigCommand::Fetched(fetched) => self.apply(*fetched),
            ConfigCommand::FetchEnded { from_platform } => self.finish_fetch(from_platform),
            ConfigCommand::Records(records) => self.apply_records(records),
            ConfigCommand::Summary(sender) => {
                let _ = sender.send(self.summary());
            }
            ConfigCommand::Root(sender) => {
                let _ = sender.send(self.root_bytes.clone());
            }
            ConfigCommand::Chunks(hashes, sender) => {
                let chunks = hashes.into_iter().filter_map(|hash| {
                    let bytes = self.chunk_bytes.get(&hash)?.to_vec();
                    Some((hash, bytes))
                });
                let _ = sender.send(chunks.collect());
            }
        }
    }

    fn compare(&mut self, summary: StateSummary, from: Arc<Member>) {
        let own = self.summary();
        if summary.generation > own.generation {
            self.fetch(FetchSource::Node(Arc::clone(&from)));
        }
        if summary.records != own.records {
            let peers = self.peers.clone();
            let commands = self.commands.clone();
            tokio::spawn(async move {
                if let Some(records) = fetch::fetch_records(&peers, &from).await {
                    let _ = commands.send(ConfigCommand::Records(records)).await;
                }
            });
        }
    }

    fn fetch(&mut self, source: FetchSource) {
        let from_platform = matches!(source, FetchSource::Platform);
        if from_platform && self.platform_fetch_running {
            self.platform_changed = true;
            return;
        }
        if !from_platform && self.node_fetches >= NODE_FETCHES_MAX {
            return;
        }
        if from_platform {
            self.platform_fetch_running = true;
        } else {
            self.node_fetches += 1;
        }
        let job = fetch::FetchJob {
            source,
            platform: self.platform.clone(),
            peers: self.peers.clone(),
            cache: self.cache.clone(),
            generation: self.root.generation,
        };
        let commands = self.commands.clone();
        tokio::spawn(async move {
            if let Some(fetched) = job.run().await {
                let _ = commands
                    .send(ConfigCommand::Fetched(Box::new(fetched)))
                    .await;
            }
            let _ = commands
                .send(ConfigCommand::FetchEnded { from_platform })
                .await;
        });
    }

    fn finish_fetch(&mut self, from_platform: bool) {
        if !from_platform {
            self.node_fetches = self.node_fetches.saturating_sub(1);
            return;
        }
        self.platform_fetch_running = false;
        if std::mem::take(&mut self.platform_changed) {
            self.fetch(FetchSource::Platform);
        }
    }

    fn apply(&mut self, fetched: FetchedConfig) {
        if fetched.root.generation <= self.root.generation {
            return;
        }
        for (hash, bytes) in fetched.chunks {
            if let Ok(chunk) = Chunk::decode(&hash, &bytes) {
                self.cache.insert(hash.clone(), chunk);
                self.chunk_bytes.insert(hash, bytes);
            }
        }
        let Ok(config) = FleetConfig::assemble(&fetched.root, &self.cache) else {
            log::warn!(
                target: "config",
                "Cannot apply generation {}: a chunk is missing or invalid.",
                fetched.root.generation
            );
            return;
        };
        let before = self.root.generation;
        invariant::check(
            Invariant::GenerationMonotonic,
            config.generation > before,
            || format!("generation {} would follow {before}", config.generation),
        );
        self.root = fetched.root;
        self.root_bytes = fetched.root_bytes;
        self.cache.retain_referenced(&self.root);
        let cache = &self.cache;
        self.chunk_bytes.retain(|hash, _| cache.get(hash).is_some());
        log::info!(target: "config", "Generation {} is in force.", config.generation);
        self.publisher
            .send_modify(|snapshot| snapshot.config = Arc::new(config));
        self.announce();
    }

    /// Sends the summary to the other nodes of the data centre at once when this node is a
    /// configuration relay; they fetch what they lack.
    fn announce(&self) {
        let table = self.members.table();
        if !table.is_config_relay(time::Instant::now()) {
            return;
        }
        let request = NodeRequest::Compare {
            from: table.own().clone(),
            summary: self.summary(),
        };
        for member in table.local_peers() {
            let peers = self.peers.clone();
            let request = request.clone();
            tokio::spawn(async move { peers.request(&member, &request, COMPARE_TIMEOUT).await });
        }
    }

    fn apply_records(&mut self, records: Vec<VersionedRecord>) {
        let mut changed = false;
        for record in records {
            let service = record.record.service.clone();
            let known = self.records.get(&service).map(|known| known.version);
            if known < Some(record.version) {
                self.records.insert(service, record);
                changed = true;
            }
        }
        if changed {
            let records = Arc::new(self.records.clone());
            self.publisher
                .send_modify(|snapshot| snapshot.records = records);
            self.announce();
        }
    }

    fn summary(&self) -> StateSummary {
        let versions: Vec<u8> = self
            .records
            .iter()
            .flat_map(|(service, record)| {
                let version = record.version.get().to_le_bytes();
                service.as_str().bytes().chain(version)
            })
            .collect();
        let records = if versions.is_empty() {
            0
        } else {
            digest::stable_hash(&[&versions])
        };
        StateSummary {
            generation: self.root.generation,
            records,
        }
    }
}

/// Compares with two nodes each second: one of the same data centre and one of any.
async fn run_comparisons(peers: PeerSet, members: MemberSet, follower: ConfigFollower) {
    let mut ticks = time::interval(COMPARE_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        if follower.commands.is_closed() {
            return;
        }
        let table = members.table();
        let summary = follower.summary().await;
        let request = NodeRequest::Compare {
            from: table.own().clone(),
            summary,
        };
        for member in pick_members(&table) {
            let peers = peers.clone();
            let request = request.clone();
            let follower = follower.clone();
            tokio::spawn(async move {
                let reply = peers.request(&member, &request, COMPARE_TIMEOUT).await;
                if let Ok(NodeReply::Summary(summary)) = reply {
                    follower.compare(summary, member).await;
                }
            });
        }
    }
}

fn pick_members(table: &policy::membership::MemberTable) -> Vec<Arc<Member>> {
    let mut rng = rand::rng();
    let local_peers = table.local_peers();
    let others: Vec<_> = table
        .all()
        .filter(|member| member.node != table.own().node)
        .cloned()
        .collect();
    let local = local_peers.choose(&mut rng).cloned();
    let any = others.choose(&mut rng).cloned();
    let mut picked: Vec<_> = local.into_iter().chain(any).collect();
    picked.dedup_by(|a, b| a.node == b.node);
    picked
}

pub(super) fn decode_root(bytes: &[u8]) -> Option<ConfigRoot> {
    config_store::decode_root(bytes).ok()
}
