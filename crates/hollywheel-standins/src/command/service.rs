//! `hollywheel-standin service`

use std::io;

use clap::{ArgMatches, Command};
use hollywheel_standins::{ServiceSettings, StandinHandle, start_service};

use super::flag::{capacity_flags, get, get_micros, get_millis, listen, time_flags};

pub(crate) fn command() -> Command {
    let settings = ServiceSettings::default();
    Command::new("service")
        .about("Stands in for a plain service, which does not deduplicate")
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
