//! Digests of object sets.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::set::ObjectSet;

/// Holds the SHA-256 of an object set in lower-case hexadecimal; empty if it is not known.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SetDigest(pub String);

impl SetDigest {
    /// Computes the digest of a set that is sorted.
    ///
    /// # Panics
    ///
    /// Never panics: every object can be written.
    pub fn of(set: &ObjectSet) -> Self {
        let text = serde_json::to_vec(set).expect("objects hold only writable fields");
        Self(hex::encode(Sha256::digest(&text)))
    }
}

impl fmt::Display for SetDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
