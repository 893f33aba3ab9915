//! Compares the books and the members with other nodes.

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
/// How often a node asks its seeds until it knows another node.
const SEED_INTERVAL: Duration = Duration::from_millis(200);
/// Share of comparisons that are made with another data centre besides.
const FAR_SHARE: f64 = 0.25;
/// How long a node may take to reply.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(1);

/// Compares with a neighbour each second, and now and then with a relay of
/// another data centre; asks the seeds while nobody is known.
///
/// Connections stay within the data centre but for those to relays, since each
/// costs a handshake over a link that is dear.
pub(super) async fn run(parts: ReplicaParts, replica: ReplicaHandle) {
    while !replica.is_closed() {
        let table = parts.members.table();
        let (targets, pause) = if table.is_empty() {
            (seeds(&parts.seeds.borrow(), &table), SEED_INTERVAL)
        } else {
            (pick(&table), COMPARE_INTERVAL)
        };
        for member in targets {
            tokio::spawn(compare(parts.clone(), replica.clone(), member));
        }
        time::sleep(pause.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

async fn compare(parts: ReplicaParts, replica: ReplicaHandle, member: Arc<Member>) {
    let table = parts.members.table();
    let request = NodeRequest::Replica(ReplicaRequest::Compare {
        from: table.own().clone(),
        mark: replica.snapshot().mark(),
        members: u32::try_from(table.len()).unwrap_or(u32::MAX),
    });
    let reply = parts.peers.ask(&member, &request, COMPARE_TIMEOUT).await;
    let Ok(NodeReply::Replica(ReplicaReply::Mark {
        from,
        mark,
        members,
    })) = reply
    else {
        return;
    };
    parts.members.introduce(from.clone()).await;
    parts.members.hear_of(members).await;
    replica
        .tell(ReplicaCommand::Heard(mark, Arc::new(from)))
        .await;
}

/// Members that stand for the seeds until their names are known.
fn seeds(addresses: &[SocketAddr], table: &MemberTable) -> Vec<Arc<Member>> {
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

fn pick(table: &MemberTable) -> Vec<Arc<Member>> {
    let mut rng = rand::rng();
    let near = table.local_peers().choose(&mut rng).cloned();
    let own = &table.own().data_centre;
    let others = table.data_centres().into_iter();
    let others: Vec<_> = others.filter(|centre| centre != own).collect();
    let now = Instant::now();
    let far = others
        .choose(&mut rng)
        .filter(|_| near.is_none() || rand::random_bool(FAR_SHARE))
        .and_then(|centre| table.relays_in(now, centre).choose(&mut rng).cloned());
    near.into_iter().chain(far).collect()
}
