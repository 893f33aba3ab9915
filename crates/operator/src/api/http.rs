//! The administration API over HTTP, served by a blocking server with a fixed thread pool.

use std::io;
use std::io::Read as _;
use std::net::SocketAddr;

use model::config::{Route, Service, Upstream, Workspace};
use model::error::{ErrorKind, FleetError};
use model::sizes;
use rouille::{Request, Response};
use tokio::runtime::Handle;

use super::calls::{AdminApi, ChangeCall};
use super::description;
use super::wire::{ErrorResponse, StateRequest, TokenRequest};
use crate::change::ConfigStep;
use crate::sheet::{self, SheetFault};
use crate::tokens::{Principal, Role};

/// Maximum size of a request body, such as a sheet.
const BODY_BYTES_MAX: u64 = 32 * 1024 * 1024;
/// Number of threads that serve requests.
const SERVER_THREADS: usize = 8;
/// Number of audit entries that are returned if the call gives no number.
const AUDIT_ENTRIES_DEFAULT: usize = 20;

type RequestHandler = Box<dyn Fn(&Request) -> Response + Send + Sync>;

/// A bound server. It serves requests while [`Self::run`] runs.
pub struct AdminServer {
    /// The address on which it listens, with the actual port.
    pub address: SocketAddr,
    server: rouille::Server<RequestHandler>,
}

impl AdminServer {
    /// Binds the server. Its threads execute calls on the runtime of `handle`.
    ///
    /// # Errors
    /// [`io::Error`] if the address cannot be bound.
    pub fn bind(address: SocketAddr, api: AdminApi, handle: Handle) -> io::Result<Self> {
        let handler: RequestHandler =
            Box::new(move |request| handle.block_on(serve(&api, request)));
        let server = rouille::Server::new(address, handler).map_err(io::Error::other)?;
        let server = server.pool_size(SERVER_THREADS);
        Ok(Self {
            address: server.server_addr(),
            server,
        })
    }

    /// Serves requests until `stop` receives a message or its sender is dropped.
    pub fn run(self, stop: &std::sync::mpsc::Receiver<()>) {
        while matches!(stop.try_recv(), Err(std::sync::mpsc::TryRecvError::Empty)) {
            self.server
                .poll_timeout(std::time::Duration::from_millis(200));
        }
    }
}

/// The error of a call, with the faults of a sheet that it sent.
struct CallFailure {
    error: FleetError,
    sheet_faults: Vec<SheetFault>,
}

impl From<FleetError> for CallFailure {
    fn from(error: FleetError) -> Self {
        Self {
            error,
            sheet_faults: Vec::new(),
        }
    }
}

type CallResult = Result<Response, CallFailure>;

async fn serve(api: &AdminApi, request: &Request) -> Response {
    dispatch(api, request)
        .await
        .unwrap_or_else(|failure| error_response(&failure))
}

async fn dispatch(api: &AdminApi, request: &Request) -> CallResult {
    let path = request.url();
    let segments: Vec<&str> = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect();
    if let ["healthz"] = segments[..] {
        return Ok(Response::text("ok\n"));
    }
    let token = request
        .header("authorization")
        .and_then(|text| text.strip_prefix("Bearer "));
    let principal = api.authenticate(token).await?;
    principal.require(Role::Viewer)?;
    match (request.method(), &segments[..]) {
        ("GET", ["v1", "openapi.json"]) => Ok(Response::json(&description::openapi())),
        ("GET", ["v1", "status"]) => Ok(Response::json(&api.status().await?)),
        ("GET", ["v1", "audit"]) => {
            let limit = request.get_param("most").and_then(|text| text.parse().ok());
            Ok(Response::json(
                &api.audit(limit.unwrap_or(AUDIT_ENTRIES_DEFAULT)).await?,
            ))
        }
        ("GET", ["v1", part]) => {
            let listing = api.list(part).await?;
            Ok(with_etag(Response::json(&listing), listing.generation))
        }
        ("POST", ["v1", "tokens"]) => {
            let body: TokenRequest = read_json(request)?;
            Ok(Response::json(&api.issue_token(&principal, body).await?).with_status_code(201))
        }
        ("DELETE", ["v1", "tokens", operator]) => {
            api.revoke_token(&principal, &parse_id(operator)?).await?;
            Ok(Response::empty_204())
        }
        _ => change(api, request, principal, &segments).await,
    }
}

async fn change(
    api: &AdminApi,
    request: &Request,
    principal: Principal,
    segments: &[&str],
) -> CallResult {
    let step = read_step(request, segments)?;
    let flag = |name: &str| request.get_param(name).is_some_and(|value| value == "true");
    let call = ChangeCall {
        principal,
        step,
        expected: read_expected(request)?,
        plan_only: flag("plan"),
        large_share: flag("large-share"),
    };
    let body = api.change(call).await?;
    Ok(with_etag(Response::json(&body), body.generation))
}

fn read_step(request: &Request, segments: &[&str]) -> Result<ConfigStep, CallFailure> {
    let step = match (request.method(), segments) {
        ("PUT", ["v1", "services", id]) => {
            let service: Service = read_json(request)?;
            require_same_id(id, service.id.as_str())?;
            ConfigStep::PutService(service)
        }
        ("DELETE", ["v1", "services", id]) => ConfigStep::RemoveService(parse_id(id)?),
        ("PUT", ["v1", "services", service, "upstreams", id]) => {
            let upstream: Upstream = read_json(request)?;
            require_same_id(id, upstream.id.as_str())?;
            ConfigStep::PutUpstream {
                service: parse_id(service)?,
                upstream,
            }
        }
        ("DELETE", ["v1", "services", service, "upstreams", id]) => ConfigStep::RemoveUpstream {
            service: parse_id(service)?,
            upstream: parse_id(id)?,
        },
        ("PUT", ["v1", "services", service, "upstreams", id, "state"]) => {
            let StateRequest { state } = read_json(request)?;
            ConfigStep::SetState {
                service: parse_id(service)?,
                upstream: parse_id(id)?,
                state,
            }
        }
        ("PUT", ["v1", "routes", id]) => {
            let route: Route = read_json(request)?;
            require_same_id(id, route.id.as_str())?;
            ConfigStep::PutRoute(route)
        }
        ("DELETE", ["v1", "routes", id]) => ConfigStep::RemoveRoute(parse_id(id)?),
        ("PUT", ["v1", "workspaces", id]) => {
            let workspace: Workspace = read_json(request)?;
            require_same_id(id, workspace.id.as_str())?;
            ConfigStep::PutWorkspace(workspace)
        }
        ("DELETE", ["v1", "workspaces", id]) => ConfigStep::RemoveWorkspace(parse_id(id)?),
        ("POST", ["v1", "sheet"]) => read_sheet(request)?,
        (method, _) => {
            let detail = format!("the API has no call {method} {}", request.url());
            return Err(FleetError::new(ErrorKind::NotFound, detail).into());
        }
    };
    Ok(step)
}

fn read_sheet(request: &Request) -> Result<ConfigStep, CallFailure> {
    let bytes = read_body(request)?;
    let sheet = sheet::parse(&bytes).map_err(|faults| CallFailure {
        error: FleetError::new(
            ErrorKind::Invalid,
            format!("the sheet has {} faults", faults.len()),
        ),
        sheet_faults: faults,
    })?;
    Ok(sheet.into_step())
}

/// The generation in the `If-Match` header; none without the header.
fn read_expected(request: &Request) -> Result<Option<sizes::Generation>, FleetError> {
    let Some(text) = request.header("if-match") else {
        return Ok(None);
    };
    let generation = text.trim().trim_matches('"').parse();
    generation.map(Some).map_err(|error| {
        FleetError::new(
            ErrorKind::Invalid,
            format!("invalid If-Match header: {error}"),
        )
    })
}

fn read_body(request: &Request) -> Result<Vec<u8>, FleetError> {
    let consumed = || FleetError::new(ErrorKind::Invalid, "the request body was already read");
    let mut bytes = Vec::new();
    let mut body = request
        .data()
        .ok_or_else(consumed)?
        .take(BODY_BYTES_MAX + 1);
    let read = body.read_to_end(&mut bytes);
    read.map_err(|error| FleetError::new(ErrorKind::BadRequest, error.to_string()))?;
    if bytes.len() as u64 > BODY_BYTES_MAX {
        return Err(FleetError::new(
            ErrorKind::Invalid,
            "the request body is larger than 32 MiB",
        ));
    }
    Ok(bytes)
}

fn read_json<T: serde::de::DeserializeOwned>(request: &Request) -> Result<T, FleetError> {
    let bytes = read_body(request)?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let detail = format!("cannot decode the request body: {error}");
        FleetError::new(ErrorKind::Invalid, detail)
    })
}

fn parse_id<T: std::str::FromStr<Err = model::error::ValueError>>(
    text: &str,
) -> Result<T, FleetError> {
    text.parse().map_err(|error: model::error::ValueError| {
        FleetError::new(ErrorKind::Invalid, error.to_string())
    })
}

/// Checks that the id in the path is the id in the body.
fn require_same_id(path: &str, body: &str) -> Result<(), FleetError> {
    if path == body {
        return Ok(());
    }
    let detail = format!("the path names {path}, but the body names {body}");
    Err(FleetError::new(ErrorKind::Invalid, detail))
}

fn error_response(failure: &CallFailure) -> Response {
    let error = &failure.error;
    let response = error.kind().response();
    let body = ErrorResponse {
        error: error.kind().as_str().into(),
        outcome: response.outcome.as_str().into(),
        retryable: response.retryable,
        detail: error.detail().into(),
        sheet_faults: failure.sheet_faults.clone(),
    };
    Response::json(&body).with_status_code(response.status)
}

/// Adds a generation as the entity tag of a response.
fn with_etag(response: Response, generation: sizes::Generation) -> Response {
    response.with_unique_header("ETag", format!("\"{generation}\""))
}
