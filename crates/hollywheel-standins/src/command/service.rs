//! `hollywheel-standin service`

use std::io;

use clap::{ArgMatches, Command, value_parser};
use hollywheel_standins::{ServiceSettings, StandinHandle, start_service};

use super::flag::{flag, get, get_micros, get_millis, listen};

pub(crate) fn command() -> Command {
    let settings = ServiceSettings::default();
    Command::new("service")
        .about("Stands in for a plain service, which does not deduplicate")
        .arg(listen())
        .arg(flag(
            "name",
            value_parser!(String),
            settings.name,
            "Name of the server",
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
    let settings = ServiceSettings {
        listen: get(matches, "listen"),
        name: get(matches, "name"),
        slots: get(matches, "slots"),
        queue_limit: get(matches, "queue-limit"),
        median: get_micros(matches, "median-us"),
        sigma: get(matches, "sigma"),
        load_lag: get_millis(matches, "load-lag-ms"),
        seed: get(matches, "seed"),
    };
    start_service(settings).await
}
