//! Calls of the administration API.

use std::fmt;
use std::time::Duration;

use operator::api::wire::ErrorResponse;
use operator::sheet::SheetFault;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body};

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a command did not do what was asked.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The command line or a file is wrong.
    Usage(String),
    /// The sheet has faults.
    Sheet(Vec<SheetFault>),
    /// The API refused.
    Refused {
        status: u16,
        answer: Box<ErrorResponse>,
    },
    /// The API cannot be reached, or its answer cannot be read.
    Away(String),
}

impl Failure {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Refused { answer, .. } if &*answer.error == "conflict" => 3,
            Self::Refused { status: 500.., .. } | Self::Away(_) => 4,
            Self::Sheet(_) | Self::Refused { .. } => 1,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(detail) | Self::Away(detail) => writeln!(f, "gooseberrydyke-ctl: {detail}"),
            Self::Sheet(faults) => write_faults(f, faults),
            Self::Refused { answer, .. } => {
                writeln!(f, "gooseberrydyke-ctl: {}: {}", answer.error, answer.detail)?;
                write_faults(f, &answer.sheet_faults)
            }
        }
    }
}

fn write_faults(f: &mut fmt::Formatter<'_>, faults: &[SheetFault]) -> fmt::Result {
    faults.iter().try_for_each(|fault| writeln!(f, "{fault}"))
}

/// Talks to the administration API.
pub(crate) struct AdminClient {
    agent: Agent,
    base: String,
    token: String,
}

/// A call's method and body.
pub(crate) enum Call<'a> {
    Get,
    Put(&'a [u8]),
    Post(&'a [u8]),
    Delete,
}

impl AdminClient {
    pub(crate) fn new(address: &str, token: String) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self {
            agent: config.into(),
            base: format!("http://{address}"),
            token,
        }
    }

    /// Makes a call and reads its answer.
    pub(crate) fn call<T: DeserializeOwned>(
        &self,
        call: &Call<'_>,
        target: &str,
        generation: Option<u64>,
    ) -> Result<T, Failure> {
        let mut response = self.send(call, target, generation)?;
        let body = response.body_mut().read_to_vec();
        let body = body.map_err(|error| Failure::Away(error.to_string()))?;
        let status = response.status().as_u16();
        let unreadable =
            |error: serde_json::Error| Failure::Away(format!("answer {status}: {error}"));
        if response.status().is_success() {
            let text: &[u8] = if body.is_empty() { b"null" } else { &body };
            return serde_json::from_slice(text).map_err(unreadable);
        }
        let answer = serde_json::from_slice(&body).map_err(unreadable)?;
        Err(Failure::Refused {
            status,
            answer: Box::new(answer),
        })
    }

    fn send(
        &self,
        call: &Call<'_>,
        target: &str,
        generation: Option<u64>,
    ) -> Result<Response<Body>, Failure> {
        let url = format!("{}{target}", self.base);
        let token = format!("Bearer {}", self.token);
        let seen = generation.map(|generation| format!("\"{generation}\""));
        let result = match call {
            Call::Get => self.agent.get(&url).header("authorization", token).call(),
            Call::Delete => {
                let request = self.agent.delete(&url).header("authorization", token);
                match seen {
                    Some(seen) => request.header("if-match", seen).call(),
                    None => request.call(),
                }
            }
            Call::Put(body) | Call::Post(body) => {
                let request = match call {
                    Call::Put(_) => self.agent.put(&url),
                    _ => self.agent.post(&url),
                };
                let request = request.header("authorization", token);
                match seen {
                    Some(seen) => request.header("if-match", seen).send(*body),
                    None => request.send(*body),
                }
            }
        };
        result.map_err(|error| Failure::Away(format!("{url}: {error}")))
    }
}
