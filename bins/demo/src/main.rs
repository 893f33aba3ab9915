//! A demo in one process on loopback: a fleet keeps serving while an upstream has a gray
//! failure, the platform is unavailable, an upstream is drained and a node stops.

mod load;
mod report;
mod scenario;

use std::process::ExitCode;

use telemetry::logs::{self, LogFormat, LogLevel};

#[tokio::main]
async fn main() -> ExitCode {
    if let Err(error) = logs::init(LogFormat::Text, LogLevel::Error) {
        eprintln!("gooseberrydyke-demo: {error}");
    }
    match scenario::run().await {
        Ok(report) => {
            println!("{report}");
            if report.is_successful() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("gooseberrydyke-demo: {error}");
            ExitCode::FAILURE
        }
    }
}
