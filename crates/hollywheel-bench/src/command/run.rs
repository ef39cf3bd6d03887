//! Dispatches to the subcommands and returns the exit code.

use std::io;
use std::process::ExitCode;

use clap::{ArgMatches, Command};
use hollywheel_bench::BenchError;

use super::{check, experiment, load, plot};

/// Exit code of a command that found violations.
pub(crate) const VIOLATED: u8 = 1;

/// Exit code of a command that failed.
const FAILED: u8 = 2;

fn root() -> Command {
    Command::new("hollywheel-bench")
        .about("Generates load, checks outcomes and runs experiments")
        .version(hollywheel_build::version_text())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(load::command())
        .subcommand(check::command())
        .subcommand(experiment::command())
        .subcommand(plot::command())
}

async fn dispatch(matches: &ArgMatches) -> Result<ExitCode, BenchError> {
    match matches.subcommand() {
        Some(("load", matches)) => load::execute(matches).await,
        Some(("check", matches)) => check::execute(matches).await,
        Some(("experiment", matches)) => experiment::execute(matches).await,
        Some(("plot", matches)) => plot::execute(matches),
        _ => Ok(ExitCode::from(FAILED)),
    }
}

/// Runs the command line.
pub(crate) fn run() -> ExitCode {
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(io::stderr)
        .init();
    let matches = root().get_matches();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("hollywheel-bench: {error}");
            return ExitCode::from(FAILED);
        }
    };
    match runtime.block_on(dispatch(&matches)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("hollywheel-bench: {error}");
            ExitCode::from(FAILED)
        }
    }
}
