//! Evacuated failure domains: which servers may be sent requests, and what hosts tell each other of
//! evacuations.
//!
//! The table is kept on every host; it has an effect only if the settings have a bound on
//! evacuations.

// Numbers of other hosts are decoded here.
#![deny(
    clippy::arithmetic_side_effects,
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::unwrap_used
)]

use std::time::Duration;

use hollywheel_adapter::StoreRow;
use hollywheel_serving::{
    EvacuationChange, EvacuationListing, EvacuationRow, ServerRecord, StoreEra, StorePlace,
};
use hollywheel_types::{DomainId, MonoTime, PoolId};
use hollywheel_wire::serving::{
    EvacuationEntry, EvacuationList, FollowReply, FollowRequest, StorePlace as PlaceMessage,
};

use crate::host::HostState;
use crate::log::{log_line, millis};

/// Time after the start of the host, and of its clock, for which a listing from a host without a fresh view is not
/// taken as complete. An own listing of the store takes 1.1 s at most, and a host that the store
/// refuses may have missed an evacuation. After this time nobody has a fresher view, and the host
/// serves as the others do.
const STALE_LISTING_WAIT: Duration = Duration::from_secs(2);

/// What was already logged about evacuations.
#[derive(Default)]
pub(crate) struct EvacuationReview {
    /// Evacuated domains without servers.
    unmatched: Vec<(DomainId, StorePlace)>,
    /// Pools all of whose servers are in evacuated domains.
    emptied: Vec<PoolId>,
}

/// Reads the row of an evacuation.
///
/// # Errors
///
/// Returns the reason if its key names no domain. `None` stands for another row.
fn read_row(row: &StoreRow) -> Option<Result<EvacuationRow, String>> {
    let domain = row.evacuated_domain()?;
    let read = domain.map(|domain| EvacuationRow {
        domain,
        place: row.place,
        evacuated: row.value.is_some(),
    });
    Some(read.map_err(|error| error.to_string()))
}

impl HostState {
    /// Returns whether evacuations have an effect: the platform states a bound on them.
    pub(crate) fn obeys_evacuations(&self) -> bool {
        self.evacuations.borrow().is_enabled()
    }

    /// Returns whether all evacuations that concern this host are known. Until then it is not ready
    /// and sends nothing to servers.
    pub(crate) fn knows_evacuations(&self) -> bool {
        !self.obeys_evacuations() || self.evacuations.borrow().listed_place().is_some()
    }

    /// Returns whether a failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, domain: &DomainId) -> bool {
        self.obeys_evacuations() && self.evacuations.borrow().is_evacuated(domain)
    }

    /// Keeps the servers to which a request may be sent as far as evacuations are concerned.
    /// `prompt` is the last shared part of its prompt, none for work without one.
    pub(crate) fn retain_accepting<T>(
        &self,
        servers: &mut Vec<(T, ServerRecord)>,
        prompt: Option<u64>,
    ) {
        if !self.obeys_evacuations() {
            return;
        }
        let now = self.now();
        let table = self.evacuations.borrow();
        servers.retain(|(_, record)| table.accepts(now, &record.domain, prompt));
    }

    /// Returns whether a request may be sent to a server as far as evacuations are concerned.
    pub(crate) fn accepts_sends(
        &self,
        now: MonoTime,
        record: &ServerRecord,
        prompt: Option<u64>,
    ) -> bool {
        let table = self.evacuations.borrow();
        table.accepts(now, &record.domain, prompt)
    }

    /// Applies a change of the operator's table as far as it is an evacuation.
    pub(crate) fn apply_evacuation(&self, row: &StoreRow, source: &str) {
        match read_row(row) {
            Some(Ok(row)) => {
                let change = self.evacuations.borrow_mut().apply(self.now(), row);
                self.handle_evacuations(change.into_iter().collect(), source);
            }
            Some(Err(detail)) => self.log_invalid_evacuation(row, &detail),
            None => {}
        }
    }

    /// Applies a complete listing of the operator's table as far as it lists evacuations.
    pub(crate) fn apply_operator_listing(&self, place: StorePlace, rows: &[StoreRow]) {
        let mut listing = EvacuationListing {
            place,
            rows: Vec::new(),
        };
        for row in rows {
            match read_row(row) {
                Some(Ok(row)) => listing.rows.push(row),
                Some(Err(detail)) => self.log_invalid_evacuation(row, &detail),
                None => {}
            }
        }
        self.apply_evacuation_listing(listing, "store");
    }

    fn apply_evacuation_listing(&self, listing: EvacuationListing, source: &str) {
        let knew = self.knows_evacuations();
        let before = self.evacuations.borrow().change();
        let changes = self
            .evacuations
            .borrow_mut()
            .apply_listing(self.now(), listing);
        self.handle_evacuations(changes, source);
        if self.evacuations.borrow().change() != before {
            self.view_changed.notify_waiters();
        }
        if !knew {
            let ready = self.is_ready();
            log_line!(
                self,
                info,
                ReadyChanged,
                ready,
                reason = "evacuations are known"
            );
        }
    }

    fn log_invalid_evacuation(&self, row: &StoreRow, detail: &str) {
        if self.obeys_evacuations() {
            let place = row.place;
            log_line!(self, warn, EvacuationInvalid, key = row.key, place = %place, detail);
        }
    }

    /// Logs what has changed and wakes the tasks that wait for changes.
    fn handle_evacuations(&self, changes: Vec<EvacuationChange>, source: &str) {
        if changes.is_empty() {
            return;
        }
        self.view_changed.notify_waiters();
        if !self.obeys_evacuations() {
            return;
        }
        let shift_ms = millis(self.evacuations.borrow().shift_time());
        for change in changes {
            let (row, detail) = match change {
                EvacuationChange::Evacuated(row) | EvacuationChange::Ended(row) => {
                    let EvacuationRow {
                        domain,
                        place,
                        evacuated,
                    } = row;
                    log_line!(
                        self,
                        warn,
                        EvacuationChanged,
                        domain = %domain,
                        evacuated,
                        place = %place,
                        shift_ms,
                        source
                    );
                    continue;
                }
                EvacuationChange::Retained(row) => {
                    let (domain, place) = (row.domain, row.place);
                    log_line!(
                        self,
                        warn,
                        EvacuationRetained,
                        domain = %domain,
                        place = %place,
                        source
                    );
                    continue;
                }
                EvacuationChange::NoRoom(row) => (row, "the table has no room for the row"),
            };
            let (key, place) = (row.domain, row.place);
            log_line!(self, warn, EvacuationInvalid, key = %key, place = %place, detail);
        }
        self.review_evacuations();
    }

    /// Logs evacuated domains that have no server, and pools whose servers are all in evacuated
    /// domains, once each.
    pub(crate) fn review_evacuations(&self) {
        let mut review = self.evacuation_review.borrow_mut();
        let table = self.evacuations.borrow();
        let registry = self.registry.borrow();
        let is_idle = table.evacuated().next().is_none() && review.emptied.is_empty();
        if !self.obeys_evacuations() || registry.listed_place().is_none() || is_idle {
            return;
        }
        for (domain, place) in table.evacuated() {
            let logged = (domain.clone(), place);
            if !registry.has_domain(domain) && !review.unmatched.contains(&logged) {
                log_line!(self, warn, EvacuationUnmatched, domain = %domain, place = %place);
                review.unmatched.push(logged);
            }
        }
        let is_current = |logged: &(DomainId, StorePlace)| {
            let mut rows = table.evacuated();
            rows.any(|(domain, place)| *domain == logged.0 && place == logged.1)
        };
        review.unmatched.retain(is_current);
        let now = self.now();
        let Some(set) = self.serving_set() else {
            return;
        };
        let mut emptied = Vec::new();
        for pool in set.pools.iter().map(|(pool, _)| pool) {
            let mut servers = registry.pool_servers(now, pool).peekable();
            let has_servers = servers.peek().is_some();
            if has_servers && servers.all(|(_, record)| table.is_evacuated(&record.domain)) {
                emptied.push(pool.clone());
            }
        }
        for pool in emptied.iter().filter(|pool| !review.emptied.contains(pool)) {
            log_line!(self, warn, PoolEvacuated, pool = %pool, evacuated = true);
        }
        for pool in review.emptied.iter().filter(|pool| !emptied.contains(pool)) {
            log_line!(self, info, PoolEvacuated, pool = %pool, evacuated = false);
        }
        review.emptied = emptied;
    }

    /// Updates the metrics of evacuations.
    pub(crate) fn measure_evacuations(&self) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        if !self.obeys_evacuations() {
            return;
        }
        let metrics = &self.metrics;
        let domains = self.evacuations.borrow().evacuated().count();
        metrics.evacuated_domains.set(gauge(domains));
        let pools = self.evacuation_review.borrow().emptied.len();
        metrics.evacuated_pools.set(gauge(pools));
        let known = usize::from(self.knows_evacuations());
        metrics.evacuations_known.set(gauge(known));
    }

    /// Returns whether evacuations have changed since a follower's request.
    pub(crate) fn has_evacuation_changes(&self, request: &FollowRequest) -> bool {
        let change = self.evacuations.borrow().change();
        request
            .evacuation_change
            .is_some_and(|known| known != change)
    }

    /// Adds what a follower does not know of evacuations to a reply. The whole table is told: it has
    /// as many rows as there are failure domains.
    pub(crate) fn add_evacuations(&self, request: &FollowRequest, reply: &mut FollowReply) {
        let Some(known) = request.evacuation_change else {
            return;
        };
        let table = self.evacuations.borrow();
        reply.evacuation_change = table.change();
        if request.incarnation != self.incarnation || known != table.change() {
            reply.evacuations = table.listing().as_ref().map(encode_listing);
        }
    }

    /// Returns whether a reply comes from a host that knows all evacuations, if they concern this host.
    /// A host of an earlier software version does not tell them.
    pub(crate) fn tells_evacuations(&self, reply: &FollowReply) -> bool {
        !self.obeys_evacuations() || reply.evacuation_change > 0
    }

    /// Applies another host's evacuations; returns the change number up to which they are known.
    /// `is_fresh` tells whether that host has a fresh view of the store.
    pub(crate) fn apply_evacuation_reply(
        &self,
        reply: &FollowReply,
        known: u64,
        is_fresh: bool,
        source: &str,
    ) -> u64 {
        let Some(list) = &reply.evacuations else {
            // The number belongs to another incarnation if the reply has no list.
            return known.min(reply.evacuation_change);
        };
        let has_waited = self.now().since(MonoTime::default()) >= STALE_LISTING_WAIT;
        if !is_fresh && !has_waited && self.evacuations.borrow().listed_place().is_none() {
            return 0;
        }
        self.apply_evacuation_listing(decode_listing(list), source);
        reply.evacuation_change
    }
}

/// Encodes a place in the store's history.
pub(crate) const fn encode_place(place: StorePlace) -> PlaceMessage {
    PlaceMessage {
        era: place.era.0,
        revision: place.revision,
    }
}

/// Decodes a place in the store's history.
pub(crate) const fn decode_place(place: &PlaceMessage) -> StorePlace {
    StorePlace {
        era: StoreEra(place.era),
        revision: place.revision,
    }
}

fn encode_listing(listing: &EvacuationListing) -> EvacuationList {
    let entries = listing.rows.iter().map(|row| EvacuationEntry {
        domain: row.domain.to_string(),
        revision: row.place.revision,
        era: row.place.era.0,
        ended: !row.evacuated,
    });
    EvacuationList {
        place: Some(encode_place(listing.place)),
        entries: entries.collect(),
    }
}

/// Decodes a listing. Entries whose domain is no valid name are skipped; no server has such a domain.
fn decode_listing(list: &EvacuationList) -> EvacuationListing {
    let rows = list.entries.iter().filter_map(|entry| {
        Some(EvacuationRow {
            domain: entry.domain.parse().ok()?,
            place: StorePlace {
                era: StoreEra(entry.era),
                revision: entry.revision,
            },
            evacuated: !entry.ended,
        })
    });
    EvacuationListing {
        place: decode_place(&list.place.unwrap_or_default()),
        rows: rows.collect(),
    }
}
