//! BUDGET: the machine that holds the retry tokens is stopped and started twice, the second time
//! while backends shed.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{self, Conduct, Runs};
use crate::gateway::{self, Fleet, Gateway};
use crate::record::Record;
use crate::store::{self, Store};
use crate::{Setup, http};

const MACHINES: usize = 12;
const BACKENDS: usize = 6;
/// Requests a second that each machine gets from its clients.
const REQUESTS_PER_SECOND: f64 = 6.0;
const CLIENTS_PER_MACHINE: usize = 3;
/// Of 100 requests, those that each backend rejects during the trouble, and how long it lasts.
const SHED_PERCENT: u64 = 55;
const SHED_TIME: Duration = Duration::from_millis(8_500);
/// Time from the first rejection to the second stop.
const STOP_DELAY: Duration = Duration::from_secs(3);
/// Time from the end of the stopped process to its start.
const DOWN: Duration = Duration::from_secs(4);
/// `retry_budget_ratio`, `retry_budget_slack` and `budget_window_s` of the site.
const RATIO: f64 = 0.2;
const SLACK: f64 = 64.0;
const WINDOW: Duration = Duration::from_secs(10);

struct Traffic {
    record: Record,
    /// When each request was sent, by its id.
    sent: Arc<Mutex<BTreeMap<String, Instant>>>,
    stop: Arc<AtomicBool>,
}

pub fn run(setup: &Setup) -> io::Result<bool> {
    let record = &setup.record;
    let runs = Runs::default();
    let is_shedding = Arc::new(AtomicBool::new(false));
    let store = Store::start()?;
    let rule = store::rule("look", "safe", "/look/", "stock", 2000);
    let rule = rule.replace("\"max_attempts\":2", "\"max_attempts\":3");
    let listeners = format!(r#"{{"host":"a.example","rules":[{rule}]}}"#);
    store.put(
        "config",
        "main",
        &store::configuration(7, &listeners, &["stock"]),
    );
    for number in 0..BACKENDS {
        let name = format!("i-{number}");
        let conduct = shedding_backend(&is_shedding);
        let address = backend::start(&name, &runs, conduct)?;
        store.put(
            "servers",
            &name,
            &store::entry(address, "stock", "ikeja", 4, "ready"),
        );
    }
    let fleet = Fleet::new(store.address, MACHINES)?;
    let mut gateways = fleet.start_all()?;
    thread::sleep(Duration::from_secs(4));
    let traffic = Traffic {
        record: record.clone(),
        sent: Arc::default(),
        stop: Arc::default(),
    };
    let clients = traffic.start(&gateways);
    thread::sleep(Duration::from_secs(10));
    let holder =
        find_holder(&gateways).ok_or_else(|| io::Error::other("no machine reads the store"))?;
    if setup.trouble {
        stop(record, &gateways[holder]);
        start_again(record, &mut gateways[holder])?;
    }
    thread::sleep(Duration::from_secs(22));
    let shedding_from = Instant::now();
    is_shedding.store(true, Ordering::SeqCst);
    record.say(format!(
        "each backend rejects {SHED_PERCENT} of 100 requests"
    ));
    thread::sleep(STOP_DELAY);
    if setup.trouble {
        stop(record, &gateways[holder]);
    }
    thread::sleep(SHED_TIME.saturating_sub(shedding_from.elapsed()));
    is_shedding.store(false, Ordering::SeqCst);
    record.say("no backend rejects any more");
    if setup.trouble {
        start_again(record, &mut gateways[holder])?;
    }
    thread::sleep(Duration::from_secs(3));
    traffic.stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    Ok(traffic.judge(&runs, shedding_from))
}

/// Begins a planned stop.
fn stop(record: &Record, gateway: &Gateway) {
    record.say(format!("{} is stopped with SIGTERM", gateway.name));
    gateway.signal(gateway::SIGTERM);
}

/// Starts the process again, some time after it has ended.
fn start_again(record: &Record, gateway: &mut Gateway) -> io::Result<()> {
    while !gateway.has_ended() {
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(DOWN);
    gateway.restart()?;
    record.say(format!("{} starts again", gateway.name));
    Ok(())
}

/// A backend that rejects a share of its requests without running them, and says so.
fn shedding_backend(is_shedding: &Arc<AtomicBool>) -> Conduct {
    let is_shedding = Arc::clone(is_shedding);
    let counter = AtomicU64::new(0);
    Arc::new(move |exchange| {
        let number = counter.fetch_add(1, Ordering::SeqCst);
        // 37 and 100 have no common divisor, so that each share is spread evenly.
        if !is_shedding.load(Ordering::SeqCst) || number * 37 % 100 >= SHED_PERCENT {
            thread::sleep(Duration::from_millis(30));
            return exchange.run("");
        }
        http::read_body(exchange.reader, &exchange.head)?;
        exchange.record();
        let identity = exchange.identity();
        exchange.write(&format!(
            "HTTP/1.1 503 Service Unavailable\r\n{identity}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        ))
    })
}

/// The machine that reads the store for its zone, by its log; it holds the retry tokens.
fn find_holder(gateways: &[Gateway]) -> Option<usize> {
    let last_read = |gateway: &Gateway| {
        let text = gateway.log_text();
        let mut lines = text.lines().rev();
        let line = lines
            .find(|line| line.contains("Reading the routes") && line.contains("\"relay\":true"));
        let time = line?.split("\"time\":\"").nth(1)?;
        Some(time.split('"').next()?.to_owned())
    };
    let times = gateways.iter().enumerate();
    let times = times.filter_map(|(index, gateway)| Some((last_read(gateway)?, index)));
    times.max().map(|(_, index)| index)
}

impl Traffic {
    fn start(&self, gateways: &[Gateway]) -> Vec<thread::JoinHandle<()>> {
        let mut clients = Vec::new();
        for (machine, gateway) in gateways.iter().enumerate() {
            for client in 0..CLIENTS_PER_MACHINE {
                let (front, stop) = (gateway.front, Arc::clone(&self.stop));
                let (record, sent) = (self.record.clone(), Arc::clone(&self.sent));
                let interval = CLIENTS_PER_MACHINE as f64 / REQUESTS_PER_SECOND;
                let offset = Duration::from_millis(13 * machine as u64 + 170 * client as u64);
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
                        let at = Instant::now();
                        sent.lock().unwrap().insert(id.clone(), at);
                        let answer = http::call(front, &text, Duration::from_secs(3));
                        let status = answer.map_or(0, |answer| answer.head.status());
                        record.line_at(at, format!("sent {id}; answered {status}"));
                    }
                }));
            }
        }
        clients
    }

    /// Whether in each window the arrivals beyond the first of each request stay within the
    /// ratio of the requests, plus the slack.
    fn judge(&self, runs: &Runs, shedding_from: Instant) -> bool {
        let sent = self.sent.lock().unwrap();
        let mut sent_at: Vec<_> = sent.values().copied().collect();
        sent_at.sort();
        let mut seen = BTreeMap::new();
        let mut repeats = Vec::new();
        let mut runs = runs.lock().unwrap().clone();
        runs.sort_by_key(|run| run.at);
        for run in &runs {
            let id = run.head.get("x-request-id").unwrap_or_default();
            self.record
                .line_at(run.at, format!("{} gets {id}", run.backend));
            let count: &mut usize = seen.entry(id.to_owned()).or_default();
            *count += 1;
            if *count > 1 {
                repeats.push(run.at);
            }
        }
        let requests_from = |start: Instant| {
            let inside = sent_at
                .iter()
                .filter(|at| **at >= start && **at < start + WINDOW);
            inside.count()
        };
        let mut worst = (f64::MIN, 0, 0.0, shedding_from);
        for (index, start) in repeats.iter().enumerate() {
            let count = repeats[index..]
                .iter()
                .take_while(|at| **at < *start + WINDOW)
                .count();
            let windows = [*start, *start - WINDOW / 2, *start - WINDOW];
            let requests = windows.into_iter().map(requests_from).max().unwrap_or(0);
            let allowed = RATIO * requests as f64 + SLACK;
            if count as f64 - allowed > worst.0 {
                worst = (count as f64 - allowed, count, allowed, *start);
            }
        }
        let (excess, count, allowed, start) = worst;
        let offset = start.saturating_duration_since(shedding_from).as_secs_f64();
        self.record.say(format!(
            "{count} arrivals beyond the first in 10 s, {offset:.1} s after the first rejections; {allowed:.1} are allowed"
        ));
        excess <= 0.0
    }
}
