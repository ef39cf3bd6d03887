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

/// Names a part of the view that is read, and may fail, on its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ViewPart {
    /// The serving configuration.
    Config,
    /// The entries of the backend servers.
    Servers,
}

/// Tracks when one part of the view was last confirmed.
#[derive(Clone, Copy, Debug, Default)]
struct PartState {
    confirmed_at: Option<MonoTime>,
    is_lost: bool,
}

/// Tracks when the view was last confirmed by the store, or by a host that follows the store. It is
/// as fresh as its oldest part.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreView {
    config: PartState,
    servers: PartState,
}

impl StoreView {
    const fn part_mut(&mut self, part: ViewPart) -> &mut PartState {
        match part {
            ViewPart::Config => &mut self.config,
            ViewPart::Servers => &mut self.servers,
        }
    }

    /// Records that a part of the view was complete at a time; an earlier time than the last one is
    /// ignored.
    pub fn confirm(&mut self, part: ViewPart, at: MonoTime) {
        let state = self.part_mut(part);
        state.is_lost = false;
        state.confirmed_at = Some(state.confirmed_at.map_or(at, |known| known.max(at)));
    }

    /// Records that this host can no longer read a part from the store. The view is then stale at
    /// once, and hosts that follow this one need not wait until it is old.
    pub const fn set_lost(&mut self, part: ViewPart) {
        self.part_mut(part).is_lost = true;
    }

    /// Returns the age of the view; none if a part was never confirmed or is lost.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        let age = |state: &PartState| {
            let confirmed_at = state.confirmed_at.filter(|_| !state.is_lost)?;
            Some(now.since(confirmed_at))
        };
        Some(age(&self.config)?.max(age(&self.servers)?))
    }

    /// Returns whether the view is stale, given the maximum age of a fresh one.
    pub fn health(&self, now: MonoTime, bound: Duration) -> FeedHealth {
        match self.age(now) {
            Some(age) if age <= bound => FeedHealth::Following,
            _ => FeedHealth::Stale,
        }
    }
}
