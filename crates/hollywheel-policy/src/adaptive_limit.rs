//! Adaptive limit on the usable capacity of a pool.

use std::time::Duration;

use hollywheel_types::MonoTime;

/// Lower bound on the usable fraction of the capacity.
const MIN_FACTOR: f64 = 0.3;
/// Factor by which each overload signal multiplies the usable fraction.
const BACK_OFF_FACTOR: f64 = 0.9;
/// Interval within which several overload signals count once.
const BACK_OFF_INTERVAL: Duration = Duration::from_millis(100);
/// Increase of the usable fraction per second.
const RECOVERY_PER_SECOND: f64 = 0.1;

/// Time over which the headroom recovers after the pool was found full.
const HEADROOM_RECOVERY: Duration = Duration::from_secs(1);

/// Usable fraction of a pool's capacity (AIMD): multiplicative decrease on overload signals
/// (rejections and time-outs), additive increase over time.
#[derive(Clone, Debug)]
pub(crate) struct AdaptiveLimit {
    factor: f64,
    changed_at: MonoTime,
    saturated_at: Option<MonoTime>,
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        Self {
            factor: 1.0,
            changed_at: MonoTime(0),
            saturated_at: None,
        }
    }
}

impl AdaptiveLimit {
    /// Returns the usable fraction of the capacity.
    pub(crate) fn factor(&self, now: MonoTime) -> f64 {
        let recovered = now.since(self.changed_at).as_secs_f64() * RECOVERY_PER_SECOND;
        (self.factor + recovered).min(1.0)
    }

    pub(crate) fn back_off(&mut self, now: MonoTime) {
        let factor = self.factor(now);
        if factor < 1.0 && now.since(self.changed_at) < BACK_OFF_INTERVAL {
            return;
        }
        self.factor = (factor * BACK_OFF_FACTOR).max(MIN_FACTOR);
        self.changed_at = self.changed_at.max(now);
    }

    /// Returns the fraction of the headroom that may be used.
    pub(crate) fn headroom_factor(&self, now: MonoTime) -> f64 {
        self.saturated_at.map_or(1.0, |saturated_at| {
            let recovered_fraction =
                now.since(saturated_at).as_secs_f64() / HEADROOM_RECOVERY.as_secs_f64();
            recovered_fraction.min(1.0)
        })
    }

    /// Records that the pool was found full, which closes the headroom.
    pub(crate) const fn record_saturation(&mut self, now: MonoTime) {
        self.saturated_at = Some(now);
    }
}
