//! Tests of the server registry and the host table when the store is restored from an older copy.

use hollywheel_serving::{
    HostRecord, HostTable, RowChange, ServerListing, ServerPhase, ServerRecord, ServerRegistry,
    StoreEra, StorePlace,
};
use hollywheel_types::{HostId, MonoTime, PoolId};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn place(text: &str) -> StorePlace {
    text.parse().unwrap()
}

fn record(pool: &str, phase: ServerPhase, born: u64) -> ServerRecord {
    ServerRecord {
        pool: pool.parse().unwrap(),
        address: "10.1.0.1:80".parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots: 4,
        phase,
        born: Some(born),
        cold_left: None,
    }
}

/// Returns a row of a ready server at a position.
fn ready(server: &str, at: &str, born: u64) -> RowChange {
    RowChange {
        server: server.parse().unwrap(),
        place: place(at),
        record: Some(record("pool", ServerPhase::Ready, born)),
    }
}

/// Returns a row of a draining server.
fn draining(server: &str, at: &str, born: u64) -> RowChange {
    RowChange {
        record: Some(record("pool", ServerPhase::Draining, born)),
        ..ready(server, at, born)
    }
}

/// Returns the removal of a row.
fn removed(server: &str, at: &str) -> RowChange {
    RowChange {
        record: None,
        ..ready(server, at, 0)
    }
}

fn usable(registry: &ServerRegistry, now: MonoTime) -> Vec<String> {
    let pool: PoolId = "pool".parse().unwrap();
    let servers = registry.pool_servers(now, &pool);
    servers.map(|(server, _)| server.to_string()).collect()
}

/// Returns a registry that has listed two servers in the first era and entered the second era after
/// ten seconds. `lost_changes` holds changes of the first era that the restored copy lacks.
fn registry_after_restore(lost_changes: Vec<RowChange>) -> ServerRegistry {
    let mut registry = ServerRegistry::new();
    registry.note_era(at(0), StoreEra(1));
    let rows = vec![ready("s1", "1/5", 7), ready("s2", "1/6", 7)];
    registry.apply_listing(at(0), ServerListing::new(place("1/50"), rows));
    for row in lost_changes {
        registry.apply(at(9000), row);
    }
    registry.note_era(at(10_000), StoreEra(2));
    registry
}

#[test]
fn store_positions_are_ordered_by_era_and_parsed_from_their_display_form() {
    let places = ["0/0", "0/9", "1/3", "1/8", "2/1"];
    let mut read: Vec<StorePlace> = places.iter().map(|text| place(text)).collect();
    read.reverse();
    read.sort();
    let written: Vec<String> = read.iter().map(ToString::to_string).collect();
    assert_eq!(written, places);
    let errors = ["", "7", "x/1", "1/", "1/2/3"].map(|text| {
        let error = text.parse::<StorePlace>().unwrap_err();
        error.to_string()
    });
    insta::assert_debug_snapshot!(errors);
}

#[test]
fn a_removal_after_the_restore_applies_despite_its_lower_revision() {
    let mut registry = registry_after_restore(vec![ready("s2", "1/90", 7)]);
    let copy = vec![ready("s1", "2/5", 7), ready("s2", "2/6", 7)];
    registry.apply_listing(at(10_000), ServerListing::new(place("2/50"), copy));
    registry.apply(at(13_000), removed("s2", "2/52"));
    assert_eq!(usable(&registry, at(13_000)), ["s1"]);
}

#[test]
fn a_removed_server_does_not_reappear_with_the_restored_copy() {
    let mut registry = registry_after_restore(vec![removed("s2", "1/60")]);
    let copy = vec![ready("s1", "2/5", 7), ready("s2", "2/6", 7)];
    registry.apply_listing(at(10_000), ServerListing::new(place("2/50"), copy));
    assert_eq!(usable(&registry, at(10_000)), ["s1"]);
    assert!(registry.restore_rewritten(at(20_000)).is_empty());
    assert_eq!(
        usable(&registry, at(20_000)),
        ["s1"],
        "its row was not written again"
    );
    registry.apply(at(20_000), ready("s2", "2/80", 8));
    assert_eq!(
        usable(&registry, at(20_000)),
        ["s1", "s2"],
        "another incarnation is used"
    );
}

/// The writes of the removed server may be replayed in their order, with the removal last.
#[test]
fn a_removed_server_whose_writes_are_replayed_is_never_used() {
    let mut registry = registry_after_restore(vec![removed("s2", "1/60")]);
    registry.apply_listing(
        at(10_000),
        ServerListing::new(place("2/50"), vec![ready("s2", "2/6", 7)]),
    );
    registry.apply(at(10_800), ready("s2", "2/55", 7));
    assert!(!usable(&registry, at(10_900)).contains(&"s2".to_owned()));
    registry.apply(at(11_000), removed("s2", "2/58"));
    assert!(registry.restore_rewritten(at(20_000)).is_empty());
    assert!(usable(&registry, at(20_000)).is_empty());
}

/// The row of the live server lapsed in an outage just before the restore.
#[test]
fn a_removed_live_server_is_used_once_its_row_is_written_again() {
    let mut registry = registry_after_restore(vec![removed("s2", "1/60")]);
    registry.apply_listing(
        at(10_000),
        ServerListing::new(place("2/50"), vec![ready("s2", "2/6", 7)]),
    );
    let known_change = registry.change();
    registry.apply(at(11_200), ready("s2", "2/55", 7));
    assert!(registry.restore_rewritten(at(12_000)).is_empty());
    assert_eq!(
        registry.restore_rewritten(at(12_500)),
        ["s2".parse().unwrap()]
    );
    assert_eq!(usable(&registry, at(12_500)), ["s2"]);
    let changes = registry.changes_after(known_change);
    assert_eq!(changes.len(), 1, "followers receive the change");
}

#[test]
fn a_server_whose_drain_was_lost_keeps_draining() {
    let mut registry = registry_after_restore(vec![draining("s2", "1/60", 7)]);
    let copy = vec![ready("s1", "2/5", 7), ready("s2", "2/6", 7)];
    registry.apply_listing(at(10_000), ServerListing::new(place("2/50"), copy));
    assert_eq!(usable(&registry, at(10_000)), ["s1"]);
    registry.apply(at(30_000), ready("s2", "2/80", 7));
    assert_eq!(
        usable(&registry, at(30_000)),
        ["s1"],
        "the same incarnation still drains"
    );
}

#[test]
fn a_server_whose_join_was_lost_is_used_for_a_grace_period() {
    let mut registry = registry_after_restore(vec![ready("s3", "1/60", 7)]);
    let copy = vec![ready("s1", "2/5", 7), ready("s2", "2/6", 7)];
    registry.apply_listing(at(10_000), ServerListing::new(place("2/50"), copy.clone()));
    assert_eq!(usable(&registry, at(11_600)), ["s1", "s2", "s3"]);
    assert_eq!(
        usable(&registry, at(11_800)),
        ["s1", "s2"],
        "the grace period is over"
    );
    // A second restore must not affect rows that are written again after it.
    registry.note_era(at(11_900), StoreEra(3));
    let copy = copy.into_iter().map(|row| RowChange {
        place: place("3/6"),
        ..row
    });
    registry.apply_listing(
        at(11_900),
        ServerListing::new(place("3/50"), copy.collect()),
    );
    registry.apply(at(12_000), ready("s3", "3/51", 7));
    assert_eq!(usable(&registry, at(12_000)), ["s1", "s2", "s3"]);
}

/// The address was given to a server of another pool in a change that the restored copy lacks.
#[test]
fn the_previous_owner_of_an_address_is_not_used() {
    let owner = RowChange {
        record: Some(record("other", ServerPhase::Ready, 8)),
        ..ready("s9", "1/61", 8)
    };
    let mut registry = registry_after_restore(vec![removed("s2", "1/60"), owner]);
    registry.apply_listing(
        at(10_000),
        ServerListing::new(place("2/50"), vec![ready("s2", "2/6", 7)]),
    );
    assert!(!usable(&registry, at(10_000)).contains(&"s2".to_owned()));
}

/// One host has read the restored store; the other one still knows only the previous era.
#[test]
fn hosts_in_different_eras_agree_on_the_later_one() {
    let mut ahead = registry_after_restore(Vec::new());
    ahead.apply_listing(
        at(10_000),
        ServerListing::new(place("2/50"), vec![ready("s1", "2/5", 7)]),
    );
    ahead.apply(at(13_000), draining("s1", "2/52", 7));
    let mut behind = registry_after_restore(vec![ready("s1", "1/99", 7), ready("s3", "1/98", 7)]);
    for row in behind.changes_after(0) {
        ahead.apply(at(13_000), row);
    }
    assert!(
        usable(&ahead, at(13_000)).is_empty(),
        "changes of the earlier era are stale"
    );
    let rows = ahead.changes_after(0);
    behind.apply_listing(
        at(13_000),
        ServerListing::new(ahead.listed_place().unwrap(), rows),
    );
    assert!(usable(&behind, at(13_000)).is_empty());
}

/// A reader that has just started knows only the current rows, so its complete listing must remove
/// other servers from its followers.
#[test]
fn a_complete_listing_removes_servers_that_it_lacks() {
    let mut follower = registry_after_restore(Vec::new());
    let mut reader = ServerRegistry::new();
    reader.note_era(at(0), StoreEra(2));
    assert_eq!(reader.listed_place(), None, "no listing was applied yet");
    reader.apply_listing(
        at(0),
        ServerListing::new(place("2/50"), vec![ready("s1", "2/5", 7)]),
    );
    reader.note_place(place("2/70"));
    assert_eq!(reader.listed_place(), Some(place("2/70")));
    let rows = reader.changes_after(0);
    follower.apply_listing(at(13_000), ServerListing::new(place("2/70"), rows));
    assert_eq!(usable(&follower, at(15_000)), ["s1"]);
}

/// Returns the record of a host in failure domain `a`.
fn host(name: &str) -> HostRecord {
    HostRecord {
        name: name.parse().unwrap(),
        address: "10.0.0.1:7000".parse().unwrap(),
        domain: "a".parse().unwrap(),
        incarnation: 1,
        weight: 1,
    }
}

#[test]
fn hosts_keep_their_duties_while_their_rows_are_lost() {
    let mut table = HostTable::new(host("h1"));
    let names: Vec<HostId> = ["h1", "h2"].map(|name| name.parse().unwrap()).to_vec();
    table.upsert(host("h2"), place("1/20"));
    assert!(table.apply_listing(place("1/30"), &names).is_empty());
    table.upsert(host("h3"), place("1/40"));
    let order = table.duty_order(at(0), "store", None);
    assert!(table.apply_listing(place("2/25"), &names).is_empty());
    assert_eq!(table.duty_order(at(0), "store", None), order);
    assert!(
        !table.upsert(host("h3"), place("1/45")),
        "a row of the earlier era is stale"
    );
    table.upsert(host("h3"), place("2/27"));
    assert!(table.remove(&"h3".parse().unwrap(), place("2/28")));
    assert_eq!(table.known_count(), 2);
    let left = table.apply_listing(place("2/40"), &names[..1]);
    assert_eq!(left, names[1..], "a later listing of the same era removes");
}
