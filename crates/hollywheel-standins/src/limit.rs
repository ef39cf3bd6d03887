//! Rate limits of the platform.

use std::sync::Mutex;
use std::time::Instant;

/// Length of the burst that is allowed at once, in seconds of the rate.
const BURST_SECONDS: f64 = 0.1;

#[derive(Debug)]
struct BucketLevel {
    calls: f64,
    at: Instant,
}

/// Token bucket that limits calls per second.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_second: f64,
    level: Mutex<BucketLevel>,
}

impl RateLimit {
    pub(crate) fn new(per_second: f64) -> Self {
        let level = BucketLevel {
            calls: Self::burst(per_second),
            at: Instant::now(),
        };
        Self {
            per_second,
            level: Mutex::new(level),
        }
    }

    fn burst(per_second: f64) -> f64 {
        (per_second * BURST_SECONDS).max(1.0)
    }

    /// Takes a token for one call; returns whether there was one.
    pub(crate) fn take(&self) -> bool {
        let now = Instant::now();
        let mut level = self.level.lock().expect("no holder panics");
        let gained = now.duration_since(level.at).as_secs_f64() * self.per_second;
        level.at = now;
        level.calls = (level.calls + gained).min(Self::burst(self.per_second));
        if level.calls < 1.0 {
            return false;
        }
        level.calls -= 1.0;
        true
    }
}
