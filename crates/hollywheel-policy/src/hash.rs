//! Hash functions for rendezvous hashing, equal on all hosts and in all runs.

use xxhash_rust::xxh3::Xxh3;

/// Returns the rendezvous weight of a pair of names.
pub(crate) fn pair_weight(left: &[u8], right: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(left);
    hasher.update(&[0]);
    hasher.update(right);
    hasher.digest()
}

/// Returns the hash of one name.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Returns the rendezvous weight of a pair of hashes (the finalizer of SplitMix64).
pub(crate) const fn mix_weight(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
