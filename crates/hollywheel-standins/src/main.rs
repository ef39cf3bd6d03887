//! Stand-ins for backend servers and for the platform, for tests and experiments.

mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    command::run()
}
