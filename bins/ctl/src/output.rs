//! Tables for people, JSON for programs.

use std::time::{Duration, UNIX_EPOCH};

use operator::api::wire::{AuditAnswer, ChangeAnswer, IssuedToken, Listing, StatusAnswer};
use serde_json::json;

use crate::explain::RequestStory;

/// Prints answers.
pub(crate) struct Output {
    pub(crate) json: bool,
}

impl Output {
    pub(crate) fn line(&self, text: &str) {
        if !self.json {
            println!("{text}");
        }
    }

    /// Prints an answer as JSON when that is wanted; tells whether it did.
    fn as_json<T: serde::Serialize>(&self, answer: &T) -> bool {
        if self.json {
            println!("{}", serde_json::to_string(answer).unwrap_or_default());
        }
        self.json
    }

    pub(crate) fn status(&self, status: &StatusAnswer) {
        if self.as_json(status) {
            return;
        }
        let StatusAnswer {
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
            let names = missing.ejected.keys().map(|id| format!("{id} ejected"));
            let names = names.chain(missing.ramping.keys().map(|id| format!("{id} ramping")));
            let names = names.chain(missing.leaving.keys().map(|id| format!("{id} leaving")));
            table.row(&[
                service.service.to_string(),
                service.upstreams.to_string(),
                service.active_slots.to_string(),
                service.healthy_slots.to_string(),
                service.floor.to_string(),
                names.collect::<Vec<_>>().join(", "),
            ]);
        }
        table.print();
    }

    pub(crate) fn audit(&self, audit: &AuditAnswer) {
        if self.as_json(audit) {
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

    pub(crate) fn listing(&self, listing: &Listing) {
        if self.as_json(listing) {
            return;
        }
        if !listing.services.is_empty() {
            let mut table = Table::new(&["service", "profile", "floor", "deadline", "upstreams"]);
            for service in &listing.services {
                table.row(&[
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
            for up in &listing.upstreams {
                table.row(&[
                    up.id.to_string(),
                    up.address.to_string(),
                    up.data_centre.to_string(),
                    up.slots.to_string(),
                    up.state.to_string(),
                ]);
            }
            table.print();
        }
        if !listing.routes.is_empty() {
            let mut table =
                Table::new(&["route", "host", "prefix", "methods", "service", "repeat"]);
            for route in &listing.routes {
                table.row(&[
                    route.id.to_string(),
                    route.host.as_deref().unwrap_or("any").to_owned(),
                    route.prefix.to_string(),
                    if route.methods.is_empty() {
                        "any".to_owned()
                    } else {
                        route.methods.join(" ")
                    },
                    route.service.to_string(),
                    route.retry_rule.to_string(),
                ]);
            }
            table.print();
        }
        if !listing.workspaces.is_empty() {
            let mut table = Table::new(&["workspace", "limit"]);
            for space in &listing.workspaces {
                let limit = space
                    .limit
                    .map_or_else(|| "service's".to_owned(), |l| l.to_string());
                table.row(&[space.id.to_string(), limit]);
            }
            table.print();
        }
    }

    pub(crate) fn plan(&self, plan: &ChangeAnswer) {
        if self.as_json(plan) {
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

    pub(crate) fn change(&self, change: &ChangeAnswer) {
        if self.as_json(change) {
            return;
        }
        for line in &change.differences {
            println!("{line}");
        }
        if change.differences.is_empty() {
            println!(
                "Nothing differs; generation {} stays in force.",
                change.generation
            );
        } else {
            println!("Accepted as generation {}.", change.generation);
        }
    }

    pub(crate) fn story(&self, story: &RequestStory) {
        let conclusions = story.conclude();
        if self.json {
            let lines: Vec<_> = story
                .lines
                .iter()
                .map(|line| {
                    let time = humantime::format_rfc3339_millis(line.time).to_string();
                    json!({"time": time, "part": line.part, "message": line.message, "facts": line.facts})
                })
                .collect();
            println!("{}", json!({"lines": lines, "conclusions": conclusions}));
            return;
        }
        for line in &story.lines {
            println!("{}", line.show(story.start));
        }
        println!();
        for sentence in conclusions {
            println!("{sentence}");
        }
    }

    pub(crate) fn token(&self, issued: &IssuedToken) {
        if !self.as_json(issued) {
            println!("{}", issued.token);
        }
    }
}

/// A table whose columns are as wide as their longest cell.
struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    fn new(header: &[&str]) -> Self {
        Self {
            rows: vec![header.iter().map(|name| (*name).to_owned()).collect()],
        }
    }

    fn row(&mut self, cells: &[String]) {
        self.rows.push(cells.to_vec());
    }

    fn print(&self) {
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
