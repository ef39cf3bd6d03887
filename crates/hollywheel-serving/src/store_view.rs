//! How fresh a host's view of the platform's store is.

use std::time::Duration;

use hollywheel_types::MonoTime;

/// Says how well the view of the store follows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedHealth {
    /// Changes arrive.
    Following,
    /// Nothing was heard for too long; another way to the changes is needed.
    Stale,
}

/// Follows when the store, or a host that follows it, last confirmed the view.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreView {
    confirmed_at: Option<MonoTime>,
    is_lost: bool,
}

impl StoreView {
    /// Notes that the view was complete at a point in time; an earlier point changes nothing.
    pub fn confirm(&mut self, at: MonoTime) {
        self.is_lost = false;
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |known| known.max(at)));
    }

    /// Notes whether this host itself has lost the store. Hosts that follow it are told at once
    /// and need not wait until the view is old.
    pub const fn set_lost(&mut self, is_lost: bool) {
        self.is_lost = is_lost;
    }

    /// Returns how old the view is; none if there is none yet, or if the store is lost.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        let confirmed_at = self.confirmed_at.filter(|_| !self.is_lost)?;
        Some(now.since(confirmed_at))
    }

    /// Says whether the view is younger than a bound.
    pub fn health(&self, now: MonoTime, bound: Duration) -> FeedHealth {
        match self.age(now) {
            Some(age) if age <= bound => FeedHealth::Following,
            _ => FeedHealth::Stale,
        }
    }
}
