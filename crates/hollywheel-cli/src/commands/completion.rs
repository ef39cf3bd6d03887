//! `hollywheelctl completion`

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::app::build_command;
use crate::error::CliError;

pub(crate) const NAME: &str = "completion";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Prints a completion script for a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_name("SHELL")
                .value_parser(value_parser!(Shell)),
        )
        .after_help("Example:\n  hollywheelctl completion bash > hollywheelctl.bash")
}

pub(crate) fn run(args: &ArgMatches) -> Result<(), CliError> {
    let shell = args.get_one::<Shell>("shell").copied();
    let shell = shell.ok_or_else(|| CliError::Argument("SHELL is missing".to_owned()))?;
    let mut command = build_command();
    clap_complete::generate(shell, &mut command, "hollywheelctl", &mut std::io::stdout());
    Ok(())
}
