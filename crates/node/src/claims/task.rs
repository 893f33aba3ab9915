//! The task that owns the batchers of this node's shards.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use model::clock;
use model::error::{ErrorKind, FleetError};
use model::sizes::ObjectVersion;
use platform::{PlatformClient, records};
use policy::claim::{
    BatchWrite, ClaimAttempt, ClaimDecision, ClaimKey, ClaimToken, ClaimVerdict, Settlement,
    ShardBatcher, ShardId, StoredSegment, shard_of,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time;

/// Claims that wait for the task; further ones are refused at once.
const COMMANDS_MAX: usize = 4096;
/// How often lapsed claims and expired segments are looked at.
const TIDY_INTERVAL: Duration = Duration::from_millis(250);

/// How fast one shard may write.
#[derive(Debug, Clone, Copy)]
pub struct BatchSettings {
    /// The shortest time between two updates of a shard.
    pub interval: Duration,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(10),
        }
    }
}

type ClaimReply = oneshot::Sender<Result<ClaimVerdict, FleetError>>;

#[derive(Debug)]
enum ShardCommand {
    Claim(ClaimAttempt, ClaimReply),
    Settle(Vec<(ClaimKey, Settlement)>),
    Loaded(ShardId, Result<Vec<StoredSegment>, FleetError>),
    Written(ShardId, Result<ObjectVersion, FleetError>),
    Ready(ShardId),
}

/// A handle to the shards' task.
#[derive(Debug, Clone)]
pub struct ClaimShards {
    commands: mpsc::Sender<ShardCommand>,
}

impl ClaimShards {
    /// Starts the task.
    pub fn start(platform: PlatformClient, clock: clock::WallClock, pace: BatchSettings) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let task = ShardTask {
            platform,
            clock,
            pace,
            commands: commands.clone(),
            shards: BTreeMap::new(),
        };
        tokio::spawn(task.run(inbox));
        Self { commands }
    }

    /// Claims a key at this node.
    ///
    /// # Errors
    /// `ClaimUnavailable` when the platform does not answer or too many claims wait.
    pub async fn claim(&self, command: ClaimAttempt) -> Result<ClaimVerdict, FleetError> {
        let (reply, answer) = oneshot::channel();
        self.commands
            .try_send(ShardCommand::Claim(command, reply))
            .map_err(|_| unavailable("too many claims wait"))?;
        answer
            .await
            .unwrap_or_else(|_| Err(unavailable("the node stops")))
    }

    /// Stores what became of claimed requests with a later batch.
    pub async fn settle(&self, settlements: Vec<(ClaimKey, Settlement)>) {
        let _ = self.commands.send(ShardCommand::Settle(settlements)).await;
    }
}

fn unavailable(why: &str) -> FleetError {
    FleetError::new(ErrorKind::ClaimUnavailable, why)
}

struct Shard {
    batcher: ShardBatcher,
    waiting: HashMap<ClaimToken, (ClaimKey, ClaimReply)>,
    busy: bool,
}

struct ShardTask {
    platform: PlatformClient,
    clock: clock::WallClock,
    pace: BatchSettings,
    commands: mpsc::Sender<ShardCommand>,
    shards: BTreeMap<ShardId, Shard>,
}

impl ShardTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<ShardCommand>) {
        let mut ticks = time::interval(TIDY_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                command = inbox.recv() => {
                    let Some(command) = command else { return };
                    self.take(command);
                }
                _ = ticks.tick() => self.tidy(),
            }
        }
    }

    fn take(&mut self, command: ShardCommand) {
        let now = self.clock.now();
        match command {
            ShardCommand::Claim(command, reply) => {
                let id = shard_of(&command.key);
                let shard = self.shard(id);
                shard
                    .waiting
                    .insert(command.token.clone(), (command.key.clone(), reply));
                let decided = shard.batcher.claim(now, command);
                shard.answer(decided);
                self.work(id);
            }
            ShardCommand::Settle(settlements) => {
                for (key, settlement) in settlements {
                    let id = shard_of(&key);
                    self.shard(id).batcher.settle(key, settlement);
                    self.work(id);
                }
            }
            ShardCommand::Loaded(id, Ok(segments)) => {
                let shard = self.shard(id);
                let decided = shard.batcher.load(now, segments);
                shard.answer(decided);
                self.rest(id, Duration::ZERO);
            }
            ShardCommand::Loaded(id, Err(error)) => {
                self.shard(id).refuse_all(&error);
                self.rest(id, TIDY_INTERVAL);
            }
            ShardCommand::Written(id, Ok(version)) => {
                let shard = self.shard(id);
                let decided = shard.batcher.write_committed(now, version);
                shard.answer(decided);
                self.rest(id, self.pace.interval);
            }
            ShardCommand::Written(id, Err(error)) => {
                log::info!(target: "claims", "Shard {id} is read again: {error}.");
                self.shard(id).batcher.write_uncertain();
                self.rest(id, self.pace.interval);
            }
            ShardCommand::Ready(id) => {
                self.shard(id).busy = false;
                self.work(id);
            }
        }
    }

    fn shard(&mut self, id: ShardId) -> &mut Shard {
        self.shards.entry(id).or_insert_with(|| Shard {
            batcher: ShardBatcher::new(id),
            waiting: HashMap::new(),
            busy: false,
        })
    }

    /// Starts the next read or update of a shard, unless one is under way.
    fn work(&mut self, id: ShardId) {
        let now = self.clock.now();
        let shard = self.shard(id);
        if shard.busy || shard.batcher.pending() == 0 {
            return;
        }
        if shard.batcher.needs_load() {
            shard.busy = true;
            self.load(id);
        } else if let Some(write) = shard.batcher.next_write(now) {
            shard.busy = true;
            self.write(write);
        }
    }

    fn load(&self, id: ShardId) {
        let platform = self.platform.clone();
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let segments = records::read_segments(&platform, id).await;
            let _ = commands.send(ShardCommand::Loaded(id, segments)).await;
        });
    }

    fn write(&self, write: BatchWrite) {
        let platform = self.platform.clone();
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let written = records::write_batch(&platform, &write).await;
            let _ = commands
                .send(ShardCommand::Written(write.shard, written))
                .await;
        });
    }

    /// Lets a shard rest before its next call.
    fn rest(&self, id: ShardId, pause: Duration) {
        let commands = self.commands.clone();
        tokio::spawn(async move {
            time::sleep(pause).await;
            let _ = commands.send(ShardCommand::Ready(id)).await;
        });
    }

    /// Withdraws claims that nobody waits for and deletes expired segments.
    fn tidy(&mut self) {
        let now = self.clock.now();
        for (id, shard) in &mut self.shards {
            shard.withdraw_unheard();
            while let Some((number, version)) = shard.batcher.take_expired(now) {
                let platform = self.platform.clone();
                let id = *id;
                tokio::spawn(async move {
                    let deleted = records::delete_segment(&platform, id, number, version).await;
                    if let Err(error) = deleted {
                        log::debug!(target: "claims", "Segment {number} of {id} stays: {error}.");
                    }
                });
            }
        }
    }
}

impl Shard {
    fn answer(&mut self, decided: Vec<ClaimDecision>) {
        for ClaimDecision { token, verdict, .. } in decided {
            if let Some((_, reply)) = self.waiting.remove(&token) {
                let _ = reply.send(Ok(verdict));
            }
        }
    }

    fn refuse_all(&mut self, error: &FleetError) {
        for (token, (key, reply)) in self.waiting.drain() {
            self.batcher.withdraw(&key, &token);
            let _ = reply.send(Err(unavailable(error.detail())));
        }
    }

    fn withdraw_unheard(&mut self) {
        let batcher = &mut self.batcher;
        self.waiting.retain(|token, (key, reply)| {
            let heard = !reply.is_closed();
            if !heard {
                batcher.withdraw(key, token);
            }
            heard
        });
    }
}
