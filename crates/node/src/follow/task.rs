//! The task that owns the configuration in force.

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

use super::fetch::{self, FetchFrom, Fetched};
use super::watcher;
use crate::link::PeerSet;
use crate::members::MemberSet;
use crate::wire::{NodeReply, NodeRequest, StateMark, VersionedRecord};

/// How often a node compares what it knows with others.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a comparison may take.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(2);
/// Orders that wait for the task; senders wait when it is full.
const COMMANDS_MAX: usize = 256;
/// Fetches from other nodes that run at once; the next comparison starts another.
const NODE_FETCHES_MAX: usize = 2;

/// What is in force.
#[derive(Debug, Clone)]
pub struct FleetSnapshot {
    /// The configuration.
    pub config: Arc<FleetConfig>,
    /// Ejection records by service.
    pub records: Arc<BTreeMap<ids::ServiceId, VersionedRecord>>,
}

#[derive(Debug)]
pub(super) enum FollowCommand {
    Heard {
        mark: StateMark,
        from: Arc<Member>,
    },
    Fetched(Box<Fetched>),
    FetchEnded {
        platform: bool,
    },
    PlatformRoot,
    Records(Vec<VersionedRecord>),
    Mark(oneshot::Sender<StateMark>),
    Root(oneshot::Sender<Bytes>),
    Chunks(
        Vec<digest::ContentHash>,
        oneshot::Sender<BTreeMap<digest::ContentHash, Vec<u8>>>,
    ),
}

/// A handle to the follower's task.
#[derive(Debug, Clone)]
pub struct Follower {
    pub(super) commands: mpsc::Sender<FollowCommand>,
    snapshot: watch::Receiver<FleetSnapshot>,
}

impl Follower {
    /// Starts the task and those that feed it.
    pub fn start(platform: PlatformClient, peers: PeerSet, members: MemberSet) -> Self {
        let empty = FleetSnapshot {
            config: Arc::new(FleetConfig::empty()),
            records: Arc::new(BTreeMap::new()),
        };
        let (publish, snapshot) = watch::channel(empty);
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let follower = Self {
            commands: commands.clone(),
            snapshot,
        };
        let task = FollowTask {
            platform: platform.clone(),
            peers: peers.clone(),
            members: members.clone(),
            commands,
            publish,
            root: ConfigRoot::empty(),
            root_bytes: Bytes::new(),
            cache: ChunkCache::default(),
            bytes: HashMap::new(),
            records: BTreeMap::new(),
            platform_fetch: false,
            platform_again: false,
            node_fetches: 0,
        };
        tokio::spawn(task.run(inbox));
        tokio::spawn(watcher::run(platform, members.clone(), follower.clone()));
        tokio::spawn(compare(peers, members, follower.clone()));
        follower
    }

    /// Follows what is in force.
    pub fn watch(&self) -> watch::Receiver<FleetSnapshot> {
        self.snapshot.clone()
    }

    /// What is in force now.
    pub fn snapshot(&self) -> FleetSnapshot {
        self.snapshot.borrow().clone()
    }

    /// What this node knows, in brief.
    pub async fn mark(&self) -> StateMark {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(FollowCommand::Mark(reply)).await;
        let nothing = StateMark {
            generation: sizes::Generation::new(0),
            records: 0,
        };
        answer.await.unwrap_or(nothing)
    }

    /// The bytes of the root in force.
    pub async fn root(&self) -> Bytes {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(FollowCommand::Root(reply)).await;
        answer.await.unwrap_or_default()
    }

    /// The bytes of chunks that this node has.
    pub async fn chunks(
        &self,
        hashes: Vec<digest::ContentHash>,
    ) -> BTreeMap<digest::ContentHash, Vec<u8>> {
        let (reply, answer) = oneshot::channel();
        let _ = self
            .commands
            .send(FollowCommand::Chunks(hashes, reply))
            .await;
        answer.await.unwrap_or_default()
    }

    /// Takes ejection records.
    pub async fn put_records(&self, records: Vec<VersionedRecord>) {
        let _ = self.commands.send(FollowCommand::Records(records)).await;
    }

    /// Takes what another node knows.
    pub async fn heard(&self, mark: StateMark, from: Arc<Member>) {
        let _ = self
            .commands
            .send(FollowCommand::Heard { mark, from })
            .await;
    }
}

struct FollowTask {
    platform: PlatformClient,
    peers: PeerSet,
    members: MemberSet,
    commands: mpsc::Sender<FollowCommand>,
    publish: watch::Sender<FleetSnapshot>,
    root: ConfigRoot,
    root_bytes: Bytes,
    cache: ChunkCache,
    bytes: HashMap<digest::ContentHash, Bytes>,
    records: BTreeMap<ids::ServiceId, VersionedRecord>,
    /// Whether a fetch from the platform runs; those from nodes must not wait for it.
    platform_fetch: bool,
    /// Whether the platform changed meanwhile.
    platform_again: bool,
    node_fetches: usize,
}

impl FollowTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<FollowCommand>) {
        while let Some(command) = inbox.recv().await {
            self.take(command);
        }
    }

    fn take(&mut self, command: FollowCommand) {
        match command {
            FollowCommand::Heard { mark, from } => self.hear(mark, from),
            FollowCommand::PlatformRoot => self.fetch(FetchFrom::Platform),
            FollowCommand::Fetched(fetched) => self.apply(*fetched),
            FollowCommand::FetchEnded { platform } => self.end_fetch(platform),
            FollowCommand::Records(records) => self.take_records(records),
            FollowCommand::Mark(reply) => {
                let _ = reply.send(self.mark());
            }
            FollowCommand::Root(reply) => {
                let _ = reply.send(self.root_bytes.clone());
            }
            FollowCommand::Chunks(hashes, reply) => {
                let have = hashes.into_iter().filter_map(|hash| {
                    let bytes = self.bytes.get(&hash)?.to_vec();
                    Some((hash, bytes))
                });
                let _ = reply.send(have.collect());
            }
        }
    }

    fn hear(&mut self, mark: StateMark, from: Arc<Member>) {
        let own = self.mark();
        if mark.generation > own.generation {
            self.fetch(FetchFrom::Node(Arc::clone(&from)));
        }
        if mark.records != own.records {
            let peers = self.peers.clone();
            let commands = self.commands.clone();
            tokio::spawn(async move {
                if let Some(records) = fetch::records(&peers, &from).await {
                    let _ = commands.send(FollowCommand::Records(records)).await;
                }
            });
        }
    }

    fn fetch(&mut self, from: FetchFrom) {
        let platform = matches!(from, FetchFrom::Platform);
        if platform && self.platform_fetch {
            self.platform_again = true;
            return;
        }
        if !platform && self.node_fetches >= NODE_FETCHES_MAX {
            return;
        }
        if platform {
            self.platform_fetch = true;
        } else {
            self.node_fetches += 1;
        }
        let job = fetch::FetchJob {
            from,
            platform: self.platform.clone(),
            peers: self.peers.clone(),
            cache: self.cache.clone(),
            generation: self.root.generation,
        };
        let commands = self.commands.clone();
        tokio::spawn(async move {
            if let Some(fetched) = job.run().await {
                let _ = commands
                    .send(FollowCommand::Fetched(Box::new(fetched)))
                    .await;
            }
            let _ = commands.send(FollowCommand::FetchEnded { platform }).await;
        });
    }

    fn end_fetch(&mut self, platform: bool) {
        if !platform {
            self.node_fetches = self.node_fetches.saturating_sub(1);
            return;
        }
        self.platform_fetch = false;
        if std::mem::take(&mut self.platform_again) {
            self.fetch(FetchFrom::Platform);
        }
    }

    fn apply(&mut self, fetched: Fetched) {
        if fetched.root.generation <= self.root.generation {
            return;
        }
        for (hash, bytes) in fetched.chunks {
            if let Ok(chunk) = Chunk::open(&hash, &bytes) {
                self.cache.insert(hash.clone(), chunk);
                self.bytes.insert(hash, bytes);
            }
        }
        let Ok(config) = FleetConfig::assemble(&fetched.root, &self.cache) else {
            log::warn!(target: "config", "Generation {} lacks a chunk.", fetched.root.generation);
            return;
        };
        let before = self.root.generation;
        invariant::check(
            Invariant::GenerationMonotonic,
            config.generation > before,
            || format!("{} follows {before}", config.generation),
        );
        self.root = fetched.root;
        self.root_bytes = fetched.root_bytes;
        self.cache.keep_only(&self.root);
        let cache = &self.cache;
        self.bytes.retain(|hash, _| cache.get(hash).is_some());
        log::info!(target: "config", "Generation {} is in force.", config.generation);
        self.publish
            .send_modify(|snapshot| snapshot.config = Arc::new(config));
        self.announce();
    }

    /// Tells the neighbours at once when this node relays for its data centre.
    fn announce(&self) {
        let table = self.members.table();
        if !table.is_relay(time::Instant::now()) {
            return;
        }
        let request = NodeRequest::Compare {
            from: table.own().clone(),
            mark: self.mark(),
        };
        for member in table.local_peers() {
            let peers = self.peers.clone();
            let request = request.clone();
            tokio::spawn(async move { peers.ask(&member, &request, COMPARE_TIMEOUT).await });
        }
    }

    fn take_records(&mut self, records: Vec<VersionedRecord>) {
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
            self.publish
                .send_modify(|snapshot| snapshot.records = records);
            self.announce();
        }
    }

    fn mark(&self) -> StateMark {
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
        StateMark {
            generation: self.root.generation,
            records,
        }
    }
}

/// Compares with two others each second: a neighbour and a node from anywhere.
async fn compare(peers: PeerSet, members: MemberSet, follower: Follower) {
    let mut ticks = time::interval(COMPARE_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        if follower.commands.is_closed() {
            return;
        }
        let table = members.table();
        let mark = follower.mark().await;
        let request = NodeRequest::Compare {
            from: table.own().clone(),
            mark,
        };
        for member in pick_two(&table) {
            let peers = peers.clone();
            let request = request.clone();
            let follower = follower.clone();
            tokio::spawn(async move {
                let reply = peers.ask(&member, &request, COMPARE_TIMEOUT).await;
                if let Ok(NodeReply::Mark(mark)) = reply {
                    follower.heard(mark, member).await;
                }
            });
        }
    }
}

fn pick_two(table: &policy::membership::MemberTable) -> Vec<Arc<Member>> {
    let mut rng = rand::rng();
    let neighbours = table.local_peers();
    let others: Vec<_> = table
        .all()
        .filter(|member| member.node != table.own().node)
        .cloned()
        .collect();
    let near = neighbours.choose(&mut rng).cloned();
    let any = others.choose(&mut rng).cloned();
    let mut picked: Vec<_> = near.into_iter().chain(any).collect();
    picked.dedup_by(|a, b| a.node == b.node);
    picked
}

pub(super) fn decode_root(bytes: &[u8]) -> Option<ConfigRoot> {
    config_store::decode_root(bytes).ok()
}
