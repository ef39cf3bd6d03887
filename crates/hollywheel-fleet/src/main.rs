//! Starts a whole system of processes on loopback for trials.

use std::process::ExitCode;

fn main() -> ExitCode {
    hollywheel_fleet::run(std::env::args_os())
}
