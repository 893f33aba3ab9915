//! Timeouts of an accepted connection, which depend on its phase.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{self, Instant};

use super::ServeLimits;
use super::phase::{ConnectionPhase, ConnectionState};

/// How long an idle connection stays open after a stop has begun. A caller that has just
/// received a response may have sent its next request already.
const STOP_LINGER: Duration = Duration::from_millis(250);
/// How often the timeout of an unread response is read again.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Which timeout a connection has exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TimeoutKind {
    Idle,
    Head,
    Flush,
}

/// Waits until a connection has exceeded a timeout.
pub(super) async fn wait_for_timeout(
    states: &mut watch::Receiver<ConnectionState>,
    limits: impl Fn() -> ServeLimits,
) -> TimeoutKind {
    loop {
        let (phase, blocked_since) = {
            let state = states.borrow_and_update();
            (state.phase, state.blocked_since)
        };
        let timeouts = limits();
        let timeout = match phase {
            ConnectionPhase::Idle(since) => {
                Some((since + timeouts.idle_timeout, TimeoutKind::Idle))
            }
            ConnectionPhase::Head(since) => {
                Some((since + timeouts.head_timeout, TimeoutKind::Head))
            }
            ConnectionPhase::Flushing(since) => {
                Some((since + timeouts.unread_timeout(), TimeoutKind::Flush))
            }
            ConnectionPhase::Busy => blocked_since
                .filter(|_| timeouts.unread_timeout.is_some())
                .map(|since| (since + timeouts.unread_timeout(), TimeoutKind::Flush)),
            ConnectionPhase::Receiving => None,
        };
        let Some((end, kind)) = timeout else {
            let may_expire = blocked_since.is_some() && phase == ConnectionPhase::Busy;
            tokio::select! {
                () = time::sleep(UNREAD_CHECK_INTERVAL), if may_expire => {}
                () = next_state(states) => {}
            }
            continue;
        };
        if end <= Instant::now() {
            return kind;
        }
        let check = match kind {
            // The timeout may become shorter meanwhile.
            TimeoutKind::Flush => end.min(Instant::now() + UNREAD_CHECK_INTERVAL),
            TimeoutKind::Idle | TimeoutKind::Head => end,
        };
        tokio::select! {
            () = time::sleep_until(check) => {}
            () = next_state(states) => {}
        }
    }
}

/// Waits until no request is about to arrive on a connection that is to be closed: one is
/// being handled, or none has arrived in time.
pub(super) async fn wait_until_unused(
    states: &mut watch::Receiver<ConnectionState>,
    limits: impl Fn() -> ServeLimits,
) {
    let stopped = Instant::now();
    loop {
        let end = match states.borrow_and_update().phase {
            ConnectionPhase::Idle(since) => since.max(stopped) + STOP_LINGER,
            ConnectionPhase::Head(since) => since + limits().head_timeout,
            ConnectionPhase::Busy | ConnectionPhase::Flushing(_) | ConnectionPhase::Receiving => {
                return;
            }
        };
        tokio::select! {
            () = time::sleep_until(end) => return,
            () = next_state(states) => {}
        }
    }
}

/// Waits for the next state; never returns after the connection has ended.
async fn next_state(states: &mut watch::Receiver<ConnectionState>) {
    if states.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}
