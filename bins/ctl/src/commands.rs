//! Runs the commands.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

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

use crate::client::{AdminClient, ApiCall, CommandError};
use crate::explain::{LogLine, RequestTimeline, WorkspaceReport};
use crate::flags::{
    Drain, Explain, GooseberrydykeCtl, GooseberrydykeCtlCmd, Put, Remove, SheetCmd, TokenCmd,
};
use crate::output::Output;
use crate::preview;

/// Number of audit entries that are listed by default.
const DEFAULT_AUDIT_ENTRIES: usize = 20;

/// Runs a command.
pub(crate) fn run(flags: GooseberrydykeCtl) -> Result<(), CommandError> {
    let usage = |error: model::settings::SettingError| CommandError::Usage(error.to_string());
    let output = Output { json: flags.json };
    let address: String = setting!("admin", "GOOSEBERRYDYKE_ADMIN")
        .read_or(flags.admin, "127.0.0.1:9500")
        .map_err(usage)?;
    let client = || {
        let token: String = setting!("token", "GOOSEBERRYDYKE_TOKEN")
            .read(flags.token.clone())
            .map_err(usage)?;
        Ok::<_, CommandError>(AdminClient::new(&address, token))
    };
    match flags.subcommand {
        GooseberrydykeCtlCmd::Status(_) => {
            let status: StatusResponse = client()?.call(&ApiCall::Get, "/v1/status", None)?;
            output.status(&status);
        }
        GooseberrydykeCtlCmd::Audit(command) => {
            let entries_max = command.most.unwrap_or(DEFAULT_AUDIT_ENTRIES);
            let target = format!("/v1/audit?most={entries_max}");
            let audit: AuditResponse = client()?.call(&ApiCall::Get, &target, None)?;
            output.audit(&audit);
        }
        GooseberrydykeCtlCmd::List(command) => {
            let kind = plural_kind(&command.kind)?;
            let listing: ConfigListing =
                client()?.call(&ApiCall::Get, &format!("/v1/{kind}"), None)?;
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
        GooseberrydykeCtlCmd::Explain(command) => explain(command, &output)?,
        GooseberrydykeCtlCmd::Where(command) => preview::run(&command, &output)?,
        GooseberrydykeCtlCmd::NewCa(command) => new_ca(&command.folder)?,
    }
    Ok(())
}

fn run_sheet(
    command: SheetCmd,
    output: &Output,
    client: impl Fn() -> Result<AdminClient, CommandError>,
) -> Result<(), CommandError> {
    match command {
        SheetCmd::Check(command) => {
            sheet::parse(&read_file(&command.file)?).map_err(CommandError::Sheet)?;
            output.message("The sheet is valid.");
        }
        SheetCmd::Plan(command) => {
            let bytes = read_file(&command.file)?;
            sheet::parse(&bytes).map_err(CommandError::Sheet)?;
            let plan: ChangeResponse =
                client()?.call(&ApiCall::Post(&bytes), "/v1/sheet?plan=true", None)?;
            output.plan(&plan);
        }
        SheetCmd::Apply(command) => {
            let bytes = read_file(&command.file)?;
            sheet::parse(&bytes).map_err(CommandError::Sheet)?;
            let target = format!("/v1/sheet?large-share={}", command.large_share);
            let change: ChangeResponse =
                client()?.call(&ApiCall::Post(&bytes), &target, Some(command.generation))?;
            output.change(&change);
        }
    }
    Ok(())
}

fn set_state(
    client: &AdminClient,
    command: &Drain,
    state: UpstreamState,
) -> Result<ChangeResponse, CommandError> {
    let Drain {
        service,
        upstream,
        large_share,
    } = command;
    let body = encode(&StateRequest { state })?;
    let target =
        format!("/v1/services/{service}/upstreams/{upstream}/state?large-share={large_share}");
    client.call(&ApiCall::Put(&body), &target, None)
}

fn put(client: &AdminClient, command: &Put) -> Result<ChangeResponse, CommandError> {
    let bytes = read_file(&command.file)?;
    let file = command.file.display();
    let value: Value = serde_json::from_slice(&bytes)
        .map_err(|error| CommandError::Usage(format!("{file}: {error}")))?;
    let Some(id) = value.get("id").and_then(Value::as_str) else {
        return Err(CommandError::Usage(format!(
            "{file}: the field \"id\" is missing"
        )));
    };
    let target = resource_path(&command.kind, id, command.service.as_deref())?;
    client.call(&ApiCall::Put(&bytes), &target, command.generation)
}

fn remove(client: &AdminClient, command: &Remove) -> Result<ChangeResponse, CommandError> {
    let target = resource_path(&command.kind, &command.name, command.service.as_deref())?;
    let target = format!("{target}?large-share={}", command.large_share);
    client.call(&ApiCall::Delete, &target, command.generation)
}

/// The API's path of one object of the configuration.
fn resource_path(kind: &str, id: &str, service: Option<&str>) -> Result<String, CommandError> {
    match (plural_kind(kind)?, service) {
        ("upstreams", Some(service)) => Ok(format!("/v1/services/{service}/upstreams/{id}")),
        ("upstreams", None) => Err(CommandError::Usage(
            "--service is required for an upstream".to_owned(),
        )),
        (kind, _) => Ok(format!("/v1/{kind}/{id}")),
    }
}

/// The plural of a kind of object, as in the API's paths; accepts singular and plural.
fn plural_kind(kind: &str) -> Result<&'static str, CommandError> {
    match kind.trim_end_matches('s') {
        "service" => Ok("services"),
        "upstream" => Ok("upstreams"),
        "route" => Ok("routes"),
        "workspace" => Ok("workspaces"),
        _ => {
            let detail =
                format!("{kind:?} is invalid: expected service, upstream, route or workspace");
            Err(CommandError::Usage(detail))
        }
    }
}

fn run_token(command: TokenCmd, output: &Output, client: &AdminClient) -> Result<(), CommandError> {
    match command {
        TokenCmd::Issue(command) => {
            let usage = |error: model::error::ValueError| CommandError::Usage(error.to_string());
            let operator: ids::OperatorId = command.operator.parse().map_err(usage)?;
            let role: Role = command.role.parse().map_err(usage)?;
            let body = encode(&TokenRequest { operator, role })?;
            let issued: IssuedToken = client.call(&ApiCall::Post(&body), "/v1/tokens", None)?;
            output.token(&issued);
        }
        TokenCmd::Revoke(command) => {
            let target = format!("/v1/tokens/{}", command.operator);
            client.call::<Value>(&ApiCall::Delete, &target, None)?;
            output.message("The token is revoked.");
        }
    }
    Ok(())
}

/// Writes a new certificate authority to a folder; does not overwrite a file.
fn new_ca(folder: &Path) -> Result<(), CommandError> {
    let usage = |error: &dyn std::fmt::Display| CommandError::Usage(error.to_string());
    let ca = FleetCa::generate().map_err(|error| usage(&error))?;
    for (name, text) in [("ca.pem", &ca.certificate), ("ca-key.pem", &ca.key)] {
        let path = folder.join(name);
        if path.exists() {
            return Err(CommandError::Usage(format!(
                "{} already exists",
                path.display()
            )));
        }
        std::fs::write(&path, text.as_bytes())
            .map_err(|error| CommandError::Usage(format!("{}: {error}", path.display())))?;
    }
    Ok(())
}

fn explain(command: Explain, output: &Output) -> Result<(), CommandError> {
    let Explain {
        workspace,
        request,
        file: mut files,
    } = command;
    if let Some(workspace) = workspace {
        // The first file stands where the id of a request would.
        files.splice(0..0, request.map(PathBuf::from));
        let lines = read_logs(&files)?;
        let Some(report) = WorkspaceReport::build(&workspace, &lines) else {
            return Err(no_lines(&lines, &format!("workspace {workspace}")));
        };
        output.workspace_report(&report);
        return Ok(());
    }
    let Some(request) = request else {
        let detail = "explain needs the id of a request, or --workspace";
        return Err(CommandError::Usage(detail.to_owned()));
    };
    let lines = read_logs(&files)?;
    let id = ids::RequestId::of_bytes(request.as_bytes());
    let Some(timeline) = RequestTimeline::build(id.as_str(), &lines) else {
        return Err(no_lines(&lines, &format!("request {request}")));
    };
    output.timeline(&timeline);
    Ok(())
}

fn no_lines(lines: &[LogLine], subject: &str) -> CommandError {
    let count = lines.len();
    CommandError::Usage(format!("none of {count} log lines belongs to {subject}"))
}

/// Reads the log lines of files, or of standard input if there are none.
fn read_logs(files: &[PathBuf]) -> Result<Vec<LogLine>, CommandError> {
    let mut lines = Vec::new();
    for path in files {
        let read_error = |error| CommandError::Usage(format!("{}: {error}", path.display()));
        let file = File::open(path).map_err(read_error)?;
        read_lines(BufReader::new(file), &mut lines).map_err(read_error)?;
    }
    if files.is_empty() {
        let read_error = |error| CommandError::Usage(format!("standard input: {error}"));
        read_lines(std::io::stdin().lock(), &mut lines).map_err(read_error)?;
    }
    Ok(lines)
}

/// Reads the log lines of one source and skips all other text.
fn read_lines(source: impl BufRead, lines: &mut Vec<LogLine>) -> std::io::Result<()> {
    for line in source.split(b'\n') {
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&line?)));
    }
    Ok(())
}

fn read_file(path: &Path) -> Result<Vec<u8>, CommandError> {
    std::fs::read(path).map_err(|error| CommandError::Usage(format!("{}: {error}", path.display())))
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, CommandError> {
    serde_json::to_vec(value).map_err(|error| CommandError::Usage(error.to_string()))
}
