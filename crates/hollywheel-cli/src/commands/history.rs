//! `hollywheelctl history`

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_admin::HistoryList;

use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::TextTable;

pub(crate) const NAME: &str = "history";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Lists publications, newest first")
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("COUNT")
                .default_value("20")
                .help("Maximum number of publications, up to 100")
                .value_parser(value_parser!(u32).range(1..=100)),
        )
        .after_help("Example:\n  hollywheelctl history --limit 5")
}

pub(crate) async fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let limit = args.get_one::<u32>("limit").copied().unwrap_or(20);
    let path = format!("/admin/config/history?limit={limit}");
    let list: HistoryList = context.client.get(&path).await?;
    context.print(&list, render_text)
}

fn render_text(list: &HistoryList) -> String {
    let mut table = TextTable::new(&["VERSION", "OPERATOR", "PUBLISHED", "CHANGES"]);
    for entry in &list.entries {
        table.add([
            entry.version.to_string(),
            entry.operator.clone(),
            entry.published_at.to_string(),
            entry.changes.join(", "),
        ]);
    }
    table.to_string()
}
