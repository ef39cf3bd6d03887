//! `hollywheel-matrix breaks`

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::options;
use crate::breaks::DeliberateBreak;
use crate::cell::{CellScenario, MatrixCell};
use crate::matrix::{MatrixSummary, run_break};

pub(super) fn command() -> Command {
    Command::new("breaks")
        .about("Runs the matrix with one deliberate fault after another and shows which checks find it")
        .arg(
            Arg::new("pairs")
                .long("pairs")
                .action(ArgAction::SetTrue)
                .help("Also runs the cells with two faults if no cell with one finds it"),
        )
        .arg(options::seed_arg())
        .arg(options::jitter_arg())
        .arg(options::threads_arg())
}

pub(super) fn run(matches: &ArgMatches) -> ExitCode {
    let settings = options::settings(matches);
    let cells = MatrixCell::singles();
    let mut missed = false;
    for broken in DeliberateBreak::ALL {
        let mut summary = run_break(&cells, *broken, &settings);
        if summary.failing.is_empty() && matches.get_flag("pairs") {
            summary = run_break(&pairs(), *broken, &settings);
        }
        missed |= summary.failing.is_empty();
        println!("{broken}: {}", found(&summary));
    }
    match missed {
        true => ExitCode::FAILURE,
        false => ExitCode::SUCCESS,
    }
}

fn pairs() -> Vec<MatrixCell> {
    let scenarios = CellScenario::ALL.iter().copied();
    scenarios.flat_map(MatrixCell::pairs).collect()
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
