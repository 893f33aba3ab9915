//! Kills, pauses, outages, and what nodes tidy up.

use policy::claim::shard_of;
use rand::Rng as _;

use super::{
    Event, KILL_INTERVAL, NODES, Node, OUTAGE_INTERVAL, OUTAGE_SPAN, PAUSE_INTERVAL, PAUSE_SPAN,
    TIDY_INTERVAL, World,
};

impl<F: FnMut(u64)> World<F> {
    pub(super) fn kill(&mut self) {
        let node = self.rng.random_range(0..NODES);
        let life = self.nodes[node].life + 1;
        self.nodes[node] = Node {
            life,
            ..Node::default()
        };
        self.again(KILL_INTERVAL, Event::Kill);
    }

    pub(super) fn pause(&mut self) {
        let node = self.rng.random_range(0..NODES);
        self.nodes[node].paused_until = self.now + self.within(PAUSE_SPAN);
        self.again(PAUSE_INTERVAL, Event::Pause);
    }

    pub(super) fn outage(&mut self) {
        self.out_until = self.now + self.within(OUTAGE_SPAN);
        self.again(OUTAGE_INTERVAL, Event::Outage);
    }

    pub(super) fn tidy(&mut self) {
        let now = self.unix();
        for node in 0..NODES {
            if self.nodes[node].paused_until > self.now {
                continue;
            }
            let platform = &mut self.platform;
            for (shard, batcher) in &mut self.nodes[node].shards {
                while let Some((number, version)) = batcher.take_expired(now) {
                    platform.delete(*shard, number, version);
                }
            }
            self.withdraw_late(node);
        }
        self.again(TIDY_INTERVAL * 2, Event::Tidy);
    }

    /// Withdraws claims whose callers have gone.
    fn withdraw_late(&mut self, node: usize) {
        let now = self.now;
        let Node {
            waiting, shards, ..
        } = &mut self.nodes[node];
        waiting.retain(|token, request| {
            let waits = request.deadline > now;
            if let Some(batcher) = shards.get_mut(&shard_of(&request.key)).filter(|_| !waits) {
                batcher.withdraw(&request.key, token);
            }
            waits
        });
    }

    fn again(&mut self, interval: u64, event: Event) {
        if self.active() {
            let delay = self.within(interval * 2);
            self.after(delay, event);
        }
    }
}
