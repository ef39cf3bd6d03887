//! The program: settings, log, signals and the host.

use std::ffi::OsString;
use std::io;
use std::process::ExitCode;

use hollywheel_gateway::run_gateway;
use tokio::signal::unix::{SignalKind, signal};

use crate::host::{HostError, RunningHost};
use crate::log::start_log;
use crate::settings::{
    DaemonSettings, StartAction, check_settings, print_settings, read_arguments,
};

/// Ends the process after settings that are not valid.
const EXIT_SETTINGS: u8 = 2;
/// Ends the process after a start or a shutdown that failed.
const EXIT_FAILED: u8 = 1;
/// Counts the threads for everything but callers' connections.
const RUNTIME_THREADS: usize = 2;

/// Serves callers on the users' platform, with settings of its own.
const GATEWAY: &str = "gateway";

/// Runs the program with its arguments.
pub fn run_command(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let mut arguments: Vec<OsString> = arguments.into_iter().collect();
    if arguments.get(1).is_some_and(|word| word == GATEWAY) {
        arguments.remove(1);
        return run_gateway(arguments);
    }
    let (action, raw) = match read_arguments(arguments) {
        Ok(read) => read,
        Err(error) => {
            if error.exit_code() == 0 {
                print!("{error}");
            } else {
                eprint!("{error}");
            }
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(EXIT_SETTINGS));
        }
    };
    let settings = match check_settings(&raw) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match action {
        StartAction::Check => {
            println!("the settings are valid");
            ExitCode::SUCCESS
        }
        StartAction::Print => {
            print!("{}", print_settings(&settings));
            ExitCode::SUCCESS
        }
        StartAction::Serve => serve(settings),
    }
}

fn serve(settings: DaemonSettings) -> ExitCode {
    start_log(settings.log_format, settings.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime does not start: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let ended = runtime.block_on(serve_host(settings));
    runtime.shutdown_background();
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn serve_host(settings: DaemonSettings) -> Result<bool, HostError> {
    // Before the addresses are bound, so that no signal ends a host that takes callers.
    let signals = StopSignals::listen().map_err(HostError::Signals)?;
    let host = RunningHost::start(settings)?;
    if let (Ok(callers), Ok(operators)) = (host.caller_address(), host.operator_address()) {
        println!("listening {callers} operators {operators}");
    }
    let stop = host.shutdown_sender();
    tokio::spawn(async move {
        signals.wait().await;
        stop.send_replace(true);
    });
    Ok(host.run().await)
}

/// Holds the signals that begin the graceful shutdown. A hang-up is one of them, since it would
/// otherwise end the process at once.
struct StopSignals {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
    hangup: tokio::signal::unix::Signal,
}

impl StopSignals {
    fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
            _ = self.hangup.recv() => {}
        }
    }
}
