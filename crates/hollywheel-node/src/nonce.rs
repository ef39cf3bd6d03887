//! Random nonces of attempts and issued keys.

use hollywheel_types::AttemptNonce;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::settings::NodeSettings;

/// Seed variant for issued keys, so that their random stream differs from that of attempts.
const KEY_STREAM: u8 = 1;

/// Random source of nonces, seeded so that no two processes share a stream.
#[derive(Debug)]
pub(crate) struct NonceSource {
    random: StdRng,
}

impl NonceSource {
    /// Creates the source for attempts. The host name and the incarnation are part of the seed,
    /// so that hosts with the same configured seed produce different nonces.
    pub(crate) fn new(settings: &NodeSettings) -> Self {
        Self::seeded(settings, 0)
    }

    /// Creates the separate source for issued keys, so that a replay issues the same keys even
    /// if it sends a different number of attempts.
    pub(crate) fn for_keys(settings: &NodeSettings) -> Self {
        Self::seeded(settings, KEY_STREAM)
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
