//! `hollywheel-bench experiment`

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_bench::{BenchError, RunResult, metric_rows, read_experiment, run_experiment};

use super::run::VIOLATED;

pub(crate) fn command() -> Command {
    Command::new("experiment")
        .about("Runs scenarios of load and faults with each policy and prints the means")
        .arg(
            Arg::new("file")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("TOML file with the experiment"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .required(true)
                .env("HOLLYWHEEL_BENCH_OUTPUT")
                .value_parser(value_parser!(PathBuf))
                .help("File for the results, one JSON object per run"),
        )
}

fn write_result(file: &mut File, result: &RunResult) -> std::io::Result<()> {
    let line = serde_json::to_string(result).map_err(std::io::Error::other)?;
    writeln!(file, "{line}")
}

fn print_result(result: &RunResult) {
    let total = &result.summary.total;
    eprintln!(
        "{} {} repeat {}: {} of {} attained, not-run {}, may-have-run {}, unanswered {}, violations {}, failed orders {}",
        result.scenario,
        result.policy,
        result.repeat,
        total.attained,
        total.requests,
        total.not_run,
        total.may_have_run,
        total.unanswered,
        result.violations,
        result.failed_orders.len()
    );
    for difference in &result.differences {
        eprintln!("  {difference}");
    }
}

pub(crate) async fn execute(matches: &ArgMatches) -> Result<ExitCode, BenchError> {
    let path: &PathBuf = matches.get_one("file").expect("the argument is required");
    let output: &PathBuf = matches.get_one("output").expect("the flag is required");
    let (plan, targets) = read_experiment(path)?;
    let file_error = |error| BenchError::File {
        path: output.clone(),
        error,
    };
    let mut file = File::create(output).map_err(file_error)?;
    let end = run_experiment(&plan, &targets, |result| {
        print_result(result);
        write_result(&mut file, result).map_err(file_error)
    })
    .await?;
    println!(
        "experiment {}, seed {}, repeats {}",
        plan.name, plan.seed, plan.repeats
    );
    for row in metric_rows(&end.results) {
        println!("{row}");
    }
    for report in &end.reports {
        println!("all runs of {}:\n{}", report.policy, report.report);
    }
    let violations: u64 = end.reports.iter().map(|one| one.report.violations).sum();
    match violations {
        0 => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::from(VIOLATED)),
    }
}
