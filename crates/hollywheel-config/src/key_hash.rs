//! Hashing and constant-time comparison of API keys.

use hollywheel_types::KeyHash;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Returns the hash under which a workspace object lists an API key.
///
/// # Panics
///
/// Never panics: a SHA-256 in hexadecimal is always a valid key hash.
///
/// # Examples
///
/// ```
/// let hash = hollywheel_config::hash_key("example-key");
/// assert_eq!(hash.as_str().len(), 64);
/// ```
pub fn hash_key(key: &str) -> KeyHash {
    hex::encode(Sha256::digest(key.as_bytes()))
        .parse()
        .expect("a SHA-256 has 64 hexadecimal digits")
}

/// Returns whether a hash is in a list. The time taken does not depend on where hashes differ, so
/// it does not reveal how close a guessed key is.
pub fn key_matches(hashes: &[KeyHash], candidate: &KeyHash) -> bool {
    hashes.iter().fold(false, |found, hash| {
        found
            | bool::from(
                hash.as_str()
                    .as_bytes()
                    .ct_eq(candidate.as_str().as_bytes()),
            )
    })
}
