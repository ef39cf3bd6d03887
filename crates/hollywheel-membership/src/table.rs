//! The table of every host that is known.

use std::time::Duration;

use hollywheel_types::{HostId, MonoTime};
use xxhash_rust::xxh3::xxh3_64;

use crate::entry::{MemberEntry, MergeEffect, RINGS};
use crate::message::{MemberRecord, MemberState};

/// The most hosts that are kept; news of further ones is dropped.
const MAX_HOSTS: usize = 1024;

/// The time for which a dead host is kept, and probed now and then.
const DEAD_RETENTION: Duration = Duration::from_secs(3 * 3600);

/// The most hosts that are probed on one ring.
const MAX_NEXT: usize = 4;

/// Holds what is known of every host, sorted by name.
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
        self.position(host).ok().map(|at| &self.entries[at])
    }

    /// Returns the entry of a host for changing it.
    pub fn get_mut(&mut self, host: &HostId) -> Option<&mut MemberEntry> {
        match self.position(host) {
            Ok(at) => Some(&mut self.entries[at]),
            Err(_) => None,
        }
    }

    /// Walks the entries in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.iter()
    }

    /// Walks the entries for changing them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut MemberEntry> {
        self.entries.iter_mut()
    }

    /// Joins a record with what is known.
    pub fn merge(&mut self, now: MonoTime, record: MemberRecord) -> MergeEffect {
        match self.position(&record.host) {
            Ok(at) => self.entries[at].merge(now, record),
            // A host that died before it was heard of is of no interest.
            Err(_) if record.state == MemberState::Dead => MergeEffect::Nothing,
            Err(_) if self.entries.len() >= MAX_HOSTS && !self.make_room() => MergeEffect::Nothing,
            Err(_) => {
                let entry = MemberEntry::new(now, record);
                self.insert(entry);
                MergeEffect::Changed
            }
        }
    }

    fn insert(&mut self, entry: MemberEntry) {
        let at = match self.position(&entry.record.host) {
            Ok(at) | Err(at) => at,
        };
        self.entries.insert(at, entry);
    }

    fn make_room(&mut self) -> bool {
        let oldest = self
            .entries
            .iter()
            .enumerate()
            .filter_map(|(at, entry)| entry.dead_since.map(|since| (since, at)))
            .min();
        let Some((_, at)) = oldest else {
            return false;
        };
        self.entries.remove(at);
        true
    }

    /// Drops hosts that have been dead for long.
    pub fn expire(&mut self, now: MonoTime) {
        self.entries.retain(|entry| {
            entry
                .dead_since
                .is_none_or(|since| now.since(since) < DEAD_RETENTION)
        });
    }

    /// Forgets every dead host and says whether there was any.
    pub fn forget_dead(&mut self) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|entry| entry.record.state != MemberState::Dead);
        self.entries.len() < before
    }

    /// Says whether at least half of the other hosts are taken for dead.
    pub fn is_isolated(&self) -> bool {
        let dead = |entry: &&MemberEntry| entry.record.state == MemberState::Dead && !entry.left;
        let dead = self.entries.iter().filter(dead).count();
        dead * 2 >= self.entries.len().saturating_sub(1).max(1)
    }

    /// Counts the hosts taken for alive.
    pub fn running(&self) -> usize {
        self.entries.iter().filter(|e| e.is_running()).count()
    }

    /// Computes a digest of the hosts taken for alive and of those that are leaving.
    pub fn digest(&self) -> u64 {
        self.entries
            .iter()
            .filter(|entry| entry.is_running())
            .map(digest_entry)
            .fold(0, |sum, digest| sum ^ digest)
    }

    /// Returns the next and the previous hosts on each ring, without doubles.
    pub fn neighbours(&self, host: &HostId) -> RingNeighbours {
        let mut found = RingNeighbours::default();
        let Some(own) = self.get(host) else {
            return found;
        };
        for ring in 0..RINGS {
            self.add_ring(&mut found, own, ring);
        }
        found
    }

    /// Adds the hosts that follow on one ring up to the first that is trusted, so that the hosts
    /// behind several that failed together are probed at once, and the trusted one before.
    fn add_ring(&self, found: &mut RingNeighbours, own: &MemberEntry, ring: usize) {
        let mut others: Vec<(u64, &MemberEntry)> = self
            .entries
            .iter()
            .filter(|entry| entry.is_running() && entry.record.host != own.record.host)
            .map(|entry| (entry.places[ring].wrapping_sub(own.places[ring]), entry))
            .collect();
        others.sort_by_key(|(distance, _)| *distance);
        for (_, entry) in others.iter().take(MAX_NEXT) {
            add(&mut found.next, &entry.record.host);
            if entry.is_trusted() {
                add(&mut found.all, &entry.record.host);
                break;
            }
        }
        let previous = others.iter().rev().find(|(_, entry)| entry.is_trusted());
        if let Some((_, entry)) = previous {
            add(&mut found.all, &entry.record.host);
        }
    }
}

/// Lists the neighbours of a host on the rings.
#[derive(Clone, Debug, Default)]
pub(crate) struct RingNeighbours {
    /// The hosts that it probes.
    pub next: Vec<HostId>,
    /// The hosts that it exchanges news with.
    pub all: Vec<HostId>,
}

fn add(list: &mut Vec<HostId>, host: &HostId) {
    if !list.contains(host) {
        list.push(host.clone());
    }
}

fn digest_entry(entry: &MemberEntry) -> u64 {
    let record = &entry.record;
    let mut bytes = Vec::with_capacity(96);
    bytes.extend_from_slice(record.host.as_str().as_bytes());
    bytes.push(u8::from(record.state == MemberState::Leaving));
    bytes.extend_from_slice(&record.incarnation.0.to_le_bytes());
    xxh3_64(&bytes)
}
