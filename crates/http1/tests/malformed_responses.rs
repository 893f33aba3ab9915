//! Peers that send something other than a response.

use std::time::Duration;

use bytes::Bytes;
use gooseberrydyke_http1::client::{self, ExchangeError};
use model::call;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Makes one exchange with a peer that sends these bytes and closes the connection.
async fn exchange(bytes: &'static [u8]) -> Option<ExchangeError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        stream.write_all(bytes).await.unwrap();
    });
    let connection = client::open(address, Duration::from_secs(5)).await.unwrap();
    let request = http::Request::get("/").body(call::full_body(Bytes::new()));
    connection.exchange(request.unwrap()).await.err()
}

// A peer that closes an idle connection is no failing one, whereas one that sends no status is.
#[tokio::test]
async fn a_malformed_response_is_told_apart_from_a_closed_connection() {
    for line in [
        "000 Odd", "099 Odd", "20 Odd", "2000 Odd", "abc Odd", " Odd",
    ] {
        let text = format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n");
        let error = exchange(text.leak().as_bytes()).await;
        assert_eq!(error, Some(ExchangeError::Malformed), "{line}");
    }
    assert_eq!(exchange(b"").await, Some(ExchangeError::Broken));
    let cut = exchange(b"HTTP/1.1 20").await;
    assert_eq!(cut, Some(ExchangeError::Broken));
}
