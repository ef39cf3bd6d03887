//! Options that several commands share.

use clap::{Arg, ArgMatches, value_parser};

use crate::matrix::MatrixSettings;
use crate::scene::SceneSettings;

pub(super) fn seed_arg() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("NUMBER")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help("The seed of the hosts and of the delays")
}

pub(super) fn jitter_arg() -> Arg {
    Arg::new("jitter")
        .long("jitter-us")
        .value_name("MICROSECONDS")
        .default_value("0")
        .value_parser(value_parser!(u64))
        .help("The maximum random delay of a message")
}

pub(super) fn threads_arg() -> Arg {
    Arg::new("threads")
        .long("threads")
        .value_name("NUMBER")
        .default_value("4")
        .value_parser(value_parser!(usize))
        .help("The number of threads")
}

pub(super) fn settings(matches: &ArgMatches) -> MatrixSettings {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    MatrixSettings {
        scene: SceneSettings {
            seed: number("seed"),
            jitter_us: number("jitter"),
            broken: None,
        },
        threads: matches.get_one::<usize>("threads").copied().unwrap_or(1),
    }
}
