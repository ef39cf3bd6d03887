//! `hollywheel-matrix writes`

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_claims::ClaimSettings;

use super::options;
use crate::write_cost::{CostSettings, WriteCost, measure_writes};

pub(super) fn command() -> Command {
    Command::new("writes")
        .about("Measures the cost of claims in writes of the table service, in virtual time")
        .arg(number("hosts", "9", "The hosts"))
        .arg(number(
            "rate",
            "660",
            "The non-idempotent requests per second",
        ))
        .arg(number(
            "store-ms",
            "5",
            "The time of one call of the table service",
        ))
        .arg(number(
            "linger-ms",
            "20",
            "The minimum time between two writes of a host",
        ))
        .arg(number(
            "settle-linger-ms",
            "100",
            "The maximum time until a result is written",
        ))
        .arg(number(
            "batch",
            "64",
            "The maximum number of rows in a write",
        ))
        .arg(number(
            "max-writes",
            "2",
            "The maximum number of concurrent writes of a host",
        ))
        .arg(options::seed_arg())
}

fn number(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(value)
        .value_parser(value_parser!(u32))
        .help(help)
}

pub(super) fn run(matches: &ArgMatches) -> ExitCode {
    let given = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or_default();
    let size = |name: &str| usize::try_from(given(name)).unwrap_or(usize::MAX);
    let millis = |name: &str| Duration::from_millis(u64::from(given(name)));
    let settings = CostSettings {
        hosts: size("hosts").max(1),
        rate: f64::from(given("rate")),
        store_time: millis("store-ms"),
        claims: ClaimSettings {
            linger: millis("linger-ms"),
            settle_linger: millis("settle-linger-ms"),
            batch: size("batch"),
            max_writes: size("max-writes"),
            ..ClaimSettings::default()
        },
        seed: matches.get_one::<u64>("seed").copied().unwrap_or_default(),
        ..CostSettings::default()
    };
    print_cost(&settings, &measure_writes(&settings));
    ExitCode::SUCCESS
}

fn print_cost(settings: &CostSettings, cost: &WriteCost) {
    println!(
        "{} req/s on {} hosts for {} s: {} requests, {:.0} writes/s, {:.0} rows/s, \
         claim p50 {:.1} ms, p99 {:.1} ms",
        settings.rate,
        settings.hosts,
        settings.span.as_secs(),
        cost.requests,
        cost.txns_per_second,
        cost.rows_per_second,
        cost.claim_p50.as_secs_f64() * 1000.0,
        cost.claim_p99.as_secs_f64() * 1000.0,
    );
}
