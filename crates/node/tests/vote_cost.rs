//! What the votes of a node for the owners of limits cost.

use std::collections::{BTreeMap, BTreeSet};

use gooseberrydyke_node::wire::{
    self, NodeReply, NodeRequest, OfficeNames, OfficeReply, OfficeRequest,
};
use model::ids::{DataCentreId, NodeId, ServiceId};
use model::sizes::NodeCapacity;
use policy::membership::{Member, MemberTable};
use policy::office::{HolderTime, VOTE_INTERVAL};
use policy::permit::LimitShard;
use tokio::time::Instant;

/// Nodes of a large data centre.
const NODES: usize = 44;
const SERVICES: usize = 300;
/// Bytes of an IP and a UDP header, a short QUIC header with its checksum, and a stream frame.
const PACKET_OVERHEAD: usize = 20 + 8 + 30 + 6;
/// Packets of an exchange in each direction: the message, and the acknowledgement of the other one.
const PACKETS: usize = 2;
/// The most that votes of a node may cost, in bytes a second.
const BYTES_PER_SECOND_MAX: f64 = 3_000.0;

fn member(number: usize) -> Member {
    Member {
        node: format!("entry-{number:03}-1765000000000").parse().unwrap(),
        address: ([127, 0, 0, 1], 7400).into(),
        data_centre: "lekki".parse().unwrap(),
        leaving: false,
        capacity: NodeCapacity::default(),
    }
}

/// However many services have a limit at once, a node votes for a few owners.
#[tokio::test(start_paused = true)]
async fn votes_stay_cheap_when_every_service_has_a_limit() {
    let mut table = MemberTable::new(member(0));
    table.replace((0..NODES).map(member).collect());
    let centre: DataCentreId = "lekki".parse().unwrap();
    let services = (0..SERVICES).map(|number| format!("service-{number}"));
    let shards: BTreeSet<LimitShard> = services
        .map(|service| LimitShard::of(&service.parse::<ServiceId>().unwrap()))
        .collect();
    let mut by_owner: BTreeMap<NodeId, Vec<LimitShard>> = BTreeMap::new();
    for shard in shards {
        let owner = table.limit_shard_owner(Instant::now(), shard, &centre);
        let owner = owner.unwrap().node.clone();
        by_owner.entry(owner).or_default().push(shard);
    }
    let mut bytes = 0;
    for (holder, shards) in by_owner {
        let vote = NodeRequest::Office(OfficeRequest::Vote {
            holder,
            from: member(0).node,
            offices: OfficeNames::Limits(shards),
            heard: Some(HolderTime::new(86_400_000)),
            voters: u32::try_from(NODES).unwrap(),
        });
        bytes += wire::encode(&vote).unwrap().len() + PACKETS * PACKET_OVERHEAD;
    }
    let rate = f64::from(u32::try_from(bytes).unwrap()) / VOTE_INTERVAL.as_secs_f64();
    println!("votes of a node: {rate:.0} bytes a second");
    assert!(rate < BYTES_PER_SECOND_MAX, "{rate}");
    let relay_vote = NodeRequest::Office(OfficeRequest::Vote {
        holder: member(1).node,
        from: member(0).node,
        offices: OfficeNames::RetryTokens,
        heard: Some(HolderTime::new(86_400_000)),
        voters: u32::try_from(NODES).unwrap(),
    });
    let relay_bytes = wire::encode(&relay_vote).unwrap().len() + PACKETS * PACKET_OVERHEAD;
    let relay_rate = relay_bytes * 1_000 / 450;
    println!("vote of a node for its relay: {relay_rate} bytes a second");
    let time = NodeReply::Office(OfficeReply::Time(HolderTime::new(86_400_000)));
    let reply_bytes = wire::encode(&time).unwrap().len() + PACKETS * PACKET_OVERHEAD;
    assert!(reply_bytes < PACKETS * PACKET_OVERHEAD + 16);
    let reply_rate = (NODES - 1) * reply_bytes * 1_000 / 450;
    println!("replies of an owner to all others: {reply_rate} bytes a second");
}
