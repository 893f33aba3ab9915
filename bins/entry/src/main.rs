//! The entry node's process.

use std::process::ExitCode;

use gooseberrydyke_entry::{EntryServer, settings};
use telemetry::logs;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for faulty settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a node that could not start.
const EXIT_START: u8 = 1;

#[tokio::main]
async fn main() -> ExitCode {
    let settings = match settings::read() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("gooseberrydyke-entry: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if let Err(error) = logs::init(settings.log_format, settings.log_level) {
        eprintln!("gooseberrydyke-entry: {error}");
    }
    let result = run(settings.entry).await;
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "entry", "The node cannot run: {error}.");
            ExitCode::from(EXIT_START)
        }
    };
    logs::flush();
    code
}

async fn run(settings: settings::EntrySettings) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let server = EntryServer::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    server.stop().await;
    Ok(())
}
