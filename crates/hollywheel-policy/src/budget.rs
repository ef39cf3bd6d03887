//! Budgets that bound extra attempts to a share of first attempts.

use hollywheel_types::{MonoTime, Percent};

/// Bounds the extra attempts saved up while nothing fails.
const MAX_SAVED: f64 = 20.0;
/// Extra attempts that a pool with little traffic may always save.
const FLOOR_SAVED: f64 = 2.0;
/// Extra attempts a second that refill the floor.
const FLOOR_PER_SECOND: f64 = 0.2;

/// Counts extra attempts that may still be made.
#[derive(Clone, Debug)]
pub(crate) struct AttemptBudget {
    share: Percent,
    saved: f64,
    refilled_at: MonoTime,
}

impl AttemptBudget {
    pub(crate) const fn new(share: Percent) -> Self {
        Self {
            share,
            saved: if share.get() == 0 { 0.0 } else { FLOOR_SAVED },
            refilled_at: MonoTime(0),
        }
    }

    pub(crate) const fn set_share(&mut self, share: Percent) {
        self.share = share;
    }

    /// Says whether the pool allows extra attempts at all.
    pub(crate) const fn is_allowed(&self) -> bool {
        self.share.get() > 0
    }

    pub(crate) fn count_first(&mut self) {
        self.saved = (self.saved + self.share.factor()).min(MAX_SAVED);
    }

    pub(crate) fn take(&mut self, now: MonoTime) -> bool {
        if !self.is_allowed() {
            return false;
        }
        self.refill_floor(now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    fn refill_floor(&mut self, now: MonoTime) {
        let gained = now.since(self.refilled_at).as_secs_f64() * FLOOR_PER_SECOND;
        self.refilled_at = self.refilled_at.max(now);
        if self.saved < FLOOR_SAVED {
            self.saved = (self.saved + gained).min(FLOOR_SAVED);
        }
    }
}
