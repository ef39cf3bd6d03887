//! `hollywheel-matrix breaks`

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use super::options;
use crate::breaks::DeliberateBreak;
use crate::cell::MatrixCell;
use crate::matrix::{MatrixSummary, run_break};

pub(super) fn command() -> Command {
    Command::new("breaks")
        .about("Puts in one fault after another on purpose and shows which checks find it")
        .arg(options::seed_arg())
        .arg(options::jitter_arg())
        .arg(options::threads_arg())
}

pub(super) fn run(matches: &ArgMatches) -> ExitCode {
    let settings = options::settings(matches);
    let cells = MatrixCell::singles();
    let mut missed = false;
    for broken in DeliberateBreak::ALL {
        let summary = run_break(&cells, *broken, &settings);
        missed |= summary.failing.is_empty();
        println!("{broken}: {}", found(&summary));
    }
    match missed {
        true => ExitCode::FAILURE,
        false => ExitCode::SUCCESS,
    }
}

fn found(summary: &MatrixSummary) -> String {
    if summary.failing.is_empty() {
        return "found by no check".to_owned();
    }
    let checks = summary.by_check.iter();
    let checks: Vec<String> = checks
        .map(|(check, cells)| format!("{check} in {cells}"))
        .collect();
    format!("{} of {} cells", checks.join(", "), summary.run)
}
