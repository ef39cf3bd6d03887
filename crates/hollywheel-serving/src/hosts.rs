//! The hosts of the system, and which of them does a duty.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{DomainId, HostId, MonoTime, SortedMap};
use xxhash_rust::xxh3::Xxh3;

use crate::store_place::{StoreEra, StorePlace};

/// A host that could not be reached is passed over for this time before it is tried again, and
/// twice as long after each further failure. Below the length of a short outage (seconds).
const PASS_OVER: Duration = Duration::from_millis(1500);
/// Stands for the place of a host whose row is not written yet, as while the store is away.
const NO_ROW: StorePlace = StorePlace {
    era: StoreEra(0),
    revision: 0,
};
/// The longest time for which a host is passed over; one that starts again is used at once.
const MAX_PASS_OVER: Duration = Duration::from_secs(24);

/// Describes one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostRecord {
    /// The name.
    pub name: HostId,
    /// The address for calls between hosts.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: DomainId,
    /// The start of its process, which tells two processes of one name apart.
    pub incarnation: u64,
    /// The size of the host, which duties are given in proportion to.
    pub weight: u32,
}

#[derive(Clone, Debug)]
struct HostState {
    record: HostRecord,
    passed_over_until: Option<MonoTime>,
    failures: u32,
    /// The number of the change that made it what it is.
    changed_at: u64,
    /// The place of its row in the store's history.
    place: StorePlace,
    /// Whether it has said that it stops; it does so for the rest of its incarnation.
    leaving: bool,
    /// Whether it has left; what is known of it is kept for those that follow this host.
    left: bool,
}

/// Holds one change of a host's row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostChange {
    /// The host, as it was last known if it has left.
    pub record: HostRecord,
    /// The place of its row in the store's history.
    pub place: StorePlace,
    /// Whether it has left.
    pub left: bool,
}

/// Holds the hosts that are known and which of them do not answer.
///
/// The places of rows order what the store and other hosts tell, so that a host that lags
/// behind takes nothing back.
#[derive(Clone, Debug)]
pub struct HostTable {
    own: HostId,
    hosts: SortedMap<HostId, HostState>,
    change: u64,
    /// The place of the last complete listing.
    listed: StorePlace,
}

/// A host in the failure domain of a duty counts as so many times its size.
const DOMAIN_FACTOR: f64 = 8.0;

/// Returns the rank of a host for a duty, the same on every host (weighted rendezvous hashing).
fn duty_rank(duty: &str, domain: Option<&DomainId>, host: &HostRecord) -> f64 {
    let mut hasher = Xxh3::new();
    hasher.update(duty.as_bytes());
    hasher.update(&[0]);
    hasher.update(host.name.as_str().as_bytes());
    // 53 bits make an even number between zero and one.
    let even = ((hasher.digest() >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    let near = domain.is_some_and(|domain| *domain == host.domain);
    let weight = f64::from(host.weight.max(1)) * if near { DOMAIN_FACTOR } else { 1.0 };
    weight / -even.ln()
}

impl HostTable {
    /// Creates a table that holds this host only.
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

    /// Adds a host or replaces what is known of it, unless its row is older than what is known;
    /// returns whether that is new.
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
            // A listing would have held it, unless it has no row yet.
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

    /// Removes a host that has left, unless a newer row of it is known; returns whether that is
    /// new.
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

    /// Takes a complete listing of the rows as of a place; returns the hosts that have left.
    ///
    /// The first listing of a later era removes nothing: rows that were written since the copy
    /// are missing until their hosts write them again, and one that is gone is passed over when
    /// it does not answer.
    pub fn apply_listing(&mut self, place: StorePlace, listed: &[HostId]) -> Vec<HostId> {
        let is_older_copy = self.listed != NO_ROW && place.era > self.listed.era;
        self.listed = self.listed.max(place);
        if is_older_copy {
            return Vec::new();
        }
        let missing = self.records().map(|record| record.name.clone());
        let missing: Vec<HostId> = missing.filter(|name| !listed.contains(name)).collect();
        missing
            .into_iter()
            .filter(|name| self.remove(name, place))
            .collect()
    }

    /// Returns the number of the last change, which rises with every change.
    pub const fn change(&self) -> u64 {
        self.change
    }

    /// Lists the hosts that have changed after a change number.
    pub fn changes_after(&self, change: u64) -> impl Iterator<Item = HostChange> {
        let states = self.hosts.values();
        let changed = states.filter(move |state| state.changed_at > change);
        changed.map(|state| HostChange {
            record: state.record.clone(),
            place: state.place,
            left: state.left,
        })
    }

    /// Notes that a host did not answer; returns whether it is passed over from now on. Calls that
    /// fail together count once.
    pub fn note_unreachable(&mut self, now: MonoTime, name: &HostId) -> bool {
        let known = self.hosts.get_mut(name);
        let Some(state) = known.filter(|state| *name != self.own && state.is_live(now)) else {
            return false;
        };
        let time = PASS_OVER * 2u32.pow(state.failures.min(8));
        state.failures = state.failures.saturating_add(1);
        state.passed_over_until = Some(now + time.min(MAX_PASS_OVER));
        true
    }

    /// Notes that a host answered.
    pub fn note_answer(&mut self, name: &HostId) {
        if let Some(state) = self.hosts.get_mut(name) {
            state.passed_over_until = None;
            state.failures = 0;
        }
    }

    /// Notes that a host stops, which may be this one: it gets no duty any more until it has
    /// started again; returns whether that is new.
    ///
    /// Answers hosts that stop in turn under load: until the removal of its row is read (most of a
    /// second) a host that leaves and the next one would both collect the pieces of a pool.
    pub fn note_leaving(&mut self, name: &HostId) -> bool {
        let Some(state) = self.hosts.get_mut(name) else {
            return false;
        };
        !std::mem::replace(&mut state.leaving, true)
    }

    /// Returns the number of hosts that count as alive, this one included.
    pub fn live_count(&self, now: MonoTime) -> usize {
        self.hosts
            .values()
            .filter(|state| state.is_live(now))
            .count()
    }

    /// Returns the number of hosts known that have not left, this one included.
    pub fn known_count(&self) -> usize {
        self.records().count()
    }

    /// Lists the live hosts for a duty, the one that has it first: each by its size, and those in
    /// the duty's failure domain before others.
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
            .map(|state| (duty_rank(duty, domain, &state.record), &state.record))
            .collect();
        order.sort_by(|left, right| right.0.total_cmp(&left.0));
        order
            .into_iter()
            .map(|(_, record)| record.clone())
            .collect()
    }

    /// Returns the name of this host.
    pub const fn own(&self) -> &HostId {
        &self.own
    }

    /// Lists every host that is known and has not left.
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
            passed_over_until: None,
            failures: 0,
            changed_at,
            leaving: false,
            left: false,
        }
    }

    fn is_live(&self, now: MonoTime) -> bool {
        !self.left && !self.leaving && self.passed_over_until.is_none_or(|until| until <= now)
    }
}
