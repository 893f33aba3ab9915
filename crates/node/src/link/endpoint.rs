//! The QUIC endpoint through which a node reaches all other nodes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quinn::{ClientConfig, Endpoint, IdleTimeout, ServerConfig, TransportConfig, VarInt};

use crate::keys::NodeKeys;

/// Idle time after which a connection is closed, in milliseconds.
const IDLE_TIMEOUT_MILLIS: u32 = 30_000;
/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 512 * 1024;
/// Flow-control window of one connection, in bytes, for sending and receiving.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;
/// Maximum number of open streams for each peer.
const STREAMS_MAX: u32 = 128;
/// Buffer for received datagrams, in bytes; when it is full, the oldest are dropped.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;
/// Round-trip time assumed before the first sample. It is short, so that a lost first
/// packet is soon sent again.
const INITIAL_RTT: Duration = Duration::from_millis(50);

/// Binds the endpoint for connections in both directions.
///
/// # Errors
/// When the address cannot be bound.
pub fn open_endpoint(address: SocketAddr, keys: &NodeKeys) -> io::Result<Endpoint> {
    let transport = Arc::new(transport());
    let mut server = ServerConfig::with_crypto(keys.server.clone());
    server.transport_config(Arc::clone(&transport));
    let mut client = ClientConfig::new(keys.client.clone());
    client.transport_config(transport);
    let mut endpoint = Endpoint::server(server, address)?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(
            IDLE_TIMEOUT_MILLIS,
        ))))
        .initial_rtt(INITIAL_RTT)
        .max_concurrent_bidi_streams(VarInt::from_u32(STREAMS_MAX))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .send_window(u64::from(CONNECTION_WINDOW_BYTES))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES));
    transport
}
