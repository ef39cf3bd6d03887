//! The check of all settings together.

use std::fmt;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use hollywheel_types::SortedMap;

use super::flags::FLAGS;
use super::secrets::{SecretSettings, SecretText, TlsSettings, parse_operators};
use super::values::{DaemonSettings, LogFormat, LogLevel};

/// Holds the settings as text, by flag.
#[derive(Clone, Debug, Default)]
pub struct RawSettings {
    values: SortedMap<&'static str, SecretText>,
}

impl RawSettings {
    /// Sets the text of a flag.
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

/// Describes one fault of the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingFault {
    /// The flag.
    pub flag: &'static str,
    /// What is wrong and what was expected.
    pub message: String,
}

/// Lists every fault of the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// The faults in the order of the flags.
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

struct Checker<'a> {
    raw: &'a RawSettings,
    faults: Vec<SettingFault>,
}

impl Checker<'_> {
    fn add(&mut self, flag: &'static str, message: String) {
        self.faults.push(SettingFault { flag, message });
    }

    fn text(&mut self, flag: &'static str) -> Option<String> {
        let entry = FLAGS.iter().find(|entry| entry.flag == flag);
        let given = self.raw.get(flag).map(str::to_owned);
        let default = entry.and_then(|entry| entry.default).map(str::to_owned);
        if given.is_none() && default.is_none() {
            let variable = entry.map_or("", |entry| entry.variable);
            self.add(flag, format!("is missing; give the flag or set {variable}"));
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
                self.add(flag, format!("{error}"));
                fallback
            }
        }
    }

    fn address(&mut self, flag: &'static str, fallback: SocketAddr) -> SocketAddr {
        let Some(text) = self.text(flag) else {
            return fallback;
        };
        text.parse().unwrap_or_else(|_| {
            self.add(flag, format!("{text:?} is not valid; expected IP:PORT"));
            fallback
        })
    }

    fn addresses(&mut self, flag: &'static str) -> Vec<SocketAddr> {
        let text = self.text(flag).unwrap_or_default();
        let mut addresses = Vec::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            match part.trim().parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.add(flag, format!("{part:?} is not valid; expected IP:PORT")),
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
                self.add(
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
                self.add(
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
                self.add("operators", error);
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
        self.add(
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
                None => self.add(flag, "is missing; the three parts go together".to_owned()),
                Some(text) if !text.contains("-----BEGIN ") => {
                    self.add(flag, "is not PEM; expected a -----BEGIN line".to_owned());
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
        // Opening the entry under /proc reads an inherited descriptor without unsafe code.
        let text = match std::fs::read_to_string(format!("/proc/self/fd/{number}")) {
            Ok(text) => text,
            Err(error) => {
                self.add(
                    "tls-fd",
                    format!("descriptor {number} cannot be read: {error}"),
                );
                return None;
            }
        };
        let parts = split_bundle(&text);
        if parts.is_none() {
            self.add(
                "tls-fd",
                "does not hold certificate, private key and authority as PEM in this order"
                    .to_owned(),
            );
        }
        parts
    }
}

/// Splits a PEM text at its private key.
fn split_bundle(text: &str) -> Option<TlsSettings> {
    let key_name = text.find("PRIVATE KEY-----")?;
    let key_start = text[..key_name].rfind("-----BEGIN ")?;
    let end_line = text[key_name..].find("-----END ")? + key_name;
    let key_end = text[end_line..].find("KEY-----")? + end_line + "KEY-----".len();
    let certificate = &text[..key_start];
    let authority = &text[key_end..];
    let whole = [certificate, authority]
        .iter()
        .all(|part| part.contains("-----BEGIN CERTIFICATE-----"));
    whole.then(|| TlsSettings {
        certificate: certificate.to_owned(),
        key: SecretText::new(text[key_start..key_end].to_owned()),
        authority: authority.to_owned(),
    })
}

const LOG_FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];

const LOG_LEVELS: [(&str, LogLevel); 4] = [
    ("info", LogLevel::Info),
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("debug", LogLevel::Debug),
];

/// Checks all settings together.
///
/// # Errors
///
/// Returns [`SettingsError`] with every fault, not only the first one.
pub fn check_settings(raw: &RawSettings) -> Result<DaemonSettings, SettingsError> {
    let mut check = Checker {
        raw,
        faults: Vec::new(),
    };
    let base = DaemonSettings::default();
    let settings = DaemonSettings {
        host: check.value("host", base.host),
        domain: check.value("domain", base.domain),
        region: check.value("region", base.region),
        listen: check.address("listen", base.listen),
        admin_listen: check.address("admin-listen", base.admin_listen),
        peer_listen: check.address("peer-listen", base.peer_listen),
        seed_hosts: check.addresses("seed-hosts"),
        platform: check.address("platform", base.platform),
        routing: check.value("routing", base.routing),
        drain: check.millis("drain-ms", 100, 600_000),
        max_body: check.value("max-body", base.max_body),
        max_requests: check.number("max-requests", 1, 1_000_000) as usize,
        max_connections: check.number("max-connections", 1, 1_000_000) as usize,
        max_operator_connections: check.number("max-operator-connections", 1, 100_000) as usize,
        workers: check.number("workers", 1, 256) as usize,
        config_poll: check.millis("config-poll-ms", 100, 60_000),
        claim_retention: check.hours("claim-retention-hours", 24, 87_600),
        load_poll: check.millis("load-poll-ms", 100, 60_000),
        load_polls: check.number("load-polls", 1, 1000) as usize,
        log_format: check.named("log-format", &LOG_FORMATS),
        log_level: check.named("log-level", &LOG_LEVELS),
        secrets: check.secrets(),
    };
    check_together(&settings, &mut check);
    if check.faults.is_empty() {
        return Ok(settings);
    }
    Err(SettingsError {
        faults: check.faults,
    })
}

/// Bounds the request body, which is held in memory.
const LARGEST_BODY: u64 = 64 * 1024 * 1024;

fn check_together(settings: &DaemonSettings, check: &mut Checker<'_>) {
    let taken = settings.listen == settings.admin_listen && settings.listen.port() != 0;
    if taken {
        check.add(
            "admin-listen",
            format!("is {}, as --listen is; expected another", settings.listen),
        );
    }
    if settings.peer_listen.ip().is_unspecified() {
        check.add(
            "peer-listen",
            "has no address that other hosts can reach; expected the IP of this host".to_owned(),
        );
    }
    if settings.max_body.0 == 0 || settings.max_body.0 > LARGEST_BODY {
        check.add(
            "max-body",
            format!("is {}; expected 1B to 64MiB", settings.max_body),
        );
    }
    let open_to_others = !settings.admin_listen.ip().is_loopback();
    if open_to_others && settings.secrets.operators.is_empty() {
        check.add(
            "operators",
            "is empty; needed where --admin-listen is not a loopback address".to_owned(),
        );
    }
}
