//! `hollywheel-matrix record`

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::options;
use crate::cell::MatrixCell;
use crate::replay::write_trace;
use crate::scene::FaultScene;

pub(super) fn command() -> Command {
    Command::new("record")
        .about("Runs a cell and writes the trace of its first host")
        .arg(
            Arg::new("cell")
                .required(true)
                .value_name("SCENARIO/STEP+FAULT")
                .value_parser(value_parser!(MatrixCell))
                .help("The cell"),
        )
        .arg(
            Arg::new("file")
                .required(true)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The file to write"),
        )
        .arg(options::seed_arg())
        .arg(options::jitter_arg())
        .arg(options::threads_arg())
}

pub(super) fn run(matches: &ArgMatches) -> ExitCode {
    let cell = matches.get_one::<MatrixCell>("cell");
    let file = matches.get_one::<PathBuf>("file");
    let (Some(cell), Some(file)) = (cell, file) else {
        return ExitCode::FAILURE;
    };
    let scene = FaultScene::new(cell, options::settings(matches).scene).recording();
    let (_, recorder) = scene.run_recorded();
    let lines = recorder
        .map(|recorder| recorder.finish())
        .unwrap_or_default();
    match fs::write(file, write_trace(&lines)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", file.display());
            ExitCode::FAILURE
        }
    }
}
