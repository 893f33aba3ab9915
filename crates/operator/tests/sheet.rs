//! The sheet: as spreadsheets export it, with every fault at once.

use std::sync::Arc;

use gooseberrydyke_operator::change::{ConfigStep, compare, validate};
use gooseberrydyke_operator::sheet::{SheetFault, parse};
use model::config::{FleetConfig, RepeatRule, UpstreamState};
use model::sizes::SlotCount;
use quickcheck::{Gen, QuickCheck};

const GOOD: &str = "kind,name,service,floor,address,data-centre,slots,prefix,methods,repeat\n\
    service,rota-view,,2,,,,,,\n\
    upstream,view-1,rota-view,,127.0.0.1:9001,mcallen,2,,,\n\
    upstream,view-2,rota-view,,127.0.0.1:9002,weslaco,2,,,\n\
    route,view,rota-view,,,,,/view,GET HEAD,\n\
    rule,view,,,,,,,,always\n\
    floor,rota-view,,3,,,,,,\n";

fn step(text: &str) -> ConfigStep {
    parse(text.as_bytes()).unwrap().into_step()
}

fn faults(text: &str) -> Vec<SheetFault> {
    parse(text.as_bytes()).unwrap_err()
}

#[test]
fn a_sheet_states_services_upstreams_routes_rules_and_floors() {
    let config = step(GOOD).apply(&FleetConfig::empty()).unwrap();
    let service = &config.services[&"rota-view".parse().unwrap()];
    assert_eq!(service.floor, SlotCount::new(3));
    assert_eq!(service.upstreams.len(), 2);
    let route = &config.routes[&"view".parse().unwrap()];
    assert_eq!(route.repeat, RepeatRule::Always);
    assert_eq!(route.methods, [Arc::from("GET"), Arc::from("HEAD")]);
    assert!(validate(&config).is_empty());
}

#[test]
fn the_ways_in_which_spreadsheets_export_make_no_difference() {
    let semicolons = GOOD.replace(',', ";");
    let windows = format!("\u{feff}{}", GOOD.replace('\n', "\r\n"));
    let quoted: String = GOOD
        .lines()
        .map(|line| {
            line.split(',')
                .map(|cell| format!("\"{cell}\""))
                .collect::<Vec<_>>()
                .join(",")
                + "\n"
        })
        .collect();
    let turned: String = GOOD
        .lines()
        .map(|line| line.split(',').rev().collect::<Vec<_>>().join(",") + "\n")
        .collect();
    for text in [semicolons, windows, quoted, turned] {
        assert_eq!(step(&text), step(GOOD), "{text}");
    }
}

#[test]
fn all_faults_are_reported_with_row_column_value_and_what_is_allowed() {
    let text = "kind,name,service,floor,address,data-centre,slots,prefix,methods,repeat,colour\n\
        service,rota-view,,many,,,,,,,\n\
        upstream,view-1,rota-view,,here,mcallen,2,,,,\n\
        upstream,view-2,nobody,,127.0.0.1:9002,mcallen,2,,,,\n\
        route,view,rota-view,,,,,view,G@T,sometimes,\n\
        lodge,x,,,,,,,,,\n\
        rule,absent,,,,,,,,always,\n";
    let found = faults(text);
    let has = |row: u64, column: &str, value: &str| {
        found
            .iter()
            .any(|f| f.row == row && &*f.column == column && &*f.value == value)
    };
    for (row, column, value) in [
        (1, "colour", "colour"),
        (2, "floor", "many"),
        (3, "address", "here"),
        (4, "service", "nobody"),
        (5, "prefix", "view"),
        (5, "methods", "G@T"),
        (5, "repeat", "sometimes"),
        (6, "kind", "lodge"),
        (7, "name", "absent"),
    ] {
        assert!(
            has(row, column, value),
            "no fault at row {row}, column {column}: {found:#?}"
        );
    }
    assert!(found.iter().all(|fault| !fault.allowed.is_empty()));
}

#[test]
fn no_bytes_make_the_parser_fail_otherwise() {
    fn holds(bytes: Vec<u8>, at: usize) -> bool {
        let mut text = GOOD.as_bytes().to_vec();
        let at = at % text.len();
        text.splice(at..at, bytes);
        let _ = parse(&text);
        true
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(40, 17))
        .quickcheck(holds as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn what_a_sheet_leaves_out_drains_first_and_goes_with_the_next_one() {
    let first = step(GOOD).apply(&FleetConfig::empty()).unwrap();
    let shorter = GOOD
        .lines()
        .filter(|line| !line.contains("view-2"))
        .collect::<Vec<_>>()
        .join("\n");
    let shorter = shorter.replace("floor,rota-view,,3", "floor,rota-view,,2");
    let second = step(&shorter).apply(&first).unwrap();
    let upstream = |config: &FleetConfig| {
        let service = &config.services[&"rota-view".parse().unwrap()];
        service
            .upstreams
            .iter()
            .find(|up| up.id.as_str() == "view-2")
            .map(|up| up.state)
    };
    assert_eq!(upstream(&second), Some(UpstreamState::Draining));
    let third = step(&shorter).apply(&second).unwrap();
    assert_eq!(upstream(&third), None);
    let lines: Vec<_> = compare(&first, &second)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert!(
        lines
            .iter()
            .any(|line| line.starts_with("drains") && line.contains("view-2")),
        "{lines:?}"
    );
}

#[test]
fn a_service_that_is_left_out_drains_before_it_goes() {
    let first = step(GOOD).apply(&FleetConfig::empty()).unwrap();
    let other = "kind,name,floor\nservice,other,0\n";
    let second = step(other).apply(&first).unwrap();
    let service = &second.services[&"rota-view".parse().unwrap()];
    assert!(
        service
            .upstreams
            .iter()
            .all(|up| up.state == UpstreamState::Draining)
    );
    assert!(validate(&second).is_empty(), "{:?}", validate(&second));
    let third = step(other).apply(&second).unwrap();
    assert_eq!(third.services.len(), 1);
}

#[test]
fn a_configuration_under_its_floor_is_a_fault_with_the_figures() {
    let low = GOOD.replace("floor,rota-view,,3", "floor,rota-view,,5");
    let config = step(&low).apply(&FleetConfig::empty()).unwrap();
    let faults: Vec<_> = validate(&config).iter().map(ToString::to_string).collect();
    assert!(
        faults[0].contains("4 slots take new work, the floor is 5"),
        "{faults:?}"
    );
}
