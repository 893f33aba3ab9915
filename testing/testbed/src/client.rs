//! A caller with keep-alive connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, header};
use http_body_util::BodyExt as _;
use http1::client::{self, Connection};
use model::call;
use tokio::time;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A request.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers beside the host.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
    /// How long the caller waits for the whole answer.
    pub timeout: Duration,
}

impl ClientRequest {
    /// A request for a path.
    pub fn get(target: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            target: target.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(15),
        }
    }

    /// A request that performs an action.
    pub fn post(target: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(target)
        }
    }

    /// The same request with one more header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// What came back.
#[derive(Debug, Clone)]
pub struct ClientAnswer {
    /// Status code; zero when there was no head.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The bytes that arrived.
    pub body: Bytes,
    /// Whether the body arrived to its end.
    pub whole: bool,
    /// Whether a connection was open and the request may have been sent.
    pub sent: bool,
}

impl ClientAnswer {
    fn nothing(sent: bool) -> Self {
        Self {
            status: 0,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            whole: false,
            sent,
        }
    }

    /// The text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        http1::header::text(&self.headers, name)
    }

    /// What the fleet says of a request that it answered itself.
    pub fn outcome(&self) -> Option<&str> {
        self.header(caller::wire::OUTCOME)
    }
}

/// A caller that talks to one address and keeps its connection.
#[derive(Debug)]
pub struct CallerClient {
    address: SocketAddr,
    idle: Option<Connection>,
}

impl CallerClient {
    /// A caller of an address.
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: None,
        }
    }

    /// Talks to another address from now on.
    pub fn turn_to(&mut self, address: SocketAddr) {
        if self.address != address {
            self.address = address;
            self.idle = None;
        }
    }

    /// Sends a request and reads the answer to its end.
    pub async fn call(&mut self, request: ClientRequest) -> ClientAnswer {
        let timeout = request.timeout;
        let answered = time::timeout(timeout, self.exchange(request)).await;
        answered.unwrap_or_else(|_| ClientAnswer::nothing(true))
    }

    async fn exchange(&mut self, request: ClientRequest) -> ClientAnswer {
        let idle = self
            .idle
            .take()
            .filter(|connection| !connection.is_closed());
        let connection = match idle {
            Some(connection) => Some(connection),
            None => client::open(self.address, CONNECT_TIMEOUT).await.ok(),
        };
        let Some(connection) = connection else {
            return ClientAnswer::nothing(false);
        };
        let answer = self.exchange_over(connection, request).await;
        answer.unwrap_or_else(|| ClientAnswer::nothing(true))
    }

    async fn exchange_over(
        &mut self,
        connection: Connection,
        request: ClientRequest,
    ) -> Option<ClientAnswer> {
        let mut builder = http::Request::builder()
            .method(request.method)
            .uri(request.target)
            .header(header::HOST, "fleet");
        for (name, value) in request.headers {
            builder = builder.header(name, value);
        }
        let request = builder.body(call::full_body(request.body)).ok()?;
        let (response, given_back) = connection.exchange(request).await.ok()?;
        let (parts, mut body) = response.into_parts();
        let mut bytes = BytesMut::new();
        let whole = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        bytes.extend_from_slice(&data);
                    }
                }
            }
        };
        if whole {
            self.idle = given_back.await.map(|returned| returned.connection);
        }
        let status = parts.status.as_u16();
        Some(ClientAnswer {
            status,
            headers: parts.headers,
            body: bytes.freeze(),
            whole,
            sent: true,
        })
    }
}
