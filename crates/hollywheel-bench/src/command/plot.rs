//! `hollywheel-bench plot`

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_bench::{BenchError, draw_results, read_results};

pub(crate) fn command() -> Command {
    Command::new("plot")
        .about("Draws the results of an experiment as an SVG file")
        .arg(
            Arg::new("results")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Results of an experiment"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("SVG file"),
        )
        .arg(
            Arg::new("metric")
                .long("metric")
                .default_value("attainment")
                .help("Metric, as the experiment prints it"),
        )
}

pub(crate) fn execute(matches: &ArgMatches) -> Result<ExitCode, BenchError> {
    let results: &PathBuf = matches
        .get_one("results")
        .expect("the argument is required");
    let output: &PathBuf = matches.get_one("output").expect("the flag is required");
    let metric: &String = matches.get_one("metric").expect("the flag has a default");
    draw_results(output, &read_results(results)?, metric)?;
    Ok(ExitCode::SUCCESS)
}
