//! Runs one experiment and prints its report. The exit code is 1 if a bound is missed.

mod claims;
mod config;
mod control;
mod detect;
mod load;
mod once_only;
mod overhead;
mod permits;
mod report;
mod settings;
mod storm;

use std::process::ExitCode;

use settings::LabSettings;
use settings::flags::{GooseberrydykeLab, GooseberrydykeLabCmd};

/// Default of `--seed`.
const DEFAULT_SEED: u64 = 7;

fn main() -> ExitCode {
    let flags = GooseberrydykeLab::from_env_or_exit();
    let settings = |default_seconds: u64| LabSettings {
        seed: flags.seed.unwrap_or(DEFAULT_SEED),
        json: flags.json,
        seconds: flags.seconds.unwrap_or(default_seconds),
    };
    let holds = match flags.subcommand {
        GooseberrydykeLabCmd::Claims(_) => claims::run(&settings(0)),
        GooseberrydykeLabCmd::Config(_) => block_on(config::run(&settings(20))),
        GooseberrydykeLabCmd::Control(_) => block_on(control::run(&settings(10))),
        GooseberrydykeLabCmd::Detect(_) => detect::run(&settings(40)),
        GooseberrydykeLabCmd::OnceOnly(_) => once_only::run(&settings(40)),
        GooseberrydykeLabCmd::Overhead(_) => block_on(overhead::run(&settings(60))),
        GooseberrydykeLabCmd::Storm(_) => block_on(storm::run(&settings(5))),
    };
    if holds {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs an experiment that uses sockets; an I/O error counts as a missed bound.
fn block_on(experiment: impl Future<Output = std::io::Result<bool>>) -> bool {
    let result = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .and_then(|runtime| runtime.block_on(experiment));
    result.unwrap_or_else(|error| {
        eprintln!("gooseberrydyke-lab: {error}");
        false
    })
}
