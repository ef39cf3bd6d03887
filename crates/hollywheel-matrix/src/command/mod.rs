//! The commands of `hollywheel-matrix`, one file each.

mod breaks;
mod options;
mod record;
mod replay;
mod run;
mod told;
mod writes;

use std::process::ExitCode;

use clap::Command;

/// Returns the definition of the command line.
pub fn command_line() -> Command {
    Command::new("hollywheel-matrix")
        .about("Runs every fault at every step against the state machines")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run::command())
        .subcommand(breaks::command())
        .subcommand(record::command())
        .subcommand(replay::command())
        .subcommand(told::command())
        .subcommand(writes::command())
}

/// Runs the selected command.
pub fn run() -> ExitCode {
    let matches = command_line().get_matches();
    match matches.subcommand() {
        Some(("run", matches)) => run::run(matches),
        Some(("breaks", matches)) => breaks::run(matches),
        Some(("record", matches)) => record::run(matches),
        Some(("replay", matches)) => replay::run(matches),
        Some(("told", matches)) => told::run(matches),
        Some(("writes", matches)) => writes::run(matches),
        _ => ExitCode::FAILURE,
    }
}
