//! `hollywheelctl drain`

use clap::Command;
use hollywheel_admin::DrainReply;

use crate::context::CommandContext;
use crate::error::CliError;

pub(crate) const NAME: &str = "drain";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Shuts the host at --admin down gracefully")
        .after_help("Example:\n  hollywheelctl --admin 127.0.0.1:7601 drain")
}

pub(crate) async fn run(context: &CommandContext) -> Result<(), CliError> {
    let advice = "run `hollywheelctl hosts` at another host to see whether it is leaving";
    let client = &context.client;
    let reply: DrainReply = client.post("/admin/drain", &(), advice).await?;
    context.print(&reply, |reply| {
        format!(
            "{} is leaving; {} requests are in progress\n",
            reply.host, reply.in_flight
        )
    })
}
