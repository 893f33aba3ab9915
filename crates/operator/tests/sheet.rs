//! The sheet: the formats that spreadsheets export, faults, and what applying it does.

use std::sync::Arc;

use gooseberrydyke_operator::change::{ConfigStep, compare, validate};
use gooseberrydyke_operator::sheet::{SheetFault, parse};
use model::config::{FleetConfig, RetryRule, UpstreamState};
use model::sizes::SlotCount;
use quickcheck::{Gen, QuickCheck};

/// A sheet with one row of each kind and two upstreams.
const VALID_SHEET: &str = "kind,name,service,floor,address,data-centre,slots,prefix,methods,repeat\n\
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

/// Each kind of row must arrive in the configuration. The rows `rule` and `floor` override
/// what the rows of the route and of the service say.
#[test]
fn a_sheet_defines_services_upstreams_routes_rules_and_floors() {
    let config = step(VALID_SHEET).apply(&FleetConfig::empty()).unwrap();
    let service = &config.services[&"rota-view".parse().unwrap()];
    assert_eq!(service.floor, SlotCount::new(3));
    assert_eq!(service.upstreams.len(), 2);
    let route = &config.routes[&"view".parse().unwrap()];
    assert_eq!(route.retry_rule, RetryRule::Always);
    assert_eq!(route.methods, [Arc::from("GET"), Arc::from("HEAD")]);
    assert!(validate(&config).is_empty());
}

/// Spreadsheets export with semicolons, a byte order mark, CRLF line ends, quoted cells or
/// columns in another order, depending on program and locale. All must parse alike.
#[test]
fn export_formats_of_spreadsheets_parse_alike() {
    let semicolons = VALID_SHEET.replace(',', ";");
    let windows = format!("\u{feff}{}", VALID_SHEET.replace('\n', "\r\n"));
    let quoted: String = VALID_SHEET
        .lines()
        .map(|line| {
            line.split(',')
                .map(|cell| format!("\"{cell}\""))
                .collect::<Vec<_>>()
                .join(",")
                + "\n"
        })
        .collect();
    let reversed_columns: String = VALID_SHEET
        .lines()
        .map(|line| line.split(',').rev().collect::<Vec<_>>().join(",") + "\n")
        .collect();
    for text in [semicolons, windows, quoted, reversed_columns] {
        assert_eq!(step(&text), step(VALID_SHEET), "{text}");
    }
}

/// A parser that stops at the first fault makes operators fix a sheet one cell at a time.
/// One run must report all faults, including those that need other rows to detect.
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
    let contains = |row: u64, column: &str, value: &str| {
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
            contains(row, column, value),
            "no fault at row {row}, column {column}: {found:#?}"
        );
    }
    assert!(found.iter().all(|fault| !fault.allowed.is_empty()));
}

/// A damaged file may contain any bytes at any place, such as open quotes or invalid
/// UTF-8. The parser must report faults and not panic.
#[test]
fn arbitrary_bytes_do_not_make_the_parser_panic() {
    fn parse_returns(bytes: Vec<u8>, at: usize) -> bool {
        let mut text = VALID_SHEET.as_bytes().to_vec();
        let at = at % text.len();
        text.splice(at..at, bytes);
        let _ = parse(&text);
        true
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(40, 17))
        .quickcheck(parse_returns as fn(Vec<u8>, usize) -> bool);
}

/// Removing an upstream at once would break the requests that it still runs. A sheet that
/// omits it must only drain it; the next sheet removes it.
#[test]
fn an_omitted_upstream_drains_before_it_is_removed() {
    let first = step(VALID_SHEET).apply(&FleetConfig::empty()).unwrap();
    let shorter = VALID_SHEET
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

/// A service that a sheet omits must drain as well before it is removed. Its floor must not
/// make the configuration invalid while all its upstreams drain.
#[test]
fn an_omitted_service_drains_before_it_is_removed() {
    let first = step(VALID_SHEET).apply(&FleetConfig::empty()).unwrap();
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

/// A sheet may set a floor that its own upstreams cannot meet. Validation must refuse it
/// with both numbers.
#[test]
fn a_configuration_below_its_floor_is_a_fault_with_the_slot_counts() {
    let below_floor = VALID_SHEET.replace("floor,rota-view,,3", "floor,rota-view,,5");
    let config = step(&below_floor).apply(&FleetConfig::empty()).unwrap();
    let faults: Vec<_> = validate(&config).iter().map(ToString::to_string).collect();
    assert!(
        faults[0].contains("4 slots take new work, the floor is 5"),
        "{faults:?}"
    );
}
