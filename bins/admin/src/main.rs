//! The process of the administration API.

use std::process::ExitCode;

use gooseberrydyke_admin::{AdminProcess, AdminSettings, settings};
use telemetry::logs;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code when the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let settings = match settings::read() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("gooseberrydyke-admin: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if let Err(error) = logs::init(settings.log_format, settings.log_level) {
        eprintln!("gooseberrydyke-admin: {error}");
    }
    match run(&settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "admin", "Cannot run the administration API: {error}.");
            ExitCode::FAILURE
        }
    }
}

/// Serves until SIGTERM or SIGINT, then stops gracefully.
async fn run(settings: &AdminSettings) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let process = AdminProcess::start(settings)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    process.stop().await;
    Ok(())
}
