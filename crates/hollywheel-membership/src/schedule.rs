//! When the machine does what it does regularly.

use std::time::Duration;

use hollywheel_types::MonoTime;

use crate::message::MemberSettings;

/// The time in which news is collected before it is pushed.
const PUSH_DELAY: Duration = Duration::from_millis(100);

/// The least time between two pushes of news.
const PUSH_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two comparisons with another host, and between two probes of dead hosts.
const SYNC_INTERVAL: Duration = Duration::from_secs(60);

/// The time between two attempts to join a host that is listed but not heard of.
const JOIN_INTERVAL: Duration = Duration::from_secs(2);

/// Holds when each regular action is due.
#[derive(Debug, Default)]
pub(crate) struct WakeSchedule {
    started_at: Option<MonoTime>,
    /// When the next probe begins.
    pub probe_at: MonoTime,
    /// When the next comparison begins.
    pub sync_at: MonoTime,
    /// When the next dead host is probed.
    pub revive_at: MonoTime,
    /// When the next listed host is joined.
    pub join_at: MonoTime,
    push_at: Option<MonoTime>,
    last_push: Option<MonoTime>,
}

impl WakeSchedule {
    /// Says whether the first input has been seen.
    pub const fn is_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns when the first input was seen.
    pub fn started_at(&self) -> MonoTime {
        self.started_at.unwrap_or_default()
    }

    /// Spreads the first actions of hosts that start together by an offset from 0 to 1.
    pub fn start(&mut self, now: MonoTime, settings: &MemberSettings, offset: f64) {
        self.started_at = Some(now);
        self.probe_at = now + settings.probe_interval.mul_f64(offset);
        self.sync_at = now + SYNC_INTERVAL.mul_f64(offset);
        self.revive_at = now + SYNC_INTERVAL.mul_f64(offset);
        self.join_at = now;
    }

    /// Moves overdue actions behind a pause.
    pub fn resume(&mut self, now: MonoTime, settings: &MemberSettings) {
        self.probe_at = self.probe_at.max(now + settings.probe_interval);
        self.sync_at = self.sync_at.max(now);
        self.revive_at = self.revive_at.max(now);
        self.join_at = self.join_at.max(now);
    }

    /// Makes news go out soon, yet not too often.
    pub fn push_soon(&mut self, now: MonoTime) {
        let earliest = self.last_push.map_or(now, |last| last + PUSH_INTERVAL);
        self.push_at.get_or_insert((now + PUSH_DELAY).max(earliest));
    }

    /// Says whether news is to be pushed now, once.
    pub fn take_push(&mut self, now: MonoTime) -> bool {
        if self.push_at.is_none_or(|at| at > now) {
            return false;
        }
        self.push_at = None;
        self.last_push = Some(now);
        true
    }

    /// Says whether a comparison is due, once.
    pub fn take_sync(&mut self, now: MonoTime) -> bool {
        take(&mut self.sync_at, now, SYNC_INTERVAL)
    }

    /// Says whether a dead host is to be probed, once.
    pub fn take_revive(&mut self, now: MonoTime) -> bool {
        take(&mut self.revive_at, now, SYNC_INTERVAL)
    }

    /// Says whether a listed host is to be joined, once.
    pub fn take_join(&mut self, now: MonoTime) -> bool {
        take(&mut self.join_at, now, JOIN_INTERVAL)
    }

    /// Returns when the next action is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        if self.started_at.is_none() {
            return Some(MonoTime::default());
        }
        let regular = self
            .probe_at
            .min(self.sync_at)
            .min(self.revive_at)
            .min(self.join_at);
        Some(self.push_at.map_or(regular, |push| push.min(regular)))
    }
}

fn take(at: &mut MonoTime, now: MonoTime, interval: Duration) -> bool {
    if *at > now {
        return false;
    }
    *at = now + interval;
    true
}
