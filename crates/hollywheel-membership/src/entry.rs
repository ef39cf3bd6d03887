//! What is known of one host, and how news of it are joined.

use hollywheel_types::{HostId, Incarnation, MonoTime};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::message::{MemberRecord, MemberState};

/// The number of rings on which hosts probe one another.
pub(crate) const RINGS: usize = 4;

/// The most hosts whose failed probes are counted for one suspicion.
const MAX_CONFIRMATIONS: usize = 4;

/// Holds a suspicion that has not been refuted.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When it began.
    pub since: MonoTime,
    /// The hosts whose probes failed, sorted.
    pub by: Vec<HostId>,
}

impl Suspicion {
    /// Says whether a failed probe of a host would confirm it further.
    pub fn wants(&self, host: &HostId) -> bool {
        self.by.len() < MAX_CONFIRMATIONS && self.by.binary_search(host).is_err()
    }
}

/// Holds what is known of one host.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    /// The record as it is passed on.
    pub record: MemberRecord,
    /// When this incarnation was first heard of.
    pub first_heard: MonoTime,
    /// The suspicion, also of a host that is leaving.
    pub suspicion: Option<Suspicion>,
    /// Whether this incarnation was said to be leaving.
    pub left: bool,
    /// Since when the host is taken for dead.
    pub dead_since: Option<MonoTime>,
    /// Whether the host list names the host as live.
    pub listed: bool,
    /// The place of the host on each ring.
    pub places: [u64; RINGS],
}

/// Says what a piece of news changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MergeEffect {
    /// It was known, or is older than what is known.
    Nothing,
    /// It contradicts what is known, and what is known is newer.
    Stale,
    /// It is new.
    Changed,
}

impl MemberEntry {
    /// Creates an entry from the first record of a host.
    pub fn new(now: MonoTime, record: MemberRecord) -> Self {
        let places = ring_places(&record.host);
        let mut entry = Self {
            left: false,
            first_heard: now,
            suspicion: None,
            dead_since: None,
            listed: false,
            places,
            record,
        };
        entry.settle(now);
        entry
    }

    /// Says whether a process of this host has been heard of.
    pub const fn is_heard(&self) -> bool {
        self.record.incarnation.0 > 0
    }

    /// Says whether the host is taken for alive; it may be leaving.
    pub fn is_running(&self) -> bool {
        self.is_heard() && self.record.state != MemberState::Dead
    }

    /// Says whether the host is taken for alive without doubt.
    pub fn is_trusted(&self) -> bool {
        self.is_running() && self.suspicion.is_none()
    }

    /// Joins a record with what is known of the host.
    pub fn merge(&mut self, now: MonoTime, news: MemberRecord) -> MergeEffect {
        if news.incarnation < self.record.incarnation {
            return MergeEffect::Stale;
        }
        if news.incarnation > self.record.incarnation {
            self.restart(now, news);
            return MergeEffect::Changed;
        }
        if news.config_version > self.record.config_version {
            self.record.config_version = news.config_version;
        }
        self.merge_state(now, news.state, news.refutation)
    }

    fn restart(&mut self, now: MonoTime, news: MemberRecord) {
        let listed = self.listed;
        *self = Self::new(now, news);
        self.listed = listed;
    }

    fn merge_state(&mut self, now: MonoTime, state: MemberState, refutation: u64) -> MergeEffect {
        use MemberState::{Alive, Dead, Leaving, Suspect};
        let newer = refutation > self.record.refutation;
        let as_new = refutation >= self.record.refutation;
        let accepted = match (self.record.state, state) {
            (Dead, Leaving) => {
                self.left = true;
                newer
            }
            (Alive | Suspect, Leaving) => true,
            (Leaving, Dead) | (Alive | Suspect, Dead) => as_new,
            (Alive, Suspect) => as_new,
            (Leaving, Alive | Suspect) => return self.keep_leaving(refutation),
            (_, _) => newer,
        };
        if !accepted {
            let same = self.record.state == state && self.record.refutation == refutation;
            return if same {
                MergeEffect::Nothing
            } else {
                MergeEffect::Stale
            };
        }
        if newer {
            self.suspicion = None;
        }
        let revived = self.left && matches!(state, Alive | Suspect);
        self.record.state = if revived { Leaving } else { state };
        self.record.refutation = self.record.refutation.max(refutation);
        self.settle(now);
        MergeEffect::Changed
    }

    fn keep_leaving(&mut self, refutation: u64) -> MergeEffect {
        if refutation > self.record.refutation {
            self.record.refutation = refutation;
            self.suspicion = None;
        }
        MergeEffect::Stale
    }

    fn settle(&mut self, now: MonoTime) {
        match self.record.state {
            MemberState::Leaving => {
                self.left = true;
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
                    by: Vec::new(),
                });
            }
            MemberState::Alive => self.dead_since = None,
        }
    }

    /// Counts a failed probe of another host or of this one; says whether it is the first of that
    /// host.
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
            by: Vec::new(),
        });
        match suspicion.by.binary_search(by) {
            Err(at) if suspicion.by.len() < MAX_CONFIRMATIONS => {
                suspicion.by.insert(at, by.clone());
                true
            }
            _ => false,
        }
    }

    /// Takes the host for dead.
    pub fn bury(&mut self, now: MonoTime) {
        self.record.state = MemberState::Dead;
        self.settle(now);
    }
}

fn ring_places(host: &HostId) -> [u64; RINGS] {
    let mut places = [0; RINGS];
    for (place, ring) in places.iter_mut().zip(0..) {
        *place = xxh3_64_with_seed(host.as_str().as_bytes(), ring);
    }
    places
}
