//! Secret settings, which are never printed.

use std::fmt;

use hollywheel_admin::OperatorRole;
use hollywheel_types::KeyHash;

/// Maximum number of operator entries.
const MAX_OPERATORS: usize = 256;

/// Secret text that is hidden in `Debug` output.
#[derive(Clone, Eq, PartialEq)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps a secret text.
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// Returns the text. It must not be logged or printed.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden)")
    }
}

/// Certificate chain, private key and certificate authority of this host, each as PEM text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsSettings {
    /// Certificate chain of this host.
    pub certificate: String,
    /// Private key of this host.
    pub key: SecretText,
    /// Certificate authority that signs the certificates of hosts.
    pub authority: String,
}

/// Operator token and the role it grants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorEntry {
    /// Granted role.
    pub role: OperatorRole,
    /// SHA-256 hash of the token.
    pub hash: KeyHash,
}

/// Secrets of a host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SecretSettings {
    /// Token that authorizes this host at the platform.
    pub platform_token: Option<SecretText>,
    /// Tokens of the operators.
    pub operators: Vec<OperatorEntry>,
    /// TLS identity for the connections between hosts. Without one the host has no peers.
    pub tls: Option<TlsSettings>,
}

/// Parses operators written as `role:sha256hex,...`.
///
/// # Errors
///
/// Describes the first invalid entry, or that there are too many. The message does not contain the
/// hash.
pub fn parse_operators(text: &str) -> Result<Vec<OperatorEntry>, String> {
    let entries: Vec<&str> = text.split(',').filter(|entry| !entry.is_empty()).collect();
    if entries.len() > MAX_OPERATORS {
        return Err(format!(
            "has {} entries; expected at most {MAX_OPERATORS}",
            entries.len()
        ));
    }
    entries
        .iter()
        .enumerate()
        .map(|(at, entry)| parse_operator(entry).map_err(|error| format!("entry {at} {error}")))
        .collect()
}

fn parse_operator(entry: &str) -> Result<OperatorEntry, String> {
    let (role, hash) = entry
        .trim()
        .split_once(':')
        .ok_or("has no ':'; expected ROLE:SHA256HEX")?;
    let role = match role {
        "viewer" => OperatorRole::Viewer,
        "publisher" => OperatorRole::Publisher,
        _ => return Err("has an unknown role; expected viewer or publisher".to_owned()),
    };
    let hash = hash
        .parse()
        .map_err(|_| "has no valid hash; expected 64 lower-case hexadecimal digits")?;
    Ok(OperatorEntry { role, hash })
}
