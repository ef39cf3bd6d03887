//! Small stand-ins of the systems that are served or used.

mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run()
}
