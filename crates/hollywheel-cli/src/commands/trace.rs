//! `hollywheelctl trace`

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_admin::TraceDocument;
use hollywheel_types::RequestId;

use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::TextTable;

pub(crate) const NAME: &str = "trace";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Lists the events of a request on the host")
        .arg(
            Arg::new("request")
                .required(true)
                .value_name("REQUEST")
                .help("ID of the request from its response, 32 hexadecimal digits")
                .value_parser(value_parser!(RequestId)),
        )
        .after_help("Example:\n  hollywheelctl trace 0190c3a2b4d05e6f8a9b0c1d2e3f4a5b")
}

pub(crate) async fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let request = args.get_one::<RequestId>("request").copied();
    let path = format!("/admin/trace/{}", request.unwrap_or_default());
    let document: TraceDocument = context.client.get(&path).await?;
    context.print(&document, render_text)
}

fn render_text(document: &TraceDocument) -> String {
    let mut table = TextTable::new(&["AT-US", "EVENT", "STAGE", "SERVER"]);
    for event in &document.events {
        let stage = event.stage.as_ref().map(ToString::to_string);
        let server = event.server.as_ref().map(ToString::to_string);
        table.add([
            event.at_us.to_string(),
            event.event.clone(),
            stage.unwrap_or_default(),
            server.unwrap_or_default(),
        ]);
    }
    table.to_string()
}
