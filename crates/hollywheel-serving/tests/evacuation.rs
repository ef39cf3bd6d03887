//! Tests of the table of evacuated failure domains.

use std::time::Duration;

use hollywheel_serving::{
    EvacuationChange, EvacuationListing, EvacuationRow, EvacuationTable, StorePlace,
};
use hollywheel_types::{DomainId, MonoTime};

/// The bound of the platform.
const BOUND: Duration = Duration::from_secs(5);
/// The number of prompts whose placement is examined.
const PROMPTS: u64 = 2000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn domain(name: &str) -> DomainId {
    name.parse().unwrap()
}

fn place(text: &str) -> StorePlace {
    text.parse().unwrap()
}

fn evacuated(name: &str, at: &str) -> EvacuationRow {
    EvacuationRow {
        domain: domain(name),
        place: place(at),
        evacuated: true,
    }
}

fn ended(name: &str, at: &str) -> EvacuationRow {
    EvacuationRow {
        evacuated: false,
        ..evacuated(name, at)
    }
}

fn listing(at: &str, rows: &[EvacuationRow]) -> EvacuationListing {
    EvacuationListing {
        place: place(at),
        rows: rows.to_vec(),
    }
}

/// Returns a table that has listed the store at a position.
fn listed(at_place: &str, rows: &[EvacuationRow]) -> EvacuationTable {
    let mut table = EvacuationTable::new(Some(BOUND));
    table.apply_listing(at(0), listing(at_place, rows));
    table
}

/// Returns whether plain requests and prompts may be sent to each of the domains a, b and c.
fn accepted(table: &EvacuationTable, now: MonoTime) -> String {
    let names = ["a", "b", "c"].into_iter();
    let open = names.filter(|name| {
        let plain = table.accepts(now, &domain(name), None);
        let prompts = accepted_prompts(table, now, name).len();
        assert!(
            prompts == if plain { PROMPTS as usize } else { 0 },
            "prompts to {name}: {prompts}"
        );
        plain
    });
    open.collect()
}

fn accepted_prompts(table: &EvacuationTable, now: MonoTime, name: &str) -> Vec<u64> {
    let domain = domain(name);
    let prompts = 0..PROMPTS;
    let open = prompts.filter(|prompt| table.accepts(now, &domain, Some(*prompt)));
    open.collect()
}

/// A host that starts during an evacuation must not send anything before it has learned of it.
#[test]
fn nothing_is_sent_before_a_complete_listing_is_known() {
    let mut table = EvacuationTable::new(Some(BOUND));
    assert_eq!(accepted(&table, at(0)), "");
    table.apply(at(10), ended("b", "1/5"));
    table.note_place(place("1/6"));
    assert_eq!(table.listing(), None, "a single row is no listing");
    assert_eq!(accepted(&table, at(10)), "");
    table.apply_listing(at(20), listing("1/9", &[evacuated("a", "1/8")]));
    assert_eq!(accepted(&table, at(20)), "bc", "at once after a restart");
}

/// Deployments without a bound must not change, whatever the operator's table holds.
#[test]
fn evacuations_have_no_effect_without_a_bound() {
    let mut table = EvacuationTable::new(None);
    assert_eq!(accepted(&table, at(0)), "abc");
    table.apply_listing(at(0), listing("1/9", &[evacuated("a", "1/8")]));
    assert_eq!(accepted(&table, at(0)), "abc");
    table.set_bound(Some(BOUND));
    assert_eq!(accepted(&table, at(0)), "bc", "a reload sets the bound");
}

/// A whole domain's prompts processed again at the same time would delay those of the others.
#[test]
fn prompts_move_once_over_a_second_and_plain_requests_at_once() {
    let mut table = listed("1/10", &[]);
    table.apply(at(1000), evacuated("a", "1/11"));
    assert!(!table.accepts(at(1000), &domain("a"), None));
    let mut before = accepted_prompts(&table, at(1000), "a");
    assert_eq!(before.len(), PROMPTS as usize);
    for step in 1..=10 {
        let now = accepted_prompts(&table, at(1000 + 100 * step), "a");
        let left = before.len() - now.len();
        assert!((100..300).contains(&left), "step {step}: {left} moved");
        assert!(
            now.iter().all(|prompt| before.contains(prompt)),
            "step {step}: a prompt came back"
        );
        before = now;
    }
    assert!(before.is_empty(), "the shift ends after a second");
    assert_eq!(accepted(&table, at(2000)), "bc");
}

/// The evacuation is revoked while its prompts are still moving.
#[test]
fn revoked_evacuation_returns_prompts_in_the_same_way() {
    let mut table = listed("1/10", &[]);
    table.apply(at(0), evacuated("a", "1/11"));
    let half = accepted_prompts(&table, at(500), "a");
    table.apply(at(500), ended("a", "1/12"));
    assert!(table.accepts(at(500), &domain("a"), None));
    assert_eq!(accepted_prompts(&table, at(500), "a"), half);
    let later = accepted_prompts(&table, at(800), "a");
    assert!(half.iter().all(|prompt| later.contains(prompt)));
    assert!(later.len() > half.len() && later.len() < PROMPTS as usize);
    assert_eq!(accepted(&table, at(1000)), "abc");
}

/// The bound is counted from the store's acknowledgement, and news take up to 2 s.
#[test]
fn shift_ends_two_seconds_before_the_bound() {
    for (bound_ms, shift_ms) in [(5000, 1000), (2400, 400), (2000, 0), (100, 0)] {
        let mut table = EvacuationTable::new(Some(Duration::from_millis(bound_ms)));
        assert_eq!(table.shift_time(), Duration::from_millis(shift_ms));
        table.apply_listing(at(0), listing("1/1", &[]));
        table.apply(at(0), evacuated("a", "1/2"));
        assert_eq!(accepted(&table, at(shift_ms)), "bc", "bound {bound_ms}");
    }
}

/// A reader that the store refuses tells what was true before.
#[test]
fn stale_rows_and_listings_have_no_effect() {
    let mut table = listed("1/10", &[evacuated("a", "1/8")]);
    table.apply(at(0), ended("b", "1/11"));
    table.note_place(place("1/12"));
    let change = table.change();
    assert_eq!(table.apply(at(0), ended("a", "1/7")), None);
    assert_eq!(table.apply(at(0), evacuated("b", "1/9")), None);
    assert_eq!(table.apply(at(0), evacuated("c", "1/12")), None);
    let old = listing("1/11", &[evacuated("c", "1/4"), evacuated("b", "1/3")]);
    assert_eq!(table.apply_listing(at(0), old), []);
    assert_eq!(table.change(), change, "other hosts are told nothing");
    assert_eq!(accepted(&table, at(5000)), "bc");
}

/// A removal that a host missed is recognised by a later listing only.
#[test]
fn row_missing_from_a_later_listing_was_removed() {
    let mut table = listed("1/10", &[evacuated("a", "1/8")]);
    assert_eq!(table.apply_listing(at(0), listing("1/9", &[])), []);
    assert_eq!(accepted(&table, at(0)), "bc");
    let changes = table.apply_listing(at(0), listing("1/12", &[]));
    assert_eq!(changes, [EvacuationChange::Ended(ended("a", "1/12"))]);
    assert_eq!(accepted(&table, at(1000)), "abc");
}

/// A row that was written while the pages of a listing were read is newer than the listing.
#[test]
fn row_newer_than_the_listing_stays() {
    let mut table = listed("1/10", &[]);
    table.apply(at(0), evacuated("a", "1/14"));
    table.apply_listing(at(0), listing("1/12", &[]));
    assert_eq!(accepted(&table, at(1000)), "bc");
}

/// The backup copy is older than the evacuation.
#[test]
fn evacuation_stays_in_force_when_the_restored_store_lacks_it() {
    let mut table = listed("1/10", &[]);
    table.apply(at(0), evacuated("a", "1/20"));
    let changes = table.apply_listing(at(2000), listing("2/9", &[]));
    let retained = evacuated("a", "1/20");
    assert_eq!(changes, [EvacuationChange::Retained(retained)]);
    let again = table.apply_listing(at(2500), listing("2/11", &[]));
    assert_eq!(again, [], "it is reported once for each era");
    assert_eq!(accepted(&table, at(2500)), "bc");

    let mut other = listed("2/9", &[]);
    let told = table.listing().unwrap();
    other.apply_listing(at(2600), told.clone());
    assert_eq!(accepted(&other, at(5000)), "bc", "other hosts are told");

    let end = table.apply(at(3000), ended("a", "2/12"));
    assert_eq!(end, Some(EvacuationChange::Ended(ended("a", "2/12"))));
    assert_eq!(table.apply_listing(at(3100), told), []);
    assert_eq!(accepted(&table, at(4000)), "abc");
}

/// Revisions begin again below those that the hosts have seen.
#[test]
fn row_of_a_later_era_counts_despite_its_lower_revision() {
    let mut table = listed("1/1000", &[evacuated("a", "1/990")]);
    table.apply_listing(at(0), listing("2/900", &[evacuated("a", "2/800")]));
    assert_eq!(table.apply(at(0), ended("a", "1/999")), None);
    table.apply(at(0), evacuated("b", "2/901"));
    assert_eq!(accepted(&table, at(1000)), "c");
    table.apply(at(1000), ended("a", "2/902"));
    assert_eq!(accepted(&table, at(2000)), "ac");
}

/// Hosts that were told the removal of the new era must not be told otherwise by one that was not.
#[test]
fn retained_evacuation_of_a_slow_host_does_not_undo_its_end() {
    let mut slow = listed("1/10", &[evacuated("a", "1/9")]);
    slow.apply_listing(at(0), listing("2/8", &[]));
    let mut table = listed("2/20", &[]);
    let changes = table.apply_listing(at(0), slow.listing().unwrap());
    assert_eq!(changes, []);
    assert_eq!(accepted(&table, at(1000)), "abc");
}

/// Two domains at once, then the last one: the operator is obeyed.
#[test]
fn every_domain_can_be_evacuated() {
    let mut table = listed("1/10", &[]);
    table.apply(at(0), evacuated("a", "1/11"));
    table.apply(at(0), evacuated("b", "1/12"));
    assert_eq!(accepted(&table, at(1000)), "c");
    table.apply(at(1000), evacuated("c", "1/13"));
    assert_eq!(accepted(&table, at(2000)), "");
    assert_eq!(table.evacuated().count(), 3);
}

/// An operator mistypes a domain: nothing else changes.
#[test]
fn domain_without_servers_changes_nothing_else() {
    let mut table = listed("1/10", &[]);
    table.apply(at(0), evacuated("zone-that-is-not", "1/11"));
    assert_eq!(accepted(&table, at(1000)), "abc");
}

/// An operator's table with very many rows must not take the memory of a small host.
#[test]
fn rows_beyond_the_limit_are_reported() {
    let mut table = listed("1/1", &[]);
    let mut rejected = 0;
    for number in 0..2000 {
        let name = format!("d{number}");
        let row = evacuated(&name, &format!("1/{}", number + 2));
        let change = table.apply(at(0), row);
        rejected += usize::from(matches!(change, Some(EvacuationChange::NoRoom(_))));
    }
    assert_eq!((table.evacuated().count(), rejected), (1024, 976));
    table.apply(at(0), ended("d0", "1/3000"));
    table.apply(at(0), evacuated("a", "1/3001"));
    assert!(table.is_evacuated(&domain("a")), "a removal makes room");
}

/// A row that is written again, as by a careful operator, does not start the shift again.
#[test]
fn repeated_row_does_not_bring_prompts_back() {
    let mut table = listed("1/10", &[]);
    table.apply(at(0), evacuated("a", "1/11"));
    assert_eq!(table.apply(at(900), evacuated("a", "1/12")), None);
    assert_eq!(accepted(&table, at(1000)), "bc");
}
