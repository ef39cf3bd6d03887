//! Failure domains that the operator has evacuated.
//!
//! The operator's table of the platform's store holds one row per evacuated domain. Every host holds
//! a copy of these rows with their positions, from the store or from another host, and sends nothing
//! to the servers of an evacuated domain. The load that this handles is that of a whole domain: the
//! prompts of its engines move to the other domains over a second, so that the other engines do not
//! have to process all of them again at once.

use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, SortedMap};

use crate::placement::pair_weight;
use crate::store_place::StorePlace;

/// The time over which the prompts of a domain are moved out of it, or back.
const SHIFT_TIME: Duration = Duration::from_secs(1);
/// The part of the platform's bound that is left for the news to reach a host and for requests that
/// were placed just before the end of the shift: a change reaches every host within 2 s.
const NEWS_TIME: Duration = Duration::from_secs(2);
/// The maximum number of rows. Deployments have single-digit numbers of domains; the limit keeps a
/// table filled by mistake from taking the memory of small hosts.
const MAX_ROWS: usize = 1024;

/// Describes a row of an evacuated domain, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationRow {
    /// The domain.
    pub domain: DomainId,
    /// The position of the row, or of its removal, in the store's history.
    pub place: StorePlace,
    /// Whether the row exists, so that the domain is evacuated.
    pub evacuated: bool,
}

/// Describes all rows as of a position in the store's history.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationListing {
    /// The position up to which the listing contains every change.
    pub place: StorePlace,
    /// The rows. Removals may be among them.
    pub rows: Vec<EvacuationRow>,
}

/// Describes what a row or a listing has changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationChange {
    /// The domain is evacuated.
    Evacuated(EvacuationRow),
    /// The evacuation of the domain has ended.
    Ended(EvacuationRow),
    /// The store was restored from a copy that lacks the row; the evacuation stays in force.
    Retained(EvacuationRow),
    /// The table has no room for the row, which has no effect.
    NoRoom(EvacuationRow),
}

/// Holds the state of one domain that is or was evacuated.
#[derive(Clone, Copy, Debug)]
struct DomainState {
    place: StorePlace,
    evacuated: bool,
    /// When this host learned of the last change.
    since: MonoTime,
    /// The fraction of the prompts that was outside the domain at that time.
    moved_before: f64,
}

impl DomainState {
    /// Returns the fraction of the prompts that is outside the domain. It changes steadily in either
    /// direction, so that no prompt moves twice if an evacuation is revoked while it begins.
    fn moved(&self, now: MonoTime, shift: Duration) -> f64 {
        let step = if shift.is_zero() {
            1.0
        } else {
            now.since(self.since).as_secs_f64() / shift.as_secs_f64()
        };
        let moved = if self.evacuated {
            self.moved_before + step
        } else {
            self.moved_before - step
        };
        moved.clamp(0.0, 1.0)
    }
}

/// Holds the evacuated domains known to a host.
///
/// Rows and listings are ordered by their positions in the store's history, so a stale one has no
/// effect. A table that has applied a listing and all later changes is complete.
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    /// Evacuated domains, and the removals of their rows.
    domains: SortedMap<DomainId, DomainState>,
    /// Whether the platform evacuates domains.
    enabled: bool,
    /// The time over which prompts are moved.
    shift: Duration,
    /// The position up to which all changes are known; none before a complete listing.
    listed: Option<StorePlace>,
    /// The position of the first listing of the current era.
    era_listed: StorePlace,
    /// The number of the last change.
    change: u64,
}

impl EvacuationTable {
    /// Creates a table without a listing, for a platform with the given bound on evacuations; none
    /// if the platform evacuates no domains.
    pub fn new(bound: Option<Duration>) -> Self {
        let mut table = Self::default();
        table.set_bound(bound);
        table
    }

    /// Replaces the bound within which an evacuated domain must get no more requests.
    pub fn set_bound(&mut self, bound: Option<Duration>) {
        self.enabled = bound.is_some();
        let longest = bound.unwrap_or_default().saturating_sub(NEWS_TIME);
        self.shift = SHIFT_TIME.min(longest);
    }

    /// Returns whether evacuations have an effect: the platform states a bound on them.
    pub const fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Returns the time over which prompts are moved.
    pub const fn shift_time(&self) -> Duration {
        self.shift
    }

    /// Returns the position up to which all changes are known; none before a complete listing.
    pub const fn listed_place(&self) -> Option<StorePlace> {
        self.listed
    }

    /// Returns the number of the last change; every change that other hosts need increases it, and it
    /// is 0 before a complete listing.
    pub const fn change(&self) -> u64 {
        self.change
    }

    /// Records that every change up to a position was applied; ignored before a listing, and in
    /// another era than that of the last listing.
    pub fn note_place(&mut self, place: StorePlace) {
        if let Some(listed) = self.listed.as_mut()
            && listed.era == place.era
        {
            *listed = place.max(*listed);
        }
    }

    /// Applies one changed row; returns its effect.
    pub fn apply(&mut self, now: MonoTime, row: EvacuationRow) -> Option<EvacuationChange> {
        let known = self.domains.get(&row.domain).copied();
        let is_old = match known {
            Some(known) => known.place >= row.place,
            // The listing would have contained the row.
            None => Some(row.place) <= self.listed,
        };
        if is_old {
            return None;
        }
        self.store_row(now, row, known)
    }

    /// Applies a complete listing from the store or from another host; returns its effects. A listing
    /// that is older than the known one removes nothing.
    ///
    /// If the listing begins a later era, the store was restored from an older copy. An evacuation
    /// that it lacks stays in force until a row or a removal of that era is seen.
    pub fn apply_listing(
        &mut self,
        now: MonoTime,
        listing: EvacuationListing,
    ) -> Vec<EvacuationChange> {
        let place = listing.place;
        let is_first = self.listed.is_none();
        let begins_era = self.listed.is_none_or(|listed| listed.era < place.era);
        let mut changes = Vec::new();
        let mut missing: Vec<(DomainId, DomainState)> = Vec::new();
        if self.listed.is_none_or(|listed| listed <= place) {
            let known = self.domains.iter();
            let known = known.filter(|(domain, state)| {
                let is_listed = listing.rows.iter().any(|row| row.domain == **domain);
                state.evacuated && state.place <= place && !is_listed
            });
            missing.extend(known.map(|(domain, state)| (domain.clone(), *state)));
        }
        for row in listing.rows {
            let retained = row.evacuated && row.place.era < place.era;
            let is_unknown = !self.domains.contains_key(&row.domain);
            let change = if retained && is_unknown && place >= self.era_listed {
                // A removal in the current era would be known.
                self.store_row(now, row, None)
            } else {
                self.apply(now, row)
            };
            changes.extend(change);
        }
        for (domain, state) in missing {
            let is_lost = state.place.era < place.era;
            let row = EvacuationRow {
                domain,
                // The position of the removal is unknown; it is at most that of the listing.
                place: if is_lost { state.place } else { place },
                evacuated: is_lost,
            };
            if !is_lost {
                changes.extend(self.store_row(now, row, Some(state)));
            } else if begins_era {
                changes.push(EvacuationChange::Retained(row));
            }
        }
        if begins_era {
            self.era_listed = place;
            self.change += 1;
        }
        self.listed = self.listed.max(Some(place));
        if is_first {
            // A host that has just started has sent nothing to these domains.
            for state in self.domains.values_mut() {
                state.moved_before = if state.evacuated { 1.0 } else { 0.0 };
            }
        }
        changes
    }

    /// Stores a row that is newer than the known state of its domain; returns its effect.
    fn store_row(
        &mut self,
        now: MonoTime,
        row: EvacuationRow,
        known: Option<DomainState>,
    ) -> Option<EvacuationChange> {
        if known.is_none() && self.domains.len() >= MAX_ROWS && !self.forget_removal() {
            return Some(EvacuationChange::NoRoom(row));
        }
        let was_evacuated = known.is_some_and(|known| known.evacuated);
        let is_changed = was_evacuated != row.evacuated;
        let mut state = DomainState {
            place: row.place,
            evacuated: row.evacuated,
            since: now,
            moved_before: known.map_or(0.0, |known| known.moved(now, self.shift)),
        };
        if let Some(known) = known.filter(|_| !is_changed) {
            state.since = known.since;
            state.moved_before = known.moved_before;
        }
        self.domains.insert(row.domain.clone(), state);
        self.change += 1;
        match (is_changed, row.evacuated) {
            (false, _) => None,
            (true, true) => Some(EvacuationChange::Evacuated(row)),
            (true, false) => Some(EvacuationChange::Ended(row)),
        }
    }

    /// Forgets the oldest removal of a row; returns whether there was one.
    fn forget_removal(&mut self) -> bool {
        let removals = self.domains.iter().filter(|(_, state)| !state.evacuated);
        let oldest = removals.min_by_key(|(_, state)| state.place);
        let Some(oldest) = oldest.map(|(domain, _)| domain.clone()) else {
            return false;
        };
        self.domains.remove(&oldest).is_some()
    }

    /// Returns whether requests may be sent to the servers of a domain: `prompt` is the last shared
    /// part of a request's prompt, and none for work without one, which moves at once.
    ///
    /// Nothing may be sent before a complete listing is known. If the platform evacuates no domains,
    /// requests may be sent to all of them.
    pub fn accepts(&self, now: MonoTime, domain: &DomainId, prompt: Option<u64>) -> bool {
        if !self.enabled {
            return true;
        }
        if self.listed.is_none() {
            return false;
        }
        let Some(state) = self.domains.get(domain) else {
            return true;
        };
        let Some(prompt) = prompt else {
            return !state.evacuated;
        };
        /// 2^64, the number of weights.
        const WEIGHTS: f64 = 18_446_744_073_709_551_616.0;
        let position = pair_weight(prompt, domain.as_str()) as f64 / WEIGHTS;
        let moved = state.moved(now, self.shift);
        // The largest weight is rounded to 1.0.
        moved < 1.0 && position >= moved
    }

    /// Returns whether a domain is evacuated.
    pub fn is_evacuated(&self, domain: &DomainId) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|state| state.evacuated)
    }

    /// Lists the evacuated domains with the positions of their rows.
    pub fn evacuated(&self) -> impl Iterator<Item = (&DomainId, StorePlace)> {
        let evacuated = self.domains.iter().filter(|(_, state)| state.evacuated);
        evacuated.map(|(domain, state)| (domain, state.place))
    }

    /// Returns all that is known, for another host; none before a complete listing.
    pub fn listing(&self) -> Option<EvacuationListing> {
        let rows = self.domains.iter().map(|(domain, state)| EvacuationRow {
            domain: domain.clone(),
            place: state.place,
            evacuated: state.evacuated,
        });
        Some(EvacuationListing {
            place: self.listed?,
            rows: rows.collect(),
        })
    }
}
