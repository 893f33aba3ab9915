//! A client of the administration API.

use std::fmt;
use std::time::Duration;

use operator::api::wire::ErrorResponse;
use operator::sheet::SheetFault;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body};

/// Timeout for a whole request.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The command line or a file is invalid.
    Usage(String),
    /// The sheet is invalid.
    Sheet(Vec<SheetFault>),
    /// The API rejected the request.
    Rejected {
        status: u16,
        response: Box<ErrorResponse>,
    },
    /// The API cannot be reached, or its response cannot be decoded.
    Unavailable(String),
}

impl CommandError {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Rejected { response, .. } if &*response.error == "conflict" => 3,
            Self::Rejected { status: 500.., .. } | Self::Unavailable(_) => 4,
            Self::Sheet(_) | Self::Rejected { .. } => 1,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(detail) | Self::Unavailable(detail) => {
                writeln!(f, "gooseberrydyke-ctl: {detail}")
            }
            Self::Sheet(faults) => write_faults(f, faults),
            Self::Rejected { response, .. } => {
                writeln!(
                    f,
                    "gooseberrydyke-ctl: {}: {}",
                    response.error, response.detail
                )?;
                write_faults(f, &response.sheet_faults)
            }
        }
    }
}

fn write_faults(f: &mut fmt::Formatter<'_>, faults: &[SheetFault]) -> fmt::Result {
    faults.iter().try_for_each(|fault| writeln!(f, "{fault}"))
}

fn new_agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_TIMEOUT))
        .build();
    config.into()
}

/// Gets a page of the operations endpoint of a node, which needs no token.
pub(crate) fn get_page(address: &str, target: &str) -> Result<serde_json::Value, CommandError> {
    let url = format!("http://{address}{target}");
    let unavailable = |error: ureq::Error| CommandError::Unavailable(format!("{url}: {error}"));
    let mut response = new_agent().get(&url).call().map_err(unavailable)?;
    let body = response.body_mut().read_to_string().map_err(unavailable)?;
    if !response.status().is_success() {
        return Err(CommandError::Usage(format!("{url}: {}", body.trim_end())));
    }
    serde_json::from_str(&body)
        .map_err(|error| CommandError::Unavailable(format!("{url}: {error}")))
}

/// A client of the administration API that authenticates with a bearer token.
pub(crate) struct AdminClient {
    agent: Agent,
    base_url: String,
    token: String,
}

/// The method and the body of a request.
pub(crate) enum ApiCall<'a> {
    Get,
    Put(&'a [u8]),
    Post(&'a [u8]),
    Delete,
}

impl AdminClient {
    pub(crate) fn new(address: &str, token: String) -> Self {
        Self {
            agent: new_agent(),
            base_url: format!("http://{address}"),
            token,
        }
    }

    /// Sends a request and decodes its response. With `generation`, the API rejects the
    /// request if another generation is in force.
    pub(crate) fn call<T: DeserializeOwned>(
        &self,
        call: &ApiCall<'_>,
        target: &str,
        generation: Option<u64>,
    ) -> Result<T, CommandError> {
        let mut response = self.send(call, target, generation)?;
        let body = response.body_mut().read_to_vec();
        let body = body.map_err(|error| CommandError::Unavailable(error.to_string()))?;
        let status = response.status().as_u16();
        let undecodable = |error: serde_json::Error| {
            CommandError::Unavailable(format!(
                "cannot decode the response with status {status}: {error}"
            ))
        };
        if response.status().is_success() {
            let text: &[u8] = if body.is_empty() { b"null" } else { &body };
            return serde_json::from_slice(text).map_err(undecodable);
        }
        let error_response = serde_json::from_slice(&body).map_err(undecodable)?;
        Err(CommandError::Rejected {
            status,
            response: Box::new(error_response),
        })
    }

    fn send(
        &self,
        call: &ApiCall<'_>,
        target: &str,
        generation: Option<u64>,
    ) -> Result<Response<Body>, CommandError> {
        let url = format!("{}{target}", self.base_url);
        let token = format!("Bearer {}", self.token);
        let if_match = generation.map(|generation| format!("\"{generation}\""));
        let result = match call {
            ApiCall::Get => self.agent.get(&url).header("authorization", token).call(),
            ApiCall::Delete => {
                let request = self.agent.delete(&url).header("authorization", token);
                match if_match {
                    Some(version) => request.header("if-match", version).call(),
                    None => request.call(),
                }
            }
            ApiCall::Put(body) | ApiCall::Post(body) => {
                let request = match call {
                    ApiCall::Put(_) => self.agent.put(&url),
                    _ => self.agent.post(&url),
                };
                let request = request.header("authorization", token);
                match if_match {
                    Some(version) => request.header("if-match", version).send(*body),
                    None => request.send(*body),
                }
            }
        };
        result.map_err(|error| CommandError::Unavailable(format!("{url}: {error}")))
    }
}
