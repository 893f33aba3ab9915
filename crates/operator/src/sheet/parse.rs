//! Reads a sheet and reports all of its faults at once.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use model::config::{RetryRule, Route, RouteOptions, Service, Upstream, UpstreamState};
use model::{ids, sizes};

use super::row::{SheetFault, SheetRow};
use crate::change::ConfigStep;

/// The byte order mark that spreadsheets put in front.
const BYTE_ORDER_MARK: &str = "\u{feff}";

/// Every column that a sheet may have.
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

/// What a sheet states.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sheet {
    services: BTreeMap<ids::ServiceId, Service>,
    routes: BTreeMap<ids::RouteId, Route>,
}

impl Sheet {
    /// The change that brings the fleet into line with the sheet.
    pub fn into_step(self) -> ConfigStep {
        ConfigStep::ApplySheet {
            services: self.services.into_values().collect(),
            routes: self.routes.into_values().collect(),
        }
    }
}

/// Reads a sheet.
///
/// # Errors
/// Every fault, with its row, column, value and what is allowed.
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
    // Services first, so that the order of the rows does not matter.
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
            sheet.take(kind, row);
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
            fault(1, name, name, "stands twice in the header");
        }
    }
    for wanted in ["kind", "name"] {
        if !header.iter().any(|name| name == wanted) {
            fault(1, wanted, "", "the column is missing");
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
        let extra = record
            .iter()
            .skip(header.len())
            .any(|cell| !cell.is_empty());
        if extra {
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

/// The separator that the header uses more.
fn separator_of(text: &str) -> u8 {
    let header = text.lines().next().unwrap_or_default();
    let count = |separator| header.matches(separator).count();
    if count(';') > count(',') { b';' } else { b',' }
}

impl Sheet {
    fn take(&mut self, kind: &str, mut row: SheetRow<'_>) {
        match kind {
            "service" => self.take_service(&mut row),
            "floor" => self.take_floor(&mut row),
            "upstream" => self.take_upstream(&mut row),
            "route" => self.take_route(&mut row),
            _ => self.take_rule(&mut row),
        }
    }

    fn take_service(&mut self, row: &mut SheetRow<'_>) {
        let Some(id) = row.required::<ids::ServiceId>("name") else {
            return;
        };
        let mut service = Service::new(id.clone(), sizes::SlotCount::new(0));
        service.profile = row.or("profile", service.profile);
        service.floor = row.or("floor", service.floor);
        service.deadline = row.or("deadline", service.deadline);
        service.queue = row.or("queue", service.queue);
        service.workspace_limit = row.or("workspace-limit", service.workspace_limit);
        service.shed_is_not_run = row.or("shed-is-not-run", service.shed_is_not_run);
        service.key_retention = row.or("key-retention", service.key_retention);
        if let Some(path) = row.text("probe-path") {
            service.probe_path = path.into();
        }
        if self.services.insert(id, service).is_some() {
            row.fault("name", "the service stands twice");
        }
    }

    fn take_floor(&mut self, row: &mut SheetRow<'_>) {
        let floor = row.required::<sizes::SlotCount>("floor");
        let Some(id) = row.required::<ids::ServiceId>("name") else {
            return;
        };
        match (self.services.get_mut(&id), floor) {
            (Some(service), Some(floor)) => service.floor = floor,
            (None, _) => row.fault("name", "no row states this service"),
            (Some(_), None) => {}
        }
    }

    fn take_upstream(&mut self, row: &mut SheetRow<'_>) {
        let id = row.required::<ids::UpstreamId>("name");
        let service = row.required::<ids::ServiceId>("service");
        let address = row.required("address");
        let data_centre = row.required("data-centre");
        let slots = row.required::<sizes::SlotCount>("slots");
        let state = row.or("state", UpstreamState::Active);
        let (Some(id), Some(service), Some(address), Some(data_centre), Some(slots)) =
            (id, service, address, data_centre, slots)
        else {
            return;
        };
        let twice = self
            .services
            .values()
            .any(|s| s.upstreams.iter().any(|up| up.id == id));
        if twice {
            return row.fault("name", "the upstream stands twice");
        }
        let Some(service) = self.services.get_mut(&service) else {
            return row.fault("service", "no row states this service");
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

    fn take_route(&mut self, row: &mut SheetRow<'_>) {
        let id = row.required::<ids::RouteId>("name");
        let service = row.required::<ids::ServiceId>("service");
        let prefix = row.text("prefix").map(Arc::<str>::from);
        if !prefix
            .as_deref()
            .is_some_and(|prefix| prefix.starts_with('/'))
        {
            row.fault("prefix", "a path that starts with '/'");
        }
        let host = row.text("host").map(Arc::<str>::from);
        let methods = read_methods(row);
        let repeat = row.or("repeat", RetryRule::SafeMethods);
        let (Some(id), Some(service), Some(prefix)) = (id, service, prefix) else {
            return;
        };
        if !self.services.contains_key(&service) {
            return row.fault("service", "no row states this service");
        }
        let route = Route {
            id: id.clone(),
            host,
            prefix,
            methods,
            service,
            retry_rule: repeat,
            options: RouteOptions::default(),
        };
        if self.routes.insert(id, route).is_some() {
            row.fault("name", "the route stands twice");
        }
    }

    fn take_rule(&mut self, row: &mut SheetRow<'_>) {
        let repeat = row.required::<RetryRule>("repeat");
        let Some(id) = row.required::<ids::RouteId>("name") else {
            return;
        };
        match (self.routes.get_mut(&id), repeat) {
            (Some(route), Some(repeat)) => route.retry_rule = repeat,
            (None, _) => row.fault("name", "no row states this route"),
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
        row.fault("methods", "methods separated by spaces");
    }
    names.into_iter().map(Arc::from).collect()
}
