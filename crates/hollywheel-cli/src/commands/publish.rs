//! `hollywheelctl publish`

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hollywheel_admin::{ConfigDocument, PublishReply, PublishRequest};
use hollywheel_types::{ConfigVersion, PublishId};

use super::diff::DiffDocument;
use crate::context::CommandContext;
use crate::error::CliError;
use crate::object_files::{files_argument, read_files, require_clean};

pub(crate) const NAME: &str = "publish";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Publishes object files as the complete new set")
        .arg(files_argument())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .help("Version that the files are based on [default: the version in force]")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Shows the changes without publishing them"),
        )
        .arg(publish_id_argument())
        .arg(operator_argument())
        .after_help(
            "Examples:\n  hollywheelctl publish examples/pricing-office.toml --dry-run\n  \
             hollywheelctl publish examples/pricing-office.toml --operator aigerim",
        )
}

/// Returns the argument for the ID of the publication.
pub(crate) fn publish_id_argument() -> Arg {
    Arg::new("publish-id")
        .long("publish-id")
        .value_name("HEX")
        .help("ID of the publication; reuse it to retry after a lost response")
        .value_parser(value_parser!(PublishId))
}

/// Returns the argument for the name of the operator.
pub(crate) fn operator_argument() -> Arg {
    Arg::new("operator")
        .long("operator")
        .env("HOLLYWHEEL_OPERATOR")
        .value_name("NAME")
        .default_value("unnamed")
        .help("Name of the operator, shown in the history")
}

/// Returns the ID of the publication: the argument, or a random one.
pub(crate) fn publish_id(args: &ArgMatches) -> PublishId {
    let given = args.get_one::<PublishId>("publish-id").copied();
    given.unwrap_or_else(|| PublishId(rand::random()))
}

/// Returns the name of the operator from the arguments.
pub(crate) fn operator(args: &ArgMatches) -> String {
    let given = args.get_one::<String>("operator").cloned();
    given.unwrap_or_default()
}

/// Returns the advice on how to retry a publication whose response was lost.
pub(crate) fn lost_response_advice(publish_id: PublishId) -> String {
    format!("run the same command again with --publish-id {publish_id}; it publishes at most once")
}

pub(crate) async fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let set = read_files(args)?;
    require_clean(&set)?;
    let document: ConfigDocument = context.client.get("/admin/config").await?;
    if args.get_flag("dry-run") {
        return context.print(
            &DiffDocument::new(&document, &set),
            DiffDocument::render_text,
        );
    }
    let base = args.get_one::<u64>("base").copied().map(ConfigVersion);
    let publish_id = publish_id(args);
    let request = PublishRequest {
        base: base.unwrap_or(document.published.version),
        publish_id,
        operator: operator(args),
        set,
    };
    let advice = lost_response_advice(publish_id);
    let client = &context.client;
    let reply: PublishReply = client
        .post("/admin/config/publish", &request, &advice)
        .await?;
    context.print(&reply, render_published)
}

/// Renders the response to a publication or a rollback.
pub(crate) fn render_published(reply: &PublishReply) -> String {
    format!(
        "published version {} with {} changed objects\n",
        reply.version, reply.changed
    )
}
