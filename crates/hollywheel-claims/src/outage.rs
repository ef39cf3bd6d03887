//! Back-off after consecutive failures of the table service.

use std::time::Duration;

use hollywheel_store::StoreFailure;
use hollywheel_types::MonoTime;

/// Initial back-off, doubled with every further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the exponential back-off.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Upper bound of the retry delay that the table service may ask for.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Consecutive failures of the table service, and the back-off after them.
#[derive(Debug, Default)]
pub(crate) struct StoreOutage {
    failures: u32,
    /// Whether the last failure was an explicit refusal by the service.
    refused: bool,
    blocked_until: MonoTime,
}

impl StoreOutage {
    /// Returns the time before which no write is sent.
    pub(crate) const fn blocked_until(&self) -> MonoTime {
        self.blocked_until
    }

    pub(crate) const fn is_over(&self) -> bool {
        self.failures == 0
    }

    /// Returns the retry delay if new claims must be refused now. A single lost answer does not
    /// count as an outage, since that would refuse all other requests of the host.
    pub(crate) fn refusal_delay(&self, now: MonoTime, max_wait: Duration) -> Option<Duration> {
        let refuses = match self.refused {
            true => self.blocked_until > now + max_wait,
            false => self.failures > 1 && self.blocked_until > now,
        };
        refuses.then(|| self.retry_after(now))
    }

    pub(crate) fn retry_after(&self, now: MonoTime) -> Duration {
        self.blocked_until.since(now).max(FIRST_BACKOFF)
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
        self.blocked_until = self.blocked_until.max(now + wait);
    }
}
