//! Command-line flags that can also be set by environment variables.

use std::any::Any;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use clap::builder::{StyledStr, ValueParser};
use clap::{Arg, ArgMatches, value_parser};

/// Returns a flag with a default. Its environment variable is `HOLLYWHEEL_STANDIN_` followed by the
/// name.
pub(crate) fn flag(
    name: &'static str,
    parser: impl Into<ValueParser>,
    default: impl Display,
    help: impl Into<StyledStr>,
) -> Arg {
    optional(name, parser, help).default_value(default.to_string())
}

/// Returns a flag without a default.
pub(crate) fn optional(
    name: &'static str,
    parser: impl Into<ValueParser>,
    help: impl Into<StyledStr>,
) -> Arg {
    let variable = name.to_uppercase().replace('-', "_");
    Arg::new(name)
        .long(name)
        .env(format!("HOLLYWHEEL_STANDIN_{variable}"))
        .value_parser(parser)
        .help(help.into())
}

/// Returns the flag of the address to listen on.
pub(crate) fn listen() -> Arg {
    flag(
        "listen",
        value_parser!(SocketAddr),
        "127.0.0.1:0",
        "Address and port; port 0 lets the system choose",
    )
}

/// Returns the flags of a server's name, slots and queue limit.
pub(crate) fn capacity_flags(work: &str, name: String, slots: u32, queue_limit: u32) -> [Arg; 3] {
    [
        flag("name", value_parser!(String), name, "Name of the server"),
        flag(
            "slots",
            value_parser!(u32),
            slots,
            format!("{work} that run at once"),
        ),
        flag(
            "queue-limit",
            value_parser!(u32),
            queue_limit,
            format!("{work} that wait; further ones are refused as not run"),
        ),
    ]
}

/// Returns the flags of random service times and of the lag of load reports.
pub(crate) fn time_flags(median: Duration, sigma: f64, load_lag: Duration, seed: u64) -> [Arg; 4] {
    [
        flag(
            "median-us",
            value_parser!(u64),
            median.as_micros(),
            "Median of the service times, in microseconds",
        ),
        flag(
            "sigma",
            value_parser!(f64),
            sigma,
            "Standard deviation of the logarithm of the service times",
        ),
        flag(
            "load-lag-ms",
            value_parser!(u64),
            load_lag.as_millis(),
            "Lag of load reports, in milliseconds",
        ),
        flag(
            "seed",
            value_parser!(u64),
            seed,
            "Seed of the service times",
        ),
    ]
}

/// Returns the value of a flag that has a default.
pub(crate) fn get<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> T {
    let value: Option<&T> = matches.get_one(name);
    value.cloned().expect("the flag has a default")
}

/// Returns the value of a flag in milliseconds.
pub(crate) fn get_millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(get(matches, name))
}

/// Returns the value of a flag in microseconds.
pub(crate) fn get_micros(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_micros(get(matches, name))
}
