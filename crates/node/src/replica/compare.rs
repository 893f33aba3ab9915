//! Compares snapshots and members with other nodes, so that lost updates are made up for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::membership::{Member, MemberTable};
use rand::seq::IndexedRandom as _;
use tokio::time::{self, Instant};

use super::task::{ReplicaCommand, ReplicaHandle, ReplicaParts};
use crate::wire::{NodeReply, NodeRequest, ReplicaReply, ReplicaRequest};

/// How often a node compares with others.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// How often a node queries its seeds until it knows another node.
const SEED_INTERVAL: Duration = Duration::from_millis(200);
/// Share of comparisons that also include a node of another data centre.
const REMOTE_SHARE: f64 = 0.25;
/// Timeout for the reply of a node.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(1);

/// Compares with a node of the same data centre each second, and at times also with a
/// configuration relay of another data centre. Queries the seeds while no other node is
/// known.
///
/// Of each other data centre, only the few configuration relays are compared with, since
/// each connection costs a handshake over an expensive link.
pub(super) async fn run(parts: ReplicaParts, replica: ReplicaHandle) {
    while !replica.is_closed() {
        let table = parts.members.table();
        let (targets, interval) = if table.is_empty() {
            (seed_members(&parts.seeds.borrow(), &table), SEED_INTERVAL)
        } else {
            (pick_members(&table), COMPARE_INTERVAL)
        };
        for member in targets {
            tokio::spawn(compare(parts.clone(), replica.clone(), member));
        }
        time::sleep(interval.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

async fn compare(parts: ReplicaParts, replica: ReplicaHandle, member: Arc<Member>) {
    let table = parts.members.table();
    let request = NodeRequest::Replica(ReplicaRequest::Compare {
        from: table.own().clone(),
        summary: replica.snapshot().summary(),
        members: u32::try_from(table.len()).unwrap_or(u32::MAX),
    });
    let reply = parts
        .peers
        .request(&member, &request, COMPARE_TIMEOUT)
        .await;
    let Ok(NodeReply::Replica(ReplicaReply::Summary {
        from,
        summary,
        members,
    })) = reply
    else {
        return;
    };
    parts.members.record_contact(from.clone()).await;
    parts.members.add_unknown(members).await;
    replica
        .send(ReplicaCommand::PeerSummary(summary, Arc::new(from)))
        .await;
}

/// Placeholder members for the seeds, whose node names are not known yet.
fn seed_members(addresses: &[SocketAddr], table: &MemberTable) -> Vec<Arc<Member>> {
    let own = table.own();
    let others = addresses.iter().filter(|address| **address != own.address);
    let members = others.filter_map(|address| {
        Some(Arc::new(Member {
            node: format!("seed-{address}").parse().ok()?,
            address: *address,
            data_centre: own.data_centre.clone(),
            leaving: false,
            capacity: model::sizes::NodeCapacity::default(),
        }))
    });
    members.collect()
}

fn pick_members(table: &MemberTable) -> Vec<Arc<Member>> {
    let mut rng = rand::rng();
    let local = table.local_peers().choose(&mut rng).cloned();
    let own = &table.own().data_centre;
    let centres = table.data_centres().into_iter();
    let other_centres: Vec<_> = centres.filter(|centre| centre != own).collect();
    let now = Instant::now();
    let remote = other_centres
        .choose(&mut rng)
        .filter(|_| local.is_none() || rand::random_bool(REMOTE_SHARE))
        .and_then(|centre| {
            table
                .config_relays_in(now, centre)
                .choose(&mut rng)
                .cloned()
        });
    local.into_iter().chain(remote).collect()
}
