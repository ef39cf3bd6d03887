//! The command line.

use std::ffi::OsString;
use std::process::ExitCode;

use clap::Command;

use crate::commands::{run_command, run_fleet};

/// Builds the command-line parser.
pub fn build_command() -> Command {
    Command::new("hollywheel-fleet")
        .about("Starts a whole system of processes on loopback for trials")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run_command())
}

/// Runs the tool with the given arguments and returns the exit code.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match build_command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => error.exit(),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(async {
        match matches.subcommand() {
            Some((_, args)) => run_fleet(args).await,
            None => Ok(()),
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
