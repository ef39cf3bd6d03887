//! `hollywheelctl drain`

use clap::Command;
use hollywheel_admin::DrainReply;

use crate::context::CommandContext;
use crate::error::CliError;

pub(crate) const NAME: &str = "drain";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Shuts down the host selected by --admin gracefully")
        .after_help("Example:\n  hollywheelctl --admin 127.0.0.1:7601 drain")
}

pub(crate) async fn run(context: &CommandContext) -> Result<(), CliError> {
    let advice =
        "run `hollywheelctl hosts` against another host to see whether this one is leaving";
    let client = &context.client;
    let reply: DrainReply = client.post("/admin/drain", &(), advice).await?;
    context.print(&reply, |reply| {
        format!(
            "{} is leaving; {} requests are in flight\n",
            reply.host, reply.in_flight
        )
    })
}
