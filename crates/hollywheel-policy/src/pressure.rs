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

/// After a sign that no slot is free, the headroom comes back over this time.
const HEADROOM_SPAN: Duration = Duration::from_secs(1);

/// Adapts a limit: multiplicative decrease at a sign of overload, additive increase over time.
#[derive(Clone, Debug)]
pub(crate) struct PoolPressure {
    factor: f64,
    changed_at: MonoTime,
    saturated_at: Option<MonoTime>,
}

impl Default for PoolPressure {
    fn default() -> Self {
        Self {
            factor: 1.0,
            changed_at: MonoTime(0),
            saturated_at: None,
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

    /// Returns the part of the headroom that may be used.
    pub(crate) fn headroom(&self, now: MonoTime) -> f64 {
        self.saturated_at.map_or(1.0, |at| {
            let open = now.since(at).as_secs_f64() / HEADROOM_SPAN.as_secs_f64();
            open.min(1.0)
        })
    }

    pub(crate) const fn note_saturated(&mut self, now: MonoTime) {
        self.saturated_at = Some(now);
    }
}
