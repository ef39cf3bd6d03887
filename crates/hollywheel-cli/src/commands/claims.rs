//! `hollywheelctl claims`

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hollywheel_admin::{ClaimEntry, ClaimList, ClaimResolution};
use hollywheel_types::{ExecutionVerdict, IdempotencyKey, WorkspaceId};

use super::publish::{operator, operator_argument};
use crate::context::CommandContext;
use crate::error::CliError;
use crate::output::TextTable;

pub(crate) const NAME: &str = "claims";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about(
            "Lists claims of non-idempotent requests, and resolves those that dead hosts left open",
        )
        .subcommand_required(true)
        .subcommand(list_command())
        .subcommand(resolve_command())
}

fn list_command() -> Command {
    Command::new("list")
        .about("Lists claims that are not settled")
        .arg(
            Arg::new("all")
                .long("all")
                .action(ArgAction::SetTrue)
                .help("Includes settled claims"),
        )
        .arg(
            Arg::new("after")
                .long("after")
                .value_name("WORKSPACE/KEY")
                .default_value("")
                .help("Starts after this claim"),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("COUNT")
                .default_value("100")
                .help("Maximum number of claims")
                .value_parser(value_parser!(u32).range(1..=1000)),
        )
        .after_help("Example:\n  hollywheelctl claims list")
}

fn resolve_command() -> Command {
    Command::new("resolve")
        .about(
            "Resolves a claim after the operator established at the backend server whether it ran",
        )
        .arg(
            Arg::new("workspace")
                .required(true)
                .value_name("WORKSPACE")
                .help("Workspace of the request")
                .value_parser(value_parser!(WorkspaceId)),
        )
        .arg(
            Arg::new("key")
                .required(true)
                .value_name("KEY")
                .help("Idempotency key of the request")
                .value_parser(value_parser!(IdempotencyKey)),
        )
        .arg(
            Arg::new("verdict")
                .required(true)
                .value_name("VERDICT")
                .help("not-run frees the key for a retry, ran settles the claim")
                .value_parser(parse_resolution),
        )
        .arg(operator_argument())
        .after_help("Example:\n  hollywheelctl claims resolve clerk-desk pay-1907 not-run")
}

fn parse_resolution(text: &str) -> Result<ExecutionVerdict, String> {
    match text.parse() {
        Ok(verdict @ (ExecutionVerdict::NotRun | ExecutionVerdict::Ran)) => Ok(verdict),
        _ => Err("expected not-run or ran".to_owned()),
    }
}

pub(crate) async fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    match args.subcommand() {
        Some(("resolve", args)) => resolve(context, args).await,
        Some((_, args)) => list(context, args).await,
        None => Err(CliError::Argument(
            "expected `claims list` or `claims resolve`".to_owned(),
        )),
    }
}

async fn list(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let limit = args.get_one::<u32>("limit").copied().unwrap_or(100);
    let after = args.get_one::<String>("after").cloned().unwrap_or_default();
    let all = u8::from(args.get_flag("all"));
    let path = format!("/admin/claims?after={after}&limit={limit}&all={all}");
    let list: ClaimList = context.client.get(&path).await?;
    context.print(&list, render_text)
}

fn render_text(list: &ClaimList) -> String {
    let header = ["WORKSPACE", "KEY", "STATE", "VERDICT", "HOST", "CLAIMED"];
    let mut table = TextTable::new(&header);
    for claim in &list.claims {
        table.add([
            claim.workspace.to_string(),
            claim.key.to_string(),
            claim.state.clone(),
            claim.verdict.to_string(),
            claim.host.to_string(),
            claim.claimed_at.to_string(),
        ]);
    }
    table.to_string()
}

async fn resolve(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let resolution = ClaimResolution {
        workspace: required(args, "workspace")?,
        key: required(args, "key")?,
        verdict: required(args, "verdict")?,
        operator: operator(args),
    };
    let advice = "run `hollywheelctl claims list` to see the state of the claim";
    let client = &context.client;
    let claim: ClaimEntry = client
        .post("/admin/claims/resolve", &resolution, advice)
        .await?;
    context.print(&claim, |claim| {
        format!(
            "{}/{} is {} with verdict {}\n",
            claim.workspace, claim.key, claim.state, claim.verdict
        )
    })
}

fn required<T>(args: &ArgMatches, name: &str) -> Result<T, CliError>
where
    T: Clone + Send + Sync + 'static,
{
    let value = args.get_one::<T>(name).cloned();
    value.ok_or_else(|| CliError::Argument(format!("{name} is missing")))
}
