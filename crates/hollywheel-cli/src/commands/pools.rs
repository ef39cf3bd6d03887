//! `hollywheelctl pools`

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_admin::PoolList;
use hollywheel_types::PoolId;

use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::TextTable;

pub(crate) const NAME: &str = "pools";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Lists pools and the state of their backend servers as seen by the host")
        .arg(
            Arg::new("pool")
                .value_name("POOL")
                .help("Shows only this pool")
                .value_parser(value_parser!(PoolId)),
        )
        .after_help("Example:\n  hollywheelctl pools rates-engines")
}

pub(crate) async fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let mut list: PoolList = context.client.get("/admin/pools").await?;
    if let Some(pool) = args.get_one::<PoolId>("pool") {
        list.pools.retain(|entry| entry.pool == *pool);
        if list.pools.is_empty() {
            let detail = format!("pool/{pool} is not in the version in force on this host");
            return Err(CliError::not_found(detail));
        }
    }
    context.print(&list, render_text)
}

fn render_text(list: &PoolList) -> String {
    let header = [
        "POOL", "SERVER", "DOMAIN", "STATE", "OWN", "RUNNING", "QUEUED", "AGE-MS",
    ];
    let mut table = TextTable::new(&header);
    for pool in &list.pools {
        for server in &pool.servers {
            table.add([
                pool.pool.to_string(),
                server.server.to_string(),
                server.domain.to_string(),
                server.state.clone(),
                server.in_flight.to_string(),
                server.reported_running.to_string(),
                server.reported_queued.to_string(),
                server.report_age_ms.to_string(),
            ]);
        }
    }
    table.to_string()
}
