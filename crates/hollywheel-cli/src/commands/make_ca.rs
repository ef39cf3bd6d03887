//! `hollywheelctl make-ca`

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::certificates::{KeyFiles, create_authority};
use crate::context::CommandContext;
use crate::error::CliError;

pub(crate) const NAME: &str = "make-ca";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Creates the certificate authority whose certificates hosts accept from each other")
        .arg(directory_argument())
        .arg(days_argument("3650"))
        .after_help("Example:\n  hollywheelctl make-ca keys")
}

/// Returns the argument for the directory of the authority.
pub(crate) fn directory_argument() -> Arg {
    Arg::new("directory")
        .required(true)
        .value_name("DIRECTORY")
        .help("Directory of the authority; existing files in it are never overwritten")
        .value_parser(value_parser!(PathBuf))
}

/// Returns the argument for the validity of a certificate.
pub(crate) fn days_argument(default: &'static str) -> Arg {
    Arg::new("days")
        .long("days")
        .value_name("DAYS")
        .default_value(default)
        .help("Validity of the certificate, in days")
        .value_parser(value_parser!(i64).range(1..=36_500))
}

/// Returns the directory and the validity in days from the arguments.
pub(crate) fn directory_and_days(args: &ArgMatches) -> (&Path, i64) {
    let directory = args.get_one::<PathBuf>("directory").map(PathBuf::as_path);
    let days = args.get_one::<i64>("days").copied();
    (directory.unwrap_or(Path::new(".")), days.unwrap_or(1))
}

/// The paths of the files that were written.
#[derive(Debug, Serialize)]
struct FilesDocument {
    certificate: PathBuf,
    key: PathBuf,
}

/// Prints the paths of the files that were written.
pub(crate) fn print_files(context: &CommandContext, files: KeyFiles) -> Result<(), CliError> {
    let document = FilesDocument {
        certificate: files.certificate,
        key: files.key,
    };
    context.print(&document, |document| {
        format!(
            "certificate  {}\nkey          {}\n",
            document.certificate.display(),
            document.key.display()
        )
    })
}

pub(crate) fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let (directory, days) = directory_and_days(args);
    print_files(context, create_authority(directory, days)?)
}
