//! The known hosts of the system and the assignment of duties to them.
//!
//! A duty is a task with a name, such as batching the pieces of one pool, that one live host
//! performs at a time. Every host computes the assignment by weighted rendezvous hashing.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{DomainId, HostId, MonoTime, SortedMap};
use xxhash_rust::xxh3::Xxh3;

use crate::store_place::{StoreEra, StorePlace};

/// The duration of the first ejection of an unreachable host; doubles with each further failure.
/// Shorter than a brief outage, which lasts some seconds.
const EJECT_TIME: Duration = Duration::from_millis(1500);
/// The position of a host whose row is not written yet, for example while the store is unavailable.
const NO_ROW: StorePlace = StorePlace {
    era: StoreEra(0),
    revision: 0,
};
/// Upper limit of the duration of an ejection. A host that restarts is used again at once.
const MAX_EJECT_TIME: Duration = Duration::from_secs(24);

/// Describes one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostRecord {
    /// The name of the host.
    pub name: HostId,
    /// The address for calls from other hosts.
    pub address: SocketAddr,
    /// The failure domain of the host.
    pub domain: DomainId,
    /// The start time of the host's process, which tells two processes with the same name apart.
    pub incarnation: u64,
    /// The capacity of the host; it gets duties in proportion to it.
    pub weight: u32,
}

/// Tracks one host.
#[derive(Clone, Debug)]
struct HostState {
    record: HostRecord,
    ejected_until: Option<MonoTime>,
    /// The number of failures since the host last answered.
    failures: u32,
    /// The number of the change that last modified this state.
    changed_at: u64,
    /// The position of the host's row in the store's history.
    place: StorePlace,
    /// Whether the host has announced that it stops, which holds for the rest of its incarnation.
    leaving: bool,
    /// Whether the host has left; its state is kept for the hosts that follow this one.
    left: bool,
}

/// Describes one change of a host's row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostChange {
    /// The record of the host; the last known one if the host has left.
    pub record: HostRecord,
    /// The position of the host's row in the store's history.
    pub place: StorePlace,
    /// Whether the host has left.
    pub left: bool,
}

/// Holds the known hosts and which of them are unreachable.
///
/// Updates from the store and from other hosts are ordered by the positions of their rows, so
/// that an update from a host that lags behind never reverts a newer one.
#[derive(Clone, Debug)]
pub struct HostTable {
    /// The name of this host.
    own: HostId,
    hosts: SortedMap<HostId, HostState>,
    /// The number of the last change.
    change: u64,
    /// The position of the last complete listing.
    listed: StorePlace,
}

/// The factor by which the weight of a host counts more for duties in its own failure domain.
const DOMAIN_FACTOR: f64 = 8.0;

/// Returns the score of a host for a duty, equal on every host (weighted rendezvous hashing). The
/// host with the highest score has the duty.
fn duty_score(duty: &str, domain: Option<&DomainId>, host: &HostRecord) -> f64 {
    let mut hasher = Xxh3::new();
    hasher.update(duty.as_bytes());
    hasher.update(&[0]);
    hasher.update(host.name.as_str().as_bytes());
    // 53 bits of the hash give a uniformly distributed number between zero and one.
    let uniform = ((hasher.digest() >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let is_local = domain.is_some_and(|domain| *domain == host.domain);
    let weight = f64::from(host.weight.max(1)) * if is_local { DOMAIN_FACTOR } else { 1.0 };
    weight / -uniform.ln()
}

impl HostTable {
    /// Creates a table that contains only this host.
    pub fn new(own: HostRecord) -> Self {
        let name = own.name.clone();
        let mut hosts = SortedMap::new();
        hosts.insert(name.clone(), HostState::new(own, NO_ROW, 1));
        Self {
            own: name,
            hosts,
            change: 1,
            listed: NO_ROW,
        }
    }

    /// Adds a host or replaces its state, unless the row is older than the known one; returns
    /// whether the table changed.
    pub fn upsert(&mut self, record: HostRecord, place: StorePlace) -> bool {
        if record.name == self.own {
            return false;
        }
        let is_old = match self.hosts.get_mut(&record.name) {
            Some(known) if known.record == record && !known.left => {
                known.place = known.place.max(place);
                true
            }
            Some(known) => place <= known.place,
            // The listing would have contained the host, unless it has no row yet.
            None => place != NO_ROW && place <= self.listed,
        };
        if is_old {
            return false;
        }
        self.change += 1;
        let state = HostState::new(record, place, self.change);
        self.hosts.insert(state.record.name.clone(), state);
        true
    }

    /// Marks a host as left, unless a newer row of it is known; returns whether the table changed.
    pub fn remove(&mut self, name: &HostId, place: StorePlace) -> bool {
        let Some(state) = self.hosts.get_mut(name) else {
            return false;
        };
        if *name == self.own || state.left || place <= state.place {
            return false;
        }
        self.change += 1;
        state.left = true;
        state.place = place;
        state.changed_at = self.change;
        true
    }

    /// Applies a complete listing of the rows at a position; returns the hosts that have left.
    ///
    /// The first listing of a later era removes nothing: rows that were written after the restored
    /// copy was made are missing until their hosts write them again. A host that has really left is
    /// ejected when it does not answer.
    pub fn apply_listing(&mut self, place: StorePlace, listed: &[HostId]) -> Vec<HostId> {
        let is_restored_copy = self.listed != NO_ROW && place.era > self.listed.era;
        self.listed = self.listed.max(place);
        if is_restored_copy {
            return Vec::new();
        }
        let missing = self.records().map(|record| record.name.clone());
        let missing: Vec<HostId> = missing.filter(|name| !listed.contains(name)).collect();
        missing
            .into_iter()
            .filter(|name| self.remove(name, place))
            .collect()
    }

    /// Returns the number of the last change; every change increases it.
    pub const fn change(&self) -> u64 {
        self.change
    }

    /// Lists the hosts that have changed since a change number.
    pub fn changes_after(&self, change: u64) -> impl Iterator<Item = HostChange> {
        let states = self.hosts.values();
        let changed = states.filter(move |state| state.changed_at > change);
        changed.map(|state| HostChange {
            record: state.record.clone(),
            place: state.place,
            left: state.left,
        })
    }

    /// Records that a host did not answer; returns whether it is ejected by this failure. Further
    /// failures while it is ejected do not count.
    pub fn note_unreachable(&mut self, now: MonoTime, name: &HostId) -> bool {
        let known = self.hosts.get_mut(name);
        let Some(state) = known.filter(|state| *name != self.own && state.is_live(now)) else {
            return false;
        };
        let time = EJECT_TIME * 2u32.pow(state.failures.min(8));
        state.failures = state.failures.saturating_add(1);
        state.ejected_until = Some(now + time.min(MAX_EJECT_TIME));
        true
    }

    /// Records that a host answered, which ends its ejection.
    pub fn note_answer(&mut self, name: &HostId) {
        if let Some(state) = self.hosts.get_mut(name) {
            state.ejected_until = None;
            state.failures = 0;
        }
    }

    /// Records that a host stops, possibly this one; it gets no duty until it restarts. Returns
    /// whether that was not known before.
    ///
    /// During a rolling restart under load, the removal of a stopped host's row is read almost a
    /// second late. Without this, the stopping host and its successor would both batch the pieces
    /// of a pool for that time.
    pub fn note_leaving(&mut self, name: &HostId) -> bool {
        let Some(state) = self.hosts.get_mut(name) else {
            return false;
        };
        !std::mem::replace(&mut state.leaving, true)
    }

    /// Returns the number of hosts that are considered alive, including this one.
    pub fn live_count(&self, now: MonoTime) -> usize {
        self.hosts
            .values()
            .filter(|state| state.is_live(now))
            .count()
    }

    /// Returns the number of known hosts that have not left, including this one.
    pub fn known_count(&self) -> usize {
        self.records().count()
    }

    /// Returns the number of hosts that share a common bound, including this one; none while this
    /// host has just started and knows neither another host nor a listing of the rows.
    pub fn sharing_count(&self) -> Option<usize> {
        let count = self.known_count();
        (count > 1 || self.listed != NO_ROW).then_some(count)
    }

    /// Lists the live hosts in the order of succession for a duty; the first one has it. Hosts are
    /// favoured in proportion to their weight, and if they are in the duty's failure domain.
    pub fn duty_order(
        &self,
        now: MonoTime,
        duty: &str,
        domain: Option<&DomainId>,
    ) -> Vec<HostRecord> {
        let mut order: Vec<(f64, &HostRecord)> = self
            .hosts
            .values()
            .filter(|state| state.is_live(now))
            .map(|state| (duty_score(duty, domain, &state.record), &state.record))
            .collect();
        order.sort_by(|left, right| right.0.total_cmp(&left.0));
        order
            .into_iter()
            .map(|(_, record)| record.clone())
            .collect()
    }

    /// Returns the live host that has a duty: the first one in [`HostTable::duty_order`]. None if no
    /// host is live, as on a host that stops and knows no other.
    pub fn duty_holder(&self, now: MonoTime, duty: &str) -> Option<&HostRecord> {
        let live = self.hosts.values().filter(|state| state.is_live(now));
        let scored = live.map(|state| (duty_score(duty, None, &state.record), &state.record));
        let highest = scored.max_by(|left, right| left.0.total_cmp(&right.0));
        highest.map(|(_, record)| record)
    }

    /// Returns the name of this host.
    pub const fn own(&self) -> &HostId {
        &self.own
    }

    /// Lists the known hosts that have not left.
    pub fn records(&self) -> impl Iterator<Item = &HostRecord> {
        let present = self.hosts.values().filter(|state| !state.left);
        present.map(|state| &state.record)
    }
}

impl HostState {
    const fn new(record: HostRecord, place: StorePlace, changed_at: u64) -> Self {
        Self {
            record,
            place,
            ejected_until: None,
            failures: 0,
            changed_at,
            leaving: false,
            left: false,
        }
    }

    fn is_live(&self, now: MonoTime) -> bool {
        !self.left && !self.leaving && self.ejected_until.is_none_or(|until| until <= now)
    }
}
