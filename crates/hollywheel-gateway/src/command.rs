//! Command line of the gateway process.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};

use crate::containment::install_panic_hook;
use crate::log::start_log;
use crate::run::{RunOptions, run_host};

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a failed start.
const EXIT_FAILED: u8 = 1;

fn build_command() -> Command {
    Command::new("hollywheeld gateway")
        .version(hollywheel_build::version_text())
        .about("Serves callers on the users' platform")
        .arg(
            Arg::new("settings")
                .long("settings")
                .env("HOLLYWHEEL_NODE_FILE")
                .value_name("PATH")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file that the platform writes for this process"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .env("HOLLYWHEEL_METRICS_PORT")
                .value_name("PORT")
                .default_value("9464")
                .value_parser(value_parser!(u16))
                .help("Port of the metrics endpoint, on the host's address for callers"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .env("HOLLYWHEEL_LOG_LEVEL")
                .value_name("LEVEL")
                .default_value("info")
                .value_parser(["error", "warn", "info", "debug"])
                .help("Lowest severity that is logged"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

/// Runs the gateway with its command-line arguments, of which the first is the program name, and
/// returns the exit code of the process.
pub fn run_gateway(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match build_command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // Prints help to standard output and errors to standard error.
            let _ = error.print();
            let code = u8::try_from(error.exit_code()).unwrap_or(EXIT_SETTINGS);
            return ExitCode::from(code);
        }
    };
    let path = matches.get_one::<PathBuf>("settings").cloned();
    let options = RunOptions {
        settings_path: path.unwrap_or_default(),
        metrics_port: matches.get_one("metrics-port").copied().unwrap_or_default(),
    };
    let settings = std::fs::read_to_string(&options.settings_path)
        .map_err(|error| format!("{}: {error}", options.settings_path.display()))
        .and_then(|text| {
            hollywheel_adapter::parse_host_settings(&text).map_err(|error| error.to_string())
        });
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    let level = matches.get_one::<String>("log-level");
    install_panic_hook();
    let _guard = start_log(level.map_or("info", String::as_str));
    serve(settings, options)
}

fn serve(settings: hollywheel_adapter::HostSettings, options: RunOptions) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let tasks = tokio::task::LocalSet::new();
    let ended = tasks.block_on(&runtime, run_host(settings, options));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot start the gateway: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
