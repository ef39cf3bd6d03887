//! `hollywheel-matrix run`

use std::process::ExitCode;
use std::time::Instant;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::options;
use crate::cell::{CellScenario, MatrixCell};
use crate::check::CheckName;
use crate::matrix::{MatrixSummary, run_cells};

/// Maximum number of failed cells that are printed.
const MAX_PRINTED: usize = 40;

pub(super) fn command() -> Command {
    Command::new("run")
        .about("Runs cells of the fault matrix and exits with 1 if a check fails")
        .arg(
            Arg::new("pairs")
                .long("pairs")
                .action(ArgAction::SetTrue)
                .help("Runs the cells with two faults instead of those with one"),
        )
        .arg(
            Arg::new("cell")
                .long("cell")
                .value_name("SCENARIO/STEP+FAULT[/STEP+FAULT]")
                .value_parser(value_parser!(MatrixCell))
                .help("Runs this cell alone"),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .value_name("SCENARIO")
                .value_parser(value_parser!(CellScenario))
                .help("Runs only the cells of this scenario"),
        )
        .arg(options::seed_arg())
        .arg(options::jitter_arg())
        .arg(options::threads_arg())
}

fn cells(matches: &ArgMatches) -> Vec<MatrixCell> {
    if let Some(cell) = matches.get_one::<MatrixCell>("cell") {
        return vec![cell.clone()];
    }
    let only = matches.get_one::<CellScenario>("scenario");
    let scenarios = CellScenario::ALL.iter().copied();
    let scenarios = scenarios.filter(|scenario| only.is_none_or(|only| only == scenario));
    match matches.get_flag("pairs") {
        true => scenarios.flat_map(MatrixCell::pairs).collect(),
        false => {
            let wanted: Vec<CellScenario> = scenarios.collect();
            let mut cells = MatrixCell::singles();
            cells.retain(|cell| wanted.contains(&cell.scenario));
            cells
        }
    }
}

pub(super) fn run(matches: &ArgMatches) -> ExitCode {
    let settings = options::settings(matches);
    let cells = cells(matches);
    let begin = Instant::now();
    let summary = run_cells(&cells, &settings);
    print_summary(&summary);
    println!(
        "seed {}, jitter {} us, {:.1} s",
        settings.scene.seed,
        settings.scene.jitter_us,
        begin.elapsed().as_secs_f64()
    );
    match summary.failing.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn print_summary(summary: &MatrixSummary) {
    for result in summary.failing.iter().take(MAX_PRINTED) {
        println!("FAIL {}", result.cell);
        for finding in &result.findings {
            println!("     {finding}");
        }
    }
    for (scenario, cells) in summary.by_scenario.iter() {
        println!("{scenario}: {cells} cells");
    }
    for check in CheckName::ALL {
        let failing = summary.by_check.get(&check).copied().unwrap_or_default();
        println!("{check}: checked in {} cells, {failing} fail", summary.run);
    }
    println!(
        "cells run {}, every fault set in {}, failing {}",
        summary.run,
        summary.reached,
        summary.failing.len()
    );
}
