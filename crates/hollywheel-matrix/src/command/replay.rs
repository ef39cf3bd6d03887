//! `hollywheel-matrix replay`

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::replay::{read_trace, replay_trace};

pub(super) fn command() -> Command {
    Command::new("replay")
        .about("Replays recorded traces and exits with 1 at the first difference")
        .arg(
            Arg::new("file")
                .required(true)
                .num_args(1..)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The traces"),
        )
}

pub(super) fn run(matches: &ArgMatches) -> ExitCode {
    for file in matches.get_many::<PathBuf>("file").into_iter().flatten() {
        if let Err(message) = replay_file(file) {
            eprintln!("{}: {message}", file.display());
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn replay_file(file: &Path) -> Result<(), String> {
    let text = fs::read_to_string(file).map_err(|error| error.to_string())?;
    let lines = read_trace(&text).map_err(|error| error.to_string())?;
    let summary = replay_trace(&lines).map_err(|error| error.to_string())?;
    println!(
        "{}: {} inputs, {} outcomes as stated",
        file.display(),
        summary.inputs,
        summary.outcomes
    );
    Ok(())
}
