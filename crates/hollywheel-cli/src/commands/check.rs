//! `hollywheelctl check`

use clap::{ArgMatches, Command};
use hollywheel_config::CheckReport;

use crate::context::CommandContext;
use crate::error::CliError;
use crate::object_files::{files_argument, read_files, require_clean};

pub(crate) const NAME: &str = "check";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Validates object files as one set, without contacting a host")
        .arg(files_argument())
        .after_help("Example:\n  hollywheelctl check examples/pricing-office.toml")
}

pub(crate) fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let set = read_files(args)?;
    require_clean(&set)?;
    let count = set.objects().len();
    context.print(&CheckReport::default(), |_| {
        format!("{count} objects, no faults\n")
    })
}
