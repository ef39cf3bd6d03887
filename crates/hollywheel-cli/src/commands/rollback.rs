//! `hollywheelctl rollback`

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_admin::{ConfigDocument, PublishReply, RollbackRequest};
use hollywheel_types::ConfigVersion;

use super::publish::{
    lost_response_advice, operator, operator_argument, publish_id, publish_id_argument,
    render_published,
};
use crate::context::CommandContext;
use crate::error::CliError;

pub(crate) const NAME: &str = "rollback";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Publishes the set of an older version as a new version")
        .arg(
            Arg::new("to")
                .value_name("VERSION")
                .required(true)
                .help("Version whose set is published again")
                .value_parser(value_parser!(u64)),
        )
        .arg(publish_id_argument())
        .arg(operator_argument())
        .after_help("Example:\n  hollywheelctl rollback 41")
}

pub(crate) async fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let to = args.get_one::<u64>("to").copied().unwrap_or_default();
    let document: ConfigDocument = context.client.get("/admin/config").await?;
    let publish_id = publish_id(args);
    let request = RollbackRequest {
        to: ConfigVersion(to),
        base: document.published.version,
        publish_id,
        operator: operator(args),
    };
    let advice = lost_response_advice(publish_id);
    let client = &context.client;
    let reply: PublishReply = client
        .post("/admin/config/rollback", &request, &advice)
        .await?;
    context.print(&reply, render_published)
}
