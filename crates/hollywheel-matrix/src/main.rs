//! Fault matrix and trace replay for the state machines that make decisions.

use std::process::ExitCode;

fn main() -> ExitCode {
    hollywheel_matrix::command::run()
}
