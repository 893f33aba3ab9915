//! Routing, limits, queues, membership and the assignment of shared jobs.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::{CENTRES, name, service};
use gooseberrydyke_policy::limit::{AdaptiveLimit, RequestQueue};
use gooseberrydyke_policy::membership::{Member, MemberTable};
use gooseberrydyke_policy::retry::RetryBudget;
use gooseberrydyke_policy::routing::RouteTable;
use model::call::CallHead;
use model::config::{FleetConfig, RetryRule, Route, RouteOptions, WeightedService};
use model::sizes::{Generation, NodeCapacity, RequestCount, Share, SlotCount};
use tokio::time::{self, Instant};

fn head(method: &str, host: &str, target: &str) -> CallHead {
    CallHead {
        method: method.parse().unwrap(),
        target: target.parse().unwrap(),
        host: host.into(),
        headers: http::HeaderMap::new(),
        workspace: None,
        credential: None,
        idempotency_key: None,
        request_id: None,
        timeout: None,
    }
}

fn table(routes: &[(&str, Option<&str>, &str, &[&str])]) -> RouteTable {
    let service = service(1, 1, 0);
    let mut config = FleetConfig {
        generation: Generation::new(1),
        ..FleetConfig::empty()
    };
    config
        .services
        .insert(service.id.clone(), Arc::clone(&service));
    for (id, host, prefix, methods) in routes {
        let route = Route {
            id: name(id),
            host: host.map(Arc::from),
            prefix: (*prefix).into(),
            methods: methods.iter().map(|method| Arc::from(*method)).collect(),
            service: Some(service.id.clone()),
            retry_rule: RetryRule::SafeMethods,
            options: RouteOptions::default(),
        };
        config.routes.insert(route.id.clone(), Arc::new(route));
    }
    RouteTable::build(&config)
}

fn matched_route(table: &RouteTable, head: &CallHead) -> Option<String> {
    table.find(head).map(|matched| matched.route.id.to_string())
}

/// A request that several routes match must take the same one at every node.
#[test]
fn routes_have_a_total_order() {
    let table = table(&[
        ("all", None, "/", &[]),
        ("stock", None, "/stock", &[]),
        ("stock-get", None, "/stock", &["GET"]),
        ("stock-deep", None, "/stock/list", &[]),
        ("member", Some("Members.example"), "/", &[]),
    ]);
    let find = |method, host, target| matched_route(&table, &head(method, host, target)).unwrap();
    assert_eq!(find("GET", "any", "/stock?page=2"), "stock-get");
    assert_eq!(find("POST", "any", "/stock"), "stock");
    assert_eq!(find("GET", "any", "/stock/list/7"), "stock-deep");
    assert_eq!(find("GET", "any", "/stocks"), "all");
    assert_eq!(find("GET", "members.EXAMPLE:8080", "/stock"), "member");
}

/// A route for another path or method must not be used for a request.
#[test]
fn a_request_without_a_route_finds_none() {
    let table = table(&[("view", None, "/view", &["GET"])]);
    assert_eq!(matched_route(&table, &head("GET", "h", "/other")), None);
    assert_eq!(matched_route(&table, &head("POST", "h", "/view")), None);
}

/// A request must not go to a service whose route does not begin its path. "Every prefix begins
/// and ends with a slash", and the longest one that begins the path is selected.
#[test]
fn a_prefix_with_a_slash_matches_only_paths_that_it_begins() {
    let table = table(&[
        ("root", Some("a"), "/", &[]),
        ("orders", Some("a"), "/orders/", &[]),
        ("late", Some("a"), "/orders/late/", &[]),
        ("empty", Some("a"), "/orders//", &[]),
        ("only", Some("b"), "/orders/", &[]),
    ]);
    let cases: [(&str, &str, Option<&str>); 26] = [
        ("a", "/orders/", Some("orders")),
        ("a", "/orders/7", Some("orders")),
        ("a", "/orders/?item=7", Some("orders")),
        ("a", "/orders", Some("root")),
        ("a", "/orders?item=7", Some("root")),
        ("a", "/orders?path=/orders/", Some("root")),
        ("a", "/ordersx", Some("root")),
        ("a", "/orders/late", Some("orders")),
        ("a", "/orders/late/", Some("late")),
        ("a", "/orders/late/7", Some("late")),
        ("a", "/orders//7", Some("empty")),
        ("a", "/orders/late//7", Some("late")),
        ("a", "//orders/7", Some("root")),
        ("a", "/./orders/7", Some("root")),
        ("a", "/orders/../stock/7", Some("orders")),
        ("a", "/orders%2F7", Some("root")),
        ("a", "/orders/%2E%2E/7", Some("orders")),
        ("a", "/%6Frders/7", Some("root")),
        ("a", "/Orders/7", Some("root")),
        ("a", "/?x=/orders/", Some("root")),
        ("a", "*", None),
        ("b", "/orders/7", Some("only")),
        ("b", "/orders", None),
        ("b", "/orders?item=7", None),
        ("b", "//orders/7", None),
        ("b", "/", None),
    ];
    for (host, target, expected) in cases {
        let found = matched_route(&table, &head("POST", host, target));
        assert_eq!(found.as_deref(), expected, "{host} {target}");
    }
}

/// A full queue must stay within its capacity, and a waiter whose deadline has passed
/// must not be sent.
#[tokio::test(start_paused = true)]
async fn a_full_queue_drops_the_earliest_deadline_and_pops_in_order() {
    let mut queue = RequestQueue::new(RequestCount::new(2));
    let at = |millis| Instant::now() + Duration::from_millis(millis);
    assert_eq!(queue.push(at(300), "a"), None);
    assert_eq!(queue.push(at(100), "b"), None);
    assert_eq!(queue.push(at(200), "c"), Some("b"));
    time::advance(Duration::from_millis(250)).await;
    let popped = queue.pop(Instant::now());
    assert_eq!((popped.next, popped.expired), (Some("a"), vec![]));
    assert_eq!(queue.expire(Instant::now()), ["c"]);
    assert!(queue.is_empty());
}

/// A limit that rose while it was not used up would no longer bound the requests in
/// flight.
#[tokio::test(start_paused = true)]
async fn a_limit_rises_when_it_is_used_up_and_falls_on_overload() {
    let mut limit = AdaptiveLimit::new(SlotCount::new(4));
    for _ in 0..100 {
        limit.on_success(0);
    }
    assert!(
        (limit.get() - 4.0).abs() < f64::EPSILON,
        "the limit rose although it was not used up"
    );
    for _ in 0..100 {
        limit.on_success(100);
    }
    assert!(limit.get() > 8.0 && limit.get() <= 16.0);
    for _ in 0..50 {
        time::advance(Duration::from_millis(200)).await;
        limit.on_overload(Instant::now());
    }
    assert!(limit.has_room(0) && !limit.has_room(1));
}

/// A message that a node sent before it began to leave and that arrives later must not give it
/// its jobs back: it hands out nothing more.
#[test]
fn a_late_message_does_not_undo_that_a_node_leaves() {
    let mut table = MemberTable::new(member(0));
    let now = Instant::now();
    let early = member(1);
    table.record_contact(now, early.clone());
    let leaving = Member {
        leaving: true,
        ..member(1)
    };
    table.record_contact(now, leaving);
    let later = now + Duration::from_secs(2);
    assert!(!table.record_contact(later, early));
    assert!(table.find(&member(1).node).unwrap().leaving);
    assert!(table.is_leaving(later, &member(1).node));
}

/// A gateway keeps its name when it restarts. If its leaving were final, a planned restart would
/// take its roles for good, and nodes that started later would choose other relays.
#[test]
fn a_node_that_comes_back_under_its_name_gets_its_jobs_back() {
    let mut table = MemberTable::new(member(0));
    let now = Instant::now();
    let leaving = Member {
        leaving: true,
        ..member(1)
    };
    table.record_contact(now, member(1));
    table.record_contact(now, leaving.clone());
    assert_eq!(table.available(now).len(), 1);
    let later = now + Duration::from_secs(4);
    assert!(table.record_contact(later, member(1)));
    assert_eq!(table.available(later).len(), 2);

    // Its next stop counts again, and one that was reported by others ends without a contact.
    table.record_contact(later, leaving.clone());
    assert_eq!(table.available(later).len(), 1);
    let mut table = MemberTable::new(member(0));
    table.add_reported(now, leaving);
    assert_eq!(table.available(later).len(), 1);
    assert_eq!(table.available(now + Duration::from_mins(2)).len(), 2);
}

/// Without the budget, retries would multiply the load of a service that fails.
#[test]
fn ten_requests_allow_one_retry() {
    let mut budget = RetryBudget::default();
    while budget.spend(Instant::now()) {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.spend(Instant::now()));
    }
    assert!((99..=100).contains(&retries), "{retries}");
}

fn member(number: usize) -> Member {
    Member {
        node: name(&format!("node-{number}")),
        address: ([127, 0, 0, 1], 7400).into(),
        data_centre: name(CENTRES[number % 3]),
        leaving: false,
        capacity: NodeCapacity::default(),
    }
}

fn members(count: usize) -> MemberTable {
    let mut table = MemberTable::new(member(0));
    table.replace((0..count).map(member).collect());
    table
}

/// Nodes that know the same members must select the same collector. An unresponsive node
/// must lose its jobs, but only for a while.
#[tokio::test(start_paused = true)]
async fn nodes_with_the_same_view_agree_and_an_unresponsive_node_is_skipped() {
    let now = Instant::now();
    let mut table = members(48);
    let service = name("stocklist");
    let data_centre = name("lekki");
    let first = table.collector(now, &service, &data_centre).unwrap();
    assert_eq!(first.data_centre, data_centre);
    assert_eq!(
        members(48).collector(now, &service, &data_centre).unwrap(),
        first
    );
    table.mark_suspect(now, &first.node);
    assert_ne!(table.collector(now, &service, &data_centre).unwrap(), first);
    time::advance(Duration::from_secs(11)).await;
    assert_eq!(
        table
            .collector(Instant::now(), &service, &data_centre)
            .unwrap(),
        first
    );
}

/// A node is known as soon as it makes contact. A later member list without it must
/// remove it.
#[test]
fn a_node_that_makes_contact_is_known_until_the_next_member_list() {
    let mut table = members(3);
    assert!(table.record_contact(Instant::now(), member(7)));
    assert!(!table.record_contact(Instant::now(), member(7)));
    assert!(table.find(&name("node-7")).is_some());
    table.replace((0..3).map(member).collect());
    assert!(table.find(&name("node-7")).is_none());
}

/// A node that shuts down must leave its shared jobs to others before it stops.
#[tokio::test(start_paused = true)]
async fn a_leaving_node_gives_up_its_jobs() {
    let now = Instant::now();
    let mut table = members(6);
    table.mark_leaving();
    assert!(!table.is_config_relay(now));
    assert!((0..50).all(|number| !table.is_collector(now, &name(&format!("s{number}")))));
    assert_eq!(table.len(), 6);
}

/// No node must do a large part of the shared jobs, and when a node leaves, the jobs of
/// the others must not move.
#[tokio::test(start_paused = true)]
async fn jobs_are_spread_evenly_and_few_move_when_a_node_leaves() {
    let now = Instant::now();
    let table = members(49);
    let smaller = members(48);
    let mut load: BTreeMap<_, usize> = BTreeMap::new();
    let mut moved = 0;
    for shard in 0..400 {
        let before = table
            .collector(now, &name(&format!("s{shard}")), &name("ikeja"))
            .unwrap();
        let after = smaller
            .collector(now, &name(&format!("s{shard}")), &name("ikeja"))
            .unwrap();
        moved += usize::from(before != after);
        *load.entry(before.node.clone()).or_default() += 1;
    }
    assert!(moved < 60, "{moved} of 400 moved");
    assert!(load.values().all(|jobs| *jobs < 70), "{load:?}");
}

/// A share whose service does not exist must not get requests or distort the split
/// between the others.
#[test]
fn a_weighted_route_splits_requests_by_weight() {
    let mut services = [service(1, 1, 0), service(1, 1, 0)].map(|service| service.as_ref().clone());
    services[0].id = name("old");
    services[1].id = name("new");
    let mut config = FleetConfig {
        generation: Generation::new(1),
        ..FleetConfig::empty()
    };
    for service in services {
        config.services.insert(service.id.clone(), service.into());
    }
    let share = |id: &str, weight| WeightedService {
        service: name(id),
        weight,
    };
    let route = Route {
        id: name("split"),
        host: None,
        prefix: "/".into(),
        methods: Vec::new(),
        service: Some(name("old")),
        retry_rule: RetryRule::SafeMethods,
        options: RouteOptions {
            weighted_services: vec![share("old", 90), share("gone", 50), share("new", 10)],
            ..RouteOptions::default()
        },
    };
    config.routes.insert(route.id.clone(), route.into());
    let table = RouteTable::build(&config);
    let matched = table.find(&head("GET", "any", "/x")).unwrap();
    let selected = (0..1_000).filter(|draw| matched.service_for(*draw).unwrap().id == name("new"));
    assert_eq!(selected.count(), 100);
}

/// The snapshot relay and the forwarders send to every node of their data centre, so
/// nodes of low capacity must not be selected.
#[tokio::test(start_paused = true)]
async fn the_snapshot_relay_has_the_highest_capacity_and_the_forwarder_a_high_one() {
    let now = Instant::now();
    let with_capacity = |number: usize, capacity: u32| Member {
        data_centre: name("ikeja"),
        capacity: NodeCapacity::new(capacity),
        ..member(number)
    };
    let weak = (1..20).map(|number| with_capacity(number, 100));
    let middle = (20..25).map(|number| with_capacity(number, 300));
    let strong = (25..27).map(|number| with_capacity(number, 500));
    let members: Vec<_> = weak.chain(middle).chain(strong).collect();
    for own in 0..3 {
        let mut table = MemberTable::new(Member {
            data_centre: name("lekki"),
            ..member(100 + own)
        });
        table.replace(members.clone());
        let relay = table.snapshot_relay(now, &name("ikeja")).unwrap();
        assert_eq!(relay.capacity.get(), 500);
        let forwarder = table.remote_forwarder(now, &name("ikeja")).unwrap();
        assert!(forwarder.capacity.get() >= 300, "{forwarder:?}");
        for number in [25, 26] {
            table.mark_suspect(now, &member(number).node);
        }
        let next = table.snapshot_relay(now, &name("ikeja")).unwrap();
        assert_eq!(next.capacity.get(), 300, "unresponsive nodes are skipped");
    }
}

/// A node that is cut off from others of its data centre may not grant their part of a rate
/// limit. One that does not come back must not lower the limit for ever.
#[tokio::test(start_paused = true)]
async fn a_node_grants_only_the_share_of_the_nodes_that_it_reaches() {
    let mut table = members(48);
    assert_eq!(table.reachable_share(Instant::now()), Share::new(1.0));
    let cut_off: Vec<_> = table.local_peers().into_iter().take(8).collect();
    for member in &cut_off {
        table.mark_suspect(Instant::now(), &member.node);
    }
    assert_eq!(table.reachable_share(Instant::now()), Share::new(0.5));
    table.record_contact(Instant::now(), cut_off[0].as_ref().clone());
    assert_eq!(
        table.reachable_share(Instant::now()),
        Share::new(9.0 / 16.0)
    );
    for _ in 0..11 {
        time::advance(Duration::from_mins(1)).await;
        table.mark_suspect(Instant::now(), &cut_off[1].node);
    }
    assert_eq!(table.reachable_share(Instant::now()), Share::new(1.0));
}

/// Every node must draw permits from the same owner, in the upstream's data centre as long as
/// it has a node.
#[tokio::test(start_paused = true)]
async fn the_owner_of_a_limit_is_in_the_data_centre_of_its_upstreams() {
    let now = Instant::now();
    let (service, centre) = (name("stocklist"), name("lekki"));
    let mut table = members(48);
    let owner = table.limit_owner(now, &service, &centre).unwrap();
    assert_eq!(owner.data_centre, centre);
    table.mark_suspect(now, &owner.node);
    let next = table.limit_owner(now, &service, &centre).unwrap();
    assert_ne!(next.node, owner.node);
    assert_eq!(next.data_centre, centre);
    let elsewhere = table.limit_owner(now, &service, &name("kano"));
    assert!(elsewhere.is_some(), "a data centre without nodes");
    let lekki = (0..48)
        .map(member)
        .filter(|node| node.data_centre == centre);
    for member in lekki {
        table.mark_suspect(now, &member.node);
    }
    let unreachable = table.limit_owner(now, &service, &centre);
    assert_eq!(unreachable, None, "its own nodes may still grant permits");
    let later = now + Duration::from_mins(11);
    let gone = table.limit_owner(later, &service, &centre);
    assert!(
        gone.is_some(),
        "suspects are tried again, or have been gone for long"
    );
}
