//! In a deployment of one zone, the machine that reads the store for the others is cut off from it
//! while the configuration changes.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::limit::request;
use crate::parts::{Action, Arrivals, Backend, Behaviour, Machine, Platform, Record, Store, call};

/// `config_apply_ms`.
const APPLY: f64 = 2.0;
/// How long the machine is cut off.
const CUT: Duration = Duration::from_millis(5_500);

fn write_config(store: &Store, version: &str, service: &str) {
    store.put(
        "config",
        "main",
        &format!(
            r#""spec":{{"version":"{version}","limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"listeners":[{{"host":"jepu9.example","rules":[{{"name":"r-b9wu3fe","kind":"safe","target_latency_ms":600,"priority":2,"match":{{"path_prefix":"/lepu270/"}},"action":{{"service":"{service}","timeout_ms":2000,"max_attempts":2}}}}]}}],
"clusters":[{{"name":"huvo11a","health_path":"/health","max_connections":390,"protocol":"h1","tls":false}},{{"name":"kafi81c","health_path":"/health","max_connections":390,"protocol":"h1","tls":false}}]}},"status":null"#
        ),
    );
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let store = Store::start();
    write_config(&store, "r7", "huvo11a");
    let arrivals = Arrivals::default();
    let behaviour: Behaviour = Arc::new(|_| Action::ok(20));
    let services = [
        ("i-old1", "huvo11a"),
        ("i-old2", "huvo11a"),
        ("i-new1", "kafi81c"),
        ("i-new2", "kafi81c"),
    ];
    let backends = services.map(|(name, service)| {
        let place = (name, service, "mcallen", 20);
        Backend::start(record, &arrivals, place, behaviour.clone())
    });
    let beat = {
        let store = store.clone();
        move || {
            backends
                .iter()
                .for_each(|backend| backend.beat(&store, "ready"));
        }
    };
    beat();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(1_500));
            beat();
        }
    });

    let platform = Platform::new(store.address, &[1, 2, 3]);
    let machines = [1, 2, 3].map(|number| platform.start(number, "mcallen", true));
    machines.iter().for_each(Machine::wait_ready);
    thread::sleep(Duration::from_secs(8));
    let reader = machines
        .iter()
        .position(|machine| platform.reads_store(machine));
    let reader = reader.expect("no machine reads the store");
    record.say(&format!(
        "{} reads the store for the others.",
        machines[reader].name
    ));

    // A request each 50 ms to each of the others.
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
    let others = machines
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != reader);
    let loads: Vec<_> = others
        .map(|(_, machine)| {
            let (front, name) = (machine.front, machine.name.clone());
            let (record, stop, sent) = (record.clone(), stop.clone(), sent.clone());
            thread::spawn(move || {
                for number in 1.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("{name}/{number}");
                    sent.lock().unwrap().insert(id.clone(), record.now());
                    let answer = call(front, &request(&id), Duration::from_secs(3));
                    let text = match answer {
                        Ok((head, _)) => head.status().to_string(),
                        Err(error) => error.to_string(),
                    };
                    record.add(&format!("request {id}: {text}"));
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if trouble {
        store.cut(Some(machines[reader].process()));
        record.say("It is cut off from the store, silently.");
        thread::sleep(Duration::from_millis(200));
    }
    write_config(&store, "r8", "kafi81c");
    let acked = record.now();
    record.say("A configuration is acknowledged: the route leads to another service.");
    thread::sleep(CUT);
    store.cut(None);
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for load in loads {
        let _ = load.join();
    }

    let sent = sent.lock().unwrap();
    let (mut late, mut last) = (0, f64::NEG_INFINITY);
    for arrival in arrivals.lock().unwrap().iter() {
        let after = sent[&arrival.id] - acked;
        record.add(&format!(
            "{} was sent {after:+.3} s from the ack and run by {}",
            arrival.id, arrival.backend
        ));
        if arrival.backend.starts_with("i-old") {
            last = last.max(after);
            late += u32::from(after > APPLY);
        }
    }
    record.say(&format!(
        "Requests sent more than {APPLY} s after the ack and run by the old service: {late}. The last request that it ran was sent {last:+.3} s from the ack."
    ));
    late > 0
}
