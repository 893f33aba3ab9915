//! Connections that callers open at once.

use std::sync::Arc;
use std::time::Duration;

use gooseberrydyke_caller::{CallerLimits, CallerListener, CallerMemory, CallerSettings};
use model::error::{ErrorKind, FleetError};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

/// Connections of a burst, the size of those that the soak opens.
const CONNECTIONS: usize = 500;
/// Less than the second after which a system repeats the first packet of a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

// While a node is busy, connections wait in the queue of the system. Those that do not fit are
// opened only a second later, which costs their requests that second.
#[tokio::test]
async fn a_burst_of_connections_waits_for_a_node_that_does_not_accept_them_yet() {
    let settings = CallerSettings {
        limits: watch::channel(CallerLimits::default()).1,
        headers: Arc::default(),
        dispatch: Arc::new(|_| {
            let error = FleetError::new(ErrorKind::NoRoute, "no route");
            Box::pin(async { Err(error) })
        }),
        memory: CallerMemory::default(),
    };
    let draining = watch::channel(false).1;
    let listener = CallerListener::bind(([127, 0, 0, 1], 0).into(), settings, draining).unwrap();
    let address = listener.address().unwrap();
    let mut connecting = JoinSet::new();
    for _ in 0..CONNECTIONS {
        connecting.spawn(time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)));
    }
    let connected = connecting.join_all().await;
    let count = connected
        .iter()
        .filter(|end| matches!(end, Ok(Ok(_))))
        .count();
    assert_eq!(count, CONNECTIONS);
}
