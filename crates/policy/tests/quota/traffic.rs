//! What the nodes of the simulated fleet do with requests and messages.

use std::time::Duration;

use gooseberrydyke_policy::office::{VOTE_INTERVAL, VOTE_RETRY_INTERVAL, VoteStep};
use gooseberrydyke_policy::quota::{QuotaDraw, QuotaGrant, StockReply};
use rand::Rng as _;
use tokio::time::Instant;

use crate::fleet::{QuotaFleet, workspace};
use crate::message::{Content, Event, Exchange, ExchangeKind};
use crate::node::QuotaNode;

/// How long a request waits for draws, as in the task of a node.
const TAKE_WAIT_MAX: Duration = Duration::from_millis(150);
const DRAW_TIMEOUT: Duration = Duration::from_millis(80);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// One way within a data centre and between two.
const NEAR: Duration = Duration::from_micros(500);
const FAR: Duration = Duration::from_micros(4_900);
/// Share of messages that are late, and by how much at most.
const LATE: f64 = 0.01;
const LATE_MAX: Duration = Duration::from_millis(120);

impl QuotaFleet {
    pub(crate) fn take(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let holders = node.holders(now);
        let standing = node.standing(now);
        match node.stock.take(now, &standing, &node.quota, &holders) {
            StockReply::Token(_) => self.spent.push(now),
            StockReply::Refused(_) => {}
            StockReply::Wait => node.waiting.push_back(now),
            StockReply::Draw => {
                node.waiting.push_back(now);
                self.draw_or_settle(number);
            }
        }
    }

    pub(crate) fn draw_or_settle(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let holders = node.holders(now);
        let is_late = |since: &Instant| now >= *since + TAKE_WAIT_MAX;
        let late = node
            .waiting
            .iter()
            .take_while(|since| is_late(since))
            .count();
        self.settle(number, late);
        let node = &mut self.nodes[number];
        if node.waiting.is_empty() || node.stock.is_drawing() {
            return;
        }
        let Some(plan) = node.stock.plan_draw(
            now,
            &node.standing(now),
            &node.quota.clone(),
            &holders,
            node.waiting.len(),
        ) else {
            let all = node.waiting.len();
            if let Some(first) = node.waiting.front()
                && node.slow_draws > 0
            {
                let delay = *first + TAKE_WAIT_MAX - now;
                let run = node.run;
                self.schedule(delay, Event::Settle { node: number, run });
                return;
            }

            self.settle(number, all);
            return;
        };
        let to = QuotaNode::number_of(&plan.holder);
        self.draws += 1;
        let kind = ExchangeKind::Draw { is_given_up: false };
        let exchange = self.ask(number, to, kind);
        let run = self.nodes[number].run;
        self.schedule(
            DRAW_TIMEOUT,
            Event::GiveUp {
                node: number,
                run,
                exchange,
            },
        );
        let (count, deposit) = (plan.count, plan.deposit_millitokens);
        let is_local = number % self.plan.data_centres == to % self.plan.data_centres;
        let is_new = is_local && self.nodes[number].standing(self.now).is_new(self.now);
        self.send(
            number,
            to,
            Content::Draw {
                exchange,
                count,
                deposit,
                is_new,
            },
        );
    }

    fn settle(&mut self, number: usize, count: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let holders = node.holders(now);
        let standing = node.standing(now);
        for _ in 0..count {
            node.waiting.pop_front();
            let settled = node.stock.settle(now, &standing, &node.quota, &holders);
            if settled.is_ok() {
                self.spent.push(now);
            }
        }
    }

    pub(crate) fn finish_draw(
        &mut self,
        number: usize,
        holder: usize,
        grant: Option<(Instant, QuotaGrant)>,
    ) {
        let now = self.now;
        let is_local = self.nodes[holder].centre == self.nodes[number].centre;
        let node = &mut self.nodes[number];
        let name = QuotaNode::name_of(holder);
        if let Some((asked_at, grant)) = grant {
            node.stock
                .record_grant(now, asked_at, &name, is_local, &grant);
        } else {
            node.stock.record_silence();
            node.silent.record(now, name);
        }
        self.serve_waiting(number);
        self.draw_or_settle(number);
    }

    pub(crate) fn finish_late_draw(
        &mut self,
        number: usize,
        holder: usize,
        grant: Option<(Instant, QuotaGrant)>,
    ) {
        let now = self.now;
        let is_local = self.nodes[holder].centre == self.nodes[number].centre;
        let node = &mut self.nodes[number];
        node.slow_draws = node.slow_draws.saturating_sub(1);
        if let Some((asked_at, grant)) = grant {
            let name = QuotaNode::name_of(holder);
            node.silent.clear(&name);
            node.stock
                .record_late(now, asked_at, &name, is_local, &grant);
            self.serve_waiting(number);
        }
        self.draw_or_settle(number);
    }

    fn serve_waiting(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        while !node.waiting.is_empty() && node.stock.spend(now).is_some() {
            node.waiting.pop_front();
            self.spent.push(now);
        }
    }

    pub(crate) fn vote(&mut self, number: usize) {
        let now = self.now;
        let run = self.nodes[number].run;
        let (step, heard, to) = self.nodes[number].vote_step(now);
        let is_vote = heard.is_some() && matches!(step, VoteStep::Cast(_));
        let next = if is_vote {
            VOTE_INTERVAL
        } else {
            VOTE_RETRY_INTERVAL
        };
        self.schedule(next, Event::Vote { node: number, run });
        let voters = self.nodes[number].voters();
        match step {
            VoteStep::Cast(_) => {
                let exchange = self.ask(number, to, ExchangeKind::Vote);
                self.send(
                    number,
                    to,
                    Content::Vote {
                        exchange,
                        heard,
                        voters,
                    },
                );
            }
            VoteStep::Release(holder) => {
                let to = QuotaNode::number_of(&holder);
                let exchange = self.ask(number, to, ExchangeKind::Release);
                self.send(number, to, Content::Release { exchange });
            }
            VoteStep::Wait => {}
        }
    }

    fn ask(&mut self, from: usize, to: usize, kind: ExchangeKind) -> u64 {
        let exchange = self.next_event + 1;
        let asked_at = self.now;
        self.exchanges
            .insert(exchange, Exchange { to, asked_at, kind });
        let run = self.nodes[from].run;
        self.schedule(
            EXCHANGE_TIMEOUT,
            Event::Forget {
                node: from,
                run,
                exchange,
            },
        );
        exchange
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, content: Content) {
        if !self.reaches(from, to) {
            return;
        }
        let is_near = self.nodes[from].centre == self.nodes[to].centre;
        let mut delay = if from == to {
            Duration::ZERO
        } else if is_near {
            NEAR
        } else {
            FAR
        };
        delay += self
            .rng
            .random_range(Duration::ZERO..Duration::from_millis(2));
        if from != to && self.rng.random_bool(LATE) {
            delay += self.rng.random_range(Duration::ZERO..LATE_MAX);
        }
        delay += self.slow.get(&from).copied().unwrap_or_default();
        let from = (from, self.nodes[from].run);
        self.schedule(delay, Event::Message { from, to, content });
    }

    pub(crate) fn receive(&mut self, from: (usize, u32), to: usize, content: &Content) {
        let now = self.now;
        let (from, run) = from;
        let is_current = self.nodes[from].run == run;
        if is_current && !matches!(content, Content::Heartbeat) {
            self.nodes[to].clear_suspect(from);
        }
        match *content {
            Content::Contact | Content::Heartbeat => self.nodes[to].record_contact(now, from),
            Content::Leaving => self.nodes[to].mark_leaving(now, from),
            Content::Vote {
                exchange,
                heard,
                voters,
            } => {
                let time = self.nodes[to].count_vote(now, from, heard, voters);
                self.send(to, from, Content::Time { exchange, time });
            }
            Content::Release { exchange } => {
                let time = self.nodes[to].release(now, from);
                self.send(to, from, Content::Time { exchange, time });
            }
            Content::Draw {
                exchange,
                count,
                deposit,
                is_new,
            } => {
                let draw = QuotaDraw {
                    from: QuotaNode::name_of(from),
                    workspace: workspace(),
                    count,
                    deposit_millitokens: deposit,
                    is_new,
                };
                let grant = self.nodes[to].grant(now, &draw);
                self.send(to, from, Content::Grant { exchange, grant });
            }
            Content::Time { exchange, time } => {
                let Some(entry) = self.exchanges.remove(&exchange) else {
                    return;
                };
                let node = &mut self.nodes[to];
                let is_first = node.hear(now, from, time, entry.kind == ExchangeKind::Release);
                if is_first {
                    let run = node.run;
                    self.schedule(Duration::ZERO, Event::Vote { node: to, run });
                }
            }
            Content::Grant { exchange, grant } => {
                let Some(entry) = self.exchanges.remove(&exchange) else {
                    return;
                };
                if entry.kind == (ExchangeKind::Draw { is_given_up: true }) {
                    self.finish_late_draw(to, from, Some((entry.asked_at, grant)));
                } else {
                    self.finish_draw(to, from, Some((entry.asked_at, grant)));
                }
            }
        }
    }
}
