//! The task that owns the state of the platform's stand-in.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use model::sizes::ObjectVersion;
use platform::object::{ObjectChange, WatchResponse};
use platform::vm::Vm;
use platform::wire::{ListPage, ListedObject};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Maximum number of changes retained for watches; older ones are dropped.
const CHANGES_MAX: usize = 100_000;
/// Maximum total size of the objects on one page of a list, unless a single object exceeds it.
const PAGE_BYTES_MAX: usize = 1_048_576;

/// Faults that the stand-in of the platform injects.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlatformFaults {
    /// Whether calls fail with status 503.
    pub outage: bool,
    /// Number of further writes that take effect but whose responses are lost.
    pub lose_responses: u32,
}

/// The condition under which a write takes effect.
#[derive(Debug, Clone, Copy)]
pub(super) enum WriteCondition {
    Absent,
    Version(ObjectVersion),
    Unconditional,
}

/// The result of a write.
#[derive(Debug)]
pub(super) enum WriteResult {
    Stored {
        version: ObjectVersion,
        created: bool,
    },
    Removed,
    PreconditionFailed,
    /// The write took effect, but its response must not arrive.
    ResponseLost,
}

/// A command to the task that owns the store.
pub(super) enum StoreCommand {
    Get(String, oneshot::Sender<Option<(ObjectVersion, Bytes)>>),
    Write {
        name: String,
        body: Option<Bytes>,
        condition: WriteCondition,
        reply: oneshot::Sender<WriteResult>,
    },
    List {
        prefix: String,
        after: String,
        reply: oneshot::Sender<ListPage>,
    },
    Watch {
        prefix: String,
        since: u64,
        until: Instant,
        reply: oneshot::Sender<WatchResponse>,
    },
    GetVms(oneshot::Sender<Vec<Vm>>),
    SetVms(Vec<Vm>),
    SetFaults(PlatformFaults),
    IsUnavailable(oneshot::Sender<bool>),
    RecordCall(&'static str),
    GetCallCounts(oneshot::Sender<BTreeMap<&'static str, u64>>),
}

/// A watch that waits for a change or for its timeout.
struct PendingWatch {
    prefix: String,
    since: u64,
    until: Instant,
    reply: oneshot::Sender<WatchResponse>,
}

#[derive(Default)]
struct Store {
    objects: BTreeMap<String, (ObjectVersion, Bytes)>,
    revision: u64,
    changes: VecDeque<(u64, ObjectChange)>,
    watches: Vec<PendingWatch>,
    vms: Vec<Vm>,
    faults: PlatformFaults,
    call_counts: BTreeMap<&'static str, u64>,
}

/// Handles commands until all senders are dropped.
pub(super) async fn run(mut inbox: mpsc::Receiver<StoreCommand>) {
    let mut store = Store::default();
    loop {
        let earliest = store.watches.iter().map(|watch| watch.until).min();
        let expiry = async {
            match earliest {
                Some(until) => tokio::time::sleep_until(until).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            command = inbox.recv() => {
                let Some(command) = command else { return };
                store.handle(command);
            }
            () = expiry => {}
        }
        store.complete_watches();
    }
}

impl Store {
    fn handle(&mut self, command: StoreCommand) {
        match command {
            StoreCommand::Get(name, reply) => {
                let _ = reply.send(self.objects.get(&name).cloned());
            }
            StoreCommand::Write {
                name,
                body,
                condition,
                reply,
            } => {
                let _ = reply.send(self.write(&name, body, condition));
            }
            StoreCommand::List {
                prefix,
                after,
                reply,
            } => {
                let _ = reply.send(self.list(&prefix, &after));
            }
            StoreCommand::Watch {
                prefix,
                since,
                until,
                reply,
            } => {
                self.watches.push(PendingWatch {
                    prefix,
                    since,
                    until,
                    reply,
                });
            }
            StoreCommand::GetVms(reply) => {
                let _ = reply.send(self.vms.clone());
            }
            StoreCommand::SetVms(vms) => self.vms = vms,
            StoreCommand::SetFaults(faults) => self.faults = faults,
            StoreCommand::IsUnavailable(reply) => {
                let _ = reply.send(self.faults.outage);
            }
            StoreCommand::RecordCall(operation) => {
                *self.call_counts.entry(operation).or_default() += 1;
            }
            StoreCommand::GetCallCounts(reply) => {
                let _ = reply.send(self.call_counts.clone());
            }
        }
    }

    fn write(&mut self, name: &str, body: Option<Bytes>, condition: WriteCondition) -> WriteResult {
        let current = self.objects.get(name).map(|(version, _)| *version);
        let holds = match (condition, current) {
            (WriteCondition::Unconditional, _) | (WriteCondition::Absent, None) => true,
            (WriteCondition::Version(expected), Some(version)) => expected == version,
            (WriteCondition::Version(_), None) | (WriteCondition::Absent, Some(_)) => false,
        };
        if !holds {
            return WriteResult::PreconditionFailed;
        }
        self.revision += 1;
        let version = body.as_ref().map(|_| ObjectVersion::new(self.revision));
        match body {
            Some(body) => {
                self.objects
                    .insert(name.to_owned(), (ObjectVersion::new(self.revision), body));
            }
            None => {
                self.objects.remove(name);
            }
        }
        let change = ObjectChange {
            name: Arc::from(name),
            version,
        };
        self.changes.push_back((self.revision, change));
        if self.changes.len() > CHANGES_MAX {
            self.changes.pop_front();
        }
        if self.faults.lose_responses > 0 {
            self.faults.lose_responses -= 1;
            return WriteResult::ResponseLost;
        }
        match version {
            Some(version) => WriteResult::Stored {
                version,
                created: current.is_none(),
            },
            None => WriteResult::Removed,
        }
    }

    fn list(&self, prefix: &str, after: &str) -> ListPage {
        let mut page = ListPage {
            objects: Vec::new(),
            more: false,
        };
        let mut bytes = 0;
        let start = if after > prefix { after } else { prefix };
        let matching = self.objects.range(start.to_owned()..);
        let matching = matching.take_while(|(name, _)| name.starts_with(prefix));
        for (name, (version, body)) in matching.filter(|(name, _)| name.as_str() > after) {
            bytes += body.len();
            if bytes > PAGE_BYTES_MAX && !page.objects.is_empty() {
                page.more = true;
                break;
            }
            let body = String::from_utf8_lossy(body).into_owned();
            page.objects.push(ListedObject {
                name: name.as_str().into(),
                version: *version,
                body,
            });
        }
        page
    }

    /// Replies to watches that have a change to report or whose time is over.
    fn complete_watches(&mut self) {
        let now = Instant::now();
        for watch in std::mem::take(&mut self.watches) {
            let changes = self.changes_since(&watch.prefix, watch.since);
            if changes.is_empty() && watch.until > now {
                self.watches.push(watch);
                continue;
            }
            let _ = watch.reply.send(WatchResponse {
                revision: self.revision,
                changes,
            });
        }
    }

    /// The latest change of each object after a revision; all objects for revision 0.
    fn changes_since(&self, prefix: &str, since: u64) -> Vec<ObjectChange> {
        if since == 0 {
            let matching = self
                .objects
                .iter()
                .filter(|(name, _)| name.starts_with(prefix));
            let present = matching.map(|(name, (version, _))| ObjectChange {
                name: name.as_str().into(),
                version: Some(*version),
            });
            return present.collect();
        }
        let newer = self
            .changes
            .iter()
            .rev()
            .take_while(|(revision, _)| *revision > since);
        let matching = newer.filter(|(_, change)| change.name.starts_with(prefix));
        let mut latest: BTreeMap<Arc<str>, ObjectChange> = BTreeMap::new();
        for (_, change) in matching {
            latest
                .entry(Arc::clone(&change.name))
                .or_insert_with(|| change.clone());
        }
        latest.into_values().collect()
    }
}
