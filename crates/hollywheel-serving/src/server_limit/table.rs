//! What one host knows about the limits of servers.

use std::time::Duration;

use hollywheel_types::{MonoTime, RequestRate, ServerId, SortedMap};

use super::{KEEP_TIME, request_interval};

/// The longest wait that rejected callers are told. Limits last for seconds, so a caller that waits
/// longer misses places that become free when one ends.
const MAX_ANNOUNCED_WAIT: Duration = Duration::from_millis(2500);

/// States what a response says about a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitStatement {
    /// The server names no limit.
    Unlimited,
    /// The server accepts this rate of requests from all hosts together.
    Limited(RequestRate),
    /// The response says nothing about the server's limit, or nothing that can be read.
    Unknown,
}

impl LimitStatement {
    /// Returns what a response says if it may not come from the server itself: the absence of a
    /// limit then says nothing.
    #[must_use]
    pub const fn trusted_if(self, is_genuine: bool) -> Self {
        match self {
            Self::Unlimited if !is_genuine => Self::Unknown,
            said => said,
        }
    }
}

/// Reports that a limit was named or has ended, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNotice {
    /// The limit; none if it has ended.
    pub rate: Option<RequestRate>,
    /// When a response that names the limit was received, or when the request was sent whose
    /// response names none. A limit is thus ended only by a response that the server gave after it
    /// had named the limit.
    pub at: MonoTime,
}

/// Describes how a notice changed the known limit of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The server has named a limit, or another one than before.
    Named {
        /// The limit.
        rate: RequestRate,
        /// The previous limit, if there was one.
        before: Option<RequestRate>,
    },
    /// The limit has ended.
    Ended {
        /// The previous limit.
        before: RequestRate,
        /// How long the limit was known.
        lasted: Duration,
    },
}

/// Tracks the limit of one server.
#[derive(Clone, Copy, Debug)]
struct LimitEntry {
    notice: LimitNotice,
    /// When the limit in force, or the last one, became known.
    since: MonoTime,
    /// The number of the change that last modified the limit.
    changed_at: u64,
    /// The next place of the server that may be free; permits are not requested before.
    next_place: MonoTime,
    /// The place after those that were announced to rejected callers.
    announced_place: MonoTime,
}

/// Holds the limits that servers have named, as known to one host.
///
/// Notices are ordered by their times, so that one from a host that lags behind changes nothing.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    entries: SortedMap<ServerId, LimitEntry>,
    /// The number of the last change.
    change: u64,
}

impl LimitTable {
    /// Creates a table without limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a notice unless a later one is known; returns the change, if there is one.
    pub fn apply(&mut self, server: &ServerId, notice: LimitNotice) -> Option<LimitChange> {
        let known = self.entries.get(server).copied();
        let entry = match known {
            Some(known) if notice.at <= known.notice.at => return None,
            Some(known) => known,
            None if notice.rate.is_none() => return None,
            None => LimitEntry {
                notice: LimitNotice {
                    rate: None,
                    ..notice
                },
                since: notice.at,
                changed_at: 0,
                next_place: MonoTime::default(),
                announced_place: MonoTime::default(),
            },
        };
        let before = entry.notice.rate;
        let change = match (notice.rate, before) {
            (rate, before) if rate == before => None,
            (Some(rate), before) => Some(LimitChange::Named { rate, before }),
            (None, Some(before)) => Some(LimitChange::Ended {
                before,
                lasted: notice.at.since(entry.since),
            }),
            (None, None) => None,
        };
        self.change += u64::from(change.is_some());
        let starts = before.is_none() && notice.rate.is_some();
        let updated = LimitEntry {
            notice,
            since: if starts { notice.at } else { entry.since },
            announced_place: if starts {
                notice.at
            } else {
                entry.announced_place
            },
            changed_at: if change.is_some() {
                self.change
            } else {
                entry.changed_at
            },
            ..entry
        };
        self.entries.insert(server.clone(), updated);
        change
    }

    /// Returns the limit of a server; none if it has named none.
    pub fn limit(&self, server: &ServerId) -> Option<RequestRate> {
        self.entries.get(server)?.notice.rate
    }

    /// Returns the last notice about a server.
    pub fn notice(&self, server: &ServerId) -> Option<LimitNotice> {
        Some(self.entries.get(server)?.notice)
    }

    /// Returns the number of servers with a limit.
    pub fn limited_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.notice.rate.is_some()).count()
    }

    /// Returns the number of the last change; every start, change and end of a limit increases it.
    pub const fn change(&self) -> u64 {
        self.change
    }

    /// Lists the servers whose limits have changed since a change number, with the last notices.
    pub fn changes_after(&self, change: u64) -> impl Iterator<Item = (&ServerId, LimitNotice)> {
        let changed = self.entries.iter();
        let changed = changed.filter(move |(_, entry)| entry.changed_at > change);
        changed.map(|(server, entry)| (server, entry.notice))
    }

    /// Records when a server with a limit may next have a free place.
    pub fn note_next_place(&mut self, server: &ServerId, place: MonoTime) {
        if let Some(entry) = self.entries.get_mut(server) {
            entry.next_place = place;
        }
    }

    /// Returns the time until a server may have a free place; none if it has no limit.
    pub fn place_wait(&self, now: MonoTime, server: &ServerId) -> Option<Duration> {
        let entry = self.entries.get(server)?;
        entry.notice.rate.map(|_| entry.next_place.since(now))
    }

    /// Returns the time until the first place of a server that no rejected caller was told, or
    /// `MAX_ANNOUNCED_WAIT` if that is shorter; none if the server has no limit.
    pub fn announced_wait(&self, now: MonoTime, server: &ServerId) -> Option<Duration> {
        let entry = self.entries.get(server)?;
        let place = entry.announced_place.max(entry.next_place);
        let wait = place.since(now).min(MAX_ANNOUNCED_WAIT);
        entry.notice.rate.map(|_| wait)
    }

    /// Records that a rejected caller was told the place of [`LimitTable::announced_wait`].
    ///
    /// Callers of one host are told successive places, one in `hosts` of those of the limit, so that
    /// they do not return together when a single place is free.
    pub fn announce_place(&mut self, now: MonoTime, server: &ServerId, hosts: usize) {
        let Some(entry) = self.entries.get_mut(server) else {
            return;
        };
        let place = entry.announced_place.max(entry.next_place).max(now);
        if let Some(rate) = entry.notice.rate
            && place.since(now) < MAX_ANNOUNCED_WAIT
        {
            let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
            entry.announced_place = place + request_interval(rate).saturating_mul(hosts);
        }
    }

    /// Removes the servers for which the predicate is false and whose last notice is old.
    pub fn retain(&mut self, now: MonoTime, mut is_used: impl FnMut(&ServerId) -> bool) {
        self.entries
            .retain(|server, entry| is_used(server) || now.since(entry.notice.at) < KEEP_TIME);
    }
}
