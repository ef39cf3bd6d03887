//! `hollywheelctl logs`

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_types::SortedMap;
use serde::Serialize;

use crate::context::CommandContext;
use crate::error::CliError;
use crate::log_lines::{LogLine, read_logs};
use crate::outcome_plot::draw_outcomes;
use crate::output::TextTable;

pub(crate) const NAME: &str = "logs";

/// The code of the event that each request ends with.
const REQUEST_ENDED_CODE: &str = "HW7201";
/// The field that identifies the request of an event.
const REQUEST_FIELD: &str = "request";
/// The fields that relate other events to a request: the servers and pools that it used.
const RELATION_FIELDS: [&str; 2] = ["server", "pool"];

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Explains failed requests from the log files of hosts")
        .subcommand_required(true)
        .subcommand(
            Command::new("request")
                .about("Prints the events of one request on all hosts, and related events of the same time")
                .arg(
                    Arg::new("request")
                        .required(true)
                        .value_name("ID")
                        .help("ID of the caller's attempt"),
                )
                .arg(files_argument())
                .after_help("Example:\n  hollywheelctl logs request 9c41d07be2a35f68 logs/*.log"),
        )
        .subcommand(
            Command::new("failures")
                .about("Counts failed requests by pipeline and cause")
                .arg(
                    Arg::new("plot")
                        .long("plot")
                        .value_name("SVG")
                        .value_parser(value_parser!(PathBuf))
                        .help("File for a plot of all requests over time, by outcome and cause"),
                )
                .arg(files_argument())
                .after_help("Examples:\n  hollywheelctl logs failures logs/*.log\n  hollywheelctl logs failures --plot outcomes.svg logs/*.log"),
        )
}

fn files_argument() -> Arg {
    Arg::new("files")
        .required(true)
        .num_args(1..)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Log files, one or more for each host")
}

pub(crate) fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let Some((name, args)) = args.subcommand() else {
        return Err(CliError::Argument(
            "expected `logs request` or `logs failures`".to_owned(),
        ));
    };
    let files = args.get_many::<PathBuf>("files").unwrap_or_default();
    let lines = read_logs(files.map(PathBuf::as_path))?;
    if name == "failures" {
        if let Some(path) = args.get_one::<PathBuf>("plot") {
            draw_outcomes(path, ended_requests(&lines))?;
        }
        return context.print(&count_failures(&lines), |failures| failure_table(failures));
    }
    let request = args.get_one::<String>("request");
    let request = request.map_or("", String::as_str);
    let events = select_events(&lines, request);
    if events.is_empty() {
        let detail = format!("no file contains an event of request {request}");
        return Err(CliError::not_found(detail));
    }
    context.print(&events, |events| render_events(events, request))
}

/// Returns the events of a request, and the events of no request that concern the servers and pools
/// that it used while it was in progress.
fn select_events<'a>(lines: &'a [LogLine], request: &str) -> Vec<&'a LogLine> {
    let own_events: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.field(REQUEST_FIELD) == request)
        .collect();
    let (Some(first), Some(last)) = (own_events.first(), own_events.last()) else {
        return Vec::new();
    };
    let used: Vec<(&str, String)> = RELATION_FIELDS
        .into_iter()
        .flat_map(|name| own_events.iter().map(move |line| (name, line.field(name))))
        .filter(|(_, value)| !value.is_empty())
        .collect();
    let is_related = |line: &LogLine| {
        let during_request = line.timestamp >= first.timestamp && line.timestamp <= last.timestamp;
        let has_request = !line.field(REQUEST_FIELD).is_empty();
        during_request
            && !has_request
            && used.iter().any(|(name, value)| line.field(name) == *value)
    };
    lines
        .iter()
        .filter(|line| line.field(REQUEST_FIELD) == request || is_related(line))
        .collect()
}

fn render_events(events: &[&LogLine], request: &str) -> String {
    let mut table = TextTable::new(&["TIME", "HOST", "EVENT", "WHAT"]);
    for line in events {
        let is_own = line.field(REQUEST_FIELD) == request;
        let prefix = if is_own { "" } else { "(related) " };
        table.add([
            line.timestamp.clone(),
            line.host.clone(),
            line.code.clone(),
            format!("{prefix}{} {}", line.message, line.details()),
        ]);
    }
    table.to_string()
}

/// The number of requests of one pipeline that failed for the same cause.
#[derive(Clone, Debug, Serialize)]
struct FailureCount {
    pipeline: String,
    outcome: String,
    reason: String,
    count: u64,
    /// The time at which the first of them ended.
    first: String,
    /// The ID of the first of them.
    example: String,
}

fn ended_requests(lines: &[LogLine]) -> impl Iterator<Item = &LogLine> {
    lines.iter().filter(|line| line.code == REQUEST_ENDED_CODE)
}

fn count_failures(lines: &[LogLine]) -> Vec<FailureCount> {
    let mut counts: SortedMap<[String; 3], FailureCount> = SortedMap::new();
    let failed = ended_requests(lines).filter(|line| line.field("outcome") != "answered");
    for line in failed {
        let key = ["pipeline", "outcome", "reason"].map(|name| line.field(name));
        let count = counts.get_or_insert_with(key, || FailureCount {
            pipeline: line.field("pipeline"),
            outcome: line.field("outcome"),
            reason: line.field("reason"),
            count: 0,
            first: line.timestamp.clone(),
            example: line.field(REQUEST_FIELD),
        });
        count.count += 1;
    }
    let mut failures: Vec<FailureCount> = counts.values().cloned().collect();
    failures.sort_by_key(|failure| std::cmp::Reverse(failure.count));
    failures
}

fn failure_table(failures: &[FailureCount]) -> String {
    let header = ["COUNT", "PIPELINE", "OUTCOME", "REASON", "FIRST", "EXAMPLE"];
    let mut table = TextTable::new(&header);
    for failure in failures {
        table.add([
            failure.count.to_string(),
            failure.pipeline.clone(),
            failure.outcome.clone(),
            failure.reason.clone(),
            failure.first.clone(),
            failure.example.clone(),
        ]);
    }
    table.to_string()
}
