//! `hollywheel-bench load`

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hollywheel_bench::{BenchError, read_plan, run_load, summarize, write_records};

pub(crate) fn command() -> Command {
    Command::new("load")
        .about("Sends the requests of a plan at their times and records their outcomes")
        .arg(
            Arg::new("plan")
                .long("plan")
                .required(true)
                .env("HOLLYWHEEL_BENCH_PLAN")
                .value_parser(value_parser!(PathBuf))
                .help("TOML file with the load"),
        )
        .arg(
            Arg::new("address")
                .long("address")
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Address of a daemon, in place of those of the plan; may be repeated"),
        )
        .arg(
            Arg::new("run")
                .long("run")
                .required(true)
                .env("HOLLYWHEEL_BENCH_RUN")
                .help("Name of the run, a prefix of keys and inputs; must be unique"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("Seed, in place of that of the plan"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .required(true)
                .env("HOLLYWHEEL_BENCH_OUTPUT")
                .value_parser(value_parser!(PathBuf))
                .help("File for the records, one JSON object per line"),
        )
}

pub(crate) async fn execute(matches: &ArgMatches) -> Result<ExitCode, BenchError> {
    let path: &PathBuf = matches.get_one("plan").expect("the flag is required");
    let run: &String = matches.get_one("run").expect("the flag is required");
    let output: &PathBuf = matches.get_one("output").expect("the flag is required");
    let mut plan = read_plan(path)?;
    if let Some(addresses) = matches.get_many("address") {
        plan.addresses = addresses.copied().collect();
    }
    if let Some(seed) = matches.get_one("seed") {
        plan.seed = *seed;
    }
    let records = run_load(&plan, run).await?;
    write_records(output, &records)?;
    println!("run {run}, seed {}", plan.seed);
    println!("{}", summarize(&plan, &records));
    Ok(ExitCode::SUCCESS)
}
