//! How many connections a pool opens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use gooseberrydyke_upstream::pool::{ConnectionNeed, ConnectionPool, Freshness};
use http::Request;
use model::call;
use policy::exchange::CarriedId;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const REQUESTS: usize = 20_000;
/// A new connection for every hundredth request.
const CONNECTIONS_MAX: usize = 200;

async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let mut head = Vec::new();
    loop {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
        if head.ends_with(b"\r\n\r\n") {
            head.clear();
            stream.write_all(RESPONSE).await?;
        }
    }
}

/// Starts an upstream that counts its connections.
async fn start_upstream() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(serve(stream));
        }
    });
    (address, accepted)
}

// Connections that may carry no more requests must not take the places of those that may.
#[tokio::test]
async fn a_pool_under_load_keeps_reusing_its_connections() {
    let (address, accepted) = start_upstream().await;
    let pool = ConnectionPool::start(address);
    for number in 0..REQUESTS {
        let need = ConnectionNeed {
            freshness: Freshness::Any,
            id: CarriedId::of_bytes(&number.to_le_bytes()),
        };
        let pooled = pool.acquire(need).await.unwrap();
        let request = Request::get("/look").body(call::empty_body()).unwrap();
        let (_, returned) = pooled.connection.exchange(request).await.unwrap();
        let reusable = returned.await.unwrap();
        pool.release(reusable.connection, pooled.carried).await;
    }
    let accepted = accepted.load(Ordering::Relaxed);
    assert!(
        accepted <= CONNECTIONS_MAX,
        "{accepted} connections for {REQUESTS} requests"
    );
}
