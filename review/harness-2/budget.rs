//! Two machines are added while one of their seeds stands still; later all backends of a service
//! shed a part of their requests.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::limit;
use crate::parts::{Action, Arrivals, Backend, Behaviour, Record, Store, call};
use crate::split;

/// `retry_budget_ratio`, `retry_budget_slack` and `budget_window_s`.
const RATIO: f64 = 0.2;
const SLACK: f64 = 64.0;
const WINDOW: f64 = 10.0;
/// Requests a second to each machine.
const RATE: f64 = 10.0;
/// Of 20 requests, each backend sheds so many, for so long.
const SHED_OF_20: u32 = 11;
const SHED_TIME: f64 = 8.5;

pub fn run(record: &Record, trouble: bool) -> bool {
    let store = Store::start();
    limit::write_config(&store);
    let arrivals = Arrivals::default();
    let sheds = Arc::new(AtomicBool::new(false));
    let backends: Vec<Backend> = ["i-1", "i-2", "i-3", "i-4"]
        .iter()
        .map(|name| {
            let (number, sheds) = (AtomicU32::new(0), sheds.clone());
            let behaviour: Behaviour = Arc::new(move |_| {
                let number = number.fetch_add(1, Ordering::Relaxed);
                let mut action = Action::ok(20);
                // Spread over the 20: 11 is prime to it.
                if sheds.load(Ordering::Relaxed) && number * 11 % 20 < SHED_OF_20 {
                    action.status = 503;
                    action.not_run = true;
                    action.work = Duration::ZERO;
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
    let (_platform, machines) = split::start(record, &store, trouble);

    let stop = Arc::new(AtomicBool::new(false));
    let loads = machines.each_ref().map(|machine| {
        let (front, name) = (machine.front, machine.name.clone());
        let (record, stop) = (record.clone(), stop.clone());
        thread::spawn(move || {
            let mut next = Instant::now();
            let mut calls = Vec::new();
            for number in 1.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let (id, record) = (format!("{name}/{number}"), record.clone());
                calls.push(thread::spawn(move || {
                    let sent = record.now();
                    let answer = call(front, &limit::request(&id), Duration::from_secs(4));
                    let text = match answer {
                        Ok((head, _)) => head.status().to_string(),
                        Err(error) => error.to_string(),
                    };
                    record.add(&format!("request {id} sent at {sent:.3}: {text}"));
                    sent
                }));
                next += Duration::from_secs_f64(1.0 / RATE);
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
            let sent = calls.into_iter().filter_map(|call| call.join().ok());
            sent.collect::<Vec<f64>>()
        })
    });
    thread::sleep(Duration::from_secs(30));
    record.say("All backends shed 55 of 100 requests.");
    sheds.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs_f64(SHED_TIME));
    sheds.store(false, Ordering::Relaxed);
    record.say("They shed none any more.");
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    let sent: Vec<f64> = loads
        .into_iter()
        .flat_map(|load| load.join().unwrap())
        .collect();

    // The arrivals beyond the first one of each request.
    let mut known = BTreeSet::new();
    let mut repeats = Vec::new();
    for arrival in arrivals.lock().unwrap().iter() {
        let is_repeat = !known.insert(arrival.id.clone());
        record.add(&format!(
            "{} reached {} at {:.3}; a repeat: {is_repeat}",
            arrival.id, arrival.backend, arrival.at
        ));
        if is_repeat {
            repeats.push(arrival.at);
        }
    }
    let count = |times: &[f64], from: f64| {
        let window = times
            .iter()
            .filter(|at| (from..from + WINDOW).contains(*at));
        window.count() as f64
    };
    let allowed = |from: f64| {
        let windows = [from, from - WINDOW / 2.0, from - WINDOW];
        let most = windows.map(|from| count(&sent, from)).into_iter();
        RATIO * most.fold(0.0, f64::max) + SLACK
    };
    let worst = repeats
        .iter()
        .map(|at| (count(&repeats, *at), allowed(*at)))
        .max_by(|a, b| (a.0 - a.1).total_cmp(&(b.0 - b.1)));
    let (most, bound) = worst.unwrap_or((0.0, SLACK));
    record.say(&format!(
        "In the worst {WINDOW} s, {most} arrivals were beyond the first one of their request; the rule allows {bound:.1}."
    ));
    most > bound
}
