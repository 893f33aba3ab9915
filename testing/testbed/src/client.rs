//! An HTTP caller that keeps its connection alive between requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, header};
use http_body_util::BodyExt as _;
use http1::client::{self, Connection};
use model::call;
use tokio::time;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A request of a [`CallerClient`].
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query, in origin form.
    pub target: String,
    /// Headers other than `host`, which the client adds.
    pub headers: Vec<(&'static str, String)>,
    /// The body, sent whole; empty for a lookup.
    pub body: Bytes,
    /// How long the caller waits for the complete response, connecting included.
    pub timeout: Duration,
}

impl ClientRequest {
    /// A `GET` request with a timeout of 15 s.
    pub fn get(target: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            target: target.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(15),
        }
    }

    /// A `POST` request, as for an action, with a timeout of 15 s.
    pub fn post(target: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(target)
        }
    }

    /// Adds a header; earlier ones of the same name stay.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// What a [`CallerClient`] received for a request.
#[derive(Debug, Clone)]
pub struct ClientResponse {
    /// Status code; 0 when no response head arrived.
    pub status: u16,
    /// Headers of the response; empty when no head arrived.
    pub headers: HeaderMap,
    /// The bytes of the body that arrived before it ended or broke off.
    pub body: Bytes,
    /// Whether the body arrived up to its end.
    pub complete: bool,
    /// Whether any part of the request may have been sent; `false` when no connection
    /// could be opened.
    pub sent: bool,
}

impl ClientResponse {
    /// The result when no response head arrived.
    fn without_head(sent: bool) -> Self {
        Self {
            status: 0,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            complete: false,
            sent,
        }
    }

    /// The value of a header, if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        http1::header::text(&self.headers, name)
    }

    /// The outcome that the fleet states in responses it generates itself, such as `not-run`.
    pub fn outcome(&self) -> Option<&str> {
        self.header(caller::wire::OUTCOME)
    }
}

/// A caller that sends its requests to one address, over a kept-alive connection.
#[derive(Debug)]
pub struct CallerClient {
    address: SocketAddr,
    idle: Option<Connection>,
}

impl CallerClient {
    /// Creates a caller of the address; it connects with the first request.
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: None,
        }
    }

    /// Sends further requests to another address; a connection to the old one is closed.
    pub fn set_address(&mut self, address: SocketAddr) {
        if self.address != address {
            self.address = address;
            self.idle = None;
        }
    }

    /// Sends a request and reads the response to its end.
    pub async fn call(&mut self, request: ClientRequest) -> ClientResponse {
        let timeout = request.timeout;
        let response = time::timeout(timeout, self.exchange(request)).await;
        response.unwrap_or_else(|_| ClientResponse::without_head(true))
    }

    async fn exchange(&mut self, request: ClientRequest) -> ClientResponse {
        let idle = self
            .idle
            .take()
            .filter(|connection| !connection.is_closed());
        let connection = match idle {
            Some(connection) => Some(connection),
            None => client::open(self.address, CONNECT_TIMEOUT).await.ok(),
        };
        let Some(connection) = connection else {
            return ClientResponse::without_head(false);
        };
        let response = self.exchange_over(connection, request).await;
        response.unwrap_or_else(|| ClientResponse::without_head(true))
    }

    async fn exchange_over(
        &mut self,
        connection: Connection,
        request: ClientRequest,
    ) -> Option<ClientResponse> {
        let mut builder = http::Request::builder()
            .method(request.method)
            .uri(request.target)
            .header(header::HOST, "fleet");
        for (name, value) in request.headers {
            builder = builder.header(name, value);
        }
        let request = builder.body(call::full_body(request.body)).ok()?;
        let (response, returned_connection) = connection.exchange(request).await.ok()?;
        let (parts, mut body) = response.into_parts();
        let mut bytes = BytesMut::new();
        let complete = loop {
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
        if complete {
            self.idle = returned_connection
                .await
                .map(|returned| returned.connection);
        }
        let status = parts.status.as_u16();
        Some(ClientResponse {
            status,
            headers: parts.headers,
            body: bytes.freeze(),
            complete,
            sent: true,
        })
    }
}
