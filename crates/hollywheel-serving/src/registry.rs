//! The backend servers, as their entries in the platform's store tell of them.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, PoolId, ServerId, SortedMap};

use crate::store_place::{StoreEra, StorePlace};

/// An entry that is missing after an outage of the store may come back within about two seconds
/// if its server lives; the server is used for this time, which is below the 2 s within which a
/// server that has left must get nothing new.
const RETURN_TIME: Duration = Duration::from_millis(1700);
/// Removals that are read within this time of the store's return may be lapses of live servers.
const LAPSE_WINDOW: Duration = Duration::from_millis(2500);
/// After this time of a new era of the store its entries are written again (about two seconds),
/// and an entry that was removed in the era before and stands again has a server behind it.
const REWRITE_TIME: Duration = Duration::from_millis(2500);

/// Says whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerPhase {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// Describes one incarnation of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerRecord {
    /// The pool.
    pub pool: PoolId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: DomainId,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: ServerPhase,
    /// The start of its process, if it says so.
    pub born: Option<u64>,
}

/// Holds one change of a row of the servers' table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChange {
    /// The server, which is the key of the row.
    pub server: ServerId,
    /// The place of the row in the store's history.
    pub place: StorePlace,
    /// The entry; none if it was removed or does not describe a server.
    pub record: Option<ServerRecord>,
}

/// Tells two starts of a server apart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ServerStart {
    born: Option<u64>,
    address: SocketAddr,
}

impl ServerStart {
    const fn of(record: &ServerRecord) -> Self {
        Self {
            born: record.born,
            address: record.address,
        }
    }
}

#[derive(Clone, Debug)]
struct RegistryEntry {
    place: StorePlace,
    record: Option<ServerRecord>,
    /// The last record before a removal that may be a lapse, usable until that point.
    lapsed: Option<(ServerRecord, MonoTime)>,
    /// The start that was last seen to leave; it does so for good.
    leaving: Option<ServerStart>,
    /// The start whose entry was last removed.
    removed: Option<ServerStart>,
    withheld: Option<WithheldRecord>,
    changed_at: u64,
}

/// Holds an entry that was removed before the store came back from an older copy, in which it
/// stands again.
#[derive(Clone, Debug)]
struct WithheldRecord {
    record: ServerRecord,
    /// Whether it was written since the store came back, as by a server that lives.
    is_rewritten: bool,
}

/// Holds the backend servers that are known.
///
/// A place in the store's history orders all changes of a row, so a read that is older than what
/// is known changes nothing. A server that drains does so for the rest of its incarnation, and one
/// whose entry was removed does not come back with an older copy of the store.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    entries: SortedMap<ServerId, RegistryEntry>,
    change: u64,
    returned_at: Option<MonoTime>,
    era: Option<StoreEra>,
    era_began: MonoTime,
    listed: Option<StorePlace>,
}

impl ServerRegistry {
    /// Creates a registry without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the store answers again after an outage.
    pub const fn note_store_return(&mut self, now: MonoTime) {
        self.returned_at = Some(now);
    }

    /// Returns when the store answered again after its last outage.
    pub const fn store_returned_at(&self) -> Option<MonoTime> {
        self.returned_at
    }

    /// Notes that the store is in an era. If that is a later one, the store has come back older:
    /// entries that were written since its copy are missing until they are written again.
    pub fn note_era(&mut self, now: MonoTime, era: StoreEra) {
        if self.era.is_some_and(|known| known < era) {
            self.era_began = now;
            self.returned_at = Some(now);
        }
        self.era = self.era.max(Some(era));
    }

    /// Returns where the last complete listing stands, with the changes read since.
    pub const fn listed_place(&self) -> Option<StorePlace> {
        self.listed
    }

    /// Notes that every change up to a place of the listing's era was applied.
    pub fn note_place(&mut self, place: StorePlace) {
        if let Some(listed) = self.listed.as_mut()
            && listed.era == place.era
        {
            *listed = place.max(*listed);
        }
    }

    /// Applies one change; returns whether it changed what is known.
    pub fn apply(&mut self, now: MonoTime, change: RowChange) -> bool {
        if self.tells_leaving(&change) {
            return self.note_leaving(&change.server);
        }
        let known = self.entries.get(&change.server);
        let is_old = match known {
            Some(entry) => entry.place >= change.place,
            // A listing would have held it.
            None => Some(change.place) <= self.listed,
        };
        if is_old {
            return false;
        }
        let before = known.and_then(|entry| entry.record.clone());
        let known_leaving = known.and_then(|entry| entry.leaving);
        let record = keep_draining(known_leaving, change.record);
        let withheld = record
            .as_ref()
            .and_then(|record| withhold(known?, record, change.place));
        let record = record.filter(|_| withheld.is_none());
        let drains = record
            .as_ref()
            .filter(|record| record.phase == ServerPhase::Draining);
        let leaving = drains.map(ServerStart::of).or(known_leaving);
        let lapsed = match (&record, &before) {
            (None, Some(last)) if last.phase == ServerPhase::Ready && self.may_lapse(now) => {
                Some((last.clone(), now + RETURN_TIME))
            }
            _ => None,
        };
        let removed = match (&record, known) {
            (Some(_), _) => None,
            (None, Some(entry)) => entry.removed_start(change.place),
            (None, None) => None,
        };
        let differs = record != before;
        if differs {
            self.change += 1;
        }
        let changed_at = if differs {
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
        differs
    }

    /// Uses the entries that were withheld and have been written again since the store came back
    /// older; returns their servers.
    pub fn restore_rewritten(&mut self, now: MonoTime) -> Vec<ServerId> {
        let mut settled = Vec::new();
        if now.since(self.era_began) < REWRITE_TIME {
            return settled;
        }
        for (server, entry) in self.entries.iter_mut() {
            if let Some(withheld) = entry.withheld.take_if(|withheld| withheld.is_rewritten) {
                self.change += 1;
                entry.record = Some(withheld.record);
                entry.removed = None;
                entry.changed_at = self.change;
                settled.push(server.clone());
            }
        }
        settled
    }

    /// Notes that a server has said itself that it leaves, which holds for its incarnation
    /// whatever its entry says; returns whether that is new.
    pub fn note_leaving(&mut self, server: &ServerId) -> bool {
        let change = self.change + 1;
        let Some(entry) = self.entries.get_mut(server) else {
            return false;
        };
        if let Some((lapsed, _)) = entry.lapsed.take() {
            entry.leaving = Some(ServerStart::of(&lapsed));
        }
        if let Some(record) = entry.record.as_mut() {
            if record.phase == ServerPhase::Draining {
                return false;
            }
            record.phase = ServerPhase::Draining;
            entry.leaving = Some(ServerStart::of(record));
        }
        entry.changed_at = change;
        self.change = change;
        true
    }

    /// Says whether another host's view of a row that is known here tells that the server leaves.
    fn tells_leaving(&self, change: &RowChange) -> bool {
        let known = self.entries.get(&change.server);
        let known = known.filter(|entry| entry.place == change.place);
        match (
            known.and_then(|entry| entry.record.as_ref()),
            &change.record,
        ) {
            (Some(known), Some(told)) => {
                told.phase == ServerPhase::Draining && known.born == told.born
            }
            _ => false,
        }
    }

    /// Applies a complete listing as of a place: servers that it does not hold are removed,
    /// unless their entry is newer than the listing.
    pub fn apply_listing(&mut self, now: MonoTime, place: StorePlace, rows: Vec<RowChange>) {
        let mut listed: Vec<ServerId> = rows.iter().map(|row| row.server.clone()).collect();
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
            // The place of the removal is not listed; it is at most that of the listing.
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

    fn may_lapse(&self, now: MonoTime) -> bool {
        self.returned_at
            .is_some_and(|returned| now.since(returned) <= LAPSE_WINDOW)
    }

    /// Returns the record of a server that may be used now.
    pub fn usable(&self, now: MonoTime, server: &ServerId) -> Option<&ServerRecord> {
        self.entries.get(server)?.usable(now)
    }

    /// Lists the servers of a pool that may be used now.
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

    /// Finds the server that has an address now.
    pub fn find_address(&self, address: SocketAddr) -> Option<(&ServerId, &ServerRecord)> {
        self.entries.iter().find_map(|(server, entry)| {
            let record = entry.record.as_ref()?;
            (record.address == address).then_some((server, record))
        })
    }

    /// Returns the number of the last change, which rises with every change.
    pub const fn change(&self) -> u64 {
        self.change
    }

    /// Lists what has changed after a change number, for other hosts.
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

    /// Returns the number of servers that have an entry.
    pub fn server_count(&self) -> usize {
        let records = self.entries.values().filter(|entry| entry.record.is_some());
        records.count()
    }
}

impl RegistryEntry {
    /// Returns the start that counts as removed once the entry is without a record. What the
    /// older copy of a store lacks is not removed.
    fn removed_start(&self, place: StorePlace) -> Option<ServerStart> {
        match &self.record {
            Some(last) if self.place.era == place.era => Some(ServerStart::of(last)),
            Some(_) => None,
            None => self.removed,
        }
    }

    fn usable(&self, now: MonoTime) -> Option<&ServerRecord> {
        let lapsed = self.lapsed.as_ref().filter(|(_, until)| now < *until);
        let record = self.record.as_ref().or(lapsed.map(|(record, _)| record))?;
        (record.phase == ServerPhase::Ready).then_some(record)
    }
}

/// Withholds an entry that was removed in an earlier era of the store than that of its row, which
/// may come from a copy that is older than the removal.
fn withhold(
    known: &RegistryEntry,
    record: &ServerRecord,
    place: StorePlace,
) -> Option<WithheldRecord> {
    if known.removed != Some(ServerStart::of(record)) {
        return None;
    }
    let in_era = known.place.era == place.era;
    if in_era && known.withheld.is_none() {
        return None;
    }
    Some(WithheldRecord {
        record: record.clone(),
        is_rewritten: in_era,
    })
}

/// Keeps a server draining while it has not started again.
fn keep_draining(
    leaving: Option<ServerStart>,
    record: Option<ServerRecord>,
) -> Option<ServerRecord> {
    let mut record = record?;
    if leaving == Some(ServerStart::of(&record)) {
        record.phase = ServerPhase::Draining;
    }
    Some(record)
}
