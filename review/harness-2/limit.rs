//! Two machines are added while one of their seeds stands still; later a backend names its
//! `Server-Limit`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::Head;
use crate::parts::{Action, Arrivals, Backend, Behaviour, Record, Store, call};
use crate::split;

/// Requests a second that the backend takes.
const LIMIT: f64 = 10.0;
/// The rule: in some 4 s, more than one and a half times what the limit allows, and 5 more.
const WINDOW: f64 = 4.0;
const BOUND: f64 = 1.5 * LIMIT * WINDOW + 5.0;
/// `stability_window_ms`: the rule holds from so long after the limit was first named.
const SETTLED: f64 = 3.0;
/// A machine counts from so long after it has passed on an answer with the limit.
const PASSED_ON: f64 = 0.5;
/// Requests a second to each of the other machines.
const RATE: f64 = 20.0;

/// One `safe` route to one service.
pub fn write_config(store: &Store) {
    store.put(
        "config",
        "main",
        r#""spec":{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"listeners":[{"host":"jepu9.example","rules":[{"name":"r-b9wu3fe","kind":"safe","target_latency_ms":600,"priority":2,"match":{"path_prefix":"/lepu270/"},"action":{"service":"huvo11a","timeout_ms":2000,"max_attempts":2}}]}],
"clusters":[{"name":"huvo11a","health_path":"/health","max_connections":390,"protocol":"h1","tls":false}]},"status":null"#,
    );
}

/// A request on that route.
pub fn request(id: &str) -> String {
    format!(
        "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2000\r\n\r\n"
    )
}

/// When each machine first passed on an answer that names the limit.
type Passed = Arc<Mutex<BTreeMap<String, f64>>>;

/// Sends requests to one machine at a steady rate until `stop`.
fn load(
    record: &Record,
    front: SocketAddr,
    name: &str,
    passed: &Passed,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, name) = (record.clone(), name.to_owned());
    let (passed, stop) = (passed.clone(), stop.clone());
    thread::spawn(move || {
        let mut next = Instant::now();
        let mut calls = Vec::new();
        for number in 1.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let (record, name, passed) = (record.clone(), name.clone(), passed.clone());
            calls.push(thread::spawn(move || {
                let id = format!("{name}/{number}");
                let sent = record.now();
                let answer = call(front, &request(&id), Duration::from_secs(4));
                let text = match answer {
                    Ok((head, _)) => {
                        note_limit(&record, &name, &passed, &head);
                        head.status().to_string()
                    }
                    Err(error) => error.to_string(),
                };
                record.add(&format!("request {id} sent at {sent:.3}: {text}"));
            }));
            next += Duration::from_secs_f64(1.0 / RATE);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        for call in calls {
            let _ = call.join();
        }
    })
}

fn note_limit(record: &Record, name: &str, passed: &Passed, head: &Head) {
    if head.get("server-limit").is_some() {
        let mut passed = passed.lock().unwrap();
        passed.entry(name.to_owned()).or_insert(record.now());
    }
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let store = Store::start();
    write_config(&store);
    let arrivals = Arrivals::default();
    let named_at: Arc<Mutex<Option<f64>>> = Arc::default();
    let in_need = Arc::new(AtomicBool::new(false));
    let behaviour: Behaviour = {
        let (record, named_at, in_need) = (record.clone(), named_at.clone(), in_need.clone());
        Arc::new(move |_| {
            let mut action = Action::ok(20);
            if in_need.load(Ordering::Relaxed) {
                action.fields = format!("Server-Limit: {LIMIT:.1}\r\n");
                named_at.lock().unwrap().get_or_insert(record.now());
            }
            action
        })
    };
    let backend = Backend::start(
        record,
        &arrivals,
        ("i-7f3a91c2", "huvo11a", "mcallen", 20),
        behaviour,
    );
    backend.beat(&store, "ready");

    let (_platform, [_frozen, loaded @ ..]) = split::start(record, &store, trouble);
    // No requests go to the first machine: its freeze would excuse them.
    let stop = Arc::new(AtomicBool::new(false));
    let passed = Passed::default();
    let loads: Vec<_> = loaded
        .iter()
        .map(|machine| load(record, machine.front, &machine.name, &passed, &stop))
        .collect();
    thread::sleep(Duration::from_secs(12));
    record.say(&format!(
        "The backend names its limit: {LIMIT} requests a second."
    ));
    in_need.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(20));
    stop.store(true, Ordering::Relaxed);
    for load in loads {
        let _ = load.join();
    }
    backend.beat(&store, "ready");

    let named_at = named_at.lock().unwrap();
    let named_at = named_at.expect("no request reached the backend");
    let passed = passed.lock().unwrap();
    let counted: Vec<f64> = arrivals
        .lock()
        .unwrap()
        .iter()
        .inspect(|arrival| {
            record.add(&format!(
                "{} reached {} at {:.3}",
                arrival.id, arrival.backend, arrival.at
            ));
        })
        .filter(|arrival| {
            let machine = arrival.id.split('/').next().unwrap_or_default();
            let passed_on = passed.get(machine);
            arrival.at >= named_at + SETTLED
                && passed_on.is_some_and(|passed_on| arrival.at >= passed_on + PASSED_ON)
        })
        .map(|arrival| arrival.at)
        .collect();
    let within = |from: f64| {
        let window = counted
            .iter()
            .filter(|at| (from..from + WINDOW).contains(*at));
        window.count()
    };
    let most = counted.iter().map(|at| within(*at)).max().unwrap_or(0);
    record.say(&format!(
        "The limit was first named at {named_at:.3}. Most requests that reached the backend in {WINDOW} s, from {SETTLED} s after that: {most}; the rule allows {BOUND}."
    ));
    most as f64 > BOUND
}
