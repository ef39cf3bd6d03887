//! `hollywheel-bench check`

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hollywheel_bench::{
    BenchError, LedgerBook, ObjectView, check_outcomes, get_text, read_ledger, read_objects,
    read_records,
};

use super::run::VIOLATED;

pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Compares the outcomes at the callers with the ledgers of the stand-ins")
        .arg(
            Arg::new("records")
                .long("records")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf))
                .help("Records of a load; may be repeated"),
        )
        .arg(
            Arg::new("objects")
                .long("objects")
                .required(true)
                .env("HOLLYWHEEL_BENCH_OBJECTS")
                .value_parser(value_parser!(PathBuf))
                .help("Object file with pipelines and stages"),
        )
        .arg(
            Arg::new("ledger")
                .long("ledger")
                .action(ArgAction::Append)
                .help("IP:PORT of a stand-in, or a file with its ledger; may be repeated"),
        )
        .arg(
            Arg::new("all-servers")
                .long("all-servers")
                .action(ArgAction::SetTrue)
                .help("Reads the ledgers of every server of the object file"),
        )
}

async fn read_source(source: &str) -> Result<LedgerBook, BenchError> {
    if let Ok(address) = source.parse::<SocketAddr>() {
        let text = get_text(address, "/standin/ledger").await?;
        return read_ledger(source, 0, &text);
    }
    let text = std::fs::read_to_string(source).map_err(|error| BenchError::File {
        path: Path::new(source).to_owned(),
        error,
    })?;
    read_ledger(source, 0, &text)
}

async fn read_ledgers(
    matches: &ArgMatches,
    view: &ObjectView,
) -> Result<Vec<LedgerBook>, BenchError> {
    let mut sources: Vec<String> = matches
        .get_many("ledger")
        .unwrap_or_default()
        .cloned()
        .collect();
    if matches.get_flag("all-servers") {
        let servers = view.servers.iter();
        sources.extend(servers.map(|server| server.address.to_string()));
    }
    if sources.is_empty() {
        return Err(BenchError::Field {
            field: "ledger".to_owned(),
            expected: "at least one ledger, or --all-servers".to_owned(),
        });
    }
    let mut ledgers = Vec::new();
    for source in &sources {
        ledgers.push(read_source(source).await?);
    }
    Ok(ledgers)
}

pub(crate) async fn execute(matches: &ArgMatches) -> Result<ExitCode, BenchError> {
    let objects: &PathBuf = matches.get_one("objects").expect("the flag is required");
    let view = read_objects(objects)?;
    let mut records = Vec::new();
    for path in matches.get_many::<PathBuf>("records").unwrap_or_default() {
        records.extend(read_records(path)?);
    }
    let ledgers = read_ledgers(matches, &view).await?;
    let report = check_outcomes(&view, &records, &ledgers);
    println!("{report}");
    match report.violations {
        0 => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::from(VIOLATED)),
    }
}
