//! Permits to send requests to servers with a limit.

use std::time::Duration;

use hollywheel_types::{MonoTime, RequestRate, ServerId, SortedMap};

use super::{KEEP_TIME, request_interval};

/// The longest wait for a place. Callers of plain services expect the response within some tenths of
/// a second.
const MAX_PATIENCE: Duration = Duration::from_millis(150);

/// Describes whether a request may be sent to a server with a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PermitVerdict {
    /// One request may be sent.
    Granted {
        /// How long to wait before it is sent.
        wait: Duration,
    },
    /// No request may be sent.
    Denied {
        /// The time until the next free place of the server.
        wait: Duration,
    },
}

/// Paces the requests of all hosts to servers with a limit: each server has one place per interval
/// of its limit, and each permit takes one.
///
/// In any time span a server gets at most the requests that its limit allows in it and two more:
/// one for the place that is free at the start, and one that was left free before.
#[derive(Clone, Debug, Default)]
pub struct PermitLedger {
    /// The next free place of each server.
    places: SortedMap<ServerId, MonoTime>,
}

impl PermitLedger {
    /// Creates a ledger without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next place of a server if it is free within `patience`, of which `MAX_PATIENCE`
    /// counts at most.
    ///
    /// The first place of an unknown server is free after one interval: its limit was just named,
    /// or another host has granted permits until now.
    pub fn take(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        rate: RequestRate,
        patience: Duration,
    ) -> PermitVerdict {
        let interval = request_interval(rate);
        let patience = patience.min(MAX_PATIENCE);
        let next = self
            .places
            .get_or_insert_with(server.clone(), || now + interval);
        // The upper bound takes effect if the limit was raised after the last place was taken.
        let place = (*next).clamp(now - interval, now + interval + MAX_PATIENCE);
        let wait = place.since(now);
        if wait > patience {
            *next = place;
            return PermitVerdict::Denied { wait };
        }
        *next = place + interval;
        PermitVerdict::Granted { wait }
    }

    /// Removes the servers for which the predicate is false and whose last place is old.
    pub fn retain(&mut self, now: MonoTime, mut is_used: impl FnMut(&ServerId) -> bool) {
        self.places
            .retain(|server, next| is_used(server) || now.since(*next) < KEEP_TIME);
    }
}
