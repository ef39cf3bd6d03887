//! Command-line flags and their environment variables.

use std::ffi::OsString;
use std::fmt;

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::parse::RawSettings;
use super::values::StartAction;

/// Definition of one setting.
pub(super) struct FlagEntry {
    /// Long flag without the leading dashes; also the key of the setting.
    pub(super) flag: &'static str,
    /// Environment variable that is used if the flag is not given.
    pub(super) variable: &'static str,
    /// Placeholder of the value, which names its format or unit.
    pub(super) value: &'static str,
    /// Default value. `None` makes the setting required; an empty default makes it optional.
    pub(super) default: Option<&'static str>,
    /// Help text.
    pub(super) help: &'static str,
    /// Whether the value is read from the environment only, so that it does not show in the process
    /// list.
    pub(super) secret: bool,
}

const fn entry(
    flag: &'static str,
    variable: &'static str,
    value: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> FlagEntry {
    FlagEntry {
        flag,
        variable,
        value,
        default,
        help,
        secret: false,
    }
}

const fn secret(flag: &'static str, variable: &'static str, help: &'static str) -> FlagEntry {
    FlagEntry {
        flag,
        variable,
        value: "TEXT",
        default: Some(""),
        help,
        secret: true,
    }
}

/// All settings in the order of the help text.
pub(super) const FLAGS: &[FlagEntry] = &[
    entry("host", "HOLLYWHEEL_HOST", "NAME", None, "Name of this host"),
    entry(
        "domain",
        "HOLLYWHEEL_DOMAIN",
        "NAME",
        None,
        "Failure domain of this host",
    ),
    entry(
        "region",
        "HOLLYWHEEL_REGION",
        "NAME",
        None,
        "Region of this host",
    ),
    entry(
        "listen",
        "HOLLYWHEEL_LISTEN",
        "IP:PORT",
        Some("127.0.0.1:7600"),
        "Address for callers",
    ),
    entry(
        "admin-listen",
        "HOLLYWHEEL_ADMIN_LISTEN",
        "IP:PORT",
        Some("127.0.0.1:7601"),
        "Address for operators and metrics",
    ),
    entry(
        "peer-listen",
        "HOLLYWHEEL_PEER_LISTEN",
        "IP:PORT",
        Some("127.0.0.1:7602"),
        "Address for other hosts (UDP)",
    ),
    entry(
        "seed-hosts",
        "HOLLYWHEEL_SEED_HOSTS",
        "IP:PORT,...",
        Some(""),
        "Other hosts to join before the host list is read",
    ),
    entry(
        "platform",
        "HOLLYWHEEL_PLATFORM",
        "IP:PORT",
        None,
        "Address of the platform",
    ),
    entry(
        "routing",
        "HOLLYWHEEL_ROUTING",
        "POLICY",
        Some("two-choices"),
        "How a backend server is chosen: random, least-reported, two-choices or prefix-affinity",
    ),
    entry(
        "drain-ms",
        "HOLLYWHEEL_DRAIN_MS",
        "MILLISECONDS",
        Some("30000"),
        "Time limit of the graceful shutdown",
    ),
    entry(
        "max-body",
        "HOLLYWHEEL_MAX_BODY",
        "SIZE",
        Some("1MiB"),
        "Largest request body, in B, KiB or MiB",
    ),
    entry(
        "max-requests",
        "HOLLYWHEEL_MAX_REQUESTS",
        "REQUESTS",
        Some("4096"),
        "Maximum number of requests in flight",
    ),
    entry(
        "max-connections",
        "HOLLYWHEEL_MAX_CONNECTIONS",
        "CONNECTIONS",
        Some("4096"),
        "Maximum number of open connections of callers; further ones are closed at once",
    ),
    entry(
        "max-operator-connections",
        "HOLLYWHEEL_MAX_OPERATOR_CONNECTIONS",
        "CONNECTIONS",
        Some("64"),
        "Maximum number of open connections of operators; further ones are closed at once",
    ),
    entry(
        "workers",
        "HOLLYWHEEL_WORKERS",
        "THREADS",
        Some("2"),
        "Worker threads that serve callers",
    ),
    entry(
        "config-poll-ms",
        "HOLLYWHEEL_CONFIG_POLL_MS",
        "MILLISECONDS",
        Some("2000"),
        "Minimum mean time between two polls of the newest configuration version by this host",
    ),
    entry(
        "claim-retention-hours",
        "HOLLYWHEEL_CLAIM_RETENTION_HOURS",
        "HOURS",
        Some("168"),
        "How long claims that ran or were released are kept, at least 24; must be the same on every host",
    ),
    entry(
        "load-poll-ms",
        "HOLLYWHEEL_LOAD_POLL_MS",
        "MILLISECONDS",
        Some("1000"),
        "Minimum time between two polls of the load of one backend server",
    ),
    entry(
        "load-polls",
        "HOLLYWHEEL_LOAD_POLLS",
        "POLLS",
        Some("3"),
        "Maximum number of load polls per second over all backend servers",
    ),
    entry(
        "log-format",
        "HOLLYWHEEL_LOG_FORMAT",
        "FORMAT",
        Some("text"),
        "Format of log lines: text or json",
    ),
    entry(
        "log-level",
        "HOLLYWHEEL_LOG_LEVEL",
        "LEVEL",
        Some("info"),
        "Least severe level that is logged: error, warn, info or debug",
    ),
    entry(
        "tls-fd",
        "HOLLYWHEEL_TLS_FD",
        "DESCRIPTOR",
        Some(""),
        "File descriptor with certificate chain, private key and certificate authority as one PEM text in this order, instead of the TLS variables",
    ),
    secret(
        "platform-token",
        "HOLLYWHEEL_PLATFORM_TOKEN",
        "Token for the platform",
    ),
    secret(
        "operators",
        "HOLLYWHEEL_OPERATORS",
        "Operators as ROLE:SHA256HEX,... with role viewer or publisher",
    ),
    secret(
        "tls-cert",
        "HOLLYWHEEL_TLS_CERT",
        "Certificate chain of this host, PEM",
    ),
    secret(
        "tls-key",
        "HOLLYWHEEL_TLS_KEY",
        "Private key of this host, PEM",
    ),
    secret(
        "tls-ca",
        "HOLLYWHEEL_TLS_CA",
        "Certificate authority that signs the certificates of hosts, PEM",
    ),
];

/// Error of the command line, or the help or version text that was requested.
#[derive(Debug)]
pub struct FlagError {
    error: clap::Error,
}

impl FlagError {
    /// Returns the exit status of the process: 0 for a help or version text.
    pub fn exit_code(&self) -> i32 {
        self.error.exit_code()
    }
}

impl fmt::Display for FlagError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.error.fmt(f)
    }
}

impl std::error::Error for FlagError {}

/// Returns the definition of the command line.
pub fn build_command() -> Command {
    let command = Command::new("hollywheeld")
        .version(hollywheel_build::version_text())
        .about("Serves model pipelines and plain services within their latency targets")
        .after_help("Secrets are read from environment variables only; see docs/SETTINGS.md.")
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .arg(
            Arg::new("print-settings")
                .long("print-settings")
                .action(ArgAction::SetTrue)
                .help("Print the settings without secrets and exit"),
        );
    FLAGS
        .iter()
        .filter(|entry| !entry.secret)
        .fold(command, |command, entry| command.arg(build_arg(entry)))
}

fn build_arg(entry: &'static FlagEntry) -> Arg {
    let arg = Arg::new(entry.flag)
        .long(entry.flag)
        .env(entry.variable)
        .value_name(entry.value)
        .allow_hyphen_values(true)
        .help(entry.help);
    match entry.default {
        Some(default) if !default.is_empty() => arg.default_value(default),
        _ => arg,
    }
}

/// Reads the command line and the environment. The values are not checked yet.
///
/// # Errors
///
/// Returns [`FlagError`] if the command line is invalid, or if the help or version text was
/// requested.
pub fn read_arguments(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<(StartAction, RawSettings), FlagError> {
    let matches = build_command()
        .try_get_matches_from(arguments)
        .map_err(|error| FlagError { error })?;
    let mut raw = RawSettings::default();
    for entry in FLAGS {
        if let Some(value) = read_value(entry, &matches) {
            raw.set(entry.flag, value);
        }
    }
    Ok((action_of(&matches), raw))
}

fn read_value(entry: &FlagEntry, matches: &ArgMatches) -> Option<String> {
    if entry.secret {
        return std::env::var(entry.variable).ok();
    }
    matches.get_one::<String>(entry.flag).cloned()
}

fn action_of(matches: &ArgMatches) -> StartAction {
    if matches.get_flag("check") {
        return StartAction::Check;
    }
    if matches.get_flag("print-settings") {
        return StartAction::Print;
    }
    StartAction::Serve
}
