//! The schedule of periodic actions.

use std::time::Duration;

use hollywheel_types::MonoTime;

use crate::message::MemberSettings;

/// How long updates are collected before they are pushed.
const PUSH_DELAY: Duration = Duration::from_millis(100);

/// Minimum time between two pushes of gossip.
const PUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two state comparisons with another host, and between two probes of dead hosts.
const SYNC_INTERVAL: Duration = Duration::from_secs(60);

/// Time between two attempts to join through a listed host that is not considered alive.
const JOIN_INTERVAL: Duration = Duration::from_secs(2);

/// The times at which the periodic actions are due.
#[derive(Debug, Default)]
pub(crate) struct WakeSchedule {
    started_at: Option<MonoTime>,
    /// When the next probe begins.
    pub probe_at: MonoTime,
    /// When the next state comparison begins.
    pub sync_at: MonoTime,
    /// When the next dead host is probed.
    pub dead_probe_at: MonoTime,
    /// When the next attempt to join through a listed host begins.
    pub join_at: MonoTime,
    push_at: Option<MonoTime>,
    last_push: Option<MonoTime>,
}

impl WakeSchedule {
    /// Returns whether the first input has been processed.
    pub const fn is_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns when the first input was processed.
    pub fn started_at(&self) -> MonoTime {
        self.started_at.unwrap_or_default()
    }

    /// Schedules the first actions, delayed by a fraction `offset` of their intervals, from 0 to 1,
    /// so that hosts that start together do not act in step.
    pub fn start(&mut self, now: MonoTime, settings: &MemberSettings, offset: f64) {
        self.started_at = Some(now);
        self.probe_at = now + settings.probe_interval.mul_f64(offset);
        self.sync_at = now + SYNC_INTERVAL.mul_f64(offset);
        self.dead_probe_at = now + SYNC_INTERVAL.mul_f64(offset);
        self.join_at = now;
    }

    /// Postpones overdue actions after a pause of the process.
    pub fn resume(&mut self, now: MonoTime, settings: &MemberSettings) {
        self.probe_at = self.probe_at.max(now + settings.probe_interval);
        self.sync_at = self.sync_at.max(now);
        self.dead_probe_at = self.dead_probe_at.max(now);
        self.join_at = self.join_at.max(now);
    }

    /// Schedules a push after a short delay, at most once per [`PUSH_INTERVAL`].
    pub fn schedule_push(&mut self, now: MonoTime) {
        let earliest = self.last_push.map_or(now, |last| last + PUSH_INTERVAL);
        self.push_at.get_or_insert((now + PUSH_DELAY).max(earliest));
    }

    /// Returns whether a push is due, and clears it.
    pub fn take_push(&mut self, now: MonoTime) -> bool {
        if self.push_at.is_none_or(|at| at > now) {
            return false;
        }
        self.push_at = None;
        self.last_push = Some(now);
        true
    }

    /// Returns whether a state comparison is due, and schedules the next one.
    pub fn take_sync(&mut self, now: MonoTime) -> bool {
        advance_if_due(&mut self.sync_at, now, SYNC_INTERVAL)
    }

    /// Returns whether a probe of a dead host is due, and schedules the next one.
    pub fn take_dead_probe(&mut self, now: MonoTime) -> bool {
        advance_if_due(&mut self.dead_probe_at, now, SYNC_INTERVAL)
    }

    /// Returns whether an attempt to join is due, and schedules the next one.
    pub fn take_join(&mut self, now: MonoTime) -> bool {
        advance_if_due(&mut self.join_at, now, JOIN_INTERVAL)
    }

    /// Returns when the next action is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        if self.started_at.is_none() {
            return Some(MonoTime::default());
        }
        let regular = self
            .probe_at
            .min(self.sync_at)
            .min(self.dead_probe_at)
            .min(self.join_at);
        Some(self.push_at.map_or(regular, |push| push.min(regular)))
    }
}

fn advance_if_due(at: &mut MonoTime, now: MonoTime, interval: Duration) -> bool {
    if *at > now {
        return false;
    }
    *at = now + interval;
    true
}
