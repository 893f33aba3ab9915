//! What makes the decisions of a node in the model: the product's balancer, or a rule that is
//! compared with it.

use std::sync::Arc;
use std::time::Duration;

use gooseberrydyke_policy::retry::{AttemptEnd, RetryCharge};
use gooseberrydyke_policy::service::{
    Admission, AttemptKey, AttemptPurpose, AttemptRequest, NodeAssignment, Placement,
    ServiceBalancer, UpstreamLoad,
};
use model::config::{DetectionProfile, Service};
use model::ids::{DataCentreId, NodeId, UpstreamId};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::time::Instant;

use super::common::{CENTRES, name, service};
use super::fleet::FleetPlan;

/// What a node knows from the start.
#[derive(Debug, Clone)]
pub(crate) struct Knowledge {
    pub(crate) node: usize,
    pub(crate) plan: FleetPlan,
    /// Its subset, in the order of the assignment.
    pub(crate) subset: Vec<usize>,
}

/// A decision on a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Choice {
    Send(usize, SentAttempt),
    Wait,
}

/// An attempt as the chooser knows it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentAttempt {
    upstream: usize,
    key: Option<AttemptKey>,
}

/// What a node knows of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UpstreamKnowledge {
    /// Requests of this node in flight, now and when it last reported them.
    pub(crate) own: u32,
    pub(crate) reported: u32,
    /// The last total, and when it came.
    pub(crate) total: u32,
    /// This node's part of the last total.
    pub(crate) own_in_total: u32,
    pub(crate) total_at: Duration,
    /// When an attempt of this node was last answered.
    pub(crate) answered_at: Option<Duration>,
}

/// A rule's load of an upstream, given the mean total; the least one is selected.
pub(crate) type LoadRule = fn(&UpstreamKnowledge, &RuleContext) -> f64;

/// What a rule may use beside its knowledge of the upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RuleContext {
    pub(crate) now: Duration,
    pub(crate) slots: u32,
    /// Mean over the subset of the requests of other nodes.
    pub(crate) mean: f64,
    pub(crate) work: Duration,
    /// Usual age of a total when it comes.
    pub(crate) delay: Duration,
    /// The place in the order of the node.
    pub(crate) place: usize,
}

/// Decides where the requests of one node go.
pub(crate) enum Chooser {
    Product(Box<ProductChooser>),
    Rule(Box<RuleChooser>),
}

pub(crate) struct ProductChooser {
    started: Instant,
    balancer: ServiceBalancer,
}

pub(crate) struct RuleChooser {
    knowledge: Knowledge,
    load: LoadRule,
    /// Whether only two random upstreams are compared.
    compares_two: bool,
    upstreams: Vec<UpstreamKnowledge>,
    rng: SmallRng,
}

impl Chooser {
    /// The product's balancer with the subset of the assignment.
    pub(crate) fn product(knowledge: &Knowledge, placement: Placement) -> Self {
        let plan = knowledge.plan;
        let centre: DataCentreId = name(CENTRES[plan.centre_of_node(knowledge.node)]);
        let mut config: Service = service(plan.upstreams, plan.slots, 0).as_ref().clone();
        config.profile = DetectionProfile::Episodes;
        for (index, upstream) in config.upstreams.iter_mut().enumerate() {
            upstream.data_centre = name(CENTRES[plan.centre_of_upstream(index)]);
        }
        let config = Arc::new(config);
        let started = Instant::now();
        let seed = plan.seed * 1_000 + knowledge.node as u64;
        let mut balancer = ServiceBalancer::new(started, Arc::clone(&config), centre.clone(), seed);
        balancer.set_placement(placement);
        balancer.set_fleet_size(u32::try_from(plan.nodes).unwrap());
        let local: Vec<NodeId> = (0..plan.nodes)
            .filter(|node| plan.centre_of_node(*node) == plan.centre_of_node(knowledge.node))
            .map(|node| name(&format!("node-{node:03}")))
            .collect();
        balancer.set_local_node_share(f64::from(u32::try_from(plan.centres).unwrap()).recip());
        if plan.centres == 1 {
            let subset = knowledge.subset.iter().map(|index| id_of(*index)).collect();
            balancer.set_subset(&subset);
        } else {
            let node = name(&format!("node-{:03}", knowledge.node));
            let assignment = NodeAssignment::new(&node, &centre, &config, &local, plan.nodes);
            balancer.set_assigned_subset(&assignment.subset(knowledge.subset.len()));
        }
        Self::Product(Box::new(ProductChooser { started, balancer }))
    }

    /// A rule over the same subset.
    pub(crate) fn rule(knowledge: &Knowledge, load: LoadRule, compares_two: bool) -> Self {
        let seed = knowledge.plan.seed * 1_000 + knowledge.node as u64;
        Self::Rule(Box::new(RuleChooser {
            upstreams: vec![UpstreamKnowledge::default(); knowledge.plan.upstreams],
            knowledge: knowledge.clone(),
            load,
            compares_two,
            rng: SmallRng::seed_from_u64(seed),
        }))
    }

    pub(crate) fn choose(&mut self, now: Duration) -> Choice {
        match self {
            Self::Product(product) => product.choose(now),
            Self::Rule(rule) => {
                let upstream = rule.choose(now);
                rule.upstreams[upstream].own += 1;
                let sent = SentAttempt {
                    upstream,
                    key: None,
                };
                Choice::Send(upstream, sent)
            }
        }
    }

    pub(crate) fn finish(&mut self, now: Duration, sent: SentAttempt, end: AttemptEnd) {
        match self {
            Self::Product(product) => {
                let now = product.started + now;
                let key = sent.key.unwrap();
                if end == AttemptEnd::Answered {
                    product.balancer.record_response_head(now, key);
                }
                product.balancer.finish(now, key, end);
            }
            Self::Rule(rule) => {
                let upstream = &mut rule.upstreams[sent.upstream];
                upstream.own -= 1;
                upstream.answered_at = Some(now);
            }
        }
    }

    /// The counts that this node reports.
    pub(crate) fn take_report(&mut self, now: Duration) -> Vec<(usize, u32)> {
        match self {
            Self::Product(product) => {
                let _ = product.balancer.tick(product.started + now);
                let _ = product.balancer.take_signals();
                let report = product.balancer.take_load_report();
                let loads = report.loads.iter();
                loads
                    .map(|load| (number_of(&load.upstream), load.in_flight))
                    .collect()
            }
            Self::Rule(rule) => {
                let upstreams = rule.upstreams.iter_mut().enumerate();
                upstreams
                    .map(|(index, upstream)| {
                        upstream.reported = upstream.own;
                        (index, upstream.own)
                    })
                    .collect()
            }
        }
    }

    /// Applies the totals that changed.
    pub(crate) fn apply_totals(&mut self, now: Duration, totals: &[u32], before: &[u32]) {
        for (index, (total, before)) in totals.iter().zip(before).enumerate() {
            match self {
                Self::Product(product) if total != before => {
                    let load = UpstreamLoad {
                        service: name("stocklist"),
                        upstream: id_of(index),
                        in_flight: *total,
                    };
                    let now = product.started + now;
                    product.balancer.apply_data_centre_load(now, &load);
                }
                Self::Product(_) => {}
                Self::Rule(rule) => {
                    let upstream = &mut rule.upstreams[index];
                    upstream.total = *total;
                    upstream.own_in_total = upstream.reported;
                    upstream.total_at = now;
                }
            }
        }
    }
}

impl ProductChooser {
    fn choose(&mut self, now: Duration) -> Choice {
        let request = AttemptRequest {
            request_id: name("request-1"),
            repeatable: false,
            exclude: Vec::new(),
            purpose: AttemptPurpose::First,
            charge: RetryCharge::Budget,
            target_latency: Some(Duration::from_millis(1_500)),
            class: None,
        };
        match self.balancer.admit(self.started + now, &request) {
            Admission::Grant(grant) => {
                let upstream = number_of(&grant.upstream.id);
                let key = Some(grant.attempt);
                Choice::Send(upstream, SentAttempt { upstream, key })
            }
            _ => Choice::Wait,
        }
    }
}

impl RuleChooser {
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    fn choose(&mut self, now: Duration) -> usize {
        let subset = &self.knowledge.subset;
        let others = subset.iter().map(|index| {
            let upstream = &self.upstreams[*index];
            upstream.total.saturating_sub(upstream.own_in_total)
        });
        let mean = f64::from(others.sum::<u32>()) / subset.len() as f64;
        let load = |place: usize| {
            let context = RuleContext {
                now,
                slots: self.knowledge.plan.slots,
                mean,
                work: self.knowledge.plan.work,
                delay: self.knowledge.plan.delay,
                place,
            };
            (self.load)(&self.upstreams[subset[place]], &context)
        };
        if self.compares_two {
            let first = self.rng.random_range(0..subset.len());
            let second = self.rng.random_range(0..subset.len());
            let place = if load(second) < load(first) {
                second
            } else {
                first
            };
            return subset[place];
        }
        let start = self.rng.random_range(0..subset.len());
        let places = (start..subset.len()).chain(0..start);
        let least = places.min_by(|a, b| load(*a).total_cmp(&load(*b)));
        subset[least.unwrap()]
    }
}

fn id_of(index: usize) -> UpstreamId {
    name(&format!("up-{index}"))
}

fn number_of(id: &UpstreamId) -> usize {
    id.as_str().trim_start_matches("up-").parse().unwrap()
}
