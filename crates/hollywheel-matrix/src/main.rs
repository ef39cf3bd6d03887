//! Fault matrix and trace replay over the decision machines.

use std::process::ExitCode;

fn main() -> ExitCode {
    hollywheel_matrix::command::run()
}
