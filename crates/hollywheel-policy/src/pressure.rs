//! The part of its capacity that a pool shows to be usable.

use std::time::Duration;

use hollywheel_types::MonoTime;

/// The smallest part that is still used.
const MIN_FACTOR: f64 = 0.3;
/// Each sign of overload multiplies the part by this factor.
const BACK_OFF: f64 = 0.9;
/// Signs of overload within this time count once.
const BACK_OFF_SPAN: Duration = Duration::from_millis(100);
/// The part regained each second.
const REGAIN_PER_SECOND: f64 = 0.1;

/// Adapts a limit: multiplicative decrease at a sign of overload, additive increase over time.
#[derive(Clone, Debug)]
pub(crate) struct PoolPressure {
    factor: f64,
    changed_at: MonoTime,
}

impl Default for PoolPressure {
    fn default() -> Self {
        Self {
            factor: 1.0,
            changed_at: MonoTime(0),
        }
    }
}

impl PoolPressure {
    pub(crate) fn factor(&self, now: MonoTime) -> f64 {
        let regained = now.since(self.changed_at).as_secs_f64() * REGAIN_PER_SECOND;
        (self.factor + regained).min(1.0)
    }

    pub(crate) fn back_off(&mut self, now: MonoTime) {
        let factor = self.factor(now);
        if factor < 1.0 && now.since(self.changed_at) < BACK_OFF_SPAN {
            return;
        }
        self.factor = (factor * BACK_OFF).max(MIN_FACTOR);
        self.changed_at = self.changed_at.max(now);
    }
}
