//! Log set-up.

use std::io::IsTerminal;

use tracing::level_filters::LevelFilter;

use crate::settings::{LogFormat, LogLevel};

/// Starts logging to standard error.
pub fn start_log(format: LogFormat, level: LogLevel) {
    let level = match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
    };
    let filter = tracing_subscriber::EnvFilter::new(format!("off,hollywheel_daemon={level}"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal())
        .with_target(false);
    // A subscriber that is already installed, as in tests, is kept.
    let _ = match format {
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
        LogFormat::Text => builder.try_init(),
    };
}
