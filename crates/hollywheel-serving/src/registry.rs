//! Registry of the backend servers, built from their rows in the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, PoolId, ServerId, SortedMap};

use crate::store_place::{StoreEra, StorePlace};

/// The time for which a server is still used after its row was removed following an outage of the
/// store. A live server writes its row again within about two seconds; a server that has left must
/// get no new requests after 2 s.
const LAPSE_GRACE: Duration = Duration::from_millis(1700);
/// The time after the recovery of the store within which removals of rows may be lapses of live
/// servers.
const LAPSE_WINDOW: Duration = Duration::from_millis(2500);
/// The time after the start of an era of the store by which live servers have written their rows
/// again, which takes them about two seconds. A row that was removed in the previous era and was
/// rewritten by then belongs to a live server.
const REWRITE_TIME: Duration = Duration::from_millis(2500);

/// Describes whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerPhase {
    /// The server accepts new requests.
    Ready,
    /// The server finishes its requests and then leaves.
    Draining,
}

/// Describes one incarnation of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerRecord {
    /// The pool to which the server belongs.
    pub pool: PoolId,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The failure domain of the server.
    pub domain: DomainId,
    /// The number of requests that the server executes at once.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub phase: ServerPhase,
    /// The start time of the server's process, if the server reports it.
    pub born: Option<u64>,
    /// How much longer the server stays cold, as of when its entry was read; none if the entry does not
    /// say, zero if another host says that it is warm.
    pub cold_left: Option<Duration>,
}

/// Describes a complete listing of the rows of the servers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServerListing {
    /// The position of the listing.
    pub place: StorePlace,
    /// The rows that servers wrote.
    pub rows: Vec<RowChange>,
    /// The servers whose rows another writer wrote. Such a row neither describes a server nor
    /// replaces what the server wrote before.
    pub foreign: Vec<ServerId>,
}

impl ServerListing {
    /// Creates a listing without rows of other writers.
    pub const fn new(place: StorePlace, rows: Vec<RowChange>) -> Self {
        Self {
            place,
            rows,
            foreign: Vec::new(),
        }
    }
}

/// Describes one change of a row in the table of servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChange {
    /// The server that the row describes, which is its key.
    pub server: ServerId,
    /// The position of the row in the store's history.
    pub place: StorePlace,
    /// The record in the row; none if the row was removed or does not describe a server.
    pub record: Option<ServerRecord>,
}

/// Identifies one incarnation of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ServerIncarnation {
    born: Option<u64>,
    address: SocketAddr,
}

impl ServerIncarnation {
    const fn of(record: &ServerRecord) -> Self {
        Self {
            born: record.born,
            address: record.address,
        }
    }
}

/// Tracks the row of one server.
#[derive(Clone, Debug)]
struct RegistryEntry {
    place: StorePlace,
    record: Option<ServerRecord>,
    /// The last record before a removal that may be a lapse, and when it stops being usable.
    lapsed: Option<(ServerRecord, MonoTime)>,
    /// The last incarnation that is known to drain, which it never stops doing.
    leaving: Option<ServerIncarnation>,
    /// The last incarnation whose row was removed.
    removed: Option<ServerIncarnation>,
    /// The record that is not used until its row is known to belong to a live server.
    withheld: Option<WithheldRecord>,
    /// The number of the change that last modified the record.
    changed_at: u64,
}

/// Holds the record of a row that was removed and reappeared when the store was restored from an
/// older copy.
#[derive(Clone, Debug)]
struct WithheldRecord {
    record: ServerRecord,
    /// Whether the row was written after the restore, as live servers do.
    is_rewritten: bool,
}

/// Holds the known backend servers.
///
/// Changes of a row are ordered by their positions in the store's history, so a stale read changes
/// nothing. A server that drains does so for the rest of its incarnation, and a server whose row
/// was removed does not reappear with an older copy of the store.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    entries: SortedMap<ServerId, RegistryEntry>,
    /// The number of the last change.
    change: u64,
    /// When the store recovered from its last outage.
    recovered_at: Option<MonoTime>,
    era: Option<StoreEra>,
    /// When the store entered its current era.
    era_started_at: MonoTime,
    /// The position up to which all changes are known.
    listed: Option<StorePlace>,
}

impl ServerRegistry {
    /// Creates a registry without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the store answers again after an outage.
    pub const fn note_store_return(&mut self, now: MonoTime) {
        self.recovered_at = Some(now);
    }

    /// Returns the time at which the store recovered from its last outage; none if it had none.
    pub const fn store_returned_at(&self) -> Option<MonoTime> {
        self.recovered_at
    }

    /// Records the current era of the store. In a later era than the known one, the store was
    /// restored from an older copy: rows that were written after the copy was made are missing until
    /// their servers write them again.
    pub fn note_era(&mut self, now: MonoTime, era: StoreEra) {
        if self.era.is_some_and(|known| known < era) {
            self.era_started_at = now;
            self.recovered_at = Some(now);
        }
        self.era = self.era.max(Some(era));
    }

    /// Returns the position up to which all changes are known: that of the last complete listing,
    /// advanced by the changes read since.
    pub const fn listed_place(&self) -> Option<StorePlace> {
        self.listed
    }

    /// Records that every change up to a position was applied; ignored in another era than that of
    /// the last listing.
    pub fn note_place(&mut self, place: StorePlace) {
        if let Some(listed) = self.listed.as_mut()
            && listed.era == place.era
        {
            *listed = place.max(*listed);
        }
    }

    /// Applies one change of a row; returns whether the registry changed.
    pub fn apply(&mut self, now: MonoTime, change: RowChange) -> bool {
        if self.announces_leaving(&change) {
            return self.note_leaving(&change.server);
        }
        let known = self.entries.get(&change.server);
        let is_old = match known {
            Some(entry) => entry.place >= change.place,
            // The listing would have contained the row.
            None => Some(change.place) <= self.listed,
        };
        if is_old {
            return false;
        }
        let known_record = known.and_then(|entry| entry.record.clone());
        let known_leaving = known.and_then(|entry| entry.leaving);
        let record = keep_draining(known_leaving, change.record);
        let withheld = record
            .as_ref()
            .and_then(|record| withhold(known?, record, change.place));
        let record = record.filter(|_| withheld.is_none());
        let draining = record
            .as_ref()
            .filter(|record| record.phase == ServerPhase::Draining);
        let leaving = draining.map(ServerIncarnation::of).or(known_leaving);
        let lapsed = match (&record, &known_record) {
            (None, Some(last)) if last.phase == ServerPhase::Ready && self.may_lapse(now) => {
                Some((last.clone(), now + LAPSE_GRACE))
            }
            _ => None,
        };
        let removed = match (&record, known) {
            (Some(_), _) => None,
            (None, Some(entry)) => entry.removed_incarnation(change.place),
            (None, None) => None,
        };
        let is_changed = states_change(known_record.as_ref(), record.as_ref());
        if is_changed {
            self.change += 1;
        }
        let changed_at = if is_changed {
            self.change
        } else {
            known.map_or(self.change, |entry| entry.changed_at)
        };
        let entry = RegistryEntry {
            place: change.place,
            record,
            lapsed,
            leaving,
            removed,
            withheld,
            changed_at,
        };
        self.entries.insert(change.server, entry);
        is_changed
    }

    /// Restores the withheld records whose rows were written again since the store was restored from
    /// an older copy; returns their servers.
    pub fn restore_rewritten(&mut self, now: MonoTime) -> Vec<ServerId> {
        let mut restored = Vec::new();
        if now.since(self.era_started_at) < REWRITE_TIME {
            return restored;
        }
        for (server, entry) in self.entries.iter_mut() {
            if let Some(withheld) = entry.withheld.take_if(|withheld| withheld.is_rewritten) {
                self.change += 1;
                entry.record = Some(withheld.record);
                entry.removed = None;
                entry.changed_at = self.change;
                restored.push(server.clone());
            }
        }
        restored
    }

    /// Records that a server itself announced that it leaves, which holds for its incarnation
    /// whatever its row says; returns whether that was not known before.
    pub fn note_leaving(&mut self, server: &ServerId) -> bool {
        let change = self.change + 1;
        let Some(entry) = self.entries.get_mut(server) else {
            return false;
        };
        if let Some((lapsed, _)) = entry.lapsed.take() {
            entry.leaving = Some(ServerIncarnation::of(&lapsed));
        }
        if let Some(record) = entry.record.as_mut() {
            if record.phase == ServerPhase::Draining {
                return false;
            }
            record.phase = ServerPhase::Draining;
            entry.leaving = Some(ServerIncarnation::of(record));
        }
        entry.changed_at = change;
        self.change = change;
        true
    }

    /// Returns whether a change from another host only adds to a known row that its server leaves.
    fn announces_leaving(&self, change: &RowChange) -> bool {
        let known = self.entries.get(&change.server);
        let known = known.filter(|entry| entry.place == change.place);
        match (
            known.and_then(|entry| entry.record.as_ref()),
            &change.record,
        ) {
            (Some(known), Some(reported)) => {
                reported.phase == ServerPhase::Draining && known.born == reported.born
            }
            _ => false,
        }
    }

    /// Applies a complete listing of the rows. Servers that are not in the listing are removed,
    /// unless their row is newer than the listing.
    pub fn apply_listing(&mut self, now: MonoTime, listing: ServerListing) {
        let ServerListing {
            place,
            rows,
            foreign: mut listed,
        } = listing;
        listed.extend(rows.iter().map(|row| row.server.clone()));
        listed.sort();
        let missing: Vec<ServerId> = self
            .entries
            .iter()
            .filter(|(server, entry)| {
                entry.record.is_some()
                    && entry.place <= place
                    && listed.binary_search(server).is_err()
            })
            .map(|(server, _)| server.clone())
            .collect();
        for row in rows {
            self.apply(now, row);
        }
        for server in missing {
            // The position of the removal is unknown; it is at most that of the listing.
            self.apply(
                now,
                RowChange {
                    server,
                    place,
                    record: None,
                },
            );
        }
        self.listed = self.listed.max(Some(place));
    }

    /// Returns whether a removal that is read now may be a lapse of a live server.
    fn may_lapse(&self, now: MonoTime) -> bool {
        self.recovered_at
            .is_some_and(|recovered_at| now.since(recovered_at) <= LAPSE_WINDOW)
    }

    /// Returns the record of a server if it can be used now.
    pub fn usable(&self, now: MonoTime, server: &ServerId) -> Option<&ServerRecord> {
        self.entries.get(server)?.usable(now)
    }

    /// Lists the servers of a pool that can be used now.
    pub fn pool_servers<'a>(
        &'a self,
        now: MonoTime,
        pool: &'a PoolId,
    ) -> impl Iterator<Item = (&'a ServerId, &'a ServerRecord)> + 'a {
        self.entries.iter().filter_map(move |(server, entry)| {
            let record = entry.usable(now)?;
            (record.pool == *pool).then_some((server, record))
        })
    }

    /// Returns whether a failure domain has a server that has a row.
    pub fn has_domain(&self, domain: &DomainId) -> bool {
        let mut records = self
            .entries
            .values()
            .filter_map(|entry| entry.record.as_ref());
        records.any(|record| record.domain == *domain)
    }

    /// Finds the server that has an address.
    pub fn find_address(&self, address: SocketAddr) -> Option<(&ServerId, &ServerRecord)> {
        self.entries.iter().find_map(|(server, entry)| {
            let record = entry.record.as_ref()?;
            (record.address == address).then_some((server, record))
        })
    }

    /// Returns the number of the last change; every change increases it.
    pub const fn change(&self) -> u64 {
        self.change
    }

    /// Lists the rows that have changed since a change number, for other hosts.
    pub fn changes_after(&self, change: u64) -> Vec<RowChange> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.changed_at > change)
            .map(|(server, entry)| RowChange {
                server: server.clone(),
                place: entry.place,
                record: entry.record.clone(),
            })
            .collect()
    }

    /// Returns the number of servers that have a row.
    pub fn server_count(&self) -> usize {
        let records = self.entries.values().filter(|entry| entry.record.is_some());
        records.count()
    }
}

impl RegistryEntry {
    /// Returns the incarnation that counts as removed once the row has no record. A row that is only
    /// missing from an older copy of the store was not removed.
    fn removed_incarnation(&self, place: StorePlace) -> Option<ServerIncarnation> {
        match &self.record {
            Some(last) if self.place.era == place.era => Some(ServerIncarnation::of(last)),
            Some(_) => None,
            None => self.removed,
        }
    }

    /// Returns the current record, or one that may have lapsed, if its server accepts requests.
    fn usable(&self, now: MonoTime) -> Option<&ServerRecord> {
        let lapsed = self.lapsed.as_ref().filter(|(_, until)| now < *until);
        let record = self.record.as_ref().or(lapsed.map(|(record, _)| record))?;
        (record.phase == ServerPhase::Ready).then_some(record)
    }
}

/// Withholds the record of a row that was removed in an earlier era of the store, since the row may
/// come from a copy that is older than the removal.
fn withhold(
    known: &RegistryEntry,
    record: &ServerRecord,
    place: StorePlace,
) -> Option<WithheldRecord> {
    if known.removed != Some(ServerIncarnation::of(record)) {
        return None;
    }
    let in_same_era = known.place.era == place.era;
    if in_same_era && known.withheld.is_none() {
        return None;
    }
    Some(WithheldRecord {
        record: record.clone(),
        is_rewritten: in_same_era,
    })
}

/// Returns whether a newer record of a server says something new. A cold time is relative to when the
/// entry was read, so it is new also if it is equal to the one before.
fn states_change(known: Option<&ServerRecord>, newer: Option<&ServerRecord>) -> bool {
    let (Some(known), Some(newer)) = (known, newer) else {
        return known.is_some() || newer.is_some();
    };
    let is_cold = |record: &ServerRecord| record.cold_left.is_some_and(|left| !left.is_zero());
    let without_cold = |record: &ServerRecord| ServerRecord {
        cold_left: None,
        ..record.clone()
    };
    is_cold(known) || is_cold(newer) || without_cold(known) != without_cold(newer)
}

/// Marks a record as draining if its incarnation is known to drain.
fn keep_draining(
    leaving: Option<ServerIncarnation>,
    record: Option<ServerRecord>,
) -> Option<ServerRecord> {
    let mut record = record?;
    if leaving == Some(ServerIncarnation::of(&record)) {
        record.phase = ServerPhase::Draining;
    }
    Some(record)
}
