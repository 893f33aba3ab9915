//! UNASKED: requests whose ids hold characters beyond letters, digits and a few others.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::backend::{self, Conduct, Runs};
use crate::gateway::Fleet;
use crate::store::{self, Store};
use crate::{Setup, http};

const IDS: [&str; 3] = [
    "9c41d07be2a35f68",
    "550e8400-e29b-41d4-a716-446655440000",
    "r.1:22_a",
];
/// Ids in common forms: Base64, and the trace id of a load balancer.
const OTHER_IDS: [&str; 3] = [
    "nEHQe+KjX2i/8w==",
    "Root=1-67891233-abcdef012345678912345678",
    "desk7/order+1184",
];

pub fn run(setup: &Setup) -> io::Result<bool> {
    let record = &setup.record;
    let runs = Runs::default();
    let store = Store::start()?;
    let rule = store::rule("orders", "unsafe", "/orders/", "orders", 2000);
    let listeners = format!(r#"{{"host":"a.example","rules":[{rule}]}}"#);
    store.put(
        "config",
        "main",
        &store::configuration(7, &listeners, &["orders"]),
    );
    for name in ["i-1", "i-2"] {
        let conduct: Conduct = Arc::new(|exchange| exchange.run(""));
        let address = backend::start(name, &runs, conduct)?;
        store.put(
            "servers",
            name,
            &store::entry(address, "orders", "ikeja", 4, "ready"),
        );
    }
    let fleet = Fleet::new(store.address, 1)?;
    let gateways = fleet.start_all()?;
    thread::sleep(Duration::from_secs(4));
    let others = if setup.trouble { &OTHER_IDS[..] } else { &[] };
    let sent: Vec<&str> = IDS.iter().chain(others).copied().collect();
    for id in &sent {
        let text = http::request("POST", "a.example", "/orders/7", id, 2000);
        let answer = http::call(gateways[0].front, &text, Duration::from_secs(4))?;
        record.say(format!(
            "sent {id}; answered {} with id {:?}",
            answer.head.status(),
            answer.head.get("x-request-id")
        ));
    }
    let mut is_kept = true;
    for run in runs.lock().unwrap().iter() {
        let id = run.head.get("x-request-id").unwrap_or_default();
        let is_known = sent.contains(&id);
        is_kept &= is_known;
        let verdict = if is_known {
            "sent by a requester"
        } else {
            "SENT BY NO REQUESTER"
        };
        record.say(format!(
            "{} ran {} with id {id}: {verdict}",
            run.backend, run.head.start
        ));
    }
    Ok(is_kept)
}
