//! The command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    hollywheel_cli::run(std::env::args_os())
}
