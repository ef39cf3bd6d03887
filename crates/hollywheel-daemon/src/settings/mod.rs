//! Settings from command-line flags and environment variables.

mod flags;
mod parse;
mod secrets;
mod show;
mod values;

pub use flags::{FlagError, build_command, read_arguments};
pub use parse::{RawSettings, SettingFault, SettingsError, check_settings};
pub use secrets::{OperatorEntry, SecretSettings, SecretText, TlsSettings, parse_operators};
pub use show::{markdown_table, print_settings};
pub use values::{DaemonSettings, LogFormat, LogLevel, StartAction};
