//! Definition of the command line and dispatch to the commands.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::client::{AdminClient, ClientSettings};
use crate::commands::CommandName;
use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::OutputFormat;

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  the object set has faults
  2  wrong arguments or files
  3  conflict with another publication
  4  the host could not be reached; nothing was done
  5  the token does not allow the command
  6  the response was lost; the request may have been executed
  7  the host rejected the request, or the object was not found
  8  standard output could not be written";

/// Builds the definition of the command line.
pub fn build_command() -> Command {
    let mut command = Command::new("hollywheelctl")
        .about("Operates hollywheel: publishes objects and shows the state of the hosts")
        .version(hollywheel_build::version_text())
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_arguments());
    for name in CommandName::ALL {
        command = command.subcommand(name.command());
    }
    command
}

fn global_arguments() -> [Arg; 4] {
    let defaults = ClientSettings::default();
    [
        Arg::new("admin")
            .long("admin")
            .env("HOLLYWHEEL_ADMIN")
            .value_name("IP:PORT")
            .help("Address of the operator listener of any host")
            .global(true)
            .default_value(defaults.address.to_string())
            .value_parser(value_parser!(SocketAddr)),
        Arg::new("token")
            .long("token")
            .env("HOLLYWHEEL_TOKEN")
            .hide_env_values(true)
            .value_name("TOKEN")
            .help("Operator token; prefer the environment variable")
            .global(true),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .env("HOLLYWHEEL_TIMEOUT_MS")
            .value_name("MILLISECONDS")
            .help("Time-out of one request")
            .global(true)
            .default_value(defaults.timeout.as_millis().to_string())
            .value_parser(value_parser!(u64).range(1..)),
        Arg::new("output")
            .long("output")
            .short('o')
            .env("HOLLYWHEEL_OUTPUT")
            .value_name("FORMAT")
            .help("Format of the result: text or json")
            .global(true)
            .default_value(OutputFormat::default().to_string())
            .value_parser(value_parser!(OutputFormat)),
    ]
}

/// Runs the tool with the given arguments and returns the exit code.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match build_command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => error.exit(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run_command(&matches)),
        Err(error) => Err(CliError::Output(error)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}

async fn run_command(matches: &ArgMatches) -> Result<(), CliError> {
    let context = CommandContext {
        client: AdminClient::new(client_settings(matches)),
        format: matches.get_one("output").copied().unwrap_or_default(),
    };
    let Some((given, args)) = matches.subcommand() else {
        return Err(CliError::Argument("a command is missing".to_owned()));
    };
    let name = CommandName::ALL
        .into_iter()
        .find(|name| name.name() == given)
        .ok_or_else(|| CliError::Argument(format!("unknown command {given:?}")))?;
    name.run(&context, args).await
}

fn client_settings(matches: &ArgMatches) -> ClientSettings {
    let defaults = ClientSettings::default();
    let timeout = matches.get_one::<u64>("timeout-ms").copied();
    ClientSettings {
        address: matches
            .get_one("admin")
            .copied()
            .unwrap_or(defaults.address),
        token: matches.get_one("token").cloned(),
        timeout: timeout.map_or(defaults.timeout, Duration::from_millis),
    }
}
