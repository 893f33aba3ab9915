//! Backends that spoil a few of their answers: these have a `Content-Encoding`, which no requester
//! asked for.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::limit;
use crate::parts::{Action, Arrivals, Backend, Behaviour, Machine, Platform, Record, Store, call};

/// A backend that spoils answers spoils one in so many.
const SPOILED_ONE_IN: u32 = 50;
/// Requests a second to each machine.
const RATE: f64 = 40.0;
const RUN: Duration = Duration::from_secs(25);

pub fn run(record: &Record, trouble: bool) -> bool {
    let store = Store::start();
    limit::write_config(&store);
    let arrivals = Arrivals::default();
    let spoiled = Arc::new(AtomicU32::new(0));
    let backends: Vec<Backend> = ["i-1", "i-2", "i-3", "i-4"]
        .iter()
        .enumerate()
        .map(|(index, name)| {
            let spoils = trouble && index % 2 == 0;
            let (answers, spoiled) = (AtomicU32::new(0), spoiled.clone());
            let behaviour: Behaviour = Arc::new(move |_| {
                let number = answers.fetch_add(1, Ordering::Relaxed) + 1;
                let mut action = Action::ok(20);
                if spoils && number.is_multiple_of(SPOILED_ONE_IN) {
                    spoiled.fetch_add(1, Ordering::Relaxed);
                    action.fields = "Content-Encoding: gzip\r\n".to_owned();
                }
                action
            });
            let place = (*name, "huvo11a", "mcallen", 20);
            Backend::start(record, &arrivals, place, behaviour)
        })
        .collect();
    backends
        .iter()
        .for_each(|backend| backend.beat(&store, "ready"));
    let platform = Platform::new(store.address, &[1, 2]);
    let machines = [1, 2].map(|number| platform.start(number, "mcallen", true));
    machines.iter().for_each(Machine::wait_ready);
    thread::sleep(Duration::from_secs(8));

    let statuses: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let wrong = Arc::new(AtomicU32::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let loads: Vec<_> = machines
        .iter()
        .map(|machine| {
            let (front, name) = (machine.front, machine.name.clone());
            let (record, stop) = (record.clone(), stop.clone());
            let (statuses, wrong) = (statuses.clone(), wrong.clone());
            thread::spawn(move || {
                let mut next = Instant::now();
                let mut calls = Vec::new();
                for number in 1.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("{name}/{number}");
                    let (record, statuses, wrong) =
                        (record.clone(), statuses.clone(), wrong.clone());
                    calls.push(thread::spawn(move || {
                        let fields = "\r\nAccept-Encoding: identity\r\n\r\n";
                        let text = limit::request(&id).replace("\r\n\r\n", fields);
                        let answer = call(front, &text, Duration::from_secs(4));
                        let status = match &answer {
                            Ok((head, _)) => head.status().to_string(),
                            Err(error) => error.to_string(),
                        };
                        *statuses.lock().unwrap().entry(status.clone()).or_default() += 1;
                        let Ok((head, _)) = answer else {
                            return record.add(&format!("request {id}: {status}"));
                        };
                        let coding = head.get("content-encoding").unwrap_or("none");
                        let is_success = (200..300).contains(&head.status());
                        let is_wrong = is_success && coding != "none";
                        wrong.fetch_add(u32::from(is_wrong), Ordering::Relaxed);
                        record.add(&format!(
                            "request {id}: {status}, signature {:?}, content encoding {coding}",
                            head.get("x-backend-signature")
                        ));
                    }));
                    next += Duration::from_secs_f64(1.0 / RATE);
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
                for call in calls {
                    let _ = call.join();
                }
            })
        })
        .collect();
    thread::sleep(RUN);
    stop.store(true, Ordering::Relaxed);
    for load in loads {
        let _ = load.join();
    }
    let wrong = wrong.load(Ordering::Relaxed);
    record.say(&format!(
        "Backends ran {} requests and spoiled {} answers. Requesters got, by status: {:?}. Successes with a content encoding: {wrong}.",
        arrivals.lock().unwrap().len(),
        spoiled.load(Ordering::Relaxed),
        statuses.lock().unwrap()
    ));
    wrong > 0
}
