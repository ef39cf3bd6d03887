//! Entry point of the program: reads the settings, starts the log and runs the host until a signal.

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

/// Exit status for invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit status when the host failed to start or to shut down cleanly.
const EXIT_FAILED: u8 = 1;
/// Threads of the runtime. Callers' connections are served by separate worker threads.
const RUNTIME_THREADS: usize = 2;

/// Subcommand that runs the gateway for the users' platform; it reads its own settings.
const GATEWAY_SUBCOMMAND: &str = "gateway";

/// Runs the program and returns its exit status. The first argument is the program name.
pub fn run_command(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let mut arguments: Vec<OsString> = arguments.into_iter().collect();
    if arguments
        .get(1)
        .is_some_and(|word| word == GATEWAY_SUBCOMMAND)
    {
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
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let outcome = runtime.block_on(serve_host(settings));
    runtime.shutdown_background();
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

async fn serve_host(settings: DaemonSettings) -> Result<bool, HostError> {
    // The handlers are installed before the addresses are bound: a signal that arrives once
    // callers can connect must start the graceful shutdown instead of killing the process.
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

/// Signals that start the graceful shutdown: SIGTERM, SIGINT and SIGHUP. SIGHUP is included
/// because its default action would kill the process.
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
