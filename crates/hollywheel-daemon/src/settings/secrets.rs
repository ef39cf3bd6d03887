//! Secrets, which are never printed.

use std::fmt;

use hollywheel_admin::OperatorRole;
use hollywheel_types::KeyHash;

/// Bounds the operators' tokens.
const MAX_OPERATORS: usize = 256;

/// Holds a secret text that no output shows.
#[derive(Clone, Eq, PartialEq)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps a text.
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// Returns the text for use, never for output.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden)")
    }
}

/// Holds the certificate, key and authority of this host as PEM text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsSettings {
    /// The certificate chain of this host.
    pub certificate: String,
    /// The private key of this host.
    pub key: SecretText,
    /// The authority that certifies hosts.
    pub authority: String,
}

/// Grants a role to whoever holds a token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorEntry {
    /// The role.
    pub role: OperatorRole,
    /// The SHA-256 of the token.
    pub hash: KeyHash,
}

/// Holds the secrets of a host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SecretSettings {
    /// The token for the platform.
    pub platform_token: Option<SecretText>,
    /// The operators.
    pub operators: Vec<OperatorEntry>,
    /// The certificate for the connections between hosts.
    pub tls: Option<TlsSettings>,
}

/// Reads operators written as `role:sha256hex,...`.
///
/// # Errors
///
/// Returns what is wrong with the first entry that cannot be read. The text of a hash is not
/// repeated.
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
