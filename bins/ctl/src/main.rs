//! The command-line tool for operators of the fleet.

mod client;
mod commands;
mod explain;
mod flags;
mod output;
mod preview;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::GooseberrydykeCtl::from_env_or_exit();
    match commands::run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprint!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
