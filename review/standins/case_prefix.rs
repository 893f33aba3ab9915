//! ROUTE: paths that no prefix of a service's routes begins.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::backend::{self, Conduct, Runs};
use crate::gateway::Fleet;
use crate::store::{self, Store};
use crate::{Setup, http};

/// Host, path, and the services that may run it by the only configuration.
const REQUESTS: [(&str, &str, &[&str]); 4] = [
    ("a.example", "/orders/7", &["orders"]),
    ("a.example", "/stock/7", &["stock"]),
    ("b.example", "/orders/7", &["orders"]),
    ("a.example", "/", &["stock"]),
];
/// The same for paths that `/orders/` does not begin: on the first host `/` begins them, on the
/// second one there is no route for them.
const OTHER_REQUESTS: [(&str, &str, &[&str]); 4] = [
    ("a.example", "/orders", &["stock"]),
    ("a.example", "/orders?item=7", &["stock"]),
    ("b.example", "/orders", &[]),
    ("b.example", "/orders?item=7", &[]),
];

pub fn run(setup: &Setup) -> io::Result<bool> {
    let record = &setup.record;
    let runs = Runs::default();
    let store = Store::start()?;
    let root = store::rule("all", "unsafe", "/", "stock", 2000);
    let orders = store::rule("orders", "unsafe", "/orders/", "orders", 2000);
    let listeners = format!(
        r#"{{"host":"a.example","rules":[{root},{orders}]}},{{"host":"b.example","rules":[{orders}]}}"#
    );
    store.put(
        "config",
        "main",
        &store::configuration(7, &listeners, &["stock", "orders"]),
    );
    for (name, service) in [
        ("i-1", "stock"),
        ("i-2", "stock"),
        ("i-3", "orders"),
        ("i-4", "orders"),
    ] {
        let conduct: Conduct = Arc::new(|exchange| exchange.run(""));
        let address = backend::start(name, &runs, conduct)?;
        store.put(
            "servers",
            name,
            &store::entry(address, service, "ikeja", 4, "ready"),
        );
    }
    let service_of = |backend: &str| if backend < "i-3" { "stock" } else { "orders" };
    let fleet = Fleet::new(store.address, 2)?;
    let gateways = fleet.start_all()?;
    thread::sleep(Duration::from_secs(4));
    let others = if setup.trouble {
        &OTHER_REQUESTS[..]
    } else {
        &[]
    };
    let mut is_kept = true;
    for (machine, gateway) in gateways.iter().enumerate() {
        for (number, (host, target, allowed)) in REQUESTS.iter().chain(others).enumerate() {
            let id = format!("9c41d07be2a3{machine:02}{number:02}");
            let text = http::request("POST", host, target, &id, 2000);
            let answer = http::call(gateway.front, &text, Duration::from_secs(4))?;
            let status = answer.head.status();
            let runs = runs.lock().unwrap();
            let run = runs
                .iter()
                .find(|run| run.head.get("x-request-id") == Some(&id));
            let service = run.map(|run| service_of(&run.backend));
            let is_allowed = service.is_none_or(|service| allowed.contains(&service));
            is_kept &= is_allowed;
            let verdict = if is_allowed {
                "as allowed"
            } else {
                "NOT ALLOWED"
            };
            record.say(format!(
                "{}: POST {host} {target} ({id}) is answered {status}, run by {service:?}, allowed {allowed:?}: {verdict}",
                gateway.name
            ));
        }
    }
    Ok(is_kept)
}
