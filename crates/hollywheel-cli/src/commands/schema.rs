//! `hollywheelctl schema`

use clap::Command;
use hollywheel_config::file_schema;

use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::OutputFormat;

pub(crate) const NAME: &str = "schema";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Prints the JSON schema of object files")
        .after_help("Example:\n  hollywheelctl schema > objects.schema.json")
}

pub(crate) fn run(context: &CommandContext) -> Result<(), CliError> {
    let json_context = CommandContext {
        client: context.client.clone(),
        format: OutputFormat::Json,
    };
    json_context.print(&file_schema(), |_| String::new())
}
