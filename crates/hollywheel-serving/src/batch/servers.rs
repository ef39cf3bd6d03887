//! The servers of a pool as a batcher sees them: whether a call runs, speed, and room.

use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, ServerId, SortedMap};

use crate::stage_graph::PieceHandle;

/// The part that the speed shown by a new call has in the mean.
const NEW_SPEED_PART: f64 = 0.4;
/// Speeds are kept between these multiples of the expected time.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 20.0);
/// After a refusal a server gets no call for this time; it is busy with somebody else's call.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);
/// After a failure a server gets no call for this time, doubled with each further failure.
const FAILED_PAUSE: Duration = Duration::from_millis(250);
/// Results that a batcher does not know of are dropped after the lifetime of results (seconds);
/// the room is tried again after this part of it.
const FOREIGN_TIME: Duration = Duration::from_millis(400);
/// The longest time for which a server gets no call after failures.
const MAX_PAUSE: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
struct HeldResult {
    bytes: u64,
    started: MonoTime,
    until: MonoTime,
}

/// Holds what is known of one server.
#[derive(Clone, Debug)]
pub(super) struct PieceServer {
    pub(super) domain: DomainId,
    born: Option<u64>,
    /// The end that is expected of the call in progress, if there is one.
    pub(super) busy_until: Option<MonoTime>,
    slowness: f64,
    failures: u32,
    paused_until: MonoTime,
    reserved_bytes: u64,
    results: SortedMap<PieceHandle, HeldResult>,
    /// The room that the server has for this batcher's results, lower than the configured one
    /// until that point.
    room_cap: Option<(u64, MonoTime)>,
    present: bool,
}

impl PieceServer {
    pub(super) fn new(domain: DomainId, born: Option<u64>) -> Self {
        Self {
            domain,
            born,
            busy_until: None,
            slowness: 1.0,
            failures: 0,
            paused_until: MonoTime::default(),
            reserved_bytes: 0,
            results: SortedMap::new(),
            room_cap: None,
            present: true,
        }
    }

    /// Notes that the server is still listed; another incarnation holds no results.
    pub(super) fn refresh(&mut self, domain: DomainId, born: Option<u64>) {
        if self.born != born {
            *self = Self::new(domain, born);
            return;
        }
        self.domain = domain;
        self.present = true;
    }

    pub(super) const fn set_absent(&mut self) {
        self.present = false;
    }

    /// Says whether nothing is known of the server that matters after it has left.
    pub(super) const fn is_forgotten(&self) -> bool {
        !self.present && self.busy_until.is_none() && self.results.is_empty()
    }

    pub(super) const fn is_present(&self) -> bool {
        self.present
    }

    pub(super) fn is_idle(&self, now: MonoTime) -> bool {
        self.present && self.busy_until.is_none() && self.paused_until <= now
    }

    /// Returns how much longer than expected calls take here.
    pub(super) const fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the point from which the server can take a call, as far as that is known.
    pub(super) fn free_at(&self, now: MonoTime) -> MonoTime {
        let busy = self.busy_until.unwrap_or(now);
        busy.max(self.paused_until).max(now)
    }

    pub(super) const fn paused_until(&self) -> MonoTime {
        self.paused_until
    }

    /// Returns the room that is neither used nor reserved.
    pub(super) fn free_bytes(&self, now: MonoTime, room: u64) -> u64 {
        let live = self.results.values().filter(|result| result.until > now);
        let used: u64 = live.map(|result| result.bytes).sum();
        let cap = self.room_cap.filter(|(_, until)| *until > now);
        let room = cap.map_or(room, |(cap, _)| room.min(cap));
        room.saturating_sub(used)
            .saturating_sub(self.reserved_bytes)
    }

    pub(super) const fn begin_call(&mut self, until: MonoTime, reserve: u64) {
        self.busy_until = Some(until);
        self.reserved_bytes += reserve;
    }

    pub(super) const fn end_call(&mut self, reserve: u64) {
        self.busy_until = None;
        self.reserved_bytes = self.reserved_bytes.saturating_sub(reserve);
    }

    pub(super) fn note_answer(&mut self, taken: Duration, expected: Duration) {
        self.failures = 0;
        let ratio = taken.as_secs_f64() / expected.as_secs_f64().max(f64::MIN_POSITIVE);
        self.slowness += NEW_SPEED_PART * (ratio - self.slowness);
        self.slowness = self.slowness.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
    }

    /// Notes that the server refused a call, and how long it wants no other one.
    pub(super) fn note_refused(&mut self, now: MonoTime, pause: Option<Duration>) {
        let pause = pause.unwrap_or_default().max(REFUSED_PAUSE);
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Notes that the server had no room although this batcher's results leave some: there are
    /// results that it does not know of, as after the batcher before it was lost.
    pub(super) fn note_no_room(&mut self, now: MonoTime) {
        let used: u64 = self.results.values().map(|result| result.bytes).sum();
        self.room_cap = Some((used, now + FOREIGN_TIME));
    }

    pub(super) fn note_failed(&mut self, now: MonoTime) {
        let pause = FAILED_PAUSE * 2u32.pow(self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        self.paused_until = now + pause.min(MAX_PAUSE);
    }

    /// Notes a result of a call that was started at a point and is kept until another one.
    pub(super) fn hold(
        &mut self,
        handle: PieceHandle,
        bytes: u64,
        started: MonoTime,
        until: MonoTime,
    ) {
        let result = HeldResult {
            bytes,
            started,
            until,
        };
        self.results.insert(handle, result);
    }

    /// Says whether a result lies here.
    pub(super) fn holds(&self, handle: &PieceHandle) -> bool {
        self.results.contains_key(handle)
    }

    /// Forgets a result that was freed.
    pub(super) fn drop_result(&mut self, handle: &PieceHandle) {
        self.results.remove(handle);
    }

    pub(super) fn drop_expired(&mut self, now: MonoTime) {
        self.results.retain(|_, result| result.until > now);
    }
}

/// Finds the server that holds a result, and the start of the call that made it.
pub(super) fn find_holder<'a>(
    servers: &'a SortedMap<ServerId, PieceServer>,
    handle: &PieceHandle,
) -> Option<(&'a ServerId, MonoTime)> {
    let mut entries = servers.iter();
    entries.find_map(|(server, state)| Some((server, state.results.get(handle)?.started)))
}
