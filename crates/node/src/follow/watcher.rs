//! Watches the platform on behalf of a data centre.

use std::time::Duration;

use platform::object::{Condition, ObjectChange};
use platform::{PlatformClient, names, records};
use tokio::time::{self, Instant};

use super::task::{FollowCommand, Follower};
use crate::members::MemberSet;
use crate::wire::VersionedRecord;

/// How long one watch waits.
const WATCH_SPAN: Duration = Duration::from_secs(20);
/// Pause after a failed watch.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// How often a node that does not relay looks whether it should.
const STANDBY_PAUSE: Duration = Duration::from_secs(1);
/// How long a starting node waits for others before it asks the platform itself.
const START_TIMEOUT: Duration = Duration::from_millis(200);

/// Watches while this node relays, or has no configuration yet.
pub(super) async fn run(platform: PlatformClient, members: MemberSet, follower: Follower) {
    time::sleep(START_TIMEOUT).await;
    let mut revision = 0;
    while !follower.commands.is_closed() {
        let started = follower.snapshot().config.generation.get() > 0;
        if started && !members.table().is_relay(Instant::now()) {
            revision = 0;
            time::sleep(STANDBY_PAUSE).await;
            continue;
        }
        let wait = if revision == 0 {
            Duration::ZERO
        } else {
            WATCH_SPAN
        };
        match platform.watch(names::FLEET, revision, wait).await {
            Ok(answer) => {
                let idle = answer.changes.is_empty() && wait.is_zero();
                take(&platform, &follower, answer.changes).await;
                revision = answer.revision;
                if idle {
                    time::sleep(STANDBY_PAUSE).await;
                }
            }
            Err(error) => {
                log::warn!(target: "config", "The platform cannot be watched: {error}.");
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn take(platform: &PlatformClient, follower: &Follower, changes: Vec<ObjectChange>) {
    let root = names::config_root();
    for change in changes {
        if *change.name == *root.as_str() {
            let _ = follower.commands.send(FollowCommand::PlatformRoot).await;
            continue;
        }
        let service = change
            .name
            .strip_prefix(names::EJECTIONS)
            .and_then(|id| id.parse().ok());
        let Some(service) = service else { continue };
        let Ok(stored) = records::read_ejections(platform, &service).await else {
            continue;
        };
        if let Condition::Version(version) = stored.condition {
            let record = VersionedRecord {
                version,
                record: stored.record,
            };
            follower.put_records(vec![record]).await;
        }
    }
}
