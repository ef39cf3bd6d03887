//! Tests of the registry: servers that join, drain, leave, lapse and restart, and stale views.

use std::time::Duration;

use hollywheel_serving::{
    FeedHealth, RowChange, ServerListing, ServerPhase, ServerRecord, ServerRegistry, StoreEra,
    StorePlace, StoreView, ViewPart,
};
use hollywheel_types::{MonoTime, PoolId, ServerId};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn record(phase: ServerPhase, born: u64) -> ServerRecord {
    ServerRecord {
        pool: "pool".parse().unwrap(),
        address: "10.1.0.1:80".parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots: 4,
        phase,
        born: Some(born),
        cold_left: None,
    }
}

fn place(revision: u64) -> StorePlace {
    StorePlace {
        era: StoreEra(1),
        revision,
    }
}

fn change(server: &str, revision: u64, record: Option<ServerRecord>) -> RowChange {
    RowChange {
        server: server.parse().unwrap(),
        place: place(revision),
        record,
    }
}

fn usable(registry: &ServerRegistry, now: MonoTime) -> Vec<String> {
    let pool: PoolId = "pool".parse().unwrap();
    let servers = registry.pool_servers(now, &pool);
    servers.map(|(server, _)| server.to_string()).collect()
}

#[test]
fn a_draining_server_is_not_used_until_it_restarts() {
    let mut registry = ServerRegistry::new();
    registry.apply(at(0), change("s1", 1, Some(record(ServerPhase::Ready, 7))));
    assert_eq!(usable(&registry, at(0)), ["s1"]);
    registry.apply(
        at(1),
        change("s1", 2, Some(record(ServerPhase::Draining, 7))),
    );
    registry.apply(at(2), change("s1", 3, Some(record(ServerPhase::Ready, 7))));
    assert!(
        usable(&registry, at(2)).is_empty(),
        "the same incarnation still drains"
    );
    registry.apply(at(3), change("s1", 4, Some(record(ServerPhase::Ready, 8))));
    assert_eq!(
        usable(&registry, at(3)),
        ["s1"],
        "another incarnation is ready"
    );
}

#[test]
fn stale_changes_are_ignored() {
    let mut registry = ServerRegistry::new();
    registry.apply(at(0), change("s1", 5, Some(record(ServerPhase::Ready, 7))));
    registry.apply(at(1), change("s1", 9, None));
    assert!(!registry.apply(at(2), change("s1", 5, Some(record(ServerPhase::Ready, 7)))));
    assert!(usable(&registry, at(2)).is_empty());
}

#[test]
fn a_stale_listing_does_not_remove_newer_servers() {
    let mut registry = ServerRegistry::new();
    registry.apply(at(0), change("s1", 5, Some(record(ServerPhase::Ready, 7))));
    registry.apply(at(0), change("s2", 9, Some(record(ServerPhase::Ready, 7))));
    registry.apply_listing(at(1), ServerListing::new(place(7), Vec::new()));
    assert_eq!(usable(&registry, at(1)), ["s2"]);
}

#[test]
fn rows_that_lapse_after_an_outage_are_used_for_a_grace_period() {
    let mut registry = ServerRegistry::new();
    for (revision, server) in ["s1", "s2"].iter().enumerate() {
        let revision = revision as u64 + 1;
        registry.apply(
            at(0),
            change(server, revision, Some(record(ServerPhase::Ready, 7))),
        );
    }
    registry.note_store_return(at(10_000));
    registry.apply(at(10_100), change("s1", 11, None));
    registry.apply(at(10_100), change("s2", 12, None));
    assert_eq!(usable(&registry, at(10_200)), ["s1", "s2"]);
    registry.apply(
        at(11_000),
        change("s2", 20, Some(record(ServerPhase::Ready, 7))),
    );
    assert_eq!(usable(&registry, at(12_200)), ["s2"]);
}

#[test]
fn a_removal_outside_an_outage_ends_use_at_once() {
    let mut registry = ServerRegistry::new();
    registry.apply(at(0), change("s1", 1, Some(record(ServerPhase::Ready, 7))));
    registry.apply(at(1), change("s1", 2, None));
    assert!(usable(&registry, at(1)).is_empty());
}

#[test]
fn followers_receive_only_changed_rows() {
    let mut registry = ServerRegistry::new();
    registry.apply(at(0), change("s1", 1, Some(record(ServerPhase::Ready, 7))));
    let known = registry.change();
    registry.apply(at(0), change("s2", 2, Some(record(ServerPhase::Ready, 7))));
    // A heartbeat that changes only the revision of a row is not forwarded.
    registry.apply(at(1), change("s1", 3, Some(record(ServerPhase::Ready, 7))));
    let changes = registry.changes_after(known);
    let servers: Vec<ServerId> = changes.into_iter().map(|change| change.server).collect();
    assert_eq!(servers, ["s2".parse().unwrap()]);
}

#[test]
fn a_view_that_is_not_confirmed_becomes_stale() {
    let mut view = StoreView::default();
    let bound = Duration::from_millis(1800);
    assert_eq!(view.health(at(0), bound), FeedHealth::Stale);
    for part in [ViewPart::Config, ViewPart::Servers] {
        view.confirm(part, at(1000));
        view.confirm(part, at(500));
    }
    assert_eq!(view.health(at(2800), bound), FeedHealth::Following);
    assert_eq!(view.health(at(2801), bound), FeedHealth::Stale);
}

/// A reader that the store rejects knows that its view is stale long before the view is old.
#[test]
fn a_view_whose_store_is_lost_is_stale_at_once() {
    for lost in [ViewPart::Config, ViewPart::Servers] {
        let mut view = StoreView::default();
        let bound = Duration::from_millis(1200);
        view.confirm(ViewPart::Config, at(1000));
        view.confirm(ViewPart::Servers, at(1000));
        view.set_lost(lost);
        assert_eq!(view.health(at(1001), bound), FeedHealth::Stale);
        assert_eq!(view.age(at(1001)), None);
        view.confirm(lost, at(1500));
        assert_eq!(view.health(at(1501), bound), FeedHealth::Following);
    }
}

#[test]
fn a_view_is_as_old_as_its_oldest_part() {
    let mut view = StoreView::default();
    view.confirm(ViewPart::Servers, at(1000));
    assert_eq!(view.age(at(1000)), None, "the configuration was never read");
    view.confirm(ViewPart::Config, at(1000));
    view.confirm(ViewPart::Servers, at(3000));
    assert_eq!(view.age(at(3000)), Some(Duration::from_secs(2)));
}

/// A server that leaves says so in its responses, even while its row can't be written.
#[test]
fn an_announced_departure_holds_for_the_incarnation() {
    let mut registry = ServerRegistry::new();
    let s1: ServerId = "s1".parse().unwrap();
    assert!(!registry.note_leaving(&s1), "the server is not known");
    registry.apply(at(0), change("s1", 1, Some(record(ServerPhase::Ready, 7))));
    assert!(registry.note_leaving(&s1));
    assert!(!registry.note_leaving(&s1), "it is known already");
    assert!(usable(&registry, at(1)).is_empty());
    registry.apply(at(2), change("s1", 2, Some(record(ServerPhase::Ready, 7))));
    assert!(
        usable(&registry, at(2)).is_empty(),
        "the heartbeat is of the same incarnation"
    );
    registry.apply(at(3), change("s1", 3, None));
    registry.apply(at(4), change("s1", 4, Some(record(ServerPhase::Ready, 7))));
    assert!(
        usable(&registry, at(4)).is_empty(),
        "the row lapsed and was written again by the same incarnation"
    );
    registry.apply(at(5), change("s1", 5, Some(record(ServerPhase::Ready, 8))));
    assert_eq!(
        usable(&registry, at(5)),
        ["s1"],
        "another incarnation is ready"
    );
}

/// A server whose row may have lapsed is used for a while, but not if it leaves.
#[test]
fn a_lapsed_server_that_announced_its_departure_is_not_used() {
    let mut registry = ServerRegistry::new();
    registry.apply(at(0), change("s1", 1, Some(record(ServerPhase::Ready, 7))));
    registry.note_store_return(at(10));
    registry.apply(at(11), change("s1", 2, None));
    assert_eq!(usable(&registry, at(12)), ["s1"]);
    registry.note_leaving(&"s1".parse().unwrap());
    assert!(usable(&registry, at(12)).is_empty());
    registry.apply(at(20), change("s1", 3, Some(record(ServerPhase::Ready, 7))));
    assert!(usable(&registry, at(20)).is_empty());
}

/// A follower receives the leaving server in a row whose position it already knows.
#[test]
fn followers_learn_that_a_server_leaves() {
    let (mut source, mut follower) = (ServerRegistry::new(), ServerRegistry::new());
    for registry in [&mut source, &mut follower] {
        registry.apply(at(0), change("s1", 1, Some(record(ServerPhase::Ready, 7))));
        registry.apply(at(0), change("s2", 2, Some(record(ServerPhase::Ready, 7))));
    }
    let known_change = source.change();
    source.note_leaving(&"s1".parse().unwrap());
    let changes = source.changes_after(known_change);
    assert_eq!(changes.len(), 1);
    for row in changes {
        assert!(follower.apply(at(1), row.clone()));
        assert!(!follower.apply(at(2), row));
    }
    assert_eq!(usable(&follower, at(2)), ["s2"]);
}
