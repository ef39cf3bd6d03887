//! Tests of the assignment of duties to hosts, the sharding of pools and the placement of requests.

use std::time::Duration;

use hollywheel_serving::{
    HostChange, HostRecord, HostTable, LoadReport, LoadTable, PlacementQuery, PlacementVerdict,
    PoolShard, PromptPart, ServerPhase, ServerRecord, ShardWaits, StoreEra, StorePlace,
    choose_engine, choose_least_loaded, choose_shard, split_into_shards,
};
use hollywheel_types::{DomainId, HostId, MonoTime, ServerId};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns a position in the store's first era.
fn row_at(revision: u64) -> StorePlace {
    StorePlace {
        era: StoreEra(1),
        revision,
    }
}

fn host(name: &str, domain: &str, weight: u32) -> HostRecord {
    HostRecord {
        name: name.parse().unwrap(),
        address: "10.0.0.1:7000".parse().unwrap(),
        domain: domain.parse().unwrap(),
        incarnation: 1,
        weight,
    }
}

/// Returns the table of the host `own`, with the rows of all hosts at the same position.
fn table(own: &str, hosts: &[HostRecord]) -> HostTable {
    let own = hosts
        .iter()
        .find(|record| record.name.as_str() == own)
        .unwrap();
    let mut table = HostTable::new(own.clone());
    for record in hosts {
        table.upsert(record.clone(), row_at(1));
    }
    table
}

fn names(order: &[HostRecord]) -> Vec<String> {
    order.iter().map(|record| record.name.to_string()).collect()
}

#[test]
fn all_hosts_agree_on_duties_and_eject_an_unreachable_host() {
    let hosts: Vec<HostRecord> = (1..=9).map(|n| host(&format!("h{n}"), "a", 1)).collect();
    let first = table("h1", &hosts).duty_order(at(0), "pieces/p/", None);
    let (lost, next) = (&first[0].name, &first[1].name);
    let mut other = table(next.as_str(), &hosts);
    assert_eq!(
        names(&first),
        names(&other.duty_order(at(0), "pieces/p/", None))
    );
    let stranger: HostId = "10.0.0.9:7000".parse().unwrap();
    assert!(
        !other.note_unreachable(at(0), &stranger),
        "the host is not known"
    );
    assert!(other.note_unreachable(at(0), lost));
    assert!(
        !other.note_unreachable(at(0), lost),
        "simultaneous failures count once"
    );
    let order = other.duty_order(at(1), "pieces/p/", None);
    assert_eq!(order[0].name, *next);
    let order = other.duty_order(at(2000), "pieces/p/", None);
    assert_eq!(order[0].name, *lost);
}

#[test]
fn large_hosts_get_most_duties() {
    let mut hosts: Vec<HostRecord> = (1..=75).map(|n| host(&format!("s{n}"), "a", 1)).collect();
    hosts.extend((1..=6).map(|n| host(&format!("l{n}"), "b", 100)));
    let table = table("s1", &hosts);
    let duties: Vec<String> = (0..40).map(|n| format!("duty/{n}")).collect();
    let large = duties
        .iter()
        .filter(|duty| table.duty_order(at(0), duty, None)[0].weight == 100)
        .count();
    assert!(large >= 30, "large hosts have only {large} of 40 duties");
}

#[test]
fn a_restarted_host_is_used_at_once() {
    let hosts = [host("h1", "a", 1), host("h2", "a", 1)];
    let mut table = table("h1", &hosts);
    let other: HostId = "h2".parse().unwrap();
    table.note_unreachable(at(0), &other);
    assert_eq!(table.live_count(at(1)), 1);
    let restarted = HostRecord {
        incarnation: 2,
        ..host("h2", "a", 1)
    };
    assert!(table.upsert(restarted, row_at(2)));
    assert_eq!(table.live_count(at(1)), 2);
    assert!(table.remove(&other, row_at(3)));
    assert_eq!(table.known_count(), 1);
    let left: Vec<bool> = table.changes_after(1).map(|change| change.left).collect();
    assert_eq!(left, [true]);
}

/// During a rolling restart, a host that has just read the store receives older rows from a host
/// that lags behind.
#[test]
fn updates_from_a_lagging_host_do_not_revert_newer_ones() {
    let hosts = [host("h1", "a", 1), host("h2", "a", 1)];
    let mut table = table("h1", &hosts);
    let h2: HostId = "h2".parse().unwrap();
    let restarted = HostRecord {
        incarnation: 2,
        ..host("h2", "a", 1)
    };
    assert!(table.upsert(restarted.clone(), row_at(7)));
    assert!(
        !table.remove(&h2, row_at(5)),
        "the removal precedes the restart"
    );
    assert!(
        !table.upsert(hosts[1].clone(), row_at(3)),
        "the row is of the previous incarnation"
    );
    assert_eq!(table.known_count(), 2);
    assert!(table.remove(&h2, row_at(9)));
    assert!(
        !table.upsert(restarted.clone(), row_at(7)),
        "the host has left since"
    );
    assert_eq!(table.known_count(), 1);
    assert!(table.upsert(restarted.clone(), row_at(10)));
    assert_eq!(table.apply_listing(row_at(12), &[]), [h2]);
    assert!(!table.upsert(restarted, row_at(11)), "the listing is newer");
    assert!(
        !table.upsert(host("h3", "a", 1), row_at(11)),
        "the listing is newer, also for a host that was not known"
    );
    assert!(table.upsert(host("h3", "a", 1), row_at(13)));
}

/// During a rolling restart, the rows of stopped hosts still exist for a while.
#[test]
fn a_stopping_host_gets_no_duty_until_it_restarts() {
    let hosts: Vec<HostRecord> = (1..=5).map(|n| host(&format!("h{n}"), "a", 1)).collect();
    let mut table = table("h1", &hosts);
    let order = table.duty_order(at(0), "pieces/p/", None);
    for stopped in 0..4 {
        assert!(table.note_leaving(&order[stopped].name));
        assert!(
            !table.note_leaving(&order[stopped].name),
            "it is known already"
        );
        table.note_answer(&order[stopped].name);
        assert_eq!(
            table.duty_order(at(9000), "pieces/p/", None),
            order[stopped + 1..]
        );
        assert!(
            !table.upsert(order[stopped].clone(), row_at(9)),
            "its row is of the same incarnation"
        );
    }
    let other = order.iter().find(|record| record.name.as_str() != "h1");
    let other = other.unwrap().clone();
    table.upsert(
        HostRecord {
            incarnation: 2,
            ..other.clone()
        },
        row_at(20),
    );
    let names = names(&table.duty_order(at(9000), "pieces/p/", None));
    assert!(names.contains(&other.name.to_string()), "{names:?}");
}

/// All hosts start while the store is unavailable. They exchange what they know with one seed host,
/// and none of them has a row yet.
#[test]
fn hosts_discover_each_other_without_rows_in_the_store() {
    let hosts: Vec<HostRecord> = (1..=4).map(|n| host(&format!("h{n}"), "a", 1)).collect();
    let mut tables: Vec<HostTable> = hosts.iter().cloned().map(HostTable::new).collect();
    for _ in 0..2 {
        for asked in 1..tables.len() {
            let from_seed: Vec<HostChange> = tables[0].changes_after(0).collect();
            let from_host: Vec<HostChange> = tables[asked].changes_after(0).collect();
            for change in from_seed {
                tables[asked].upsert(change.record, change.place);
            }
            for change in from_host {
                tables[0].upsert(change.record, change.place);
            }
        }
    }
    let known: Vec<usize> = tables.iter().map(HostTable::known_count).collect();
    assert_eq!(known, [4; 4]);
    let mut first = tables.remove(0);
    assert!(
        !first.upsert(hosts[1].clone(), row_at(5)),
        "the row adds nothing to what is known"
    );
    assert_eq!(
        first
            .apply_listing(row_at(6), &[hosts[1].name.clone()])
            .len(),
        2
    );
}

/// Returns a ready server with four slots.
fn server(name: &str, domain: &str) -> (ServerId, ServerRecord) {
    let record = ServerRecord {
        pool: "p".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: domain.parse().unwrap(),
        slots: 4,
        phase: ServerPhase::Ready,
        born: None,
        cold_left: None,
    };
    (name.parse().unwrap(), record)
}

/// Returns servers that are distributed evenly over failure domains.
fn servers(count: usize, domains: &[&str]) -> Vec<(ServerId, ServerRecord)> {
    (0..count)
        .map(|n| server(&format!("s{n:02}"), domains[n % domains.len()]))
        .collect()
}

#[test]
fn a_pool_is_sharded_by_domain_when_each_has_enough_servers() {
    assert_eq!(
        split_into_shards(&servers(6, &["a", "b", "c"])),
        [PoolShard::Whole]
    );
    let shards = split_into_shards(&servers(15, &["a", "b", "c"]));
    assert_eq!(shards.len(), 3);
}

#[test]
fn pieces_go_to_another_shard_with_a_much_shorter_queue() {
    let servers = servers(15, &["a", "b", "c"]);
    let shard = |name: &str| PoolShard::Domain(name.parse().unwrap());
    let preferred: DomainId = "a".parse().unwrap();
    let mut waits = ShardWaits::new();
    let choose =
        |waits: &ShardWaits, now| choose_shard(now, &servers, Some(&preferred), Some(waits), 0);
    assert_eq!(choose(&waits, at(0)), shard("a"));
    waits.insert(shard("a"), (Duration::from_millis(700), at(0)));
    waits.insert(shard("b"), (Duration::from_millis(100), at(0)));
    waits.insert(shard("c"), (Duration::from_millis(300), at(0)));
    assert_eq!(choose(&waits, at(10)), shard("b"));
    assert_eq!(
        choose(&waits, at(5000)),
        shard("a"),
        "reports that are too old do not count"
    );
}

/// Returns the parts of a prompt: a long shared one with the given id, and a short individual one.
fn parts(shared: u64) -> Vec<PromptPart> {
    vec![
        PromptPart {
            id: shared,
            tokens: 13_000,
        },
        PromptPart {
            id: 999,
            tokens: 100,
        },
    ]
}

/// Returns a query for a request without excluded servers or a preferred domain.
fn placement_query<'a>(
    servers: &'a [(ServerId, ServerRecord)],
    now: MonoTime,
    tie: u64,
) -> PlacementQuery<'a> {
    PlacementQuery {
        now,
        servers,
        exclude: &[],
        tie,
        domain: None,
    }
}

#[test]
fn requests_with_a_shared_prompt_part_go_to_one_engine_until_it_is_loaded() {
    let servers = servers(18, &["a", "b", "c"]);
    let mut loads = LoadTable::new();
    let first = choose_engine(&placement_query(&servers, at(0), 1), &loads, &parts(7), 2.0);
    let second = choose_engine(&placement_query(&servers, at(0), 2), &loads, &parts(7), 2.0);
    assert_eq!(first, second);
    let PlacementVerdict::Server(home) = first else {
        panic!("{first:?}");
    };
    for _ in 0..8 {
        loads.note_sent(&home);
    }
    let moved = choose_engine(&placement_query(&servers, at(0), 3), &loads, &parts(7), 9.0);
    assert_ne!(moved, PlacementVerdict::Server(home));
}

#[test]
fn hosts_with_equal_information_choose_different_servers() {
    let servers = servers(6, &["a"]);
    let loads = LoadTable::new();
    let mut chosen: Vec<String> = (0..40)
        .map(|tie| {
            format!(
                "{:?}",
                choose_least_loaded(&placement_query(&servers, at(0), tie), &loads, 9.0)
            )
        })
        .collect();
    chosen.sort();
    chosen.dedup();
    assert!(chosen.len() >= 5, "{chosen:?}");
}

/// A server that once reported more requests than it can hold got none for some 10 s.
#[test]
fn impossible_load_report_excludes_a_sound_server() {
    let servers = servers(1, &["a"]);
    let (name, record) = &servers[0];
    let mut loads = LoadTable::new();
    let report = LoadReport {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: u32::MAX,
        slowdown: None,
    };
    loads.note_report(at(0), name, report, record.slots);
    let place =
        |millis| choose_least_loaded(&placement_query(&servers, at(millis), 0), &loads, 4.5);
    assert_eq!(place(0), PlacementVerdict::Full);
    assert_eq!(place(1000), PlacementVerdict::Server(name.clone()));
}

#[test]
fn failing_slow_and_full_servers_are_avoided() {
    let servers = servers(3, &["a"]);
    let names: Vec<ServerId> = servers.iter().map(|(name, _)| name.clone()).collect();
    let mut loads = LoadTable::new();
    for _ in 0..3 {
        loads.note_failure(at(0), &names[0]);
    }
    loads.note_success(at(0), &names[1], Duration::from_millis(600));
    loads.note_success(at(0), &names[2], Duration::from_millis(60));
    let least = choose_least_loaded(&placement_query(&servers, at(1), 0), &loads, 4.5);
    assert_eq!(least, PlacementVerdict::Server(names[2].clone()));
    for name in &names {
        let report = LoadReport {
            running: 4,
            waiting: 24,
            slots: 4,
            slowdown: None,
        };
        loads.note_report(at(2), name, report, report.slots);
    }
    assert_eq!(
        choose_least_loaded(&placement_query(&servers, at(2), 0), &loads, 4.5),
        PlacementVerdict::Full
    );
    assert_eq!(
        choose_least_loaded(&placement_query(&[], at(2), 0), &loads, 4.5),
        PlacementVerdict::NoServer
    );
}
