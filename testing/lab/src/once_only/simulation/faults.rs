//! Kills, pauses and outages, and the periodic clean-up at the nodes.

use policy::claim::shard_of;
use rand::Rng as _;

use super::{
    CLEAN_UP_INTERVAL_MILLIS, Event, KILL_INTERVAL_MILLIS, NODE_COUNT, Node,
    OUTAGE_INTERVAL_MILLIS, OUTAGE_MILLIS_MAX, PAUSE_INTERVAL_MILLIS, PAUSE_MILLIS_MAX, Simulation,
};

impl<F: FnMut(u64)> Simulation<F> {
    /// Replaces a node by a new process without any state.
    pub(super) fn kill_node(&mut self) {
        let node = self.rng.random_range(0..NODE_COUNT);
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = Node {
            incarnation,
            ..Node::default()
        };
        self.reschedule(KILL_INTERVAL_MILLIS, Event::Kill);
    }

    /// Suspends a node: events for it are delivered after the pause.
    pub(super) fn pause_node(&mut self) {
        let node = self.rng.random_range(0..NODE_COUNT);
        self.nodes[node].paused_until = self.now + self.draw_delay(PAUSE_MILLIS_MAX);
        self.reschedule(PAUSE_INTERVAL_MILLIS, Event::Pause);
    }

    /// Makes the platform unavailable for some time.
    pub(super) fn start_outage(&mut self) {
        self.outage_until = self.now + self.draw_delay(OUTAGE_MILLIS_MAX);
        self.reschedule(OUTAGE_INTERVAL_MILLIS, Event::Outage);
    }

    /// Deletes expired segments, and withdraws claims whose deadline has passed.
    pub(super) fn clean_up(&mut self) {
        let now = self.unix_now();
        for node in 0..NODE_COUNT {
            if self.nodes[node].paused_until > self.now {
                continue;
            }
            let platform = &mut self.platform;
            for (shard, batcher) in &mut self.nodes[node].shards {
                while let Some((number, version)) = batcher.take_expired(now) {
                    platform.delete(*shard, number, version);
                }
            }
            self.withdraw_expired(node);
        }
        self.reschedule(CLEAN_UP_INTERVAL_MILLIS * 2, Event::CleanUp);
    }

    /// Withdraws claims whose entry no longer waits for a verdict.
    fn withdraw_expired(&mut self, node: usize) {
        let now = self.now;
        let Node {
            waiting_claims,
            shards,
            ..
        } = &mut self.nodes[node];
        waiting_claims.retain(|token, request| {
            let still_waiting = request.deadline > now;
            if let Some(batcher) = shards
                .get_mut(&shard_of(&request.key))
                .filter(|_| !still_waiting)
            {
                batcher.withdraw(&request.key, token);
            }
            still_waiting
        });
    }

    /// Schedules the next event of a kind, on average after `interval_millis`,
    /// while requests are left.
    fn reschedule(&mut self, interval_millis: u64, event: Event) {
        if self.has_requests_left() {
            let delay = self.draw_delay(interval_millis * 2);
            self.schedule_after(delay, event);
        }
    }
}
