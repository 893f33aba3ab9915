//! Baselines: common load-balancing strategies in which each node decides from its own
//! observations, without evidence shared between nodes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use policy::retry::AttemptEnd;
use tokio::time::Instant;

use super::simulation::RunPlan;
use super::subject::{InFlightRequest, Subject, SubjectActions};

/// Consecutive failed requests after which a node ejects an upstream.
const FAILED_REQUESTS_TO_EJECT: u32 = 5;
/// Consecutive failed probes after which a node ejects an upstream.
const FAILED_PROBES_TO_EJECT: u32 = 2;
/// How long an upstream stays ejected at a node.
const EJECTION_TIME: Duration = Duration::from_secs(30);
/// Limit on the share of upstreams that a node ejects, in percent.
const EJECTED_PERCENT_MAX: usize = 50;

/// Each node selects upstreams in turn; none is ever ejected.
pub(super) fn round_robin(plan: &RunPlan) -> Subject {
    build_local(plan, |_, _, _| false, |_, _| false)
}

/// Each node ejects an upstream after [`FAILED_PROBES_TO_EJECT`] consecutive failed probes.
pub(super) fn probes_only(plan: &RunPlan) -> Subject {
    build_local(
        plan,
        |_, _, _| false,
        |failures, healthy| {
            *failures = if healthy { 0 } else { *failures + 1 };
            *failures >= FAILED_PROBES_TO_EJECT
        },
    )
}

/// Each node ejects an upstream after [`FAILED_REQUESTS_TO_EJECT`] consecutive failed
/// requests, unless [`EJECTED_PERCENT_MAX`] is reached.
pub(super) fn consecutive_failures(plan: &RunPlan) -> Subject {
    let on_end = |failures: &mut u32, end: AttemptEnd, _: usize| {
        *failures = if end == AttemptEnd::Answered {
            0
        } else {
            *failures + 1
        };
        *failures >= FAILED_REQUESTS_TO_EJECT
    };
    build_local(plan, on_end, |_, _| false)
}

/// What one node knows of one upstream.
#[derive(Clone)]
struct UpstreamView {
    /// Consecutive failed requests.
    failed_requests: u32,
    /// Consecutive failed probes.
    failed_probes: u32,
    ejected_until: Option<Instant>,
}

/// The state of all nodes.
struct LocalNodes {
    /// By node, then by upstream.
    views: Vec<Vec<UpstreamView>>,
    /// The next upstream in turn, by node.
    next_in_turn: Vec<usize>,
    /// Slots of each upstream.
    slots: u32,
    actions: SubjectActions,
}

/// Builds a subject whose nodes decide independently. The callbacks update a count of
/// consecutive failures and return whether the upstream is to be ejected.
fn build_local(
    plan: &RunPlan,
    on_end: impl Fn(&mut u32, AttemptEnd, usize) -> bool + 'static,
    on_probe: impl Fn(&mut u32, bool) -> bool + 'static,
) -> Subject {
    let upstreams = plan.deployment.upstreams;
    let view = UpstreamView {
        failed_requests: 0,
        failed_probes: 0,
        ejected_until: None,
    };
    let total_slots = u32::try_from(upstreams).unwrap_or(0) * plan.deployment.slots;
    let nodes = Rc::new(RefCell::new(LocalNodes {
        views: vec![vec![view; upstreams]; plan.deployment.nodes],
        next_in_turn: (0..plan.deployment.nodes).collect(),
        slots: plan.deployment.slots,
        actions: SubjectActions {
            slots_min: total_slots,
            ..SubjectActions::default()
        },
    }));
    let (select, finish, probe) = (Rc::clone(&nodes), Rc::clone(&nodes), Rc::clone(&nodes));
    let (tick, is_avoided, actions) = (Rc::clone(&nodes), Rc::clone(&nodes), nodes);
    Subject {
        select: Box::new(move |_, node, _| Some(select.borrow_mut().select(node))),
        finish: Box::new(move |now, node, request, end| {
            let mut nodes = finish.borrow_mut();
            let must_eject = on_end(
                &mut nodes.views[node][request.upstream].failed_requests,
                end,
                node,
            );
            nodes.eject_if(now, node, request.upstream, must_eject);
        }),
        probe: Box::new(move |now, result| {
            let mut nodes = probe.borrow_mut();
            let failures = &mut nodes.views[result.node][result.upstream].failed_probes;
            let must_eject = on_probe(failures, result.healthy);
            nodes.eject_if(now, result.node, result.upstream, must_eject);
        }),
        tick: Box::new(move |now| tick.borrow_mut().reinstate_due(now)),
        is_avoided: Box::new(move |node, upstream| {
            is_avoided.borrow().views[node][upstream]
                .ejected_until
                .is_some()
        }),
        actions: Box::new(move || actions.borrow().actions.clone()),
    }
}

impl LocalNodes {
    fn select(&mut self, node: usize) -> InFlightRequest {
        let views = &self.views[node];
        let count = views.len();
        let turn = self.next_in_turn[node];
        let available = (0..count)
            .map(|step| (turn + step) % count)
            .find(|i| views[*i].ejected_until.is_none());
        let upstream = available.unwrap_or(turn % count);
        self.next_in_turn[node] = upstream + 1;
        InFlightRequest {
            upstream,
            request_number: 0,
        }
    }

    /// Ejects the upstream at this node if `must_eject`, unless [`EJECTED_PERCENT_MAX`] is reached.
    fn eject_if(&mut self, now: Instant, node: usize, upstream: usize, must_eject: bool) {
        let views = &mut self.views[node];
        let ejected = views
            .iter()
            .filter(|view| view.ejected_until.is_some())
            .count();
        let limit_reached = (ejected + 1) * 100 > views.len() * EJECTED_PERCENT_MAX;
        if !must_eject || limit_reached || views[upstream].ejected_until.is_some() {
            return;
        }
        views[upstream] = UpstreamView {
            failed_requests: 0,
            failed_probes: 0,
            ejected_until: Some(now + EJECTION_TIME),
        };
        let in_service = views
            .iter()
            .filter(|view| view.ejected_until.is_none())
            .count();
        let slots_in_service = u32::try_from(in_service).unwrap_or(0) * self.slots;
        self.actions.ejected.push(upstream);
        self.actions.slots_min = self.actions.slots_min.min(slots_in_service);
    }

    /// Reinstates the upstreams whose ejection has expired.
    fn reinstate_due(&mut self, now: Instant) {
        for view in self.views.iter_mut().flatten() {
            if view.ejected_until.is_some_and(|until| until <= now) {
                view.ejected_until = None;
            }
        }
    }
}
