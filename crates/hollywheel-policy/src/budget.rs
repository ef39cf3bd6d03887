//! Retry and hedge budgets: extra attempts are limited to a share of the first attempts.

use hollywheel_types::{MonoTime, Percent};

/// Bound on the extra attempts that accumulate while nothing fails.
const MAX_TOKENS: f64 = 20.0;
/// Number of extra attempts up to which the budget also refills with time, so that pools with
/// little traffic can retry.
const FLOOR_TOKENS: f64 = 2.0;
/// Extra attempts per second that refill the budget up to the floor.
const FLOOR_PER_SECOND: f64 = 0.2;

/// Token bucket of extra attempts, filled by first attempts.
#[derive(Clone, Debug)]
pub(crate) struct AttemptBudget {
    share: Percent,
    tokens: f64,
    refilled_at: MonoTime,
}

impl AttemptBudget {
    pub(crate) const fn new(share: Percent) -> Self {
        Self {
            share,
            tokens: if share.get() == 0 { 0.0 } else { FLOOR_TOKENS },
            refilled_at: MonoTime(0),
        }
    }

    pub(crate) const fn set_share(&mut self, share: Percent) {
        self.share = share;
    }

    /// Returns whether the pool allows extra attempts at all.
    pub(crate) const fn is_enabled(&self) -> bool {
        self.share.get() > 0
    }

    pub(crate) fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.share.factor()).min(MAX_TOKENS);
    }

    /// Takes one extra attempt from the budget and returns whether one was left.
    pub(crate) fn try_take(&mut self, now: MonoTime) -> bool {
        if !self.is_enabled() {
            return false;
        }
        self.refill_floor(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill_floor(&mut self, now: MonoTime) {
        let gained = now.since(self.refilled_at).as_secs_f64() * FLOOR_PER_SECOND;
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < FLOOR_TOKENS {
            self.tokens = (self.tokens + gained).min(FLOOR_TOKENS);
        }
    }
}
