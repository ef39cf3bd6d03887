//! Digests of request bodies and of workspace keys.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::id::IdError;

/// Digest of a request body, which detects an idempotency key that is reused with another body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BodyDigest(pub u64);

impl BodyDigest {
    /// Computes the digest of a request body and the name of the pipeline that it is sent to.
    pub fn of(pipeline: &str, body: &[u8]) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(pipeline.as_bytes());
        hasher.update(&[0]);
        hasher.update(body);
        Self(hasher.digest())
    }
}

impl fmt::Display for BodyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for BodyDigest {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdError::NotHex {
                kind: "body digest",
                given: text.to_owned(),
                digits: 16,
            })
    }
}

/// SHA-256 of a caller's key in lower-case hexadecimal.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "String")]
pub struct KeyHash(String);

impl KeyHash {
    const HEX_DIGITS: usize = 64;

    /// Returns the hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for KeyHash {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let is_hex_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() == Self::HEX_DIGITS && text.bytes().all(is_hex_digit) {
            return Ok(Self(text.to_owned()));
        }
        Err(IdError::NotHex {
            kind: "key hash",
            given: text.to_owned(),
            digits: Self::HEX_DIGITS,
        })
    }
}

impl TryFrom<String> for KeyHash {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}
