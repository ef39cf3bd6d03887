//! `hollywheel-standin pool`

use std::io;

use clap::{ArgMatches, Command, value_parser};
use hollywheel_standins::{PoolSettings, PoolWork, StandinHandle, start_pool};

use super::flag::{capacity_flags, flag, get, get_micros, get_millis, listen, time_flags};

fn parse_work(text: &str) -> Result<PoolWork, String> {
    text.parse()
}

pub(crate) fn command() -> Command {
    let settings = PoolSettings::default();
    Command::new("pool")
        .about("Stands in for an encoder, retriever or reranker")
        .arg(listen())
        .args(capacity_flags(
            "Calls",
            settings.name,
            settings.slots,
            settings.queue_limit,
        ))
        .args(time_flags(
            settings.median,
            settings.sigma,
            settings.load_lag,
            settings.seed,
        ))
        .arg(flag(
            "work",
            parse_work as fn(&str) -> Result<PoolWork, String>,
            settings.work,
            "encoder, retriever or reranker",
        ))
        .arg(flag(
            "correlation",
            value_parser!(f64),
            settings.correlation,
            "Autocorrelation of the logarithms of successive service times, 0 to 1",
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
