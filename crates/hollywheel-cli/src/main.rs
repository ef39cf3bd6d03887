//! The operator command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    hollywheel_cli::run(std::env::args_os())
}
