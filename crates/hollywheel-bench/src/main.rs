//! Load generator, outcome checker and experiments.

mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run()
}
