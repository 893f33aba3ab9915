//! What a holder mints and reserves while votes come and go.

use std::time::Duration;

use gooseberrydyke_policy::office::{HolderTime, VoteTally};
use gooseberrydyke_policy::quota::{FleetCounts, QuotaDraw, QuotaGrant, QuotaPool};
use model::config::{QuotaBound, WorkspaceQuota};
use model::ids::NodeId;
use model::sizes::{BurstSize, Rate, Share};

/// Votes are counted and the pool is updated this often.
const TICK: Duration = Duration::from_millis(200);
const NODES: usize = 4;
const RATE: f64 = 40.0;
/// Part of a vote's rate that stays with its holder.
const STAYING: f64 = 0.75;

fn node(number: usize) -> NodeId {
    format!("n{number}").parse().unwrap()
}

/// The holder of a fleet of one data centre.
struct PoolFixture {
    now: HolderTime,
    tally: VoteTally,
    pool: QuotaPool,
}

impl PoolFixture {
    /// A holder that has had every vote for long.
    fn new() -> Self {
        let bound = QuotaBound {
            window: Duration::from_secs(5),
            overshoot: Share::new(0.1),
            slack: BurstSize::new(20),
        };
        let mut fixture = Self {
            now: HolderTime::default(),
            tally: VoteTally::default(),
            pool: QuotaPool::new(bound),
        };
        fixture.run(Duration::from_secs(20), NODES);
        fixture
    }

    /// Lets time pass in which the first `voters` nodes vote.
    fn run(&mut self, span: Duration, voters: usize) {
        let end = self.now.saturating_add(span);
        while self.now < end {
            self.now = self.now.saturating_add(TICK);
            for number in 0..voters {
                self.tally.record(self.now, node(number), self.now, NODES);
            }
            self.update();
        }
    }

    fn update(&mut self) {
        let counts = FleetCounts {
            local: NODES,
            all: NODES,
            data_centres: 1,
            voters: NODES,
            may_be_whole: false,
        };
        self.pool.update(self.now, &self.tally, &counts, true);
    }

    fn draw(&mut self, number: usize, count: u32) -> QuotaGrant {
        self.update();
        let draw = QuotaDraw {
            from: node(number),
            workspace: "acme".parse().unwrap(),
            count,
            deposit_millitokens: 0,
            is_new: false,
        };
        let quota = WorkspaceQuota {
            rate: Rate::per_second(RATE),
            burst: BurstSize::new(0),
        };
        self.pool.draw(self.now, &draw, &quota)
    }

    /// Tokens per second that are handed out when another node asks for more.
    fn minted(&mut self, span: Duration, voters: usize) -> f64 {
        self.draw(0, 1_000);
        let end = self.now.saturating_add(span);
        let mut tokens = 0;
        while self.now < end {
            self.run(TICK, voters);
            tokens += self.draw(0, 1_000).tokens;
        }
        f64::from(tokens) / span.as_secs_f64()
    }
}

/// Guards against a rate that is spent twice: a node uses the last statement that reached it,
/// which may be neither the highest nor the last one that was sent.
#[test]
fn every_stated_rate_is_withheld_until_it_ends() {
    let mut fixture = PoolFixture::new();
    let last = NODES - 1;
    let highest = fixture.draw(last, 20).reserved.get();
    fixture.run(Duration::from_secs(6), NODES);
    let middle = fixture.draw(last, 10).reserved.get();
    fixture.run(Duration::from_secs(3), NODES);
    let lowest = fixture.draw(last, 1).reserved.get();
    assert!(
        highest > middle && middle > 1.5 * lowest,
        "{highest}, {middle}, {lowest}"
    );
    // The first statement has ended, the second one has not.
    fixture.run(Duration::from_secs(4), last);
    let minted = fixture.minted(Duration::from_secs(3), last);
    let votes = 0.25 * 0.75 + STAYING;
    assert!(
        minted <= votes * RATE - middle + 0.5,
        "{minted} minted per second beside {middle} in use"
    );
}

/// Guards against a rate that is reserved from votes that another holder has before the
/// reservation ends.
#[test]
fn only_votes_that_count_now_are_reserved() {
    let mut fixture = PoolFixture::new();
    fixture.run(Duration::from_secs(5), 1);
    let mut reserved = 0.0;
    for _ in 0..20 {
        fixture.run(TICK, 1);
        reserved = fixture.draw(0, 20).reserved.get();
    }
    let own = STAYING * RATE / 4.0;
    assert!(
        reserved > 0.0 && reserved <= own + 1e-6,
        "{reserved} of {own}"
    );
}

/// Guards against a rate that is spent twice between the end of a vote and the next update.
#[test]
fn a_rate_is_withheld_since_the_last_time_that_the_vote_counted() {
    let mut fixture = PoolFixture::new();
    let last = NODES - 1;
    let reserved = fixture.draw(last, 20).reserved.get();
    // The last vote ends between the next two updates.
    fixture.run(Duration::from_millis(1_600), last);
    fixture.draw(0, 1_000);
    let span = Duration::from_millis(400);
    fixture.now = fixture.now.saturating_add(span);
    for number in 0..last {
        let heard = fixture.now;
        fixture.tally.record(heard, node(number), heard, NODES);
    }
    let tokens = f64::from(fixture.draw(0, 1_000).tokens);
    let votes = 0.25 * 0.75 + STAYING;
    let most = (votes * RATE - reserved) * span.as_secs_f64() + 1.0;
    assert!(
        tokens <= most,
        "{tokens} tokens, {most} beside {reserved} in use"
    );
}
