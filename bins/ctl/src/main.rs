//! The operators' command line.

mod client;
mod commands;
mod explain;
mod flags;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = flags::GooseberrydykeCtl::from_env_or_exit();
    match commands::run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprint!("{failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}
