//! LIMIT: a machine that grants the requests to limited backends is stopped and starts again.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{self, Conduct, Run, Runs};
use crate::gateway::{self, Fleet, Gateway};
use crate::record::Record;
use crate::store::{self, Store};
use crate::{Setup, http};

const MACHINES: usize = 32;
const BACKENDS: usize = 2;
/// Requests a second that each machine gets from its clients.
const REQUESTS_PER_SECOND: f64 = 6.0;
const CLIENTS_PER_MACHINE: usize = 3;
/// What each backend names: requests a second from all machines.
const LIMIT: f64 = 10.0;
/// `stability_window_ms` of the sites.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// The rule counts in spans of this length.
const SPAN: Duration = Duration::from_secs(4);
/// How long after it passed on an answer with the limit a machine counts.
const PASSED_ON: Duration = Duration::from_millis(500);
/// How often the machine is stopped and started, and the time from a start to the next stop.
const STOPS: usize = 3;
const STOP_INTERVAL: Duration = Duration::from_secs(11);
/// Time from the end of the process to its start.
const DOWN: Duration = Duration::from_secs(1);

/// The machine, by its number, to which a request was sent.
fn machine_of(id: &str) -> usize {
    id[1..3].parse().unwrap_or(usize::MAX)
}

struct Deployment {
    record: Record,
    runs: Runs,
    is_limited: Arc<AtomicBool>,
    /// When each machine first passed on an answer with the limit.
    passed_on: Arc<Mutex<BTreeMap<usize, Instant>>>,
    statuses: Arc<Mutex<BTreeMap<u16, usize>>>,
}

pub fn run(setup: &Setup) -> io::Result<bool> {
    let deployment = Deployment {
        record: setup.record.clone(),
        runs: Runs::default(),
        is_limited: Arc::default(),
        passed_on: Arc::default(),
        statuses: Arc::default(),
    };
    let record = &deployment.record;
    let store = Store::start()?;
    let rule = store::rule("look", "safe", "/look/", "stock", 2000);
    let listeners = format!(r#"{{"host":"a.example","rules":[{rule}]}}"#);
    store.put(
        "config",
        "main",
        &store::configuration(7, &listeners, &["stock"]),
    );
    for number in 0..BACKENDS {
        deployment.start_backend(&store, &format!("i-{number}"))?;
    }
    let fleet = Fleet::new(store.address, MACHINES)?;
    let mut gateways = fleet.start_all()?;
    thread::sleep(STABILITY_WINDOW);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = deployment.start_clients(&gateways, &stop);
    thread::sleep(Duration::from_secs(3));
    deployment.is_limited.store(true, Ordering::SeqCst);
    let named_at = Instant::now();
    record.say(format!(
        "each of {BACKENDS} backends names Server-Limit: {LIMIT}"
    ));
    thread::sleep(Duration::from_secs(8));
    let stopped = setup.trouble.then(|| find_granter(&gateways)).flatten();
    for _ in 0..STOPS {
        if let Some(index) = stopped {
            let gateway = &mut gateways[index];
            record.say(format!("{} is stopped with SIGTERM", gateway.name));
            gateway.signal(gateway::SIGTERM);
            while !gateway.has_ended() {
                thread::sleep(Duration::from_millis(20));
            }
            thread::sleep(DOWN);
            gateway.restart()?;
            record.say(format!("{} starts again", gateway.name));
        }
        thread::sleep(STOP_INTERVAL);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if setup.trouble && stopped.is_none() {
        return Err(io::Error::other("no machine says that it grants requests"));
    }
    Ok(deployment.judge(named_at, stopped))
}

/// The machine that grants requests, by its log. In a rolling restart, every machine has its
/// turn; only with this one something happens.
fn find_granter(gateways: &[Gateway]) -> Option<usize> {
    let line = "The limit on the requests per second of an upstream changed";
    gateways
        .iter()
        .position(|gateway| gateway.log_text().contains(line))
}

impl Deployment {
    fn start_backend(&self, store: &Store, name: &str) -> io::Result<()> {
        let is_limited = Arc::clone(&self.is_limited);
        let conduct: Conduct = Arc::new(move |exchange| {
            thread::sleep(Duration::from_millis(30));
            if is_limited.load(Ordering::SeqCst) {
                exchange.run(&format!("Server-Limit: {LIMIT}\r\n"))
            } else {
                exchange.run("")
            }
        });
        let address = backend::start(name, &self.runs, conduct)?;
        store.put(
            "servers",
            name,
            &store::entry(address, "stock", "ikeja", 4, "ready"),
        );
        Ok(())
    }

    fn start_clients(
        &self,
        gateways: &[Gateway],
        stop: &Arc<AtomicBool>,
    ) -> Vec<thread::JoinHandle<()>> {
        let mut clients = Vec::new();
        for (machine, gateway) in gateways.iter().enumerate() {
            for client in 0..CLIENTS_PER_MACHINE {
                let (front, stop) = (gateway.front, Arc::clone(stop));
                let (record, passed_on) = (self.record.clone(), Arc::clone(&self.passed_on));
                let statuses = Arc::clone(&self.statuses);
                let interval = CLIENTS_PER_MACHINE as f64 / REQUESTS_PER_SECOND;
                let offset = Duration::from_millis(7 * machine as u64 + 31 * client as u64);
                clients.push(thread::spawn(move || {
                    let mut next = Instant::now() + offset;
                    for number in 0.. {
                        next += Duration::from_secs_f64(interval);
                        thread::sleep(next.saturating_duration_since(Instant::now()));
                        if stop.load(Ordering::SeqCst) {
                            return;
                        }
                        let id = format!("m{machine:02}{client}{number:05}");
                        let text = http::request("GET", "a.example", "/look/1", &id, 2000);
                        let sent = Instant::now();
                        let answer = http::call(front, &text, Duration::from_secs(3));
                        let status = answer.as_ref().map_or(0, |answer| answer.head.status());
                        let limit = answer
                            .ok()
                            .and_then(|answer| Some(answer.head.get("server-limit")?.to_owned()));
                        if limit.is_some() {
                            passed_on
                                .lock()
                                .unwrap()
                                .entry(machine)
                                .or_insert_with(Instant::now);
                        }
                        *statuses.lock().unwrap().entry(status).or_default() += 1;
                        record.line_at(
                            sent,
                            format!("sent {id}; answered {status}, limit {limit:?}"),
                        );
                    }
                }));
            }
        }
        clients
    }

    /// Whether no backend got more in any 4 s than one and a half times its limit, plus 5.
    fn judge(&self, named_at: Instant, restarted: Option<usize>) -> bool {
        let allowed = 1.5 * LIMIT * SPAN.as_secs_f64() + 5.0;
        let passed_on = self.passed_on.lock().unwrap();
        let runs = self.runs.lock().unwrap();
        for run in runs.iter() {
            let id = run.head.get("x-request-id").unwrap_or_default();
            self.record
                .line_at(run.at, format!("{} gets {id}", run.backend));
        }
        let counts = |run: &&Run| {
            let machine = machine_of(run.head.get("x-request-id").unwrap_or_default());
            let since = passed_on.get(&machine);
            Some(machine) != restarted
                && run.at >= named_at + STABILITY_WINDOW
                && since.is_some_and(|since| run.at >= *since + PASSED_ON)
        };
        let mut is_kept = true;
        for number in 0..BACKENDS {
            let name = format!("i-{number}");
            let counted = runs.iter().filter(|run| run.backend == name).filter(counts);
            let mut times: Vec<_> = counted.map(|run| run.at).collect();
            times.sort();
            let in_span = |(index, start): (usize, &Instant)| {
                let span = times[index..].iter().take_while(|at| **at < *start + SPAN);
                (span.count(), *start)
            };
            let Some((most, at)) = times.iter().enumerate().map(in_span).max() else {
                continue;
            };
            is_kept &= most as f64 <= allowed;
            let second = at.saturating_duration_since(named_at).as_secs_f64();
            self.record.say(format!(
                "{name}: at most {most} requests in 4 s, {second:.1} s after the limit was named; {allowed} are allowed"
            ));
        }
        let statuses = self.statuses.lock().unwrap();
        self.record.say(format!("answers by status: {statuses:?}"));
        is_kept
    }
}
