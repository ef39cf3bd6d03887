//! The member table's entry for one host, and how incoming records are merged into it.

use hollywheel_types::{HostId, Incarnation, MonoTime};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::message::{MemberRecord, MemberState};

/// Number of hash rings that determine which hosts probe one another.
pub(crate) const RING_COUNT: usize = 4;

/// Maximum number of distinct hosts counted as confirming one suspicion.
const MAX_CONFIRMATIONS: usize = 4;

/// A suspicion that the host has not refuted.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When the suspicion began.
    pub since: MonoTime,
    /// The hosts whose probes of the suspect failed, sorted.
    pub confirmed_by: Vec<HostId>,
}

impl Suspicion {
    /// Returns whether a failed probe by `host` would count as another confirmation.
    pub fn accepts_confirmation(&self, host: &HostId) -> bool {
        self.confirmed_by.len() < MAX_CONFIRMATIONS
            && self.confirmed_by.binary_search(host).is_err()
    }
}

/// The membership state of one host as seen by the local host.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    /// The record as it is sent to other hosts.
    pub record: MemberRecord,
    /// When the local host first learned of this incarnation.
    pub first_seen: MonoTime,
    /// The current suspicion; a leaving host can be suspected as well.
    pub suspicion: Option<Suspicion>,
    /// Whether this incarnation has ever been reported as leaving.
    pub leaving_announced: bool,
    /// Since when the host has been considered dead.
    pub dead_since: Option<MonoTime>,
    /// Whether the platform's host list names the host and does not mark it as leaving.
    pub listed: bool,
    /// The position of the host on each ring.
    pub ring_positions: [u64; RING_COUNT],
}

/// The effect of merging a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MergeEffect {
    /// The record was already known or was discarded.
    Unchanged,
    /// The record contradicts the entry, and the entry is newer.
    Stale,
    /// The entry was updated.
    Changed,
}

impl MemberEntry {
    /// Creates an entry from the first record received for a host.
    pub fn new(now: MonoTime, record: MemberRecord) -> Self {
        let ring_positions = positions_on_rings(&record.host);
        let mut entry = Self {
            leaving_announced: false,
            first_seen: now,
            suspicion: None,
            dead_since: None,
            listed: false,
            ring_positions,
            record,
        };
        entry.sync_with_state(now);
        entry
    }

    /// Returns whether an incarnation is known; a host known only from the host list has none.
    pub const fn has_incarnation(&self) -> bool {
        self.record.incarnation.0 > 0
    }

    /// Returns whether the host is considered alive; it may be suspected or leaving.
    pub fn is_running(&self) -> bool {
        self.has_incarnation() && self.record.state != MemberState::Dead
    }

    /// Returns whether the host is considered alive and is not suspected.
    pub fn is_healthy(&self) -> bool {
        self.is_running() && self.suspicion.is_none()
    }

    /// Merges a record into the entry. A later incarnation wins. Within an incarnation, leaving
    /// overrides alive and suspect; otherwise the higher refutation wins, and at equal refutation
    /// the more severe state.
    pub fn merge(&mut self, now: MonoTime, incoming: MemberRecord) -> MergeEffect {
        if incoming.incarnation < self.record.incarnation {
            return MergeEffect::Stale;
        }
        if incoming.incarnation > self.record.incarnation {
            self.restart(now, incoming);
            return MergeEffect::Changed;
        }
        if incoming.config_version > self.record.config_version {
            self.record.config_version = incoming.config_version;
        }
        self.merge_state(now, incoming.state, incoming.refutation)
    }

    fn restart(&mut self, now: MonoTime, incoming: MemberRecord) {
        let listed = self.listed;
        *self = Self::new(now, incoming);
        self.listed = listed;
    }

    fn merge_state(&mut self, now: MonoTime, state: MemberState, refutation: u64) -> MergeEffect {
        use MemberState::{Alive, Dead, Leaving, Suspect};
        let newer = refutation > self.record.refutation;
        let not_older = refutation >= self.record.refutation;
        let accepted = match (self.record.state, state) {
            (Dead, Leaving) => {
                self.leaving_announced = true;
                newer
            }
            (Alive | Suspect, Leaving) => true,
            (Leaving, Dead) | (Alive | Suspect, Dead) => not_older,
            (Alive, Suspect) => not_older,
            (Leaving, Alive | Suspect) => return self.keep_leaving(refutation),
            (_, _) => newer,
        };
        if !accepted {
            let same = self.record.state == state && self.record.refutation == refutation;
            return if same {
                MergeEffect::Unchanged
            } else {
                MergeEffect::Stale
            };
        }
        if newer {
            self.suspicion = None;
        }
        let revived = self.leaving_announced && matches!(state, Alive | Suspect);
        self.record.state = if revived { Leaving } else { state };
        self.record.refutation = self.record.refutation.max(refutation);
        self.sync_with_state(now);
        MergeEffect::Changed
    }

    fn keep_leaving(&mut self, refutation: u64) -> MergeEffect {
        if refutation > self.record.refutation {
            self.record.refutation = refutation;
            self.suspicion = None;
        }
        MergeEffect::Stale
    }

    fn sync_with_state(&mut self, now: MonoTime) {
        match self.record.state {
            MemberState::Leaving => {
                self.leaving_announced = true;
                self.dead_since = None;
            }
            MemberState::Dead => {
                self.suspicion = None;
                self.dead_since.get_or_insert(now);
            }
            MemberState::Suspect => {
                self.dead_since = None;
                self.suspicion.get_or_insert(Suspicion {
                    since: now,
                    confirmed_by: Vec::new(),
                });
            }
            MemberState::Alive => self.dead_since = None,
        }
    }

    /// Counts a failed probe of this host by the host `by`; returns whether it is a new
    /// confirmation of the suspicion.
    pub fn suspect(
        &mut self,
        now: MonoTime,
        incarnation: Incarnation,
        refutation: u64,
        by: &HostId,
    ) -> bool {
        let current =
            incarnation == self.record.incarnation && refutation >= self.record.refutation;
        if !current || self.record.state == MemberState::Dead {
            return false;
        }
        if self.record.state == MemberState::Alive {
            self.record.state = MemberState::Suspect;
        }
        self.record.refutation = refutation;
        let suspicion = self.suspicion.get_or_insert(Suspicion {
            since: now,
            confirmed_by: Vec::new(),
        });
        match suspicion.confirmed_by.binary_search(by) {
            Err(index) if suspicion.confirmed_by.len() < MAX_CONFIRMATIONS => {
                suspicion.confirmed_by.insert(index, by.clone());
                true
            }
            _ => false,
        }
    }

    /// Marks the host as dead.
    pub fn mark_dead(&mut self, now: MonoTime) {
        self.record.state = MemberState::Dead;
        self.sync_with_state(now);
    }
}

fn positions_on_rings(host: &HostId) -> [u64; RING_COUNT] {
    let mut ring_positions = [0; RING_COUNT];
    for (position, ring) in ring_positions.iter_mut().zip(0..) {
        *position = xxh3_64_with_seed(host.as_str().as_bytes(), ring);
    }
    ring_positions
}
