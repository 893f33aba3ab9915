//! What each command does.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use model::config::UpstreamState;
use model::{ids, setting};
use node::keys::FleetCa;
use operator::api::wire::{
    AuditResponse, ChangeResponse, ConfigListing, IssuedToken, StateRequest, StatusResponse,
    TokenRequest,
};
use operator::sheet;
use operator::tokens::Role;
use serde_json::Value;

use crate::client::{AdminClient, Call, Failure};
use crate::explain::{LogLine, RequestStory};
use crate::flags::{
    Drain, Explain, GooseberrydykeCtl, GooseberrydykeCtlCmd, Put, Remove, SheetCmd, TokenCmd,
};
use crate::output::Output;

/// Entries of the audit trail when the command does not say.
const AUDIT_DEFAULT: usize = 20;

/// Runs a command.
pub(crate) fn run(flags: GooseberrydykeCtl) -> Result<(), Failure> {
    let usage = |error: model::settings::SettingError| Failure::Usage(error.to_string());
    let output = Output { json: flags.json };
    let address: String = setting!("admin", "GOOSEBERRYDYKE_ADMIN")
        .read_or(flags.admin, "127.0.0.1:9500")
        .map_err(usage)?;
    let client = || {
        let token: String = setting!("token", "GOOSEBERRYDYKE_TOKEN")
            .read(flags.token.clone())
            .map_err(usage)?;
        Ok::<_, Failure>(AdminClient::new(&address, token))
    };
    match flags.subcommand {
        GooseberrydykeCtlCmd::Status(_) => {
            let status: StatusResponse = client()?.call(&Call::Get, "/v1/status", None)?;
            output.status(&status);
        }
        GooseberrydykeCtlCmd::Audit(command) => {
            let most = command.most.unwrap_or(AUDIT_DEFAULT);
            let target = format!("/v1/audit?most={most}");
            let audit: AuditResponse = client()?.call(&Call::Get, &target, None)?;
            output.audit(&audit);
        }
        GooseberrydykeCtlCmd::List(command) => {
            let part = check_part(&command.part)?;
            let listing: ConfigListing =
                client()?.call(&Call::Get, &format!("/v1/{part}"), None)?;
            output.listing(&listing);
        }
        GooseberrydykeCtlCmd::Sheet(command) => run_sheet(command.subcommand, &output, client)?,
        GooseberrydykeCtlCmd::Drain(command) => {
            let state = UpstreamState::Draining;
            output.change(&set_state(&client()?, &command, state)?);
        }
        GooseberrydykeCtlCmd::Undrain(command) => {
            let command = Drain {
                service: command.service,
                upstream: command.upstream,
                large_share: false,
            };
            output.change(&set_state(&client()?, &command, UpstreamState::Active)?);
        }
        GooseberrydykeCtlCmd::Put(command) => output.change(&put(&client()?, &command)?),
        GooseberrydykeCtlCmd::Remove(command) => output.change(&remove(&client()?, &command)?),
        GooseberrydykeCtlCmd::Token(command) => run_token(command.subcommand, &output, &client()?)?,
        GooseberrydykeCtlCmd::Explain(command) => explain(&command, &output)?,
        GooseberrydykeCtlCmd::NewCa(command) => new_ca(&command.folder)?,
    }
    Ok(())
}

fn run_sheet(
    command: SheetCmd,
    output: &Output,
    client: impl Fn() -> Result<AdminClient, Failure>,
) -> Result<(), Failure> {
    match command {
        SheetCmd::Check(command) => {
            sheet::parse(&read(&command.file)?).map_err(Failure::Sheet)?;
            output.line("The sheet has no faults.");
        }
        SheetCmd::Plan(command) => {
            let bytes = read(&command.file)?;
            sheet::parse(&bytes).map_err(Failure::Sheet)?;
            let plan: ChangeResponse =
                client()?.call(&Call::Post(&bytes), "/v1/sheet?plan=true", None)?;
            output.plan(&plan);
        }
        SheetCmd::Apply(command) => {
            let bytes = read(&command.file)?;
            sheet::parse(&bytes).map_err(Failure::Sheet)?;
            let target = format!("/v1/sheet?large-share={}", command.large_share);
            let change: ChangeResponse =
                client()?.call(&Call::Post(&bytes), &target, Some(command.generation))?;
            output.change(&change);
        }
    }
    Ok(())
}

fn set_state(
    client: &AdminClient,
    command: &Drain,
    state: UpstreamState,
) -> Result<ChangeResponse, Failure> {
    let Drain {
        service,
        upstream,
        large_share,
    } = command;
    let body = encode(&StateRequest { state })?;
    let target =
        format!("/v1/services/{service}/upstreams/{upstream}/state?large-share={large_share}");
    client.call(&Call::Put(&body), &target, None)
}

fn put(client: &AdminClient, command: &Put) -> Result<ChangeResponse, Failure> {
    let bytes = read(&command.file)?;
    let file = command.file.display();
    let value: Value =
        serde_json::from_slice(&bytes).map_err(|why| Failure::Usage(format!("{file}: {why}")))?;
    let Some(name) = value.get("id").and_then(Value::as_str) else {
        return Err(Failure::Usage(format!(
            "{file}: the field \"id\" is missing"
        )));
    };
    let target = target_of(&command.part, name, command.service.as_deref())?;
    client.call(&Call::Put(&bytes), &target, command.generation)
}

fn remove(client: &AdminClient, command: &Remove) -> Result<ChangeResponse, Failure> {
    let target = target_of(&command.part, &command.name, command.service.as_deref())?;
    let target = format!("{target}?large-share={}", command.large_share);
    client.call(&Call::Delete, &target, command.generation)
}

fn target_of(part: &str, name: &str, service: Option<&str>) -> Result<String, Failure> {
    match (check_part(part)?, service) {
        ("upstreams", Some(service)) => Ok(format!("/v1/services/{service}/upstreams/{name}")),
        ("upstreams", None) => Err(Failure::Usage("an upstream needs --service".to_owned())),
        (part, _) => Ok(format!("/v1/{part}/{name}")),
    }
}

/// The plural by which the API names a part.
fn check_part(part: &str) -> Result<&'static str, Failure> {
    match part.trim_end_matches('s') {
        "service" => Ok("services"),
        "upstream" => Ok("upstreams"),
        "route" => Ok("routes"),
        "workspace" => Ok("workspaces"),
        _ => {
            let detail = format!("{part:?} is refused: give service, upstream, route or workspace");
            Err(Failure::Usage(detail))
        }
    }
}

fn run_token(command: TokenCmd, output: &Output, client: &AdminClient) -> Result<(), Failure> {
    match command {
        TokenCmd::Issue(command) => {
            let usage = |why: model::error::ValueError| Failure::Usage(why.to_string());
            let operator: ids::OperatorId = command.operator.parse().map_err(usage)?;
            let role: Role = command.role.parse().map_err(usage)?;
            let body = encode(&TokenRequest { operator, role })?;
            let issued: IssuedToken = client.call(&Call::Post(&body), "/v1/tokens", None)?;
            output.token(&issued);
        }
        TokenCmd::Revoke(command) => {
            let target = format!("/v1/tokens/{}", command.operator);
            client.call::<Value>(&Call::Delete, &target, None)?;
            output.line("The token is revoked.");
        }
    }
    Ok(())
}

fn new_ca(folder: &Path) -> Result<(), Failure> {
    let fail = |error: &dyn std::fmt::Display| Failure::Usage(error.to_string());
    let ca = FleetCa::generate().map_err(|error| fail(&error))?;
    for (name, text) in [("ca.pem", &ca.certificate), ("ca-key.pem", &ca.key)] {
        let path = folder.join(name);
        if path.exists() {
            return Err(Failure::Usage(format!("{} exists already", path.display())));
        }
        std::fs::write(&path, text.as_bytes())
            .map_err(|error| Failure::Usage(format!("{}: {error}", path.display())))?;
    }
    Ok(())
}

fn explain(command: &Explain, output: &Output) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for path in &command.file {
        let named = |error| Failure::Usage(format!("{}: {error}", path.display()));
        let file = File::open(path).map_err(named)?;
        read_lines(BufReader::new(file), &mut lines).map_err(named)?;
    }
    if command.file.is_empty() {
        let named = |error| Failure::Usage(format!("standard input: {error}"));
        read_lines(std::io::stdin().lock(), &mut lines).map_err(named)?;
    }
    let Some(story) = RequestStory::find(&command.request, &lines) else {
        return Err(Failure::Usage(format!(
            "none of {} lines names request {}",
            lines.len(),
            command.request
        )));
    };
    output.story(&story);
    Ok(())
}

/// Collects the log lines of one source; whatever is no log line is passed over.
fn read_lines(source: impl BufRead, lines: &mut Vec<LogLine>) -> std::io::Result<()> {
    for piece in source.split(b'\n') {
        lines.extend(LogLine::read(&String::from_utf8_lossy(&piece?)));
    }
    Ok(())
}

fn read(path: &Path) -> Result<Vec<u8>, Failure> {
    std::fs::read(path).map_err(|error| Failure::Usage(format!("{}: {error}", path.display())))
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, Failure> {
    serde_json::to_vec(value).map_err(|error| Failure::Usage(error.to_string()))
}
