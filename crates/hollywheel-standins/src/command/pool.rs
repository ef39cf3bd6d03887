//! `hollywheel-standin pool`

use std::io;

use clap::{ArgMatches, Command, value_parser};
use hollywheel_standins::{PoolSettings, PoolWork, StandinHandle, start_pool};

use super::flag::{flag, get, get_micros, get_millis, listen};

fn parse_work(text: &str) -> Result<PoolWork, String> {
    text.parse()
}

pub(crate) fn command() -> Command {
    let settings = PoolSettings::default();
    Command::new("pool")
        .about("Stands in for an encoder, retriever or reranker")
        .arg(listen())
        .arg(flag(
            "name",
            value_parser!(String),
            settings.name,
            "Name of the server",
        ))
        .arg(flag(
            "work",
            parse_work as fn(&str) -> Result<PoolWork, String>,
            settings.work,
            "encoder, retriever or reranker",
        ))
        .arg(flag(
            "slots",
            value_parser!(u32),
            settings.slots,
            "Calls that run at once",
        ))
        .arg(flag(
            "queue-limit",
            value_parser!(u32),
            settings.queue_limit,
            "Calls that wait; further ones are refused as not run",
        ))
        .arg(flag(
            "median-us",
            value_parser!(u64),
            settings.median.as_micros(),
            "Median of the service times, in microseconds",
        ))
        .arg(flag(
            "sigma",
            value_parser!(f64),
            settings.sigma,
            "Standard deviation of the logarithm of the service times",
        ))
        .arg(flag(
            "correlation",
            value_parser!(f64),
            settings.correlation,
            "Autocorrelation of the logarithms of successive service times, 0 to 1",
        ))
        .arg(flag(
            "load-lag-ms",
            value_parser!(u64),
            settings.load_lag.as_millis(),
            "Lag of load reports, in milliseconds",
        ))
        .arg(flag(
            "seed",
            value_parser!(u64),
            settings.seed,
            "Seed of the service times",
        ))
}

pub(crate) async fn start(matches: &ArgMatches) -> io::Result<StandinHandle> {
    let settings = PoolSettings {
        listen: get(matches, "listen"),
        name: get(matches, "name"),
        work: get(matches, "work"),
        slots: get(matches, "slots"),
        queue_limit: get(matches, "queue-limit"),
        median: get_micros(matches, "median-us"),
        sigma: get(matches, "sigma"),
        correlation: get(matches, "correlation"),
        load_lag: get_millis(matches, "load-lag-ms"),
        seed: get(matches, "seed"),
    };
    start_pool(settings).await
}
