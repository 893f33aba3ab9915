//! The state of the platform's stand-in, owned by one task.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use model::sizes::ObjectVersion;
use platform::object::{ObjectChange, WatchResponse};
use platform::vm::Vm;
use platform::wire::{ListPage, ListedObject};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Changes that a late watch can still see.
const CHANGES_KEPT: usize = 100_000;
/// Bytes of one page of a list.
const PAGE_BYTES_MAX: usize = 1_048_576;

/// Faults that the stand-in shows.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlatformFaults {
    /// Whether every call is refused.
    pub outage: bool,
    /// Writes from now on that take effect while their answers are lost.
    pub lose_answers: u32,
}

/// The condition of a write.
#[derive(Debug, Clone, Copy)]
pub(super) enum WriteWhen {
    Absent,
    Version(ObjectVersion),
    Always,
}

/// What a write came to.
#[derive(Debug)]
pub(super) enum WriteAnswer {
    Done {
        version: ObjectVersion,
        created: bool,
    },
    Gone,
    Refused,
    Lost,
}

pub(super) enum StoreCommand {
    Get(String, oneshot::Sender<Option<(ObjectVersion, Bytes)>>),
    Write {
        name: String,
        body: Option<Bytes>,
        when: WriteWhen,
        reply: oneshot::Sender<WriteAnswer>,
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
    Vms(oneshot::Sender<Vec<Vm>>),
    SetVms(Vec<Vm>),
    SetFaults(PlatformFaults),
    IsOut(oneshot::Sender<bool>),
    Count(&'static str),
    Calls(oneshot::Sender<BTreeMap<&'static str, u64>>),
}

struct Watcher {
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
    watchers: Vec<Watcher>,
    vms: Vec<Vm>,
    faults: PlatformFaults,
    calls: BTreeMap<&'static str, u64>,
}

pub(super) async fn run(mut inbox: mpsc::Receiver<StoreCommand>) {
    let mut store = Store::default();
    loop {
        let next = store.watchers.iter().map(|watcher| watcher.until).min();
        let expiry = async {
            match next {
                Some(until) => tokio::time::sleep_until(until).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            command = inbox.recv() => {
                let Some(command) = command else { return };
                store.take(command);
            }
            () = expiry => {}
        }
        store.answer_watchers();
    }
}

impl Store {
    fn take(&mut self, command: StoreCommand) {
        match command {
            StoreCommand::Get(name, reply) => {
                let _ = reply.send(self.objects.get(&name).cloned());
            }
            StoreCommand::Write {
                name,
                body,
                when,
                reply,
            } => {
                let _ = reply.send(self.write(&name, body, when));
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
                self.watchers.push(Watcher {
                    prefix,
                    since,
                    until,
                    reply,
                });
            }
            StoreCommand::Vms(reply) => {
                let _ = reply.send(self.vms.clone());
            }
            StoreCommand::SetVms(vms) => self.vms = vms,
            StoreCommand::SetFaults(faults) => self.faults = faults,
            StoreCommand::IsOut(reply) => {
                let _ = reply.send(self.faults.outage);
            }
            StoreCommand::Count(operation) => *self.calls.entry(operation).or_default() += 1,
            StoreCommand::Calls(reply) => {
                let _ = reply.send(self.calls.clone());
            }
        }
    }

    fn write(&mut self, name: &str, body: Option<Bytes>, when: WriteWhen) -> WriteAnswer {
        let current = self.objects.get(name).map(|(version, _)| *version);
        let holds = match (when, current) {
            (WriteWhen::Always, _) | (WriteWhen::Absent, None) => true,
            (WriteWhen::Version(wanted), Some(version)) => wanted == version,
            (WriteWhen::Version(_), None) | (WriteWhen::Absent, Some(_)) => false,
        };
        if !holds {
            return WriteAnswer::Refused;
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
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return WriteAnswer::Lost;
        }
        match version {
            Some(version) => WriteAnswer::Done {
                version,
                created: current.is_none(),
            },
            None => WriteAnswer::Gone,
        }
    }

    fn list(&self, prefix: &str, after: &str) -> ListPage {
        let mut page = ListPage {
            objects: Vec::new(),
            more: false,
        };
        let mut bytes = 0;
        let from = if after > prefix { after } else { prefix };
        let matching = self.objects.range(from.to_owned()..);
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

    fn answer_watchers(&mut self) {
        let now = Instant::now();
        for watcher in std::mem::take(&mut self.watchers) {
            let changes = self.changes_since(&watcher.prefix, watcher.since);
            if changes.is_empty() && watcher.until > now {
                self.watchers.push(watcher);
                continue;
            }
            let _ = watcher.reply.send(WatchResponse {
                revision: self.revision,
                changes,
            });
        }
    }

    /// Changes after a revision; after revision zero, every object.
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
