//! Runs one case of the review: `harness CASE FOLDER`. It exits with 1 if the rule was broken, 0 if
//! it held and 2 if the case could not run. With `TROUBLE=0` it leaves out the disruption.

mod budget;
mod encoded;
mod limit;
mod net;
mod parts;
mod split;
mod stale;

use std::path::PathBuf;
use std::process::exit;

use std::time::Duration;

use parts::Record;

/// Longest time that a case takes.
const TIME_MAX: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: harness CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let run = match case.as_str() {
        "budget" => budget::run,
        "encoded" => encoded::run,
        "limit" => limit::run,
        "stale" => stale::run,
        _ => {
            eprintln!("no case {case}");
            exit(2);
        }
    };
    parts::end_after(TIME_MAX);
    // A panic ends the processes that were started, and the case counts as one that could not run.
    let broken = std::panic::catch_unwind(|| run(&record, trouble));
    record.say(match broken {
        Ok(true) => "The rule was broken.",
        Ok(false) => "The rule held.",
        Err(_) => "The case could not run.",
    });
    record.write(&PathBuf::from(folder).join("record.txt"));
    exit(broken.map_or(2, i32::from));
}
