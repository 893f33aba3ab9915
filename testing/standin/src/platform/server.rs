//! The HTTP side of the platform's stand-in.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response, StatusCode, header};
use http_body_util::BodyExt as _;
use http1::server::{self, ServeLimits};
use hyper::body::Incoming;
use model::call::{self, BodyError, BodyStream};
use platform::vm::Vm;
use platform::wire;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{self, Instant};

use super::store::{self, PlatformFaults, StoreCommand, WriteAnswer, WriteWhen};

/// Orders that wait for the store.
const COMMANDS_MAX: usize = 1024;

/// A running stand-in; it stops when this is dropped.
#[derive(Debug)]
pub struct PlatformStandin {
    address: SocketAddr,
    commands: mpsc::Sender<StoreCommand>,
    _stop: watch::Sender<bool>,
}

impl PlatformStandin {
    /// Starts the stand-in on an address whose port may be zero.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(address: SocketAddr, delay: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (commands, inbox) = mpsc::channel(COMMANDS_MAX);
        let (stop, stopping) = watch::channel(false);
        tokio::spawn(store::run(inbox));
        let handler = handler(commands.clone(), delay);
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

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults that it shows.
    pub async fn set_faults(&self, faults: PlatformFaults) {
        let _ = self.commands.send(StoreCommand::SetFaults(faults)).await;
    }

    /// Sets the VM list.
    pub async fn set_vms(&self, vms: Vec<Vm>) {
        let _ = self.commands.send(StoreCommand::SetVms(vms)).await;
    }

    /// Calls so far by operation.
    pub async fn calls(&self) -> BTreeMap<&'static str, u64> {
        ask(&self.commands, StoreCommand::Calls)
            .await
            .unwrap_or_default()
    }
}

async fn ask<T>(
    commands: &mpsc::Sender<StoreCommand>,
    command: impl FnOnce(oneshot::Sender<T>) -> StoreCommand,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    commands.send(command(reply)).await.ok()?;
    answer.await.ok()
}

fn handler(commands: mpsc::Sender<StoreCommand>, delay: Duration) -> server::Handler<BodyStream> {
    Arc::new(move |request| {
        let commands = commands.clone();
        Box::pin(async move {
            time::sleep(delay).await;
            let answered = answer(&commands, request).await;
            answered.unwrap_or_else(|| plain(StatusCode::BAD_REQUEST))
        })
    })
}

async fn answer(
    commands: &mpsc::Sender<StoreCommand>,
    request: http::Request<Incoming>,
) -> Option<Response<BodyStream>> {
    let path = request.uri().path().to_owned();
    let query = read_query(request.uri().query().unwrap_or_default());
    if let Some(control) = path.strip_prefix("/control/") {
        return self::control(commands, control, request).await;
    }
    if ask(commands, StoreCommand::IsOut).await? {
        return Some(plain(StatusCode::SERVICE_UNAVAILABLE));
    }
    let operation = operation_of(request.method(), &path);
    commands.send(StoreCommand::Count(operation)).await.ok()?;
    match operation {
        "vms" => Some(json(&ask(commands, StoreCommand::Vms).await?)),
        "watch" => watch_changes(commands, &query).await,
        "list" => {
            let prefix = query.get("prefix").cloned().unwrap_or_default();
            let after = query.get("after").cloned().unwrap_or_default();
            let page = ask(commands, |reply| StoreCommand::List {
                prefix,
                after,
                reply,
            })
            .await?;
            Some(json(&page))
        }
        _ => object(commands, &path, request).await,
    }
}

fn operation_of(method: &Method, path: &str) -> &'static str {
    match path {
        wire::VMS_PATH => "vms",
        wire::WATCH_PATH => "watch",
        wire::OBJECTS_PATH => "list",
        _ if *method == Method::GET => "get",
        _ => "write",
    }
}

async fn watch_changes(
    commands: &mpsc::Sender<StoreCommand>,
    query: &HashMap<String, String>,
) -> Option<Response<BodyStream>> {
    let prefix = query.get("prefix")?.clone();
    let since = query.get("since")?.parse().ok()?;
    let wait = query.get("wait_ms")?.parse().ok()?;
    let until = Instant::now() + Duration::from_millis(wait);
    let command = |reply| StoreCommand::Watch {
        prefix,
        since,
        until,
        reply,
    };
    Some(json(&ask(commands, command).await?))
}

async fn object(
    commands: &mpsc::Sender<StoreCommand>,
    path: &str,
    request: http::Request<Incoming>,
) -> Option<Response<BodyStream>> {
    let name = path
        .strip_prefix(wire::OBJECTS_PATH)?
        .strip_prefix('/')?
        .to_owned();
    if request.method() == Method::GET {
        let found = ask(commands, |reply| StoreCommand::Get(name, reply)).await?;
        let Some((version, body)) = found else {
            return Some(plain(StatusCode::NOT_FOUND));
        };
        let mut response = Response::new(call::full_body(body));
        response
            .headers_mut()
            .insert(header::ETAG, wire::format_etag(version).parse().ok()?);
        return Some(response);
    }
    let when = read_condition(request.headers());
    let body = match *request.method() {
        Method::PUT => Some(request.into_body().collect().await.ok()?.to_bytes()),
        Method::DELETE => None,
        _ => return Some(plain(StatusCode::METHOD_NOT_ALLOWED)),
    };
    let too_large = body
        .as_ref()
        .is_some_and(|body| body.len() > platform::object::OBJECT_BYTES_MAX);
    if too_large {
        return Some(plain(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let written = ask(commands, |reply| StoreCommand::Write {
        name,
        body,
        when,
        reply,
    })
    .await?;
    Some(write_response(&written))
}

fn write_response(written: &WriteAnswer) -> Response<BodyStream> {
    match written {
        WriteAnswer::Done { version, created } => {
            let status = if *created {
                StatusCode::CREATED
            } else {
                StatusCode::OK
            };
            let mut response = plain(status);
            if let Ok(tag) = wire::format_etag(*version).parse() {
                response.headers_mut().insert(header::ETAG, tag);
            }
            response
        }
        WriteAnswer::Gone => plain(StatusCode::NO_CONTENT),
        WriteAnswer::Refused => plain(StatusCode::PRECONDITION_FAILED),
        WriteAnswer::Lost => Response::new(broken_body()),
    }
}

/// A body that breaks the connection, so that the answer never arrives whole.
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

async fn control(
    commands: &mpsc::Sender<StoreCommand>,
    control: &str,
    request: http::Request<Incoming>,
) -> Option<Response<BodyStream>> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    match control {
        "vms" => commands
            .send(StoreCommand::SetVms(serde_json::from_slice(&body).ok()?))
            .await
            .ok()?,
        "outage" => {
            let faults = PlatformFaults {
                outage: &body[..] == b"on",
                lose_answers: 0,
            };
            commands.send(StoreCommand::SetFaults(faults)).await.ok()?;
        }
        "lose-answers" => {
            let lose_answers = std::str::from_utf8(&body).ok()?.trim().parse().ok()?;
            let faults = PlatformFaults {
                outage: false,
                lose_answers,
            };
            commands.send(StoreCommand::SetFaults(faults)).await.ok()?;
        }
        "calls" => return Some(json(&ask(commands, StoreCommand::Calls).await?)),
        _ => return Some(plain(StatusCode::NOT_FOUND)),
    }
    Some(plain(StatusCode::NO_CONTENT))
}

fn read_condition(headers: &http::HeaderMap) -> WriteWhen {
    if headers.contains_key(header::IF_NONE_MATCH) {
        return WriteWhen::Absent;
    }
    let tag = http1::header::text(headers, header::IF_MATCH.as_str());
    match tag {
        Some(tag) => WriteWhen::Version(wire::parse_etag(tag).unwrap_or_default()),
        None => WriteWhen::Always,
    }
}

fn read_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn plain(status: StatusCode) -> Response<BodyStream> {
    let mut response = Response::new(call::empty_body());
    *response.status_mut() = status;
    response
}

fn json<T: serde::Serialize>(value: &T) -> Response<BodyStream> {
    Response::new(call::full_body(
        serde_json::to_vec(value).unwrap_or_default(),
    ))
}
