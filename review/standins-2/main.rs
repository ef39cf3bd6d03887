//! Runs one case of the review: `trial CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run.

mod common;
mod early_end;
mod half_event;
mod limit;
mod poison;
mod slow_reader;
mod store_moves;

use std::path::Path;
use std::process::ExitCode;

use common::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: trial CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{folder}: {error}");
            return ExitCode::from(2);
        }
    };
    common::start_watchdog();
    let ended = match case.as_str() {
        "poison" => poison::run(&record),
        "limit" => limit::run(&record),
        "slow-reader" => slow_reader::run(&record),
        "store-moves" => store_moves::run(&record),
        "early-end" => early_end::run(&record),
        "half-event" => half_event::run(&record),
        _ => Err(format!("no case {case}")),
    };
    match ended {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
