//! `hollywheelctl status`

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_admin::{ClassStatus, HostStatus, StageCost};

use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::TextTable;

pub(crate) const NAME: &str = "status";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Shows the state of the host and whether targets are met")
        .arg(
            Arg::new("watch")
                .long("watch")
                .value_name("SECONDS")
                .help("Repeats at this interval until interrupted")
                .value_parser(value_parser!(u64).range(1..=3600)),
        )
        .after_help("Examples:\n  hollywheelctl status\n  hollywheelctl status --watch 2")
}

pub(crate) async fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let interval = args.get_one::<u64>("watch").copied();
    loop {
        let status: HostStatus = context.client.get("/admin/status").await?;
        context.print(&status, render_text)?;
        let Some(seconds) = interval else {
            return Ok(());
        };
        tokio::time::sleep(Duration::from_secs(seconds)).await;
    }
}

fn render_text(status: &HostStatus) -> String {
    let mut text = render_summary(status);
    for notice in &status.notices {
        text.push_str(&format!("  ! {notice}\n"));
    }
    text.push('\n');
    text.push_str(&class_table(&status.classes).to_string());
    text.push('\n');
    text.push_str(&cost_table(&status.costs).to_string());
    text
}

fn render_summary(status: &HostStatus) -> String {
    let ready = if status.ready { "ready" } else { "NOT READY" };
    let store = if status.store_ok {
        "ok"
    } else {
        "NOT ANSWERING"
    };
    format!(
        "{} ({}) {ready}, version {}, {} hosts alive, table service {store}\n\
         {} in flight, {} queued, {} claims open\n",
        status.host,
        status.domain,
        status.config_version,
        status.hosts_alive,
        status.in_flight,
        status.queued,
        status.claims_open,
    )
}

fn class_table(classes: &[ClassStatus]) -> TextTable {
    let header = [
        "CLASS", "RECEIVED", "ATTAINED", "LATE", "REFUSED", "FAILED", "P50-MS", "P99-MS",
    ];
    let mut table = TextTable::new(&header);
    for class in classes {
        table.add([
            class.class.to_string(),
            class.received.to_string(),
            render_attained(class),
            class.late.to_string(),
            class.refused.to_string(),
            class.failed.to_string(),
            class.p50_ms.to_string(),
            class.p99_ms.to_string(),
        ]);
    }
    table
}

fn render_attained(class: &ClassStatus) -> String {
    let ended = class.attained + class.late + class.refused + class.failed;
    if ended == 0 {
        return "-".to_owned();
    }
    let permille = class.attained * 1000 / ended;
    format!("{} ({}.{}%)", class.attained, permille / 10, permille % 10)
}

fn cost_table(costs: &[StageCost]) -> TextTable {
    let header = [
        "STAGE",
        "CLASS",
        "USEFUL-MS",
        "RETRIED",
        "HEDGED",
        "CANCELLED",
        "LATE",
    ];
    let mut table = TextTable::new(&header);
    for cost in costs {
        table.add([
            cost.stage.to_string(),
            cost.class.to_string(),
            cost.useful_ms.to_string(),
            cost.retried_ms.to_string(),
            cost.hedged_ms.to_string(),
            cost.cancelled_ms.to_string(),
            cost.late_ms.to_string(),
        ]);
    }
    table
}
