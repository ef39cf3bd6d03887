//! Freshness of a host's view of the platform's store.

use std::time::Duration;

use hollywheel_types::MonoTime;

/// Describes whether the view of the store is up to date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedHealth {
    /// The view was confirmed recently, so changes arrive.
    Following,
    /// The view was not confirmed for too long; changes must be obtained from another source.
    Stale,
}

/// Tracks when the view was last confirmed by the store, or by a host that follows the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreView {
    confirmed_at: Option<MonoTime>,
    is_lost: bool,
}

impl StoreView {
    /// Records that the view was complete at a time; an earlier time than the last one is ignored.
    pub fn confirm(&mut self, at: MonoTime) {
        self.is_lost = false;
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |known| known.max(at)));
    }

    /// Records whether this host has lost its connection to the store. The view is then stale at
    /// once, and hosts that follow this one need not wait until it is old.
    pub const fn set_lost(&mut self, is_lost: bool) {
        self.is_lost = is_lost;
    }

    /// Returns the age of the view; none if it was never confirmed or the store is lost.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        let confirmed_at = self.confirmed_at.filter(|_| !self.is_lost)?;
        Some(now.since(confirmed_at))
    }

    /// Returns whether the view is stale, given the maximum age of a fresh one.
    pub fn health(&self, now: MonoTime, bound: Duration) -> FeedHealth {
        match self.age(now) {
            Some(age) if age <= bound => FeedHealth::Following,
            _ => FeedHealth::Stale,
        }
    }
}
