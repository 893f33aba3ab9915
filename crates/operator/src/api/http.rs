//! The administration API over HTTP, by a blocking server with a few threads.

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
use super::wire::{ErrorAnswer, StateBody, TokenBody};
use crate::change::ConfigStep;
use crate::sheet::{self, SheetFault};
use crate::tokens::{Caller, Role};

/// The largest body, in bytes.
const BODY_BYTES_MAX: u64 = 32 * 1024 * 1024;
/// Threads that serve calls.
const THREADS: usize = 8;
/// Audit entries when the call does not say.
const AUDIT_DEFAULT: usize = 20;

type Answer = Box<dyn Fn(&Request) -> Response + Send + Sync>;

/// A running server.
pub struct AdminServer {
    /// Where it listens.
    pub address: SocketAddr,
    server: rouille::Server<Answer>,
}

impl AdminServer {
    /// Binds the server; calls run on the runtime of `handle`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn bind(address: SocketAddr, api: AdminApi, handle: Handle) -> io::Result<Self> {
        let answer: Answer = Box::new(move |request| handle.block_on(serve(&api, request)));
        let server = rouille::Server::new(address, answer).map_err(io::Error::other)?;
        let server = server.pool_size(THREADS);
        Ok(Self {
            address: server.server_addr(),
            server,
        })
    }

    /// Serves until the sender's other end is used or dropped.
    pub fn run(self, stop: &std::sync::mpsc::Receiver<()>) {
        while matches!(stop.try_recv(), Err(std::sync::mpsc::TryRecvError::Empty)) {
            self.server
                .poll_timeout(std::time::Duration::from_millis(200));
        }
    }
}

/// A refusal with the faults that led to it.
struct Refusal {
    error: FleetError,
    sheet_faults: Vec<SheetFault>,
}

impl From<FleetError> for Refusal {
    fn from(error: FleetError) -> Self {
        Self {
            error,
            sheet_faults: Vec::new(),
        }
    }
}

type Reply = Result<Response, Refusal>;

async fn serve(api: &AdminApi, request: &Request) -> Response {
    answer(api, request)
        .await
        .unwrap_or_else(|refusal| refuse(&refusal))
}

async fn answer(api: &AdminApi, request: &Request) -> Reply {
    let path = request.url();
    let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
    if let ["healthz"] = parts[..] {
        return Ok(Response::text("ok\n"));
    }
    let token = request
        .header("authorization")
        .and_then(|text| text.strip_prefix("Bearer "));
    let caller = api.authenticate(token).await?;
    caller.require(Role::Viewer)?;
    match (request.method(), &parts[..]) {
        ("GET", ["v1", "openapi.json"]) => Ok(Response::json(&description::openapi())),
        ("GET", ["v1", "status"]) => Ok(Response::json(&api.status().await?)),
        ("GET", ["v1", "audit"]) => {
            let most = request.get_param("most").and_then(|text| text.parse().ok());
            Ok(Response::json(
                &api.audit(most.unwrap_or(AUDIT_DEFAULT)).await?,
            ))
        }
        ("GET", ["v1", part]) => {
            let listing = api.list(part).await?;
            Ok(tagged(Response::json(&listing), listing.generation))
        }
        ("POST", ["v1", "tokens"]) => {
            let body: TokenBody = read_json(request)?;
            Ok(Response::json(&api.issue_token(&caller, body).await?).with_status_code(201))
        }
        ("DELETE", ["v1", "tokens", operator]) => {
            api.revoke_token(&caller, &parse(operator)?).await?;
            Ok(Response::empty_204())
        }
        _ => change(api, request, caller, &parts).await,
    }
}

async fn change(api: &AdminApi, request: &Request, caller: Caller, parts: &[&str]) -> Reply {
    let step = read_step(request, parts)?;
    let flag = |name: &str| request.get_param(name).is_some_and(|value| value == "true");
    let call = ChangeCall {
        caller,
        step,
        expected: read_expected(request)?,
        plan_only: flag("plan"),
        large_share: flag("large-share"),
    };
    let answer = api.change(call).await?;
    Ok(tagged(Response::json(&answer), answer.generation))
}

fn read_step(request: &Request, parts: &[&str]) -> Result<ConfigStep, Refusal> {
    let step = match (request.method(), parts) {
        ("PUT", ["v1", "services", id]) => {
            let service: Service = read_json(request)?;
            same_name(id, service.id.as_str())?;
            ConfigStep::PutService(service)
        }
        ("DELETE", ["v1", "services", id]) => ConfigStep::RemoveService(parse(id)?),
        ("PUT", ["v1", "services", service, "upstreams", id]) => {
            let upstream: Upstream = read_json(request)?;
            same_name(id, upstream.id.as_str())?;
            ConfigStep::PutUpstream {
                service: parse(service)?,
                upstream,
            }
        }
        ("DELETE", ["v1", "services", service, "upstreams", id]) => ConfigStep::RemoveUpstream {
            service: parse(service)?,
            upstream: parse(id)?,
        },
        ("PUT", ["v1", "services", service, "upstreams", id, "state"]) => {
            let StateBody { state } = read_json(request)?;
            ConfigStep::SetState {
                service: parse(service)?,
                upstream: parse(id)?,
                state,
            }
        }
        ("PUT", ["v1", "routes", id]) => {
            let route: Route = read_json(request)?;
            same_name(id, route.id.as_str())?;
            ConfigStep::PutRoute(route)
        }
        ("DELETE", ["v1", "routes", id]) => ConfigStep::RemoveRoute(parse(id)?),
        ("PUT", ["v1", "workspaces", id]) => {
            let workspace: Workspace = read_json(request)?;
            same_name(id, workspace.id.as_str())?;
            ConfigStep::PutWorkspace(workspace)
        }
        ("DELETE", ["v1", "workspaces", id]) => ConfigStep::RemoveWorkspace(parse(id)?),
        ("POST", ["v1", "sheet"]) => read_sheet(request)?,
        (method, _) => {
            let detail = format!("{method} {} is not a call", request.url());
            return Err(FleetError::new(ErrorKind::NotFound, detail).into());
        }
    };
    Ok(step)
}

fn read_sheet(request: &Request) -> Result<ConfigStep, Refusal> {
    let bytes = read_body(request)?;
    let sheet = sheet::parse(&bytes).map_err(|faults| Refusal {
        error: FleetError::new(
            ErrorKind::Invalid,
            format!("the sheet has {} faults", faults.len()),
        ),
        sheet_faults: faults,
    })?;
    Ok(sheet.into_step())
}

fn read_expected(request: &Request) -> Result<Option<sizes::Generation>, FleetError> {
    let Some(text) = request.header("if-match") else {
        return Ok(None);
    };
    let number = text.trim().trim_matches('"').parse();
    number
        .map(Some)
        .map_err(|why| FleetError::new(ErrorKind::Invalid, format!("If-Match: {why}")))
}

fn read_body(request: &Request) -> Result<Vec<u8>, FleetError> {
    let missing = || FleetError::new(ErrorKind::Invalid, "the body was read already");
    let mut bytes = Vec::new();
    let mut body = request.data().ok_or_else(missing)?.take(BODY_BYTES_MAX + 1);
    let read = body.read_to_end(&mut bytes);
    read.map_err(|why| FleetError::new(ErrorKind::BadRequest, why.to_string()))?;
    if bytes.len() as u64 > BODY_BYTES_MAX {
        return Err(FleetError::new(
            ErrorKind::Invalid,
            "the body is larger than 32 MiB",
        ));
    }
    Ok(bytes)
}

fn read_json<T: serde::de::DeserializeOwned>(request: &Request) -> Result<T, FleetError> {
    let bytes = read_body(request)?;
    serde_json::from_slice(&bytes)
        .map_err(|why| FleetError::new(ErrorKind::Invalid, format!("the body: {why}")))
}

fn parse<T: std::str::FromStr<Err = model::error::ValueError>>(
    text: &str,
) -> Result<T, FleetError> {
    text.parse().map_err(|why: model::error::ValueError| {
        FleetError::new(ErrorKind::Invalid, why.to_string())
    })
}

fn same_name(path: &str, body: &str) -> Result<(), FleetError> {
    if path == body {
        return Ok(());
    }
    let detail = format!("the path names {path}, the body {body}");
    Err(FleetError::new(ErrorKind::Invalid, detail))
}

fn refuse(refusal: &Refusal) -> Response {
    let error = &refusal.error;
    let answer = error.kind().response();
    let body = ErrorAnswer {
        error: error.kind().as_str().into(),
        outcome: answer.outcome.as_str().into(),
        retryable: answer.retryable,
        detail: error.detail().into(),
        sheet_faults: refusal.sheet_faults.clone(),
    };
    Response::json(&body).with_status_code(answer.status)
}

/// Adds a generation as the entity tag of a response.
fn tagged(response: Response, generation: sizes::Generation) -> Response {
    response.with_unique_header("ETag", format!("\"{generation}\""))
}
