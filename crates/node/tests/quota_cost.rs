//! What draws of quota tokens cost a node.

use gooseberrydyke_node::wire::{self, NodeReply, NodeRequest, OfficeReply, OfficeRequest};
use model::ids::NodeId;
use model::sizes::Rate;
use policy::quota::{QuotaDraw, QuotaGrant};

/// Bytes of an IP and a UDP header, a short QUIC header with its checksum, and a stream frame.
const PACKET_OVERHEAD: usize = 20 + 8 + 30 + 6;
/// Packets of an exchange in each direction: the message, and the acknowledgement of the other one.
const PACKETS: usize = 2;
/// Draws of a node in a second: one for each of its requests, as in the deployment of 121 nodes and
/// 1,034 requests per second, without any draw that serves several.
const DRAWS_PER_SECOND: f64 = 1_034.0 / 121.0;
/// Under a quarter of the 15 KB/s that a node may spend on control.
const BYTES_PER_SECOND_MAX: f64 = 3_500.0;

fn node(number: usize) -> NodeId {
    format!("entry-{number:03}-1765000000000").parse().unwrap()
}

/// Guards against a message that grows with the fleet or with the workspaces.
#[test]
#[expect(clippy::cast_precision_loss, reason = "a message is small")]
fn a_draw_for_each_request_stays_cheap() {
    let request = NodeRequest::Office(OfficeRequest::DrawQuota {
        holder: node(7),
        draw: QuotaDraw {
            from: node(100),
            workspace: "workspace-0042".parse().unwrap(),
            count: 12,
            deposit_millitokens: 900,
            is_new: false,
        },
    });
    let reply = NodeReply::Office(OfficeReply::QuotaTokens(QuotaGrant {
        tokens: 12,
        wait_ms: 150,
        reserved: Rate::per_second(13.2),
        complete: true,
    }));
    let [asked, replied] =
        [wire::encode(&request), wire::encode(&reply)].map(|bytes| bytes.unwrap().len());
    let sent = asked + PACKETS * PACKET_OVERHEAD;
    let per_second = DRAWS_PER_SECOND * sent as f64;
    println!(
        "draw {asked} bytes, reply {replied} bytes, {sent} with headers, {per_second:.0} bytes/s sent by a node"
    );
    assert!(per_second <= BYTES_PER_SECOND_MAX);
}
