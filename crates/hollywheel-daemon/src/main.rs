//! Binary of the host daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    hollywheel_daemon::run_command(std::env::args_os())
}
