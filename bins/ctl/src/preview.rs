//! Where a node would send a request now, and why.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;
use ureq::http::Uri;

use crate::client::{self, CommandError};
use crate::flags::Where;
use crate::output::{Output, Table};

/// Bytes that are escaped in a value of a query.
const QUERY_BYTES: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_');

/// Asks a node where it would send a request, and prints its reply.
pub(crate) fn run(command: &Where, output: &Output) -> Result<(), CommandError> {
    let uri: Uri = command
        .url
        .parse()
        .map_err(|error| CommandError::Usage(format!("{}: {error}", command.url)))?;
    let Some(host) = uri.authority() else {
        let detail = format!("{} names no host", command.url);
        return Err(CommandError::Usage(detail));
    };
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let mut values = vec![
        ("method", command.method.as_str()),
        ("host", host.as_str()),
        ("path", path),
    ];
    values.extend(command.workspace.as_deref().map(|name| ("workspace", name)));
    let pairs = values.into_iter().map(|(name, value)| {
        let value = utf8_percent_encode(value, QUERY_BYTES);
        format!("{name}={value}")
    });
    let query = pairs.collect::<Vec<_>>().join("&");
    let page = client::get_page(&command.node, &format!("/where?{query}"))?;
    if output.json {
        println!("{page}");
    } else {
        print(&page);
    }
    Ok(())
}

/// The text of a value of the page; empty for null.
fn text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.1}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}

fn print(page: &Value) {
    for name in ["generation", "route", "service", "workspace", "waiting"] {
        if !page[name].is_null() {
            println!("{name} {}", text(&page[name]));
        }
    }
    let quota = &page["quota"];
    if !quota.is_null() {
        println!(
            "quota {}/s, burst {}: {}",
            text(&quota["rate_per_s"]),
            text(&quota["burst"]),
            quota_state(quota)
        );
    }
    let candidates = page["candidates"].as_array();
    if let Some(candidates) = candidates {
        println!();
        print_candidates(candidates, &page["decision"]);
    }
    println!();
    println!("{}", conclusion(page));
}

fn print_candidates(candidates: &[Value], decision: &Value) {
    let names = [
        "upstream",
        "status",
        "group",
        "in_flight",
        "in_flight_of_other_nodes",
        "limit",
        "has_room",
        "pause_left_s",
    ];
    let mut table = Table::new(&[
        "",
        "upstream",
        "status",
        "group",
        "in flight",
        "elsewhere",
        "limit",
        "room",
        "pause (s)",
    ]);
    for candidate in candidates {
        let is_chosen = candidate["upstream"] == decision["upstream"];
        let mark = if is_chosen { "*" } else { "" };
        let cells = names.iter().map(|name| text(&candidate[*name]));
        let cells: Vec<_> = [mark.to_owned()].into_iter().chain(cells).collect();
        table.add_row(&cells);
    }
    table.print();
}

fn quota_state(quota: &Value) -> String {
    match quota["state"].as_str() {
        Some("within") => "within it at this node".to_owned(),
        Some("over") => format!(
            "over it at this node, last rejection {} s ago",
            text(&quota["rejected_s_ago"])
        ),
        Some("unused") => "no request at this node lately".to_owned(),
        _ => "not enforced at this node".to_owned(),
    }
}

/// The decision as a sentence.
fn conclusion(page: &Value) -> String {
    let decision = &page["decision"];
    let upstream = text(&decision["upstream"]);
    let sentence = match (decision["result"].as_str(), decision["reason"].as_str()) {
        (Some("send"), Some("offer-due")) => {
            format!("It would go to {upstream}, which has had no request for a while.")
        }
        (Some("send"), Some("trial-due")) => {
            format!("It would go to {upstream}, which is avoided, as a trial.")
        }
        (Some("send"), _) => format!(
            "It would go to {upstream}, the least loaded one of those compared in group {}.",
            text(&decision["group"])
        ),
        (Some("wait"), _) => "It would wait: no upstream that may take it has room.".to_owned(),
        (Some("rate-limited"), _) => {
            "It would be rejected: all upstreams have reached their rate limits or pause."
                .to_owned()
        }
        _ => {
            let detail = text(&decision["detail"]);
            let detail = if detail.is_empty() {
                detail
            } else {
                format!(": {detail}")
            };
            format!(
                "It would be rejected with {}{detail}.",
                text(&decision["kind"])
            )
        }
    };
    let over = page["quota"]["state"] == "over";
    let waiting = page["waiting"].as_u64().unwrap_or(0);
    let mut sentences = vec![sentence];
    if over {
        sentences.push("Its quota may reject it before that.".to_owned());
    }
    if waiting > 0 {
        sentences.push(format!(
            "{waiting} requests wait, some of which may go first."
        ));
    }
    sentences.join(" ")
}
