//! Runs one case of the review: the stand-ins, the gateways as processes of their own, the
//! clients and the check. Usage: `rig CASE FOLDER`, from the root of the repository.

mod backend;
mod case_budget;
mod case_early;
mod case_id;
mod case_limit;
mod case_prefix;
mod gateway;
mod http;
mod record;
mod store;

use std::env;
use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a case needs to know of its run.
pub struct Setup {
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = Record::create(Path::new(&folder)).and_then(|record| {
        let setup = Setup { record, trouble };
        setup
            .record
            .say(format!("case {case}, disruption: {trouble}"));
        let result = match case.as_str() {
            "limit" => case_limit::run(&setup),
            "budget" => case_budget::run(&setup),
            "early" => case_early::run(&setup),
            "prefix" => case_prefix::run(&setup),
            "id" => case_id::run(&setup),
            _ => Err(std::io::Error::other("there is no such case")),
        };
        if let Ok(is_kept) = &result {
            setup.record.say(if *is_kept {
                "the rule held"
            } else {
                "THE RULE WAS BROKEN"
            });
        }
        result
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
