//! The task that owns a node's ledger of crashes.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use model::fingerprint::RequestFingerprint;
use policy::quarantine::{CrashLedger, CrashRecord, CrashReport};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{self, Instant};

use super::fleet::{CrashParts, Standings};
use crate::wire::{CrashRequest, NodeRequest};

/// Messages queued for the task; when the queue is full, reports are dropped.
pub(super) const COMMANDS_MAX: usize = 1_024;
/// Time after which a message to all nodes is repeated once, since datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(100);
/// How often crashes that are too old to count are dropped.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// A message to the task.
#[derive(Debug)]
pub(super) enum CrashCommand {
    /// A crash that this node observed.
    Report(CrashReport),
    /// A run that this node observed.
    Completed(RequestFingerprint),
    /// Crashes that another node observed.
    Apply(Vec<CrashReport>),
    /// A run that another node observed.
    ApplyCompleted(RequestFingerprint),
    /// Crashes that another node remembers.
    ApplyRecords(Vec<CrashRecord>),
    DrawTrial(RequestFingerprint, oneshot::Sender<bool>),
    List(oneshot::Sender<Vec<CrashRecord>>),
}

/// News for all nodes.
#[derive(Debug, Clone)]
enum CrashNews {
    Crashed(CrashReport),
    Completed(RequestFingerprint),
}

/// Runs until the last handle is dropped.
pub(super) async fn run(
    parts: CrashParts,
    publisher: watch::Sender<Standings>,
    mut inbox: mpsc::Receiver<CrashCommand>,
) {
    let mut task = CrashTask {
        parts,
        publisher,
        ledger: CrashLedger::default(),
        repeats: VecDeque::new(),
    };
    let mut expire_at = Instant::now() + EXPIRE_INTERVAL;
    loop {
        let now = Instant::now();
        let assess_at = task.ledger.assessment_due_at();
        let repeat_at = task.repeats.front().map(|(at, _)| *at);
        tokio::select! {
            command = inbox.recv() => {
                let Some(command) = command else { return };
                task.handle(command);
            }
            () = time::sleep_until(assess_at.unwrap_or(now)), if assess_at.is_some() => {
                task.assess();
            }
            () = time::sleep_until(repeat_at.unwrap_or(now)), if repeat_at.is_some() => {
                task.repeat();
            }
            () = time::sleep_until(expire_at) => {
                if task.ledger.expire(Instant::now()) {
                    task.publish_standings();
                }
                expire_at = Instant::now() + EXPIRE_INTERVAL;
            }
        }
    }
}

struct CrashTask {
    parts: CrashParts,
    publisher: watch::Sender<Standings>,
    ledger: CrashLedger,
    /// News to send once more, and when.
    repeats: VecDeque<(Instant, CrashNews)>,
}

impl CrashTask {
    fn handle(&mut self, command: CrashCommand) {
        let now = Instant::now();
        match command {
            CrashCommand::Report(report) => {
                if self.apply_report(now, &report) {
                    self.announce(now, CrashNews::Crashed(report));
                }
            }
            CrashCommand::Completed(request) => {
                if self.apply_completed(now, request) {
                    self.announce(now, CrashNews::Completed(request));
                }
            }
            CrashCommand::Apply(reports) => {
                for report in reports {
                    self.apply_report(now, &report);
                }
            }
            CrashCommand::ApplyCompleted(request) => {
                self.apply_completed(now, request);
            }
            CrashCommand::ApplyRecords(records) => {
                for record in records {
                    self.ledger.apply(now, &record);
                }
                self.publish_standings();
            }
            CrashCommand::DrawTrial(request, reply) => {
                let granted = self.ledger.draw_trial(now, request);
                log::info!(target: "crashes", request:%, granted; "A trial of a request was drawn.");
                let _ = reply.send(granted);
                self.publish_standings();
            }
            CrashCommand::List(reply) => {
                let _ = reply.send(self.ledger.records(now));
            }
        }
    }

    fn apply_report(&mut self, now: Instant, report: &CrashReport) -> bool {
        let is_new = self.ledger.report(now, report);
        if is_new {
            log::info!(
                target: "crashes",
                service:% = report.service,
                upstream:% = report.upstream,
                request:% = report.request;
                "An upstream crashed while it ran a request."
            );
            self.publish_standings();
        }
        is_new
    }

    fn apply_completed(&mut self, now: Instant, request: RequestFingerprint) -> bool {
        let was_known = self.ledger.complete(now, request);
        if was_known {
            log::info!(target: "crashes", request:%; "A suspect of a crash completed a run.");
            self.publish_standings();
        }
        was_known
    }

    fn assess(&mut self) {
        for (request, crashes) in self.ledger.assess(Instant::now()) {
            log::warn!(
                target: "crashes",
                request:%, crashes;
                "A request is quarantined: upstreams crash while they run it."
            );
        }
        self.publish_standings();
    }

    fn publish_standings(&self) {
        let standings = Arc::new(self.ledger.standings());
        self.publisher.send_replace(standings);
    }

    fn announce(&mut self, now: Instant, news: CrashNews) {
        self.send(&news);
        self.repeats.push_back((now + REPEAT_DELAY, news));
    }

    /// Repeats the oldest news. A report is repeated with all that is known of the crashes of
    /// its request by then, so that one message makes up for several lost ones.
    fn repeat(&mut self) {
        let Some((_, news)) = self.repeats.pop_front() else {
            return;
        };
        let CrashNews::Crashed(report) = &news else {
            self.send(&news);
            return;
        };
        let records = self.ledger.records_of(Instant::now(), report.request);
        if !records.is_empty() {
            let table = self.parts.members.table();
            let peers = &self.parts.peers;
            peers.publish(&table, |forward| records_message(&records, forward));
        }
    }

    fn send(&self, news: &CrashNews) {
        let table = self.parts.members.table();
        self.parts.peers.publish(&table, |forward| match news {
            CrashNews::Crashed(report) => reports_message(std::slice::from_ref(report), forward),
            CrashNews::Completed(request) => completed_message(*request, forward),
        });
    }
}

pub(super) fn reports_message(reports: &[CrashReport], forward: bool) -> NodeRequest {
    NodeRequest::Crash(CrashRequest::Reports {
        reports: reports.to_vec(),
        forward,
    })
}

pub(super) fn records_message(records: &[CrashRecord], forward: bool) -> NodeRequest {
    NodeRequest::Crash(CrashRequest::Records {
        records: records.to_vec(),
        forward,
    })
}

pub(super) fn completed_message(request: RequestFingerprint, forward: bool) -> NodeRequest {
    NodeRequest::Crash(CrashRequest::Completed { request, forward })
}
