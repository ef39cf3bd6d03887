//! Output of the settings as text.

use std::fmt::Write as _;

use super::flags::FLAGS;
use super::values::{DaemonSettings, LogFormat, LogLevel};

/// Returns the settings as `VARIABLE=value` lines with hidden secrets.
pub fn print_settings(settings: &DaemonSettings) -> String {
    let mut text = String::new();
    for entry in FLAGS {
        let value = display_value(entry.flag, settings);
        let _ = writeln!(text, "{}={value}", entry.variable);
    }
    text
}

fn display_value(flag: &str, settings: &DaemonSettings) -> String {
    let seeds: Vec<String> = settings
        .seed_hosts
        .iter()
        .map(ToString::to_string)
        .collect();
    let secrets = &settings.secrets;
    match flag {
        "host" => settings.host.to_string(),
        "domain" => settings.domain.to_string(),
        "region" => settings.region.to_string(),
        "listen" => settings.listen.to_string(),
        "admin-listen" => settings.admin_listen.to_string(),
        "peer-listen" => settings.peer_listen.to_string(),
        "seed-hosts" => seeds.join(","),
        "platform" => settings.platform.to_string(),
        "routing" => settings.routing.to_string(),
        "drain-ms" => settings.drain.as_millis().to_string(),
        "max-body" => settings.max_body.to_string(),
        "max-requests" => settings.max_requests.to_string(),
        "max-connections" => settings.max_connections.to_string(),
        "max-operator-connections" => settings.max_operator_connections.to_string(),
        "workers" => settings.workers.to_string(),
        "config-poll-ms" => settings.config_poll.as_millis().to_string(),
        "claim-retention-hours" => (settings.claim_retention.as_secs() / 3600).to_string(),
        "load-poll-ms" => settings.load_poll.as_millis().to_string(),
        "load-polls" => settings.load_polls.to_string(),
        "log-format" => format_name(settings.log_format).to_owned(),
        "log-level" => level_name(settings.log_level).to_owned(),
        "platform-token" => secret_state(secrets.platform_token.is_some()),
        "operators" => secret_state(!secrets.operators.is_empty()),
        "tls-cert" | "tls-key" | "tls-ca" => secret_state(secrets.tls.is_some()),
        _ => String::new(),
    }
}

fn secret_state(set: bool) -> String {
    let text = if set { "(hidden)" } else { "(not set)" };
    text.to_owned()
}

const fn format_name(format: LogFormat) -> &'static str {
    match format {
        LogFormat::Json => "json",
        LogFormat::Text => "text",
    }
}

/// Returns the name of a log level, as in the settings.
pub(crate) const fn level_name(level: LogLevel) -> &'static str {
    match level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
    }
}

/// Returns the settings as the Markdown table of `docs/SETTINGS.md`.
pub fn markdown_table() -> String {
    let mut text = String::from("| flag | variable | value | default | what it does |\n");
    text.push_str("| --- | --- | --- | --- | --- |\n");
    for entry in FLAGS {
        let flag = if entry.secret {
            "none (secret)".to_owned()
        } else {
            format!("`--{}`", entry.flag)
        };
        let default = match entry.default {
            None => "required".to_owned(),
            Some("") => "none".to_owned(),
            Some(default) => format!("`{default}`"),
        };
        let _ = writeln!(
            text,
            "| {flag} | `{}` | {} | {default} | {} |",
            entry.variable, entry.value, entry.help
        );
    }
    text
}
