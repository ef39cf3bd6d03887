//! `hollywheelctl hosts`

use clap::Command;
use hollywheel_admin::{HostList, HostState};
use hollywheel_types::{Incarnation, WallTime};

use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::TextTable;

pub(crate) const NAME: &str = "hosts";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Lists the hosts with the version in force on each")
        .after_help("Example:\n  hollywheelctl hosts --output json")
}

pub(crate) async fn run(context: &CommandContext) -> Result<(), CliError> {
    let list: HostList = context.client.get("/admin/hosts").await?;
    context.print(&list, render_text)
}

fn render_text(list: &HostList) -> String {
    let mut table = TextTable::new(&["HOST", "STATE", "DOMAIN", "REGION", "VERSION", "STARTED"]);
    for host in &list.hosts {
        table.add([
            host.host.to_string(),
            state_name(host.state).to_owned(),
            host.domain.to_string(),
            host.region.to_string(),
            host.config_version.to_string(),
            started_at(host.incarnation).to_string(),
        ]);
    }
    table.to_string()
}

/// Returns the start time of a host process. An incarnation is this time in microseconds.
const fn started_at(incarnation: Incarnation) -> WallTime {
    WallTime(incarnation.0 / 1000)
}

const fn state_name(state: HostState) -> &'static str {
    match state {
        HostState::Alive => "alive",
        HostState::Suspect => "suspect",
        HostState::Leaving => "leaving",
        HostState::Dead => "dead",
    }
}
