//! Prints results as text and tables, or as JSON.

use std::time::{Duration, UNIX_EPOCH};

use operator::api::wire::{
    AuditResponse, ChangeResponse, ConfigListing, IssuedToken, StatusResponse,
};
use serde_json::{Map, Value, json};

use crate::explain::{self, EndCounts, RequestTimeline, WorkspaceReport};

/// Prints the results of commands to standard output.
pub(crate) struct Output {
    pub(crate) json: bool,
}

impl Output {
    /// Prints a message, unless the output is JSON.
    pub(crate) fn message(&self, text: &str) {
        if !self.json {
            println!("{text}");
        }
    }

    /// Prints a response if the output is JSON; returns whether it is.
    fn print_json<T: serde::Serialize>(&self, response: &T) -> bool {
        if self.json {
            println!("{}", serde_json::to_string(response).unwrap_or_default());
        }
        self.json
    }

    pub(crate) fn status(&self, status: &StatusResponse) {
        if self.print_json(status) {
            return;
        }
        let StatusResponse {
            generation,
            routes,
            workspaces,
            nodes,
            services,
        } = status;
        println!(
            "generation {generation}, {nodes} VMs listed, {routes} routes, {workspaces} workspaces"
        );
        let mut table = Table::new(&[
            "service",
            "upstreams",
            "active",
            "healthy",
            "floor",
            "missing",
        ]);
        for service in services {
            let missing = &service.missing;
            let reasons = missing.ejected.keys().map(|id| format!("{id} ejected"));
            let reasons = reasons.chain(missing.ramping.keys().map(|id| format!("{id} ramping")));
            let reasons = reasons.chain(missing.leaving.keys().map(|id| format!("{id} leaving")));
            table.add_row(&[
                service.service.to_string(),
                service.upstreams.to_string(),
                service.active_slots.to_string(),
                service.healthy_slots.to_string(),
                service.floor.to_string(),
                reasons.collect::<Vec<_>>().join(", "),
            ]);
        }
        table.print();
    }

    pub(crate) fn audit(&self, audit: &AuditResponse) {
        if self.print_json(audit) {
            return;
        }
        for entry in &audit.entries {
            let at = UNIX_EPOCH + Duration::from_millis(entry.at.get());
            let at = humantime::format_rfc3339_seconds(at);
            println!(
                "{} {at} {}: {}",
                entry.generation, entry.operator, entry.summary.action
            );
            for line in &entry.summary.lines {
                println!("    {line}");
            }
        }
    }

    pub(crate) fn listing(&self, listing: &ConfigListing) {
        if self.print_json(listing) {
            return;
        }
        if !listing.services.is_empty() {
            let mut table = Table::new(&["service", "profile", "floor", "deadline", "upstreams"]);
            for service in &listing.services {
                table.add_row(&[
                    service.id.to_string(),
                    service.profile.to_string(),
                    service.floor.to_string(),
                    service.deadline.to_string(),
                    service.upstreams.len().to_string(),
                ]);
            }
            table.print();
        }
        if !listing.upstreams.is_empty() {
            let mut table = Table::new(&["upstream", "address", "data centre", "slots", "state"]);
            for upstream in &listing.upstreams {
                table.add_row(&[
                    upstream.id.to_string(),
                    upstream.address.to_string(),
                    upstream.data_centre.to_string(),
                    upstream.slots.to_string(),
                    upstream.state.to_string(),
                ]);
            }
            table.print();
        }
        if !listing.routes.is_empty() {
            let mut table =
                Table::new(&["route", "host", "prefix", "methods", "service", "repeat"]);
            for route in &listing.routes {
                table.add_row(&[
                    route.id.to_string(),
                    route.host.as_deref().unwrap_or("any").to_owned(),
                    route.prefix.to_string(),
                    if route.methods.is_empty() {
                        "any".to_owned()
                    } else {
                        route.methods.join(" ")
                    },
                    route
                        .service
                        .as_ref()
                        .map_or_else(|| "none".to_owned(), ToString::to_string),
                    route.retry_rule.to_string(),
                ]);
            }
            table.print();
        }
        if !listing.workspaces.is_empty() {
            let mut table = Table::new(&["workspace", "limit"]);
            for workspace in &listing.workspaces {
                let limit = workspace
                    .limit
                    .map_or_else(|| "service's".to_owned(), |limit| limit.to_string());
                table.add_row(&[workspace.id.to_string(), limit]);
            }
            table.print();
        }
    }

    pub(crate) fn plan(&self, plan: &ChangeResponse) {
        if self.print_json(plan) {
            return;
        }
        for line in &plan.differences {
            println!("{line}");
        }
        let count = plan.differences.len();
        println!("{count} differences from generation {}.", plan.generation);
        if count > 0 {
            println!("Apply with --generation {}.", plan.generation);
        }
    }

    pub(crate) fn change(&self, change: &ChangeResponse) {
        if self.print_json(change) {
            return;
        }
        for line in &change.differences {
            println!("{line}");
        }
        if change.differences.is_empty() {
            println!(
                "No differences; generation {} stays in force.",
                change.generation
            );
        } else {
            println!("Accepted as generation {}.", change.generation);
        }
    }

    pub(crate) fn timeline(&self, timeline: &RequestTimeline) {
        let conclusions = timeline.conclusions();
        if self.json {
            let lines: Vec<_> = timeline
                .lines
                .iter()
                .map(|line| {
                    let time = humantime::format_rfc3339_millis(line.time).to_string();
                    json!({"time": time, "part": line.target, "message": line.message, "facts": line.fields})
                })
                .collect();
            println!("{}", json!({"lines": lines, "conclusions": conclusions}));
            return;
        }
        for line in &timeline.lines {
            println!("{}", line.format_relative_to(timeline.start));
        }
        println!();
        for sentence in conclusions {
            println!("{sentence}");
        }
    }

    pub(crate) fn workspace_report(&self, report: &WorkspaceReport) {
        let (conclusion, caveats) = (report.conclusion(), report.caveats());
        let (first, last) = report.span;
        let (first, last) = (explain::format_time(first), explain::format_time(last));
        if self.json {
            let nodes = report.nodes.iter();
            let nodes: Map<_, _> = nodes
                .map(|(node, counts)| (node.clone(), counts_json(counts)))
                .collect();
            let periods = report.periods.iter().map(|period| {
                json!({
                    "node": period.node,
                    "from": period.from.map(explain::format_time),
                    "until": period.until.map(explain::format_time),
                    "refused": period.refused,
                })
            });
            let text = json!({
                "workspace": report.workspace,
                "first": first,
                "last": last,
                "nodes": nodes,
                "total": counts_json(&report.total()),
                "quota_refusals": periods.collect::<Vec<_>>(),
                "conclusion": conclusion,
                "caveats": caveats,
            });
            println!("{text}");
            return;
        }
        println!("workspace {}, {first} to {last}", report.workspace);
        println!();
        let mut table = Table::new(&[
            "node",
            "answered",
            "failed",
            "rejected",
            "by status or kind",
        ]);
        let nodes = report.nodes.iter();
        let nodes = nodes.map(|(node, counts)| (node.as_str(), counts.clone()));
        for (node, counts) in nodes.chain([("all", report.total())]) {
            let statuses = counts.statuses.iter();
            let statuses = statuses.map(|(status, count)| format!("{status}: {count}"));
            let kinds = counts.failures.iter().chain(&counts.rejections);
            let kinds = kinds.map(|(kind, count)| format!("{kind}: {count}"));
            table.add_row(&[
                node.to_owned(),
                counts.answered.to_string(),
                counts.failed.to_string(),
                counts.rejected.to_string(),
                statuses.chain(kinds).collect::<Vec<_>>().join(", "),
            ]);
        }
        table.print();
        println!();
        if !report.periods.is_empty() {
            let mut table = Table::new(&["over its quota at", "from", "until", "rejected"]);
            let time = |time: Option<_>, none: &str| {
                time.map_or_else(|| none.to_owned(), explain::format_time)
            };
            for period in &report.periods {
                let refused = period.refused;
                table.add_row(&[
                    period.node.clone(),
                    time(period.from, "before these lines"),
                    time(period.until, "no end in these lines"),
                    refused.map_or_else(|| "?".to_owned(), |refused| refused.to_string()),
                ]);
            }
            table.print();
            println!();
        }
        println!("{conclusion}");
        for sentence in caveats {
            println!("{sentence}");
        }
    }

    pub(crate) fn token(&self, issued: &IssuedToken) {
        if !self.print_json(issued) {
            println!("{}", issued.token);
        }
    }
}

fn counts_json(counts: &EndCounts) -> Value {
    let statuses = counts.statuses.iter();
    let statuses: Map<_, _> = statuses
        .map(|(status, count)| (status.to_string(), json!(count)))
        .collect();
    json!({
        "answered": counts.answered,
        "failed": counts.failed,
        "rejected": counts.rejected,
        "statuses": statuses,
        "failures": counts.failures,
        "rejections": counts.rejections,
    })
}

/// A text table whose columns are as wide as their longest cell.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(header: &[&str]) -> Self {
        Self {
            rows: vec![header.iter().map(|name| (*name).to_owned()).collect()],
        }
    }

    pub(crate) fn add_row(&mut self, cells: &[String]) {
        self.rows.push(cells.to_vec());
    }

    pub(crate) fn print(&self) {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            self.rows
                .iter()
                .map(|row| row[column].len())
                .max()
                .unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        for row in &self.rows {
            let cells = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"));
            println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
        }
    }
}
