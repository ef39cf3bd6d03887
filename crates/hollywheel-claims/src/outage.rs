//! Failures of the table service in a row.

use std::time::Duration;

use hollywheel_store::StoreFailure;
use hollywheel_types::MonoTime;

const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Remembers whether the table service fails.
#[derive(Debug, Default)]
pub(crate) struct StoreOutage {
    failures: u32,
    /// Whether the last failure was a refusal.
    refused: bool,
    until: MonoTime,
}

impl StoreOutage {
    /// Returns the point before which nothing is written.
    pub(crate) const fn until(&self) -> MonoTime {
        self.until
    }

    pub(crate) const fn is_over(&self) -> bool {
        self.failures == 0
    }

    /// Returns when to ask again if new claims are refused now. One lost answer alone is not an
    /// outage: it must not cost every other request.
    pub(crate) fn refuses(&self, now: MonoTime, patience: Duration) -> Option<Duration> {
        let refuses = match self.refused {
            true => self.until > now + patience,
            false => self.failures > 1 && self.until > now,
        };
        refuses.then(|| self.retry_after(now))
    }

    pub(crate) fn retry_after(&self, now: MonoTime) -> Duration {
        self.until.since(now).max(FIRST_BACKOFF)
    }

    pub(crate) fn succeeded(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn failed(&mut self, now: MonoTime, failure: &StoreFailure) {
        self.failures = self.failures.saturating_add(1);
        self.refused = matches!(failure, StoreFailure::Refused { .. });
        let doubled = FIRST_BACKOFF.saturating_mul(1 << (self.failures - 1).min(8));
        let wait = match failure {
            StoreFailure::Refused { retry_after } => doubled
                .min(MAX_BACKOFF)
                .max((*retry_after).min(MAX_RETRY_AFTER)),
            StoreFailure::Unknown if self.failures == 1 => Duration::ZERO,
            StoreFailure::Unknown => doubled.min(MAX_BACKOFF),
        };
        self.until = self.until.max(now + wait);
    }
}
