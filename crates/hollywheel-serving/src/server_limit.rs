//! Limits on the rate of requests that backend servers name in their responses.

use std::time::Duration;

use hollywheel_types::{MonoTime, RequestRate, ServerId, SortedMap};

/// The time for which the limit of a server that is not in use is kept. Its entry may be missing
/// for some seconds although the server lives, for example while the store is restored.
const KEEP_TIME: Duration = Duration::from_secs(30);

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
    pub fn trusted_if(self, is_genuine: bool) -> Self {
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
}

/// Holds the limits that servers have named, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    entries: SortedMap<ServerId, LimitEntry>,
}

impl LimitTable {
    /// Creates a table without limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a notice unless a later one is known; returns the change, if there is one.
    pub fn apply(&mut self, server: &ServerId, notice: LimitNotice) -> Option<LimitChange> {
        let known = self.entries.get(server).copied();
        if known.is_none() && notice.rate.is_none() {
            return None;
        }
        if known.is_some_and(|known| notice.at <= known.notice.at) {
            return None;
        }
        let before = known.and_then(|known| known.notice.rate);
        let since = match known.filter(|_| before.is_some()) {
            Some(known) => known.since,
            None => notice.at,
        };
        self.entries
            .insert(server.clone(), LimitEntry { notice, since });
        match (notice.rate, before) {
            (rate, before) if rate == before => None,
            (Some(rate), before) => Some(LimitChange::Named { rate, before }),
            (None, Some(before)) => Some(LimitChange::Ended {
                before,
                lasted: notice.at.since(since),
            }),
            (None, None) => None,
        }
    }

    /// Returns the limit of a server; none if it has named none.
    pub fn limit(&self, server: &ServerId) -> Option<RequestRate> {
        self.entries.get(server)?.notice.rate
    }

    /// Returns the number of servers with a limit.
    pub fn limited_count(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.notice.rate.is_some()).count()
    }

    /// Removes the servers for which the predicate is false and whose last notice is old.
    pub fn retain(&mut self, now: MonoTime, mut is_used: impl FnMut(&ServerId) -> bool) {
        self.entries
            .retain(|server, entry| is_used(server) || now.since(entry.notice.at) < KEEP_TIME);
    }
}
