//! What the field does without pooled evidence.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use policy::retry::AttemptEnd;
use tokio::time::Instant;

use super::subject::{Actions, Flight, Subject};
use super::world::RunPlan;

/// Failures in a row after which a node ejects an upstream.
const FAILURES_IN_A_ROW: u32 = 5;
/// Failed probes in a row after which a node ejects an upstream.
const PROBES_IN_A_ROW: u32 = 2;
/// How long a node keeps an upstream out.
const EJECT_SPAN: Duration = Duration::from_secs(30);
/// The largest share of upstreams that a node ejects.
const EJECTED_SHARE_MAX: usize = 50;

/// Each node takes turns; nothing is ever ejected.
pub(super) fn round_robin(plan: &RunPlan) -> Subject {
    local(plan, |_, _, _| false, |_, _| false)
}

/// Each node ejects an upstream that fails probes in a row.
pub(super) fn probes_only(plan: &RunPlan) -> Subject {
    local(
        plan,
        |_, _, _| false,
        |row, healthy| {
            *row = if healthy { 0 } else { *row + 1 };
            *row >= PROBES_IN_A_ROW
        },
    )
}

/// Each node ejects an upstream that fails requests in a row, up to a share.
pub(super) fn consecutive_failures(plan: &RunPlan) -> Subject {
    let count = |row: &mut u32, end: AttemptEnd, _: usize| {
        *row = if end == AttemptEnd::Answered {
            0
        } else {
            *row + 1
        };
        *row >= FAILURES_IN_A_ROW
    };
    local(plan, count, |_, _| false)
}

#[derive(Clone)]
struct Cell {
    row: u32,
    probe_row: u32,
    out_until: Option<Instant>,
}

struct Nodes {
    cells: Vec<Vec<Cell>>,
    turns: Vec<usize>,
    slots: u32,
    actions: Actions,
}

/// Builds a subject whose nodes decide alone.
fn local(
    plan: &RunPlan,
    on_end: impl Fn(&mut u32, AttemptEnd, usize) -> bool + 'static,
    on_probe: impl Fn(&mut u32, bool) -> bool + 'static,
) -> Subject {
    let upstreams = plan.deployment.upstreams;
    let cell = Cell {
        row: 0,
        probe_row: 0,
        out_until: None,
    };
    let total = u32::try_from(upstreams).unwrap_or(0) * plan.deployment.slots;
    let nodes = Rc::new(RefCell::new(Nodes {
        cells: vec![vec![cell; upstreams]; plan.deployment.nodes],
        turns: (0..plan.deployment.nodes).collect(),
        slots: plan.deployment.slots,
        actions: Actions {
            least_slots: total,
            ..Actions::default()
        },
    }));
    let (choose, finish, probe) = (Rc::clone(&nodes), Rc::clone(&nodes), Rc::clone(&nodes));
    let (tick, avoids, actions) = (Rc::clone(&nodes), Rc::clone(&nodes), nodes);
    Subject {
        choose: Box::new(move |_, node, _| Some(choose.borrow_mut().choose(node))),
        finish: Box::new(move |now, node, flight, end| {
            let mut nodes = finish.borrow_mut();
            let ejects = on_end(&mut nodes.cells[node][flight.upstream].row, end, node);
            nodes.eject_if(now, node, flight.upstream, ejects);
        }),
        probe: Box::new(move |now, update| {
            let mut nodes = probe.borrow_mut();
            let row = &mut nodes.cells[update.node][update.upstream].probe_row;
            let ejects = on_probe(row, update.healthy);
            nodes.eject_if(now, update.node, update.upstream, ejects);
        }),
        tick: Box::new(move |now| tick.borrow_mut().bring_back(now)),
        avoids: Box::new(move |node, upstream| {
            avoids.borrow().cells[node][upstream].out_until.is_some()
        }),
        actions: Box::new(move || actions.borrow().actions.clone()),
    }
}

impl Nodes {
    fn choose(&mut self, node: usize) -> Flight {
        let cells = &self.cells[node];
        let count = cells.len();
        let turn = self.turns[node];
        let open = (0..count)
            .map(|step| (turn + step) % count)
            .find(|i| cells[*i].out_until.is_none());
        let upstream = open.unwrap_or(turn % count);
        self.turns[node] = upstream + 1;
        Flight {
            upstream,
            ticket: 0,
        }
    }

    fn eject_if(&mut self, now: Instant, node: usize, upstream: usize, ejects: bool) {
        let cells = &mut self.cells[node];
        let out = cells.iter().filter(|cell| cell.out_until.is_some()).count();
        let full = (out + 1) * 100 > cells.len() * EJECTED_SHARE_MAX;
        if !ejects || full || cells[upstream].out_until.is_some() {
            return;
        }
        cells[upstream] = Cell {
            row: 0,
            probe_row: 0,
            out_until: Some(now + EJECT_SPAN),
        };
        let left = cells.iter().filter(|cell| cell.out_until.is_none()).count();
        let slots = u32::try_from(left).unwrap_or(0) * self.slots;
        self.actions.ejected.push(upstream);
        self.actions.least_slots = self.actions.least_slots.min(slots);
    }

    fn bring_back(&mut self, now: Instant) {
        for cell in self.cells.iter_mut().flatten() {
            if cell.out_until.is_some_and(|until| until <= now) {
                cell.out_until = None;
            }
        }
    }
}
