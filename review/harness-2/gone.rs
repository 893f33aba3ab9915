//! Requesters that send several `safe` requests behind each other on one connection, and leave.

use std::io::Write as _;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::limit;
use crate::parts::{Action, Arrivals, Backend, Behaviour, Machine, Platform, Record, Store};

/// How long a backend works on a request.
const WORK: f64 = 1.5;
/// When a requester leaves, after it has sent its requests: well before its time limit of 2 s.
const LEAVE: Duration = Duration::from_millis(400);
const REQUESTERS: usize = 20;
/// Requests that each requester sends behind each other.
const PIPELINED: usize = 4;
/// The rule: half a second later.
const LATER: f64 = 0.5;
/// More than a few requests reach a backend later.
const FEW: u32 = 3;
/// More than a quarter of the idempotent requests are still worked on.
const SHARE: f64 = 0.25;

pub fn run(record: &Record, trouble: bool) -> bool {
    let store = Store::start();
    limit::write_config(&store);
    let arrivals = Arrivals::default();
    let behaviour: Behaviour = Arc::new(|_| Action::ok((WORK * 1e3) as u64));
    let backends: Vec<Backend> = ["i-1", "i-2", "i-3"]
        .iter()
        .map(|name| {
            let place = (*name, "huvo11a", "mcallen", 20);
            Backend::start(record, &arrivals, place, behaviour.clone())
        })
        .collect();
    backends
        .iter()
        .for_each(|backend| backend.beat(&store, "ready"));
    let platform = Platform::new(store.address, &[1, 2]);
    let machines = [1, 2].map(|number| platform.start(number, "mcallen", true));
    machines.iter().for_each(Machine::wait_ready);
    thread::sleep(Duration::from_secs(8));

    // Without the trouble, the requesters stay until they have their answers.
    let stay = Duration::from_secs_f64(WORK * PIPELINED as f64 + 2.0);
    let leave = if trouble { LEAVE } else { stay };
    let mut requesters = Vec::new();
    for number in 0..REQUESTERS {
        let (front, record) = (machines[number % 2].front, record.clone());
        requesters.push(thread::spawn(move || {
            let mut stream = TcpStream::connect(front).unwrap();
            let requests: String = (0..PIPELINED)
                .map(|request| limit::request(&format!("c{number}/{request}")))
                .collect();
            stream.write_all(requests.as_bytes()).unwrap();
            record.add(&format!("requester {number} sent {PIPELINED} requests"));
            thread::sleep(leave);
            drop(stream);
            record.add(&format!("requester {number} left"));
            record.now()
        }));
        thread::sleep(Duration::from_millis(450));
    }
    let left: Vec<f64> = requesters
        .into_iter()
        .map(|requester| requester.join().unwrap())
        .collect();
    thread::sleep(Duration::from_secs(6));

    let arrivals = arrivals.lock().unwrap();
    let (mut late, mut lasting, mut at_work) = (0, 0, 0);
    for arrival in arrivals.iter() {
        let number = arrival.id[1..].split('/').next().unwrap_or_default();
        let gone = left[number.parse::<usize>().unwrap()];
        let ended = arrival.ended.unwrap_or(f64::INFINITY);
        record.add(&format!(
            "{} reached {} at {:.3}, {:+.3} s from when its requester left, and was worked on until {ended:.3}, {:+.3} s; cut off: {}",
            arrival.id,
            arrival.backend,
            arrival.at,
            arrival.at - gone,
            ended - gone,
            arrival.cut
        ));
        late += u32::from(arrival.at > gone + LATER);
        if arrival.at <= gone && arrival.at + WORK > gone + LATER {
            lasting += 1;
            at_work += u32::from(ended > gone + LATER);
        }
    }
    record.say(&format!(
        "Requests that reached a backend over {LATER} s after their requester had left: {late}. Of {lasting} that would have lasted until then, backends still worked on {at_work}."
    ));
    late > FEW || f64::from(at_work) > f64::from(lasting) * SHARE
}
