//! The HTTP interface of the platform's stand-in.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response, StatusCode, header};
use http_body_util::BodyExt as _;
use http1::server::{self, RequestBody, ServeLimits};
use model::call::{self, BodyError, BodyStream};
use platform::vm::Vm;
use platform::wire;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{self, Instant};

use super::store::{self, PlatformFaults, StoreCommand, WriteCondition, WriteResult};

/// Maximum number of commands queued for the store.
const COMMANDS_MAX: usize = 1024;

/// A running stand-in of the platform; dropping it stops the stand-in.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    commands: mpsc::Sender<StoreCommand>,
    _stop: watch::Sender<bool>,
}

impl PlatformStandin {
    /// Starts the stand-in; each call takes at least `delay`. With port 0 the system assigns
    /// a port.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(address: SocketAddr, delay: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let (stop, stopping) = watch::channel(false);
        tokio::spawn(store::run(inbox));
        let handler = request_handler(commands.clone(), delay);
        tokio::spawn(server::listen(
            listener,
            ServeLimits::default(),
            handler,
            stopping,
        ));
        Ok(Self {
            address,
            commands,
            _stop: stop,
        })
    }

    /// The address that the stand-in listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub async fn set_faults(&self, faults: PlatformFaults) {
        let _ = self.commands.send(StoreCommand::SetFaults(faults)).await;
    }

    /// Replaces the VM list.
    pub async fn set_vms(&self, vms: Vec<Vm>) {
        let _ = self.commands.send(StoreCommand::SetVms(vms)).await;
    }

    /// Number of calls received so far, by operation; calls rejected in an outage are
    /// not counted.
    pub async fn calls(&self) -> BTreeMap<&'static str, u64> {
        execute(&self.commands, StoreCommand::GetCallCounts)
            .await
            .unwrap_or_default()
    }
}

/// Sends a command to the store and waits for the reply; `None` when the store has stopped.
async fn execute<T>(
    commands: &mpsc::Sender<StoreCommand>,
    command: impl FnOnce(oneshot::Sender<T>) -> StoreCommand,
) -> Option<T> {
    let (reply, response) = oneshot::channel();
    commands.send(command(reply)).await.ok()?;
    response.await.ok()
}

fn request_handler(
    commands: mpsc::Sender<StoreCommand>,
    delay: Duration,
) -> server::Handler<BodyStream> {
    Arc::new(move |request| {
        let commands = commands.clone();
        Box::pin(async move {
            time::sleep(delay).await;
            let response = respond(&commands, request).await;
            response.unwrap_or_else(|| empty_response(StatusCode::BAD_REQUEST))
        })
    })
}

/// Handles a request; `None` when it is malformed or the store has stopped.
async fn respond(
    commands: &mpsc::Sender<StoreCommand>,
    request: http::Request<RequestBody>,
) -> Option<Response<BodyStream>> {
    let path = request.uri().path().to_owned();
    let query = parse_query(request.uri().query().unwrap_or_default());
    if let Some(action) = path.strip_prefix("/control/") {
        return handle_control(commands, action, request).await;
    }
    if execute(commands, StoreCommand::IsUnavailable).await? {
        return Some(empty_response(StatusCode::SERVICE_UNAVAILABLE));
    }
    let operation = operation_name(request.method(), &path);
    commands
        .send(StoreCommand::RecordCall(operation))
        .await
        .ok()?;
    match operation {
        "vms" => Some(json_response(
            &execute(commands, StoreCommand::GetVms).await?,
        )),
        "watch" => handle_watch(commands, &query).await,
        "list" => {
            let prefix = query.get("prefix").cloned().unwrap_or_default();
            let after = query.get("after").cloned().unwrap_or_default();
            let page = execute(commands, |reply| StoreCommand::List {
                prefix,
                after,
                reply,
            })
            .await?;
            Some(json_response(&page))
        }
        _ => handle_object(commands, &path, request).await,
    }
}

fn operation_name(method: &Method, path: &str) -> &'static str {
    match path {
        wire::VMS_PATH => "vms",
        wire::WATCH_PATH => "watch",
        wire::OBJECTS_PATH => "list",
        _ if *method == Method::GET => "get",
        _ => "write",
    }
}

async fn handle_watch(
    commands: &mpsc::Sender<StoreCommand>,
    query: &HashMap<String, String>,
) -> Option<Response<BodyStream>> {
    let prefix = query.get("prefix")?.clone();
    let since = query.get("since")?.parse().ok()?;
    let wait_millis = query.get("wait_ms")?.parse().ok()?;
    let until = Instant::now() + Duration::from_millis(wait_millis);
    let command = |reply| StoreCommand::Watch {
        prefix,
        since,
        until,
        reply,
    };
    Some(json_response(&execute(commands, command).await?))
}

async fn handle_object(
    commands: &mpsc::Sender<StoreCommand>,
    path: &str,
    request: http::Request<RequestBody>,
) -> Option<Response<BodyStream>> {
    let name = path
        .strip_prefix(wire::OBJECTS_PATH)?
        .strip_prefix('/')?
        .to_owned();
    if request.method() == Method::GET {
        let found = execute(commands, |reply| StoreCommand::Get(name, reply)).await?;
        let Some((version, body)) = found else {
            return Some(empty_response(StatusCode::NOT_FOUND));
        };
        let mut response = Response::new(call::full_body(body));
        response
            .headers_mut()
            .insert(header::ETAG, wire::format_etag(version).parse().ok()?);
        return Some(response);
    }
    let condition = parse_condition(request.headers());
    let body = match *request.method() {
        Method::PUT => Some(request.into_body().collect().await.ok()?.to_bytes()),
        Method::DELETE => None,
        _ => return Some(empty_response(StatusCode::METHOD_NOT_ALLOWED)),
    };
    let too_large = body
        .as_ref()
        .is_some_and(|body| body.len() > platform::object::OBJECT_BYTES_MAX);
    if too_large {
        return Some(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let result = execute(commands, |reply| StoreCommand::Write {
        name,
        body,
        condition,
        reply,
    })
    .await?;
    Some(write_response(&result))
}

fn write_response(result: &WriteResult) -> Response<BodyStream> {
    match result {
        WriteResult::Stored { version, created } => {
            let status = if *created {
                StatusCode::CREATED
            } else {
                StatusCode::OK
            };
            let mut response = empty_response(status);
            if let Ok(tag) = wire::format_etag(*version).parse() {
                response.headers_mut().insert(header::ETAG, tag);
            }
            response
        }
        WriteResult::Removed => empty_response(StatusCode::NO_CONTENT),
        WriteResult::PreconditionFailed => empty_response(StatusCode::PRECONDITION_FAILED),
        WriteResult::ResponseLost => Response::new(broken_body()),
    }
}

/// A body that fails at once, so that the connection closes before the response is complete.
fn broken_body() -> BodyStream {
    let frames = http_body_util::StreamBody::new(BrokenStream);
    BodyStream::new(frames)
}

struct BrokenStream;

impl futures_core::Stream for BrokenStream {
    type Item = Result<hyper::body::Frame<Bytes>, BodyError>;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        std::task::Poll::Ready(Some(Err(BodyError::Broken)))
    }
}

/// Sets faults and the VM list, or reads call counts, for tests that run the stand-in as a process.
async fn handle_control(
    commands: &mpsc::Sender<StoreCommand>,
    action: &str,
    request: http::Request<RequestBody>,
) -> Option<Response<BodyStream>> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    match action {
        "vms" => commands
            .send(StoreCommand::SetVms(serde_json::from_slice(&body).ok()?))
            .await
            .ok()?,
        "outage" => {
            let faults = PlatformFaults {
                outage: &body[..] == b"on",
                lose_responses: 0,
            };
            commands.send(StoreCommand::SetFaults(faults)).await.ok()?;
        }
        "lose-answers" => {
            let lose_responses = std::str::from_utf8(&body).ok()?.trim().parse().ok()?;
            let faults = PlatformFaults {
                outage: false,
                lose_responses,
            };
            commands.send(StoreCommand::SetFaults(faults)).await.ok()?;
        }
        "calls" => {
            return Some(json_response(
                &execute(commands, StoreCommand::GetCallCounts).await?,
            ));
        }
        _ => return Some(empty_response(StatusCode::NOT_FOUND)),
    }
    Some(empty_response(StatusCode::NO_CONTENT))
}

fn parse_condition(headers: &http::HeaderMap) -> WriteCondition {
    if headers.contains_key(header::IF_NONE_MATCH) {
        return WriteCondition::Absent;
    }
    let tag = http1::header::text(headers, header::IF_MATCH.as_str());
    match tag {
        Some(tag) => WriteCondition::Version(wire::parse_etag(tag).unwrap_or_default()),
        None => WriteCondition::Unconditional,
    }
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn empty_response(status: StatusCode) -> Response<BodyStream> {
    let mut response = Response::new(call::empty_body());
    *response.status_mut() = status;
    response
}

fn json_response<T: serde::Serialize>(value: &T) -> Response<BodyStream> {
    Response::new(call::full_body(
        serde_json::to_vec(value).unwrap_or_default(),
    ))
}
