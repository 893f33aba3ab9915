//! Experiments: each prints its figures and ends with 1 when a bound was missed.

mod detect;
mod report;
mod settings;

use std::process::ExitCode;

use settings::LabSettings;
use settings::flags::{GooseberrydykeLab, GooseberrydykeLabCmd};

/// The seed when none is given.
const SEED: u64 = 7;

fn main() -> ExitCode {
    let flags = GooseberrydykeLab::from_env_or_exit();
    let settings = |seconds: u64| LabSettings {
        seed: flags.seed.unwrap_or(SEED),
        json: flags.json,
        seconds: flags.seconds.unwrap_or(seconds),
    };
    let holds = match flags.subcommand {
        GooseberrydykeLabCmd::Detect(_) => detect::run(&settings(40)),
        GooseberrydykeLabCmd::Overhead(_) => true,
    };
    if holds {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
