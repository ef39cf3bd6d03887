//! What one host knows about cold servers.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{MonoTime, ServerId, SortedMap};

use super::{RAMP_TIME, ramp_fraction, ramp_threshold};
use crate::registry::ServerRecord;

/// The longest cold time that a server may state. Servers are cold for seconds; a longer time is taken
/// for an error that would keep a sound server without work.
const MAX_COLD_TIME: Duration = Duration::from_secs(60);
/// The time for which the incarnation of a server that is not in use is kept. Its entry may be missing
/// for a while although the server lives, for example while the store is restored.
const KEEP_TIME: Duration = Duration::from_secs(600);

/// Describes how the state of a server has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdUpdate {
    /// The server has become cold.
    Cold {
        /// The expected time until it is warm.
        left: Duration,
    },
    /// The cold time of a cold server has changed.
    Changed {
        /// The expected time until it is warm.
        left: Duration,
    },
    /// The server has said that it is warm before its cold time was over.
    Warm,
}

/// Tracks one incarnation of a server.
#[derive(Clone, Copy, Debug)]
struct ColdEntry {
    born: Option<u64>,
    address: SocketAddr,
    /// The end of the last cold time; none if the server was not cold.
    until: Option<MonoTime>,
    /// Whether the end of the cold time has not been reported.
    is_open: bool,
    /// The next place of the server that may be free; permits are not requested before.
    next_place: MonoTime,
    noted_at: MonoTime,
}

impl ColdEntry {
    fn left(&self, now: MonoTime) -> Option<Duration> {
        let until = self.until?;
        (now < until).then(|| until.since(now))
    }
}

/// Holds until when servers are cold, as known to one host.
///
/// Suited to servers that start or become cold under load, from a single one to a whole failure domain.
#[derive(Clone, Debug, Default)]
pub struct ColdTable {
    servers: SortedMap<ServerId, ColdEntry>,
    /// The end of the latest cold time; after it no entry has to be looked up.
    latest: Option<MonoTime>,
}

impl ColdTable {
    /// Creates a table without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the newest entry of a server; returns the change, if there is one.
    ///
    /// A new incarnation is cold for the time that the entry states, or else for `start`, which is none
    /// if the server may have been running for long. A known incarnation is cold for the time that the
    /// entry states, and warm if it states none. Zero states that the server is warm.
    pub fn note_entry(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        record: &ServerRecord,
        start: Option<Duration>,
    ) -> Option<ColdUpdate> {
        let known = self.servers.get(server).copied();
        let same =
            known.filter(|entry| (entry.born, entry.address) == (record.born, record.address));
        let stated = match same {
            Some(_) => record.cold_left,
            None => record.cold_left.or(start),
        };
        let entry = ColdEntry {
            born: record.born,
            address: record.address,
            until: same.and_then(|entry| entry.until),
            is_open: known.is_some_and(|entry| entry.is_open),
            next_place: known.map_or(now, |entry| entry.next_place),
            noted_at: now,
        };
        self.servers.insert(server.clone(), entry);
        let was_cold = known.is_some_and(|entry| entry.left(now).is_some());
        self.set_left(now, server, stated.unwrap_or_default(), was_cold)
    }

    /// Applies the cold time that a response states; returns the change, if there is one. A response of
    /// a server without an entry says nothing.
    pub fn note_response(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        left: Duration,
    ) -> Option<ColdUpdate> {
        let was_cold = self.is_cold(now, server);
        self.set_left(now, server, left, was_cold)
    }

    fn set_left(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        left: Duration,
        was_cold: bool,
    ) -> Option<ColdUpdate> {
        let entry = self.servers.get_mut(server)?;
        let left = left.min(MAX_COLD_TIME);
        entry.noted_at = now;
        if left.is_zero() {
            if !was_cold {
                return None;
            }
            entry.until = Some(now);
            entry.is_open = false;
            return Some(ColdUpdate::Warm);
        }
        let until = now + left;
        entry.until = Some(until);
        entry.is_open = true;
        self.latest = self.latest.max(Some(until));
        Some(match was_cold {
            true => ColdUpdate::Changed { left },
            false => ColdUpdate::Cold { left },
        })
    }

    /// Returns whether any server may be cold.
    pub fn has_cold(&self, now: MonoTime) -> bool {
        self.latest.is_some_and(|latest| now < latest)
    }

    /// Returns whether any server may be cold or may not have its whole share yet.
    pub fn has_ramp(&self, now: MonoTime) -> bool {
        self.latest.is_some_and(|latest| now < latest + RAMP_TIME)
    }

    /// Returns how long a server is still cold; none if it is warm or unknown.
    pub fn left(&self, now: MonoTime, server: &ServerId) -> Option<Duration> {
        if !self.has_cold(now) {
            return None;
        }
        self.servers.get(server)?.left(now)
    }

    /// Returns whether a server is cold.
    pub fn is_cold(&self, now: MonoTime, server: &ServerId) -> bool {
        self.left(now, server).is_some()
    }

    /// Returns the number of cold servers.
    pub fn cold_count(&self, now: MonoTime) -> usize {
        if !self.has_cold(now) {
            return 0;
        }
        let entries = self.servers.values();
        entries.filter(|entry| entry.left(now).is_some()).count()
    }

    /// Returns the share of its work that a server gets: 0 while it is cold, then rising to 1 over
    /// `RAMP_TIME`.
    pub fn ramp_fraction(&self, now: MonoTime, server: &ServerId) -> f64 {
        if !self.has_ramp(now) {
            return 1.0;
        }
        let entry = self.servers.get(server);
        let Some(until) = entry.and_then(|entry| entry.until) else {
            return 1.0;
        };
        ramp_fraction(now, until)
    }

    /// Returns whether a prompt part belongs to the share of a server. Hosts that agree on the end of
    /// the cold time agree on it without messages, and a part that is admitted once stays so.
    pub fn admits_part(&self, now: MonoTime, server: &ServerId, part: u64) -> bool {
        let fraction = self.ramp_fraction(now, server);
        fraction >= 1.0 || ramp_threshold(server, part) < fraction
    }

    /// Records when a cold server may next have a free place.
    pub fn note_next_place(&mut self, server: &ServerId, place: MonoTime) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.next_place = place;
        }
    }

    /// Returns the time until a cold server may have a free place; none if it is warm or unknown.
    pub fn place_wait(&self, now: MonoTime, server: &ServerId) -> Option<Duration> {
        self.left(now, server)?;
        Some(self.servers.get(server)?.next_place.since(now))
    }

    /// Returns the servers whose cold time has ended and was not reported yet.
    pub fn take_warmed(&mut self, now: MonoTime) -> Vec<ServerId> {
        let ended = self.servers.iter_mut().filter_map(|(server, entry)| {
            let has_ended = entry.is_open && entry.left(now).is_none();
            entry.is_open &= !has_ended;
            has_ended.then(|| server.clone())
        });
        ended.collect()
    }

    /// Removes the servers for which the predicate is false and whose last news is old.
    pub fn retain(&mut self, now: MonoTime, mut is_used: impl FnMut(&ServerId) -> bool) {
        self.servers
            .retain(|server, entry| is_used(server) || now.since(entry.noted_at) < KEEP_TIME);
    }
}
