//! Hashing and comparing of workspace keys.

use hollywheel_types::KeyHash;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Computes the hash that a workspace object holds for a key.
///
/// # Panics
///
/// Never panics: the text of a SHA-256 is always a valid key hash.
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

/// Says whether a key has one of the hashes, in a time that does not depend on where they differ.
pub fn key_matches(hashes: &[KeyHash], given: &KeyHash) -> bool {
    hashes.iter().fold(false, |found, hash| {
        found | bool::from(hash.as_str().as_bytes().ct_eq(given.as_str().as_bytes()))
    })
}
