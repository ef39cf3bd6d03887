//! `hollywheel-standin platform`

use std::io;
use std::path::PathBuf;

use clap::{ArgMatches, Command, value_parser};
use hollywheel_standins::{HostList, PlatformSettings, StandinHandle, start_platform};

use super::flag::{flag, get, get_micros, get_millis, listen, optional};

pub(crate) fn command() -> Command {
    let settings = PlatformSettings::default();
    Command::new("platform")
        .about("Stands in for the table service, object store, host list and weight store")
        .arg(listen())
        .arg(optional(
            "token",
            value_parser!(String),
            "Token that callers must give",
        ))
        .arg(flag(
            "write-rate",
            value_parser!(f64),
            settings.writes_per_second,
            "Writes a second; further ones are refused as not run",
        ))
        .arg(flag(
            "read-rate",
            value_parser!(f64),
            settings.reads_per_second,
            "Reads a second; further ones are refused as not run",
        ))
        .arg(flag(
            "latency-us",
            value_parser!(u64),
            settings.latency.as_micros(),
            "Time of one call, in microseconds",
        ))
        .arg(flag(
            "host-lag-ms",
            value_parser!(u64),
            settings.host_lag.as_millis(),
            "Lag of the host list, in milliseconds",
        ))
        .arg(optional(
            "hosts",
            value_parser!(PathBuf),
            "JSON file with the host list at the start",
        ))
        .arg(flag(
            "weight-rate",
            value_parser!(f64),
            settings.weights_per_second,
            "Reads of models a second; further ones are refused",
        ))
        .arg(flag(
            "weight-bytes",
            value_parser!(usize),
            settings.weight_bytes,
            "Size of every model, in bytes",
        ))
}

fn read_hosts(path: &PathBuf) -> io::Result<HostList> {
    let text = std::fs::read(path)?;
    serde_json::from_slice(&text)
        .map_err(|error| io::Error::other(format!("{}: {error}", path.display())))
}

pub(crate) async fn start(matches: &ArgMatches) -> io::Result<StandinHandle> {
    let hosts: Option<&PathBuf> = matches.get_one("hosts");
    let settings = PlatformSettings {
        listen: get(matches, "listen"),
        token: matches.get_one("token").cloned(),
        writes_per_second: get(matches, "write-rate"),
        reads_per_second: get(matches, "read-rate"),
        latency: get_micros(matches, "latency-us"),
        host_lag: get_millis(matches, "host-lag-ms"),
        hosts: hosts.map(read_hosts).transpose()?.unwrap_or_default(),
        weights_per_second: get(matches, "weight-rate"),
        weight_bytes: get(matches, "weight-bytes"),
    };
    start_platform(settings).await
}
