//! `hollywheel-standin engine`

use std::io;
use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hollywheel_standins::{EngineSettings, StandinHandle, start_engine};

use super::flag::{capacity_flags, flag, get, get_micros, get_millis, listen, optional};

pub(crate) fn command() -> Command {
    let settings = EngineSettings::default();
    Command::new("engine")
        .about("Stands in for a model engine")
        .arg(listen())
        .args(capacity_flags(
            "Streams",
            settings.name,
            settings.slots,
            settings.queue_limit,
        ))
        .arg(
            Arg::new("model")
                .long("model")
                .action(ArgAction::Append)
                .help("Model that is loaded at the start; may be repeated"),
        )
        .arg(flag(
            "token-us",
            value_parser!(u64),
            settings.token_time.as_micros(),
            "Time of one step with one stream, in microseconds",
        ))
        .arg(flag(
            "batch-growth",
            value_parser!(f64),
            settings.batch_growth,
            "Share by which each further stream lengthens a step",
        ))
        .arg(flag(
            "prompt-byte-us",
            value_parser!(u64),
            settings.prompt_byte_time.as_micros(),
            "Time of one byte of prompt, in microseconds",
        ))
        .arg(flag(
            "cached-share",
            value_parser!(f64),
            settings.cached_share,
            "Share of the prompt's time that remains when its prefix is cached",
        ))
        .arg(flag(
            "cache-size",
            value_parser!(u32),
            settings.cache_size,
            "Prompt prefixes that the cache holds",
        ))
        .arg(flag(
            "cache-gap-every",
            value_parser!(u64),
            settings.cache_gap_every,
            "Interval of lost cache events, 1 for every event; 0 loses none",
        ))
        .arg(flag(
            "load-lag-ms",
            value_parser!(u64),
            settings.load_lag.as_millis(),
            "Lag of load reports and cache events, in milliseconds",
        ))
        .arg(flag(
            "fencing",
            value_parser!(bool),
            settings.fencing,
            "Whether orders with old fencing numbers are refused",
        ))
        .arg(optional(
            "weights",
            value_parser!(SocketAddr),
            "Address of the weight store",
        ))
        .arg(optional(
            "platform-token",
            value_parser!(String),
            "Token that the platform asks for",
        ))
        .arg(flag(
            "load-ms",
            value_parser!(u64),
            settings.load_time.as_millis(),
            "Time of loading a model after it has been read, in milliseconds",
        ))
}

pub(crate) async fn start(matches: &ArgMatches) -> io::Result<StandinHandle> {
    let models = matches.get_many::<String>("model").unwrap_or_default();
    let settings = EngineSettings {
        listen: get(matches, "listen"),
        name: get(matches, "name"),
        slots: get(matches, "slots"),
        queue_limit: get(matches, "queue-limit"),
        models: models.cloned().collect(),
        token_time: get_micros(matches, "token-us"),
        batch_growth: get(matches, "batch-growth"),
        prompt_byte_time: get_micros(matches, "prompt-byte-us"),
        cached_share: get(matches, "cached-share"),
        cache_size: get(matches, "cache-size"),
        cache_gap_every: get(matches, "cache-gap-every"),
        load_lag: get_millis(matches, "load-lag-ms"),
        fencing: get(matches, "fencing"),
        weights: matches.get_one("weights").copied(),
        platform_token: matches.get_one("platform-token").cloned(),
        load_time: get_millis(matches, "load-ms"),
    };
    start_engine(settings).await
}
