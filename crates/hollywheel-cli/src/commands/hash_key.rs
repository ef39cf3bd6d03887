//! `hollywheelctl hash-key`

use clap::{Arg, ArgMatches, Command};
use hollywheel_config::hash_key;
use hollywheel_types::KeyHash;
use serde::Serialize;

use crate::context::CommandContext;
use crate::error::CliError;

pub(crate) const NAME: &str = "hash-key";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Generates a key for a workspace or an operator, with the hash to configure for it")
        .arg(
            Arg::new("key")
                .long("key")
                .env("HOLLYWHEEL_NEW_KEY")
                .hide_env_values(true)
                .value_name("KEY")
                .help("Hashes this key instead of a new one"),
        )
        .after_help("Example:\n  hollywheelctl hash-key")
}

/// A key and the hash that is configured for it.
#[derive(Debug, Serialize)]
struct KeyDocument {
    key: String,
    hash: KeyHash,
}

pub(crate) fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let given = args.get_one::<String>("key").cloned();
    let key = given.unwrap_or_else(|| format!("hwk-{:032x}", rand::random::<u128>()));
    let hash = hash_key(&key);
    context.print(&KeyDocument { key, hash }, |document| {
        format!("key   {}\nhash  {}\n", document.key, document.hash)
    })
}
