//! The tokens of one workspace at a node: when it draws, waits, refuses and spends.

use std::time::Duration;

use gooseberrydyke_policy::quota::{
    QuotaGrant, QuotaStock, QuotaToken, SilentHolders, StockReply, TOKEN_TTL, VoteStanding,
};
use model::config::WorkspaceQuota;
use model::ids::NodeId;
use model::sizes::{BurstSize, Rate};
use tokio::time::Instant;

const QUOTA: WorkspaceQuota = WorkspaceQuota {
    rate: Rate::per_second(20.0),
    burst: BurstSize::new(0),
};

fn node(name: &str) -> NodeId {
    name.parse().unwrap()
}

fn holders() -> Vec<NodeId> {
    ["near", "far"].map(node).to_vec()
}

/// A node whose vote the near holder may count until a time.
fn bound(until: Instant) -> VoteStanding {
    VoteStanding {
        own: node("own"),
        holder: Some(node("near")),
        bound_until: until,
        is_alone: false,
    }
}

fn grant(tokens: u32, wait: Duration) -> QuotaGrant {
    QuotaGrant {
        tokens,
        ..QuotaGrant::refusal(wait)
    }
}

/// A stock that drew from the near holder, and the time.
struct StockFixture {
    now: Instant,
    standing: VoteStanding,
    stock: QuotaStock,
}

impl StockFixture {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            standing: bound(now + Duration::from_mins(1)),
            stock: QuotaStock::new(now),
        }
    }

    fn take(&mut self) -> StockReply {
        self.stock
            .take(self.now, &self.standing, &QUOTA, &holders())
    }

    /// Draws, and returns the holder that was asked.
    fn draw(&mut self, granted: &QuotaGrant) -> Option<NodeId> {
        let plan = self
            .stock
            .plan_draw(self.now, &self.standing, &QUOTA, &holders(), 1)?;
        let is_local = plan.holder == node("near");
        self.stock
            .record_grant(self.now, self.now, &plan.holder, is_local, granted);
        Some(plan.holder)
    }
}

/// A second draw while one is in progress would cost a message for each request.
#[test]
fn only_one_draw_is_made_at_a_time() {
    let mut fixture = StockFixture::new();
    assert_eq!(fixture.take(), StockReply::Draw);
    let plan = fixture
        .stock
        .plan_draw(fixture.now, &fixture.standing, &QUOTA, &holders(), 1);
    assert_eq!(plan.unwrap().holder, node("near"));
    assert_eq!(fixture.take(), StockReply::Wait);
    assert!(fixture.stock.is_drawing());
}

/// A token that is used later than the bound allows for would run in two windows.
#[test]
fn a_token_ends_with_its_time() {
    let mut fixture = StockFixture::new();
    fixture.draw(&grant(2, Duration::ZERO));
    let ends_at = fixture.now + TOKEN_TTL;
    assert_eq!(fixture.take(), StockReply::Token(QuotaToken { ends_at }));
    fixture.now = ends_at;
    assert_eq!(fixture.take(), StockReply::Draw);
}

#[test]
fn a_token_that_was_given_back_is_spent_within_its_time() {
    let mut fixture = StockFixture::new();
    fixture.draw(&grant(1, Duration::ZERO));
    let StockReply::Token(token) = fixture.take() else {
        panic!("the stock holds a token");
    };
    fixture.stock.give_back(fixture.now, token);
    assert_eq!(fixture.take(), StockReply::Token(token));
    fixture.stock.give_back(token.ends_at, token);
    assert_eq!(fixture.take(), StockReply::Draw);
}

/// A workspace over its quota must not cost a draw for each request.
#[test]
fn a_node_refuses_locally_until_the_time_that_the_holders_stated() {
    let mut fixture = StockFixture::new();
    let wait = Duration::from_millis(150);
    assert_eq!(fixture.draw(&grant(0, wait)), Some(node("near")));
    assert_eq!(fixture.draw(&grant(0, wait * 2)), Some(node("far")));
    let StockReply::Refused(stated) = fixture.take() else {
        panic!("no holder has tokens");
    };
    assert!(stated >= wait, "{stated:?}");
    assert_eq!(fixture.draw(&grant(0, wait)), None);
    fixture.now += wait;
    assert_eq!(fixture.take(), StockReply::Draw);
}

/// Spending the reserved rate while the holder mints it for others would exceed the quota.
#[test]
fn a_reserved_rate_is_spent_only_while_the_vote_has_ended() {
    let mut fixture = StockFixture::new();
    let reserved = QuotaGrant {
        reserved: Rate::per_second(2.0),
        ..grant(0, Duration::from_mins(1))
    };
    fixture.draw(&reserved);
    fixture.draw(&grant(0, Duration::from_mins(1)));
    fixture.now += Duration::from_secs(2);
    assert!(matches!(fixture.take(), StockReply::Refused(_)));
    // The vote ends now: half a second later there is one token.
    fixture.standing.bound_until = fixture.now;
    fixture.now += Duration::from_millis(490);
    assert!(matches!(fixture.take(), StockReply::Refused(_)));
    fixture.now += Duration::from_millis(20);
    assert!(matches!(fixture.take(), StockReply::Token(_)));
    assert!(matches!(fixture.take(), StockReply::Refused(_)));
    // Twelve seconds after it was stated it ends.
    fixture.now += Duration::from_secs(10);
    assert!(matches!(fixture.take(), StockReply::Refused(_)));
}

/// What a former holder reserved is handed to the next one, once.
#[test]
fn what_was_saved_is_handed_over() {
    let mut fixture = StockFixture::new();
    let reserved = QuotaGrant {
        reserved: Rate::per_second(2.0),
        ..grant(0, Duration::from_millis(100))
    };
    fixture.draw(&reserved);
    fixture.standing.bound_until = fixture.now;
    fixture.now += Duration::from_millis(400);
    assert!(matches!(fixture.take(), StockReply::Draw));
    fixture.standing = VoteStanding {
        holder: Some(node("next")),
        ..bound(fixture.now + Duration::from_secs(1))
    };
    let next = [node("next")];
    let mut plan = || {
        fixture
            .stock
            .plan_draw(fixture.now, &fixture.standing, &QUOTA, &next, 1)
    };
    assert_eq!(plan().unwrap().deposit_millitokens, 800);
    assert_eq!(plan().unwrap().deposit_millitokens, 0);
}

/// The next holder mints what the former one reserved once it counts every vote. Its replies say
/// so, also those that come too late to be waited for.
#[test]
fn a_late_reply_ends_what_a_former_holder_reserved() {
    let mut fixture = StockFixture::new();
    let reserved = QuotaGrant {
        reserved: Rate::per_second(2.0),
        ..grant(0, Duration::from_mins(1))
    };
    fixture.draw(&reserved);
    fixture.draw(&grant(0, Duration::from_mins(1)));
    fixture.standing = VoteStanding {
        holder: Some(node("next")),
        ..bound(fixture.now + Duration::from_mins(1))
    };
    assert!(matches!(fixture.take(), StockReply::Refused(_)));
    fixture.now += Duration::from_secs(1);
    assert!(matches!(fixture.take(), StockReply::Token(_)));

    let complete = QuotaGrant {
        complete: true,
        ..grant(0, Duration::from_mins(1))
    };
    let (now, next) = (fixture.now, node("next"));
    fixture.stock.record_late(now, now, &next, true, &complete);
    fixture.now += Duration::from_secs(1);
    assert!(matches!(fixture.take(), StockReply::Refused(_)));
}

#[test]
fn a_silent_holder_is_asked_again_after_a_second_or_its_late_reply() {
    let now = Instant::now();
    let mut silent = SilentHolders::default();
    silent.record(now, node("near"));
    assert!(silent.contains(now, &node("near")));
    assert!(!silent.contains(now, &node("far")));
    assert!(!silent.contains(now + Duration::from_secs(1), &node("near")));
    silent.clear(&node("near"));
    assert!(!silent.contains(now, &node("near")));
}
