//! `hollywheelctl make-host-key`

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_types::HostId;

use super::make_ca::{days_argument, directory_and_days, directory_argument, print_files};
use crate::certificates::create_host_key;
use crate::context::CommandContext;
use crate::error::CliError;

pub(crate) const NAME: &str = "make-host-key";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Creates the private key and the certificate of a host, signed by the authority")
        .arg(directory_argument())
        .arg(
            Arg::new("host")
                .required(true)
                .value_name("HOST")
                .value_parser(value_parser!(HostId)),
        )
        .arg(days_argument("90"))
        .after_help("Example:\n  hollywheelctl make-host-key keys medeu-1")
}

pub(crate) fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let (directory, days) = directory_and_days(args);
    let host = args.get_one::<HostId>("host");
    let host = host.ok_or_else(|| CliError::Argument("HOST is missing".to_owned()))?;
    print_files(context, create_host_key(directory, host, days)?)
}
