//! Fresh nonces.

use hollywheel_types::AttemptNonce;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::settings::NodeSettings;

/// Tells the seed of issued keys from that of attempts.
const KEYS: u8 = 1;

/// Makes nonces that no other process makes.
#[derive(Debug)]
pub(crate) struct NonceSource {
    random: StdRng,
}

impl NonceSource {
    /// Seeds the source with the name and the start of the process, so that hosts with the same
    /// seed in their settings differ.
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        Self::seeded(settings, 0)
    }

    /// Seeds a source of its own for issued keys, so that a replay issues the same keys even if
    /// it makes other attempts.
    pub(crate) fn for_keys(settings: &NodeSettings) -> Self {
        Self::seeded(settings, KEYS)
    }

    fn seeded(settings: &NodeSettings, stream: u8) -> Self {
        let mut seed = [0; 32];
        let host = xxhash_rust::xxh3::xxh3_128(settings.policy.host.as_str().as_bytes());
        seed[..16].copy_from_slice(&host.to_le_bytes());
        seed[16..24].copy_from_slice(&settings.incarnation.0.to_le_bytes());
        seed[24..].copy_from_slice(&settings.policy.seed.to_le_bytes());
        seed[0] ^= stream;
        let random = StdRng::from_seed(seed);
        Self { random }
    }

    pub(crate) fn next(&mut self) -> AttemptNonce {
        AttemptNonce(self.random.random())
    }
}
