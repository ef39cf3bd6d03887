//! Stable hashes for rendezvous hashing.

use xxhash_rust::xxh3::Xxh3;

/// Returns the weight of a pair of names, the same on every host and in every run.
pub(crate) fn pair_weight(left: &[u8], right: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(left);
    hasher.update(&[0]);
    hasher.update(right);
    hasher.digest()
}
