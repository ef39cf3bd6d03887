//! The table of all known hosts.

use std::time::Duration;

use hollywheel_types::{HostId, MonoTime};
use xxhash_rust::xxh3::xxh3_64;

use crate::entry::{MemberEntry, MergeEffect, RING_COUNT};
use crate::message::{MemberRecord, MemberState};

/// Maximum number of hosts in the table. When it is full, the host that has been dead longest
/// is evicted for a new one; if none is dead, the record is dropped.
const MAX_HOSTS: usize = 1024;

/// How long a dead host is kept; it is probed occasionally during that time.
const DEAD_RETENTION: Duration = Duration::from_secs(3 * 3600);

/// Maximum number of successors that are probed on one ring.
const MAX_SUCCESSORS: usize = 4;

/// The known hosts, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    entries: Vec<MemberEntry>,
}

impl MemberTable {
    fn position(&self, host: &HostId) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.record.host.cmp(host))
    }

    /// Returns the entry of a host.
    pub fn get(&self, host: &HostId) -> Option<&MemberEntry> {
        self.position(host).ok().map(|index| &self.entries[index])
    }

    /// Returns the entry of a host for modification.
    pub fn get_mut(&mut self, host: &HostId) -> Option<&mut MemberEntry> {
        match self.position(host) {
            Ok(index) => Some(&mut self.entries[index]),
            Err(_) => None,
        }
    }

    /// Iterates over the entries in the order of their host names.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.iter()
    }

    /// Iterates over the entries for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut MemberEntry> {
        self.entries.iter_mut()
    }

    /// Merges a record into the entry of its host, adding the entry if it is missing.
    pub fn merge(&mut self, now: MonoTime, record: MemberRecord) -> MergeEffect {
        match self.position(&record.host) {
            Ok(index) => self.entries[index].merge(now, record),
            // A host that died before the local host learned of it need not be tracked.
            Err(_) if record.state == MemberState::Dead => MergeEffect::Unchanged,
            Err(_) if self.entries.len() >= MAX_HOSTS && !self.evict_dead() => {
                MergeEffect::Unchanged
            }
            Err(_) => {
                let entry = MemberEntry::new(now, record);
                self.insert(entry);
                MergeEffect::Changed
            }
        }
    }

    fn insert(&mut self, entry: MemberEntry) {
        let index = match self.position(&entry.record.host) {
            Ok(index) | Err(index) => index,
        };
        self.entries.insert(index, entry);
    }

    fn evict_dead(&mut self) -> bool {
        let oldest = self
            .entries
            .iter()
            .enumerate()
            .filter_map(|(index, entry)| entry.dead_since.map(|since| (since, index)))
            .min();
        let Some((_, index)) = oldest else {
            return false;
        };
        self.entries.remove(index);
        true
    }

    /// Removes hosts that have been dead for longer than [`DEAD_RETENTION`].
    pub fn expire(&mut self, now: MonoTime) {
        self.entries.retain(|entry| {
            entry
                .dead_since
                .is_none_or(|since| now.since(since) < DEAD_RETENTION)
        });
    }

    /// Removes every dead host and returns whether there was any.
    pub fn remove_dead(&mut self) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|entry| entry.record.state != MemberState::Dead);
        self.entries.len() < before
    }

    /// Returns whether at least half of the other hosts are considered dead without having
    /// announced that they were leaving.
    pub fn is_isolated(&self) -> bool {
        let dead = |entry: &&MemberEntry| {
            entry.record.state == MemberState::Dead && !entry.leaving_announced
        };
        let dead = self.entries.iter().filter(dead).count();
        dead * 2 >= self.entries.len().saturating_sub(1).max(1)
    }

    /// Returns the number of hosts that are considered alive.
    pub fn running_count(&self) -> usize {
        self.entries.iter().filter(|e| e.is_running()).count()
    }

    /// Computes an order-independent digest of the hosts that are considered alive: their names,
    /// incarnations and whether they are leaving.
    pub fn digest(&self) -> u64 {
        self.entries
            .iter()
            .filter(|entry| entry.is_running())
            .map(entry_digest)
            .fold(0, |sum, digest| sum ^ digest)
    }

    /// Returns the successors and the predecessor on each ring, without duplicates.
    pub fn neighbours(&self, host: &HostId) -> RingNeighbours {
        let mut found = RingNeighbours::default();
        let Some(own) = self.get(host) else {
            return found;
        };
        for ring in 0..RING_COUNT {
            self.add_ring_neighbours(&mut found, own, ring);
        }
        found
    }

    /// Adds the successors on one ring up to the first healthy host, and the nearest healthy
    /// predecessor. Probing past unhealthy successors keeps the hosts behind several that failed
    /// together under observation.
    fn add_ring_neighbours(&self, found: &mut RingNeighbours, own: &MemberEntry, ring: usize) {
        let mut others: Vec<(u64, &MemberEntry)> = self
            .entries
            .iter()
            .filter(|entry| entry.is_running() && entry.record.host != own.record.host)
            .map(|entry| {
                (
                    entry.ring_positions[ring].wrapping_sub(own.ring_positions[ring]),
                    entry,
                )
            })
            .collect();
        others.sort_by_key(|(distance, _)| *distance);
        for (_, entry) in others.iter().take(MAX_SUCCESSORS) {
            push_unique(&mut found.probe_targets, &entry.record.host);
            if entry.is_healthy() {
                push_unique(&mut found.peers, &entry.record.host);
                break;
            }
        }
        let previous = others.iter().rev().find(|(_, entry)| entry.is_healthy());
        if let Some((_, entry)) = previous {
            push_unique(&mut found.peers, &entry.record.host);
        }
    }
}

/// The neighbours of the local host on the rings.
#[derive(Clone, Debug, Default)]
pub(crate) struct RingNeighbours {
    /// The hosts that the local host probes.
    pub probe_targets: Vec<HostId>,
    /// The healthy hosts that the local host exchanges updates with.
    pub peers: Vec<HostId>,
}

fn push_unique(list: &mut Vec<HostId>, host: &HostId) {
    if !list.contains(host) {
        list.push(host.clone());
    }
}

fn entry_digest(entry: &MemberEntry) -> u64 {
    let record = &entry.record;
    let mut bytes = Vec::with_capacity(96);
    bytes.extend_from_slice(record.host.as_str().as_bytes());
    bytes.push(u8::from(record.state == MemberState::Leaving));
    bytes.extend_from_slice(&record.incarnation.0.to_le_bytes());
    xxh3_64(&bytes)
}
