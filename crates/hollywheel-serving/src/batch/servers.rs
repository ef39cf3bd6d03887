//! State that a batcher keeps for each server of its pool: the call in progress, speed, pauses and
//! stored results.

use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, RequestRate, ServerId, SortedMap};

use super::choose::SLOW_RATIO;
use crate::slowdown::ReportedSlowdown;
use crate::stage_graph::PieceHandle;

/// Weight of the most recent call in the moving average of a server's slowness.
const SLOWNESS_WEIGHT: f64 = 0.4;
/// Bounds of the slowness of a server, as multiples of the expected time of a call.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 20.0);
/// The minimum time for which a server gets no call after it refused one: it is running a call of
/// another batcher.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);
/// The time for which a server gets no call after a failure; doubles with each consecutive failure.
const FAILED_PAUSE: Duration = Duration::from_millis(250);
/// The time for which the memory of a server counts as full after it had no room for a result.
/// Results stored by another batcher expire after the lifetime of results, which is some seconds;
/// a fraction of that passes before the server is tried again.
const ROOM_CAP_TIME: Duration = Duration::from_millis(400);
/// Upper limit of the time for which a server gets no call after failures.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Describes one result that is stored on a server.
#[derive(Clone, Debug)]
struct StoredResult {
    bytes: u64,
    started: MonoTime,
    expires_at: MonoTime,
}

/// Tracks one server of the pool.
#[derive(Clone, Debug)]
pub(super) struct PieceServer {
    pub(super) domain: DomainId,
    /// The start time of the server's process, which identifies its incarnation.
    born: Option<u64>,
    /// The expected end of the call in progress, if there is one.
    pub(super) busy_until: Option<MonoTime>,
    /// The mean ratio of the actual to the expected time of calls.
    slowness: f64,
    /// The mean of this ratio divided by the slowdown that the server reported during the calls;
    /// equal to `slowness` without reports.
    unexplained_slowness: f64,
    /// The slowdown that the server reported last.
    reported: Option<ReportedSlowdown>,
    /// The number of consecutive failures.
    failures: u32,
    paused_until: MonoTime,
    /// The limit on requests that the server has named.
    pub(super) limit: Option<RequestRate>,
    /// Whether the server is cold.
    pub(super) is_cold: bool,
    /// The memory reserved for the results of the call in progress.
    reserved_bytes: u64,
    results: SortedMap<PieceHandle, StoredResult>,
    /// A temporary limit on the memory for this batcher's results, in bytes, and when it ends.
    room_cap: Option<(u64, MonoTime)>,
    /// Whether the server is listed.
    present: bool,
}

impl PieceServer {
    pub(super) fn new(domain: DomainId, born: Option<u64>) -> Self {
        Self {
            domain,
            born,
            busy_until: None,
            slowness: 1.0,
            unexplained_slowness: 1.0,
            reported: None,
            failures: 0,
            paused_until: MonoTime::default(),
            limit: None,
            is_cold: false,
            reserved_bytes: 0,
            results: SortedMap::new(),
            room_cap: None,
            present: true,
        }
    }

    /// Records that the server is still listed. A new incarnation starts without results.
    pub(super) fn refresh(&mut self, domain: DomainId, born: Option<u64>) {
        if self.born != born {
            *self = Self::new(domain, born);
            return;
        }
        self.domain = domain;
        self.present = true;
    }

    pub(super) const fn mark_absent(&mut self) {
        self.present = false;
    }

    /// Returns whether the server has left and has neither a call in progress nor stored results.
    pub(super) const fn is_removable(&self) -> bool {
        !self.present && self.busy_until.is_none() && self.results.is_empty()
    }

    pub(super) const fn is_present(&self) -> bool {
        self.present
    }

    pub(super) fn is_idle(&self, now: MonoTime) -> bool {
        self.present && self.busy_until.is_none() && self.paused_until <= now
    }

    /// Returns the mean ratio of the actual to the expected time of calls on this server.
    pub(super) const fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the mean ratio of the actual to the expected time of calls that the reported slowdown
    /// does not explain.
    pub(super) const fn unexplained_slowness(&self) -> f64 {
        self.unexplained_slowness
    }

    /// Returns the expected ratio of the actual to the expected time of a call that starts at a time:
    /// the mean ratio, scaled by the slowdown that the server reported.
    pub(super) fn slowness_at(&self, start: MonoTime) -> f64 {
        let slowdown = self.reported.map_or(1.0, |reported| reported.at(start));
        self.unexplained_slowness * slowdown
    }

    /// Returns whether the server is expected to be fast when it takes its next call.
    pub(super) fn is_fast_when_free(&self, now: MonoTime) -> bool {
        self.slowness_at(self.free_at(now)) <= SLOW_RATIO
    }

    /// Returns the slowdown that the server reported last; none if its last report stated none.
    pub(super) const fn reported_slowdown(&self) -> Option<ReportedSlowdown> {
        self.reported
    }

    pub(super) const fn set_reported_slowdown(&mut self, reported: Option<ReportedSlowdown>) {
        self.reported = reported;
    }

    /// Returns the earliest time at which the server is expected to take a call.
    pub(super) fn free_at(&self, now: MonoTime) -> MonoTime {
        let busy = self.busy_until.unwrap_or(now);
        busy.max(self.paused_until).max(now)
    }

    pub(super) const fn paused_until(&self) -> MonoTime {
        self.paused_until
    }

    /// Returns the memory for results that is neither used nor reserved, in bytes.
    pub(super) fn free_bytes(&self, now: MonoTime, room: u64) -> u64 {
        let stored = self
            .results
            .values()
            .filter(|result| result.expires_at > now);
        let used: u64 = stored.map(|result| result.bytes).sum();
        let cap = self.room_cap.filter(|(_, until)| *until > now);
        let room = cap.map_or(room, |(cap, _)| room.min(cap));
        room.saturating_sub(used)
            .saturating_sub(self.reserved_bytes)
    }

    pub(super) const fn begin_call(&mut self, until: MonoTime, reserved: u64) {
        self.busy_until = Some(until);
        self.reserved_bytes += reserved;
    }

    pub(super) const fn end_call(&mut self, reserved: u64) {
        self.busy_until = None;
        self.reserved_bytes = self.reserved_bytes.saturating_sub(reserved);
    }

    /// Records the time of a call and the mean slowdown that the server reported during it.
    pub(super) fn note_answer(&mut self, taken: Duration, expected: Duration, slowdown: f64) {
        self.failures = 0;
        let ratio = taken.as_secs_f64() / expected.as_secs_f64().max(f64::MIN_POSITIVE);
        let add = |mean: &mut f64, ratio: f64| {
            *mean += SLOWNESS_WEIGHT * (ratio - *mean);
            *mean = mean.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        };
        add(&mut self.slowness, ratio);
        add(&mut self.unexplained_slowness, ratio / slowdown);
    }

    /// Records that the server refused a call, and for how long it asked for no further call.
    pub(super) fn note_refused(&mut self, now: MonoTime, pause: Option<Duration>) {
        let pause = pause.unwrap_or_default().max(REFUSED_PAUSE);
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Records that a call was not sent because of the server's limit.
    pub(super) fn note_at_limit(&mut self, now: MonoTime, wait: Duration) {
        self.paused_until = self.paused_until.max(now + wait);
    }

    /// Returns the number of servers at normal speed with the same throughput as this one, from the
    /// duration of a full call.
    pub(super) fn throughput(&self, full_call: Duration) -> f64 {
        let speed = 1.0 / self.slowness;
        match self.limit {
            Some(limit) => speed.min(limit.over(full_call)),
            None => speed,
        }
    }

    /// Records that the server had no memory left although this batcher's results do not fill it.
    /// It stores results that this batcher does not know, for example of a predecessor that
    /// failed.
    pub(super) fn note_no_room(&mut self, now: MonoTime) {
        let used: u64 = self.results.values().map(|result| result.bytes).sum();
        self.room_cap = Some((used, now + ROOM_CAP_TIME));
    }

    pub(super) fn note_failed(&mut self, now: MonoTime) {
        let pause = FAILED_PAUSE * 2u32.pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.paused_until = now + pause.min(MAX_PAUSE);
    }

    /// Records a result that the server stores, with the start of its call and its expiry.
    pub(super) fn add_result(
        &mut self,
        handle: PieceHandle,
        bytes: u64,
        started: MonoTime,
        expires_at: MonoTime,
    ) {
        let result = StoredResult {
            bytes,
            started,
            expires_at,
        };
        self.results.insert(handle, result);
    }

    /// Returns whether the server stores a result.
    pub(super) fn has_result(&self, handle: &PieceHandle) -> bool {
        self.results.contains_key(handle)
    }

    /// Removes a result that was freed.
    pub(super) fn remove_result(&mut self, handle: &PieceHandle) {
        self.results.remove(handle);
    }

    pub(super) fn remove_expired(&mut self, now: MonoTime) {
        self.results.retain(|_, result| result.expires_at > now);
    }
}

/// Finds the server that stores a result, and the start of the call that produced it.
pub(super) fn find_holder<'a>(
    servers: &'a SortedMap<ServerId, PieceServer>,
    handle: &PieceHandle,
) -> Option<(&'a ServerId, MonoTime)> {
    let mut entries = servers.iter();
    entries.find_map(|(server, state)| Some((server, state.results.get(handle)?.started)))
}
