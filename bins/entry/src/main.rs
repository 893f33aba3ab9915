//! The process of an entry node.

use std::process::ExitCode;

use gooseberrydyke_entry::{EntryServer, settings};
use telemetry::logs;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code when the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code when the node fails to start.
const EXIT_START_FAILED: u8 = 1;

#[tokio::main]
async fn main() -> ExitCode {
    let settings = match settings::read() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("gooseberrydyke-entry: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if let Err(error) = logs::init(settings.log_format, settings.log_level) {
        eprintln!("gooseberrydyke-entry: {error}");
    }
    let result = run(settings.entry).await;
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "entry", "Cannot run the node: {error}.");
            ExitCode::from(EXIT_START_FAILED)
        }
    };
    logs::flush();
    code
}

/// Serves until SIGTERM or SIGINT, then stops gracefully.
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
