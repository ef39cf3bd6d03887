//! Flags that are also read from the environment.

use std::any::Any;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgMatches, value_parser};

/// Returns a flag with a default; its variable is `HOLLYWHEEL_STANDIN_` and the name.
pub(crate) fn flag(
    name: &'static str,
    parser: impl Into<ValueParser>,
    default: impl Display,
    help: &'static str,
) -> Arg {
    optional(name, parser, help).default_value(default.to_string())
}

/// Returns a flag without a default.
pub(crate) fn optional(
    name: &'static str,
    parser: impl Into<ValueParser>,
    help: &'static str,
) -> Arg {
    let variable = name.to_uppercase().replace('-', "_");
    Arg::new(name)
        .long(name)
        .env(format!("HOLLYWHEEL_STANDIN_{variable}"))
        .value_parser(parser)
        .help(help)
}

/// Returns the flag for the address.
pub(crate) fn listen() -> Arg {
    flag(
        "listen",
        value_parser!(SocketAddr),
        "127.0.0.1:0",
        "Address and port; port 0 lets the system choose",
    )
}

/// Returns the value of a flag that has a default.
pub(crate) fn get<T: Any + Clone + Send + Sync>(matches: &ArgMatches, name: &str) -> T {
    let value: Option<&T> = matches.get_one(name);
    value.cloned().expect("the flag has a default")
}

/// Returns a span that is given in milliseconds.
pub(crate) fn get_millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(get(matches, name))
}

/// Returns a span that is given in microseconds.
pub(crate) fn get_micros(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_micros(get(matches, name))
}
