//! Watches the platform on behalf of the nodes of a data centre.

use std::time::Duration;

use platform::object::{Condition, ObjectChange};
use platform::{PlatformClient, names, records};
use tokio::time::{self, Instant};

use super::task::{ConfigCommand, ConfigFollower};
use crate::members::MemberSet;
use crate::wire::VersionedRecord;

/// Maximum duration of one watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failed watch.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// How often a node that is not a configuration relay checks whether it has become one,
/// and the pause after a first read without changes.
const STANDBY_PAUSE: Duration = Duration::from_secs(1);
/// How long a starting node waits for other nodes before it reads the platform itself.
const START_DELAY: Duration = Duration::from_millis(200);

/// Watches while this node is a configuration relay, or as long as it has no configuration.
pub(super) async fn run(platform: PlatformClient, members: MemberSet, follower: ConfigFollower) {
    time::sleep(START_DELAY).await;
    let mut revision = 0;
    while !follower.commands.is_closed() {
        let has_config = follower.snapshot().config.generation.get() > 0;
        if has_config && !members.table().is_config_relay(Instant::now()) {
            revision = 0;
            time::sleep(STANDBY_PAUSE).await;
            continue;
        }
        let wait = if revision == 0 {
            Duration::ZERO
        } else {
            WATCH_TIMEOUT
        };
        match platform.watch(names::FLEET_PREFIX, revision, wait).await {
            Ok(response) => {
                let unchanged = response.changes.is_empty() && wait.is_zero();
                handle_changes(&platform, &follower, response.changes).await;
                revision = response.revision;
                if unchanged {
                    time::sleep(STANDBY_PAUSE).await;
                }
            }
            Err(error) => {
                log::warn!(target: "config", "Cannot watch the platform: {error}.");
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn handle_changes(
    platform: &PlatformClient,
    follower: &ConfigFollower,
    changes: Vec<ObjectChange>,
) {
    let root = names::config_root();
    for change in changes {
        if *change.name == *root.as_str() {
            let _ = follower
                .commands
                .send(ConfigCommand::PlatformRootChanged)
                .await;
            continue;
        }
        let service = change
            .name
            .strip_prefix(names::EJECTIONS_PREFIX)
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
