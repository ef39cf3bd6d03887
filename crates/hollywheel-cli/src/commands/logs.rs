//! `hollywheelctl logs`

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_types::SortedMap;
use serde::Serialize;

use crate::context::CommandContext;
use crate::error::CliError;
use crate::log_lines::{LogLine, read_logs};
use crate::output::TextTable;

pub(crate) const NAME: &str = "logs";

/// The event at the end of each request.
const REQUEST_ENDED: &str = "HW7201";
/// The field that names the request of a line.
const REQUEST: &str = "request";
/// Fields that name what a request met: lines about these belong to its story.
const SUBJECTS: [&str; 2] = ["server", "pool"];

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Explains failed requests from the log files of hosts")
        .subcommand_required(true)
        .subcommand(
            Command::new("request")
                .about("Prints what all hosts logged for one request, and about what it met")
                .arg(
                    Arg::new("request")
                        .required(true)
                        .value_name("ID")
                        .help("Id of the caller's attempt"),
                )
                .arg(files_argument())
                .after_help("Example:\n  hollywheelctl logs request 9c41d07be2a35f68 logs/*.log"),
        )
        .subcommand(
            Command::new("failures")
                .about("Counts requests that were not answered, by pipeline and cause")
                .arg(files_argument())
                .after_help("Example:\n  hollywheelctl logs failures logs/*.log"),
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
        return context.print(&count_failures(&lines), |failures| failure_text(failures));
    }
    let request = args.get_one::<String>("request");
    let request = request.map_or("", String::as_str);
    let story = tell_story(&lines, request);
    if story.is_empty() {
        let detail = format!("no file has a line of request {request}");
        return Err(CliError::not_found(detail));
    }
    context.print(&story, |story| story_text(story, request))
}

/// Selects the lines of a request, and those that other events of its time wrote about the
/// servers and pools that it met.
fn tell_story<'a>(lines: &'a [LogLine], request: &str) -> Vec<&'a LogLine> {
    let own: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.field(REQUEST) == request)
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let met: Vec<(&str, String)> = SUBJECTS
        .into_iter()
        .flat_map(|name| own.iter().map(move |line| (name, line.field(name))))
        .filter(|(_, value)| !value.is_empty())
        .collect();
    let concerns = |line: &LogLine| {
        let in_time = line.timestamp >= first.timestamp && line.timestamp <= last.timestamp;
        let of_other = !line.field(REQUEST).is_empty();
        in_time && !of_other && met.iter().any(|(name, value)| line.field(name) == *value)
    };
    lines
        .iter()
        .filter(|line| line.field(REQUEST) == request || concerns(line))
        .collect()
}

fn story_text(story: &[&LogLine], request: &str) -> String {
    let mut table = TextTable::new(&["TIME", "HOST", "EVENT", "WHAT"]);
    for line in story {
        let own = line.field(REQUEST) == request;
        let mark = if own { "" } else { "(meanwhile) " };
        table.add([
            line.timestamp.clone(),
            line.host.clone(),
            line.code.clone(),
            format!("{mark}{} {}", line.message, line.details()),
        ]);
    }
    table.to_string()
}

/// Counts requests of one pipeline that ended alike.
#[derive(Clone, Debug, Serialize)]
struct FailureCount {
    pipeline: String,
    outcome: String,
    reason: String,
    count: u64,
    /// When the first of them ended.
    first: String,
    /// The id of the first of them.
    example: String,
}

fn count_failures(lines: &[LogLine]) -> Vec<FailureCount> {
    let mut counts: SortedMap<[String; 3], FailureCount> = SortedMap::new();
    let ends = lines.iter().filter(|line| line.code == REQUEST_ENDED);
    for line in ends.filter(|line| line.field("outcome") != "answered") {
        let key = ["pipeline", "outcome", "reason"].map(|name| line.field(name));
        let count = counts.get_or_insert_with(key, || FailureCount {
            pipeline: line.field("pipeline"),
            outcome: line.field("outcome"),
            reason: line.field("reason"),
            count: 0,
            first: line.timestamp.clone(),
            example: line.field(REQUEST),
        });
        count.count += 1;
    }
    let mut failures: Vec<FailureCount> = counts.values().cloned().collect();
    failures.sort_by_key(|failure| std::cmp::Reverse(failure.count));
    failures
}

fn failure_text(failures: &[FailureCount]) -> String {
    let heading = ["COUNT", "PIPELINE", "OUTCOME", "REASON", "FIRST", "EXAMPLE"];
    let mut table = TextTable::new(&heading);
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
