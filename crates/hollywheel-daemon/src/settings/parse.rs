//! Parsing and validation of the settings.

use std::fmt;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use hollywheel_types::SortedMap;

use super::flags::FLAGS;
use super::secrets::{SecretSettings, SecretText, TlsSettings, parse_operators};
use super::values::{DaemonSettings, LogFormat, LogLevel};

/// Unparsed settings by flag. `Debug` does not show the values, since some are secret.
#[derive(Clone, Debug, Default)]
pub struct RawSettings {
    values: SortedMap<&'static str, SecretText>,
}

impl RawSettings {
    /// Sets the text of a setting.
    pub fn set(&mut self, flag: &'static str, value: String) {
        self.values.insert(flag, SecretText::new(value));
    }

    fn get(&self, flag: &str) -> Option<&str> {
        self.values
            .get(flag)
            .map(SecretText::reveal)
            .filter(|text| !text.is_empty())
    }
}

/// Error in one setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingFault {
    /// Flag of the setting.
    pub flag: &'static str,
    /// What is wrong and which values are valid.
    pub message: String,
}

/// All errors found in the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// Errors of single settings, followed by those of combinations of settings.
    pub faults: Vec<SettingFault>,
}

impl Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.faults.iter().enumerate() {
            if at > 0 {
                writeln!(f)?;
            }
            write!(f, "--{}: {}", fault.flag, fault.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

struct SettingsParser<'a> {
    raw: &'a RawSettings,
    faults: Vec<SettingFault>,
}

impl SettingsParser<'_> {
    fn add_error(&mut self, flag: &'static str, message: String) {
        self.faults.push(SettingFault { flag, message });
    }

    fn text(&mut self, flag: &'static str) -> Option<String> {
        let entry = FLAGS.iter().find(|entry| entry.flag == flag);
        let given = self.raw.get(flag).map(str::to_owned);
        let default = entry.and_then(|entry| entry.default).map(str::to_owned);
        if given.is_none() && default.is_none() {
            let variable = entry.map_or("", |entry| entry.variable);
            self.add_error(flag, format!("is missing; give the flag or set {variable}"));
        }
        given.or(default)
    }

    fn value<T>(&mut self, flag: &'static str, fallback: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.text(flag) else {
            return fallback;
        };
        match text.parse() {
            Ok(value) => value,
            Err(error) => {
                self.add_error(flag, format!("{error}"));
                fallback
            }
        }
    }

    fn address(&mut self, flag: &'static str, fallback: SocketAddr) -> SocketAddr {
        let Some(text) = self.text(flag) else {
            return fallback;
        };
        text.parse().unwrap_or_else(|_| {
            self.add_error(flag, format!("{text:?} is not valid; expected IP:PORT"));
            fallback
        })
    }

    fn addresses(&mut self, flag: &'static str) -> Vec<SocketAddr> {
        let text = self.text(flag).unwrap_or_default();
        let mut addresses = Vec::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            match part.trim().parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.add_error(flag, format!("{part:?} is not valid; expected IP:PORT")),
            }
        }
        addresses
    }

    fn number(&mut self, flag: &'static str, low: u64, high: u64) -> u64 {
        let Some(text) = self.text(flag) else {
            return low;
        };
        match text.parse() {
            Ok(number) if (low..=high).contains(&number) => number,
            _ => {
                self.add_error(
                    flag,
                    format!("{text:?} is not valid; expected a whole number from {low} to {high}"),
                );
                low
            }
        }
    }

    fn millis(&mut self, flag: &'static str, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.number(flag, low, high))
    }

    fn hours(&mut self, flag: &'static str, low: u64, high: u64) -> Duration {
        Duration::from_secs(self.number(flag, low, high) * 3600)
    }

    fn named<T: Copy>(&mut self, flag: &'static str, names: &[(&str, T)]) -> T {
        let text = self.text(flag).unwrap_or_default();
        let found = names.iter().find(|(name, _)| *name == text);
        found.map_or_else(
            || {
                let expected: Vec<&str> = names.iter().map(|(name, _)| *name).collect();
                let expected = expected.join(", ");
                self.add_error(
                    flag,
                    format!("{text:?} is not known; expected one of {expected}"),
                );
                names[0].1
            },
            |(_, value)| *value,
        )
    }

    fn secrets(&mut self) -> SecretSettings {
        let operators = match parse_operators(self.raw.get("operators").unwrap_or_default()) {
            Ok(operators) => operators,
            Err(error) => {
                self.add_error("operators", error);
                Vec::new()
            }
        };
        SecretSettings {
            platform_token: self.platform_token(),
            operators,
            tls: self.tls(),
        }
    }

    fn platform_token(&mut self) -> Option<SecretText> {
        let token = self.raw.get("platform-token")?;
        if token.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Some(SecretText::new(token.to_owned()));
        }
        self.add_error(
            "platform-token",
            "holds characters that a header cannot; expected printable ASCII without spaces"
                .to_owned(),
        );
        None
    }

    fn tls(&mut self) -> Option<TlsSettings> {
        if self.raw.get("tls-fd").is_some() {
            return self.tls_from_descriptor();
        }
        let parts = ["tls-cert", "tls-key", "tls-ca"];
        let given = parts.map(|flag| self.raw.get(flag).map(str::to_owned));
        if given.iter().all(Option::is_none) {
            return None;
        }
        for (flag, text) in parts.iter().zip(&given) {
            match text {
                None => self.add_error(flag, "is missing; the three parts go together".to_owned()),
                Some(text) if !text.contains("-----BEGIN ") => {
                    self.add_error(flag, "is not PEM; expected a -----BEGIN line".to_owned());
                }
                Some(_) => {}
            }
        }
        let [certificate, key, authority] = given;
        Some(TlsSettings {
            certificate: certificate?,
            key: SecretText::new(key?),
            authority: authority?,
        })
    }

    fn tls_from_descriptor(&mut self) -> Option<TlsSettings> {
        let number = self.number("tls-fd", 0, 1024);
        // Opening the entry in /proc reads an inherited file descriptor without unsafe code.
        let text = match std::fs::read_to_string(format!("/proc/self/fd/{number}")) {
            Ok(text) => text,
            Err(error) => {
                self.add_error(
                    "tls-fd",
                    format!("descriptor {number} cannot be read: {error}"),
                );
                return None;
            }
        };
        let parts = split_pem_bundle(&text);
        if parts.is_none() {
            self.add_error(
                "tls-fd",
                "does not hold certificate, private key and authority as PEM in this order"
                    .to_owned(),
            );
        }
        parts
    }
}

/// Splits a PEM text into the certificate chain before the private key, the key, and the
/// certificate authority after it. Returns `None` if one of them is missing.
fn split_pem_bundle(text: &str) -> Option<TlsSettings> {
    let key_name = text.find("PRIVATE KEY-----")?;
    let key_start = text[..key_name].rfind("-----BEGIN ")?;
    let end_line = text[key_name..].find("-----END ")? + key_name;
    let key_end = text[end_line..].find("KEY-----")? + end_line + "KEY-----".len();
    let certificate = &text[..key_start];
    let authority = &text[key_end..];
    let has_certificates = [certificate, authority]
        .iter()
        .all(|part| part.contains("-----BEGIN CERTIFICATE-----"));
    has_certificates.then(|| TlsSettings {
        certificate: certificate.to_owned(),
        key: SecretText::new(text[key_start..key_end].to_owned()),
        authority: authority.to_owned(),
    })
}

/// Accepted log formats. The first one stands in for an invalid value until the errors are
/// reported.
const LOG_FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];

/// Accepted log levels. The first one stands in for an invalid value until the errors are reported.
const LOG_LEVELS: [(&str, LogLevel); 4] = [
    ("info", LogLevel::Info),
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("debug", LogLevel::Debug),
];

/// Parses and validates all settings.
///
/// # Errors
///
/// Returns [`SettingsError`] with every error, not only the first one.
pub fn check_settings(raw: &RawSettings) -> Result<DaemonSettings, SettingsError> {
    let mut parser = SettingsParser {
        raw,
        faults: Vec::new(),
    };
    let defaults = DaemonSettings::default();
    let settings = DaemonSettings {
        host: parser.value("host", defaults.host),
        domain: parser.value("domain", defaults.domain),
        region: parser.value("region", defaults.region),
        listen: parser.address("listen", defaults.listen),
        admin_listen: parser.address("admin-listen", defaults.admin_listen),
        peer_listen: parser.address("peer-listen", defaults.peer_listen),
        seed_hosts: parser.addresses("seed-hosts"),
        platform: parser.address("platform", defaults.platform),
        routing: parser.value("routing", defaults.routing),
        drain: parser.millis("drain-ms", 100, 600_000),
        max_body: parser.value("max-body", defaults.max_body),
        max_requests: parser.number("max-requests", 1, 1_000_000) as usize,
        max_connections: parser.number("max-connections", 1, 1_000_000) as usize,
        max_operator_connections: parser.number("max-operator-connections", 1, 100_000) as usize,
        workers: parser.number("workers", 1, 256) as usize,
        config_poll: parser.millis("config-poll-ms", 100, 60_000),
        claim_retention: parser.hours("claim-retention-hours", 24, 87_600),
        load_poll: parser.millis("load-poll-ms", 100, 60_000),
        load_polls: parser.number("load-polls", 1, 1000) as usize,
        log_format: parser.named("log-format", &LOG_FORMATS),
        log_level: parser.named("log-level", &LOG_LEVELS),
        secrets: parser.secrets(),
    };
    check_combinations(&settings, &mut parser);
    if parser.faults.is_empty() {
        return Ok(settings);
    }
    Err(SettingsError {
        faults: parser.faults,
    })
}

/// Upper limit of `--max-body`, in bytes. Request bodies are buffered in memory.
const MAX_BODY_LIMIT: u64 = 64 * 1024 * 1024;

fn check_combinations(settings: &DaemonSettings, parser: &mut SettingsParser<'_>) {
    let same_address = settings.listen == settings.admin_listen && settings.listen.port() != 0;
    if same_address {
        parser.add_error(
            "admin-listen",
            format!(
                "is {}, the same as --listen; expected another",
                settings.listen
            ),
        );
    }
    if settings.peer_listen.ip().is_unspecified() {
        parser.add_error(
            "peer-listen",
            "has no address that other hosts can reach; expected the IP of this host".to_owned(),
        );
    }
    if settings.max_body.0 == 0 || settings.max_body.0 > MAX_BODY_LIMIT {
        parser.add_error(
            "max-body",
            format!("is {}; expected 1B to 64MiB", settings.max_body),
        );
    }
    let accepts_remote = !settings.admin_listen.ip().is_loopback();
    if accepts_remote && settings.secrets.operators.is_empty() {
        parser.add_error(
            "operators",
            "is empty; needed where --admin-listen is not a loopback address".to_owned(),
        );
    }
}
