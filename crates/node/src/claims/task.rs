//! The task that owns the batchers of the shards that this node serves.

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

/// Messages queued for the task. When the queue is full, claims are refused at once and
/// settlements wait.
const COMMANDS_MAX: usize = 4096;
/// How often abandoned claims and expired segments are removed, and the pause after a
/// failed read of a shard.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(250);

/// Limits on the updates of one shard.
#[derive(Debug, Clone, Copy)]
pub struct BatchSettings {
    /// Minimum time between two updates of a shard.
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

/// A handle to the task that owns the shards.
#[derive(Debug, Clone)]
pub struct ClaimShards {
    commands: mpsc::Sender<ShardCommand>,
}

impl ClaimShards {
    /// Starts the task.
    pub fn start(
        platform: PlatformClient,
        clock: clock::WallClock,
        batching: BatchSettings,
    ) -> Self {
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let task = ShardTask {
            platform,
            clock,
            batching,
            commands: commands.clone(),
            shards: BTreeMap::new(),
        };
        tokio::spawn(task.run(inbox));
        Self { commands }
    }

    /// Claims a key at this node.
    ///
    /// # Errors
    /// `ClaimUnavailable` when the platform does not respond or too many claims are queued.
    pub async fn claim(&self, attempt: ClaimAttempt) -> Result<ClaimVerdict, FleetError> {
        let (sender, reply) = oneshot::channel();
        self.commands
            .try_send(ShardCommand::Claim(attempt, sender))
            .map_err(|_| unavailable("too many claims are queued"))?;
        reply
            .await
            .unwrap_or_else(|_| Err(unavailable("the node is stopping")))
    }

    /// Stores the outcomes of claimed requests with a later batch.
    pub async fn settle(&self, settlements: Vec<(ClaimKey, Settlement)>) {
        let _ = self.commands.send(ShardCommand::Settle(settlements)).await;
    }
}

fn unavailable(reason: &str) -> FleetError {
    FleetError::new(ErrorKind::ClaimUnavailable, reason)
}

struct Shard {
    batcher: ShardBatcher,
    /// Claims without a verdict, with the channel for it.
    pending: HashMap<ClaimToken, (ClaimKey, ClaimReply)>,
    /// Whether a read, an update or the pause after one is in progress.
    busy: bool,
}

struct ShardTask {
    platform: PlatformClient,
    clock: clock::WallClock,
    batching: BatchSettings,
    commands: mpsc::Sender<ShardCommand>,
    shards: BTreeMap<ShardId, Shard>,
}

impl ShardTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<ShardCommand>) {
        let mut ticks = time::interval(CLEANUP_INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                command = inbox.recv() => {
                    let Some(command) = command else { return };
                    self.handle(command);
                }
                _ = ticks.tick() => self.clean_up(),
            }
        }
    }

    fn handle(&mut self, command: ShardCommand) {
        let now = self.clock.now();
        match command {
            ShardCommand::Claim(attempt, reply) => {
                let id = shard_of(&attempt.key);
                let shard = self.shard(id);
                shard
                    .pending
                    .insert(attempt.token.clone(), (attempt.key.clone(), reply));
                let decided = shard.batcher.claim(now, attempt);
                shard.send_verdicts(decided);
                self.start_next(id);
            }
            ShardCommand::Settle(settlements) => {
                for (key, settlement) in settlements {
                    let id = shard_of(&key);
                    self.shard(id).batcher.settle(key, settlement);
                    self.start_next(id);
                }
            }
            ShardCommand::Loaded(id, Ok(segments)) => {
                let shard = self.shard(id);
                let decided = shard.batcher.load(now, segments);
                shard.send_verdicts(decided);
                self.pause(id, Duration::ZERO);
            }
            ShardCommand::Loaded(id, Err(error)) => {
                self.shard(id).fail_all(&error);
                self.pause(id, CLEANUP_INTERVAL);
            }
            ShardCommand::Written(id, Ok(version)) => {
                let shard = self.shard(id);
                let decided = shard.batcher.write_committed(now, version);
                shard.send_verdicts(decided);
                self.pause(id, self.batching.interval);
            }
            ShardCommand::Written(id, Err(error)) => {
                log::info!(target: "claims", "Reading shard {id} again after a failed update: {error}.");
                self.shard(id).batcher.write_uncertain();
                self.pause(id, self.batching.interval);
            }
            ShardCommand::Ready(id) => {
                self.shard(id).busy = false;
                self.start_next(id);
            }
        }
    }

    fn shard(&mut self, id: ShardId) -> &mut Shard {
        self.shards.entry(id).or_insert_with(|| Shard {
            batcher: ShardBatcher::new(id),
            pending: HashMap::new(),
            busy: false,
        })
    }

    /// Starts the next read or update of a shard, unless it is busy or has nothing to do.
    fn start_next(&mut self, id: ShardId) {
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

    /// Marks a shard as ready for its next read or update after a pause.
    fn pause(&self, id: ShardId, duration: Duration) {
        let commands = self.commands.clone();
        tokio::spawn(async move {
            time::sleep(duration).await;
            let _ = commands.send(ShardCommand::Ready(id)).await;
        });
    }

    /// Withdraws claims whose caller no longer waits and deletes expired segments.
    fn clean_up(&mut self) {
        let now = self.clock.now();
        for (id, shard) in &mut self.shards {
            shard.withdraw_abandoned();
            while let Some((number, version)) = shard.batcher.take_expired(now) {
                let platform = self.platform.clone();
                let id = *id;
                tokio::spawn(async move {
                    let deleted = records::delete_segment(&platform, id, number, version).await;
                    if let Err(error) = deleted {
                        log::debug!(
                            target: "claims",
                            "Cannot delete segment {number} of shard {id}: {error}."
                        );
                    }
                });
            }
        }
    }
}

impl Shard {
    fn send_verdicts(&mut self, decided: Vec<ClaimDecision>) {
        for ClaimDecision { token, verdict, .. } in decided {
            if let Some((_, reply)) = self.pending.remove(&token) {
                let _ = reply.send(Ok(verdict));
            }
        }
    }

    fn fail_all(&mut self, error: &FleetError) {
        for (token, (key, reply)) in self.pending.drain() {
            self.batcher.withdraw(&key, &token);
            let _ = reply.send(Err(unavailable(error.detail())));
        }
    }

    fn withdraw_abandoned(&mut self) {
        let batcher = &mut self.batcher;
        self.pending.retain(|token, (key, reply)| {
            let is_awaited = !reply.is_closed();
            if !is_awaited {
                batcher.withdraw(key, token);
            }
            is_awaited
        });
    }
}
