//! Parses a sheet and reports all of its faults at once.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use model::config::{RetryRule, Route, RouteOptions, Service, Upstream, UpstreamState};
use model::{ids, sizes};

use super::row::{SheetFault, SheetRow};
use crate::change::ConfigStep;

/// The byte order mark with which some spreadsheets begin an export.
const BYTE_ORDER_MARK: &str = "\u{feff}";

/// All columns that a sheet may have.
const COLUMNS: [&str; 19] = [
    "kind",
    "name",
    "service",
    "profile",
    "floor",
    "deadline",
    "queue",
    "workspace-limit",
    "shed-is-not-run",
    "key-retention",
    "probe-path",
    "address",
    "data-centre",
    "slots",
    "state",
    "host",
    "prefix",
    "methods",
    "repeat",
];

/// The services, upstreams and routes that a sheet defines.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sheet {
    services: BTreeMap<ids::ServiceId, Service>,
    routes: BTreeMap<ids::RouteId, Route>,
}

impl Sheet {
    /// The change that makes the configuration match the sheet.
    pub fn into_step(self) -> ConfigStep {
        ConfigStep::ApplySheet {
            services: self.services.into_values().collect(),
            routes: self.routes.into_values().collect(),
        }
    }
}

/// Parses a sheet from the bytes of a CSV file.
///
/// # Errors
/// All faults, sorted by row, each with its column, its value and what is allowed.
///
/// # Examples
/// ```
/// let text = "kind,name,service,floor,address,data-centre,slots,prefix\n\
///     service,rota-view,,2,,,,\n\
///     upstream,view-1,rota-view,,127.0.0.1:9001,mcallen,2,\n\
///     route,view,rota-view,,,,,/view\n";
/// assert!(gooseberrydyke_operator::sheet::parse(text.as_bytes()).is_ok());
/// ```
pub fn parse(bytes: &[u8]) -> Result<Sheet, Vec<SheetFault>> {
    let text = String::from_utf8_lossy(bytes);
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(&text);
    let mut faults = Vec::new();
    let rows = read_rows(text, &mut faults);
    let mut sheet = Sheet::default();
    // Items are added after the items that they refer to, so that rows may be in any order.
    for kind in ["service", "floor", "upstream", "route", "rule"] {
        for (number, cells) in rows.iter().filter(|(_, cells)| kind_of(cells) == kind) {
            let cells = cells
                .iter()
                .map(|(name, cell)| (name.as_str(), cell.as_str()))
                .collect();
            let row = SheetRow {
                number: *number,
                cells,
                faults: &mut faults,
            };
            sheet.add_row(kind, row);
        }
    }
    if faults.is_empty() {
        return Ok(sheet);
    }
    faults.sort_by_key(|fault| fault.row);
    Err(faults)
}

type Cells = HashMap<String, String>;

fn kind_of(cells: &Cells) -> String {
    cells
        .get("kind")
        .map(|kind| kind.trim().to_ascii_lowercase())
        .unwrap_or_default()
}

fn read_rows(text: &str, faults: &mut Vec<SheetFault>) -> Vec<(u64, Cells)> {
    let mut reader = csv::ReaderBuilder::new()
        .delimiter(separator_of(text))
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let mut fault = |row, column: &str, value: &str, allowed: &str| {
        let (column, value, allowed) = (column.into(), value.into(), allowed.into());
        faults.push(SheetFault {
            row,
            column,
            value,
            allowed,
        });
    };
    let header: Vec<String> = match reader.headers() {
        Ok(header) => header.iter().map(str::to_ascii_lowercase).collect(),
        Err(error) => {
            fault(1, "", "", &error.to_string());
            return Vec::new();
        }
    };
    for (index, name) in header.iter().enumerate() {
        if !COLUMNS.contains(&name.as_str()) && !name.is_empty() {
            fault(
                1,
                name,
                name,
                &format!("is not a column; columns are {}", COLUMNS.join(", ")),
            );
        }
        if header[..index].contains(name) && !name.is_empty() {
            fault(1, name, name, "the header has this column twice");
        }
    }
    for required in ["kind", "name"] {
        if !header.iter().any(|name| name == required) {
            fault(1, required, "", "the column is missing");
        }
    }
    let mut rows = Vec::new();
    for record in reader.records() {
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                fault(
                    error.position().map_or(0, csv::Position::line),
                    "",
                    "",
                    &error.to_string(),
                );
                continue;
            }
        };
        if record.iter().all(str::is_empty) {
            continue;
        }
        let number = record.position().map_or(0, csv::Position::line);
        let surplus = record
            .iter()
            .skip(header.len())
            .any(|cell| !cell.is_empty());
        if surplus {
            fault(number, "", "", "the row has more cells than the header");
        }
        let cells: Cells = header
            .iter()
            .cloned()
            .zip(record.iter().map(str::to_owned))
            .collect();
        let kind = kind_of(&cells);
        if !["service", "floor", "upstream", "route", "rule"].contains(&kind.as_str()) {
            fault(
                number,
                "kind",
                &kind,
                "one of: service, upstream, route, rule, floor",
            );
            continue;
        }
        rows.push((number, cells));
    }
    rows
}

/// The separator that occurs more often in the header; a comma if both are as frequent.
fn separator_of(text: &str) -> u8 {
    let header = text.lines().next().unwrap_or_default();
    let count = |separator| header.matches(separator).count();
    if count(';') > count(',') { b';' } else { b',' }
}

impl Sheet {
    fn add_row(&mut self, kind: &str, mut row: SheetRow<'_>) {
        match kind {
            "service" => self.add_service(&mut row),
            "floor" => self.set_floor(&mut row),
            "upstream" => self.add_upstream(&mut row),
            "route" => self.add_route(&mut row),
            _ => self.set_retry_rule(&mut row),
        }
    }

    fn add_service(&mut self, row: &mut SheetRow<'_>) {
        let Some(id) = row.required::<ids::ServiceId>("name") else {
            return;
        };
        let mut service = Service::new(id.clone(), sizes::SlotCount::new(0));
        service.profile = row.optional_or("profile", service.profile);
        service.floor = row.optional_or("floor", service.floor);
        service.deadline = row.optional_or("deadline", service.deadline);
        service.queue = row.optional_or("queue", service.queue);
        service.workspace_limit = row.optional_or("workspace-limit", service.workspace_limit);
        service.shed_is_not_run = row.optional_or("shed-is-not-run", service.shed_is_not_run);
        service.key_retention = row.optional_or("key-retention", service.key_retention);
        if let Some(path) = row.text("probe-path") {
            service.probe_path = path.into();
        }
        if self.services.insert(id, service).is_some() {
            row.fault("name", "another row defines the same service");
        }
    }

    fn set_floor(&mut self, row: &mut SheetRow<'_>) {
        let floor = row.required::<sizes::SlotCount>("floor");
        let Some(id) = row.required::<ids::ServiceId>("name") else {
            return;
        };
        match (self.services.get_mut(&id), floor) {
            (Some(service), Some(floor)) => service.floor = floor,
            (None, _) => row.fault("name", "no row defines this service"),
            (Some(_), None) => {}
        }
    }

    fn add_upstream(&mut self, row: &mut SheetRow<'_>) {
        let id = row.required::<ids::UpstreamId>("name");
        let service = row.required::<ids::ServiceId>("service");
        let address = row.required("address");
        let data_centre = row.required("data-centre");
        let slots = row.required::<sizes::SlotCount>("slots");
        let state = row.optional_or("state", UpstreamState::Active);
        let (Some(id), Some(service), Some(address), Some(data_centre), Some(slots)) =
            (id, service, address, data_centre, slots)
        else {
            return;
        };
        let duplicate = self
            .services
            .values()
            .any(|s| s.upstreams.iter().any(|up| up.id == id));
        if duplicate {
            return row.fault("name", "another row defines the same upstream");
        }
        let Some(service) = self.services.get_mut(&service) else {
            return row.fault("service", "no row defines this service");
        };
        service.upstreams.push(Upstream {
            id,
            address,
            data_centre,
            slots,
            state,
            instance: None,
        });
        service.upstreams.sort_by(|a, b| a.id.cmp(&b.id));
    }

    fn add_route(&mut self, row: &mut SheetRow<'_>) {
        let id = row.required::<ids::RouteId>("name");
        let service = row.required::<ids::ServiceId>("service");
        let prefix = row.text("prefix").map(Arc::<str>::from);
        if !prefix
            .as_deref()
            .is_some_and(|prefix| prefix.starts_with('/'))
        {
            row.fault("prefix", "must be a path that starts with '/'");
        }
        let host = row.text("host").map(Arc::<str>::from);
        let methods = read_methods(row);
        let retry_rule = row.optional_or("repeat", RetryRule::SafeMethods);
        let (Some(id), Some(service), Some(prefix)) = (id, service, prefix) else {
            return;
        };
        if !self.services.contains_key(&service) {
            return row.fault("service", "no row defines this service");
        }
        let route = Route {
            id: id.clone(),
            host,
            prefix,
            methods,
            service: Some(service),
            retry_rule,
            options: RouteOptions::default(),
        };
        if self.routes.insert(id, route).is_some() {
            row.fault("name", "another row defines the same route");
        }
    }

    fn set_retry_rule(&mut self, row: &mut SheetRow<'_>) {
        let retry_rule = row.required::<RetryRule>("repeat");
        let Some(id) = row.required::<ids::RouteId>("name") else {
            return;
        };
        match (self.routes.get_mut(&id), retry_rule) {
            (Some(route), Some(retry_rule)) => route.retry_rule = retry_rule,
            (None, _) => row.fault("name", "no row defines this route"),
            (Some(_), None) => {}
        }
    }
}

fn read_methods(row: &mut SheetRow<'_>) -> Vec<Arc<str>> {
    let text = row.text("methods").unwrap_or_default().to_owned();
    let names: Vec<_> = text
        .split_whitespace()
        .map(str::to_ascii_uppercase)
        .collect();
    if names
        .iter()
        .any(|name| http::Method::from_bytes(name.as_bytes()).is_err())
    {
        row.fault("methods", "must be HTTP methods separated by spaces");
    }
    names.into_iter().map(Arc::from).collect()
}
