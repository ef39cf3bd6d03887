//! Tests of publication and installation in virtual time.

mod simulation;

use std::fmt::Write;
use std::time::Duration;

use hollywheel_config::{
    InstallError, InstallInput, InstallOutput, InstallTicket, PublishCommand, RollbackCommand,
};
use hollywheel_store::TableName;
use hollywheel_types::{ConfigVersion, PublishId, WallTime};
use simulation::{World, order, set_with};

const MINUTE: Duration = Duration::from_secs(60);

fn millis(took: Option<Duration>) -> String {
    took.map_or_else(
        || "not reached".to_owned(),
        |took| format!("{} ms", took.as_millis()),
    )
}

/// Returns hosts that know one another and have version 1 in force.
fn ready(hosts: usize, seed: u64) -> World {
    let mut world = World::new(hosts, seed);
    world.run(Duration::from_secs(30));
    world.publish(0, 1, 0, 1);
    assert_eq!(world.result_of(1).unwrap().version.0, 1);
    assert!(world.run_until(MINUTE, |world| world.all_have(1)).is_some());
    world.run(MINUTE);
    world
}

#[test]
fn times_until_in_force_everywhere() {
    let mut lines = String::new();
    for hosts in [9, 390] {
        let mut world = ready(hosts, 1);
        let mut version = 1;
        let mut publish = |world: &mut World, lines: &mut String, what: &str| {
            world.publish(
                1,
                u128::from(version) + 100,
                version,
                10 + u32::try_from(version).unwrap(),
            );
            world.result_of(u128::from(version) + 100).unwrap();
            version += 1;
            if what.contains("down") {
                world.store.down = true;
            }
            if what.contains("publisher") {
                world.stop(1);
            }
            let took = world.run_until(MINUTE, |world| world.all_have(version));
            writeln!(lines, "{hosts} hosts, {what}: {}", millis(took)).unwrap();
            let in_time = took.is_some_and(|took| took < Duration::from_secs(7));
            assert!(in_time, "{lines}");
            world.store.down = false;
            if what.contains("publisher") {
                world.start(1);
                world.run(Duration::from_secs(20));
            }
            world.run(Duration::from_secs(5));
        };
        publish(&mut world, &mut lines, "store healthy");
        world.store.latency = Duration::from_secs(2);
        publish(&mut world, &mut lines, "store answers after 2 s");
        world.store.latency = Duration::from_millis(5);
        publish(&mut world, &mut lines, "store down after the publication");
        publish(&mut world, &mut lines, "publisher dies at once");
        for at in (0..hosts).step_by(3) {
            world.stop(at);
        }
        publish(&mut world, &mut lines, "a region just lost");
        for at in (0..hosts).step_by(3) {
            world.start(at);
        }
        let took = world.run_until(MINUTE, |world| world.all_have(6));
        writeln!(lines, "{hosts} hosts, region back: {}", millis(took)).unwrap();
        let (reads, from) = (world.store.reads, world.now);
        world.run(2 * MINUTE);
        let reads = world.store.reads - reads;
        let rate = reads as f64 / world.now.since(from).as_secs_f64();
        writeln!(lines, "{hosts} hosts: {rate:.1} reads/s at rest").unwrap();
    }
    insta::assert_snapshot!(lines);
}

#[test]
fn region_that_is_cut_off_follows_through_the_store() {
    for hosts in [9, 60] {
        let mut world = ready(hosts, 2);
        for at in (0..hosts).step_by(3) {
            world.groups[at] = 1;
        }
        world.publish(1, 5, 1, 5);
        world.result_of(5).unwrap();
        let took = world.run_until(MINUTE, |world| world.all_have(2));
        println!("{hosts} hosts, a region cut off: {}", millis(took));
        assert!(took.is_some_and(|took| took < Duration::from_secs(7)));
    }
}

#[test]
fn racing_operators_get_one_winner_and_a_clear_conflict() {
    let mut world = ready(9, 3);
    for (at, id) in [(1, 11), (2, 12), (3, 13)] {
        world.publish(at, id, 1, u32::try_from(id).unwrap());
    }
    let results: Vec<_> = [11, 12, 13].map(|id| world.result_of(id)).into();
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1);
    let lost = results
        .iter()
        .find_map(|result| result.as_ref().err())
        .unwrap();
    insta::assert_snapshot!(lost.to_string());
}

#[test]
fn same_publication_again_is_the_same_version() {
    let mut world = ready(9, 4);
    world.publish(1, 7, 1, 7);
    let first = world.result_of(7).unwrap();
    world.publish(2, 8, 2, 8);
    world.result_of(8).unwrap();
    for at in [1, 5] {
        world.publish(at, 7, 1, 7);
        assert_eq!(world.result_of(7).unwrap(), first);
    }
    assert!(!world.all_have(4));
}

#[test]
fn lost_answer_is_resolved_by_reading_back() {
    let mut world = ready(9, 5);
    for id in 20..30 {
        world.store.lost_replies = 1;
        let base = u64::try_from(id - 20).unwrap() + 1;
        world.publish(1, id, base, u32::try_from(id).unwrap());
        assert_eq!(world.result_of(id).unwrap().version.0, base + 1);
    }
}

#[test]
fn late_effect_publishes_once() {
    let mut world = ready(9, 6);
    // Each try takes effect late; the first to do so wins and the others must not.
    world.store.delayed_writes = 4;
    world.publish(1, 30, 1, 30);
    assert_eq!(world.result_of(30), Err(InstallError::Unknown));
    world.run(Duration::from_secs(20));
    assert!(world.all_have(2) && !world.all_have(3));
    world.publish(1, 30, 1, 30);
    assert_eq!(world.result_of(30).unwrap().version.0, 2);

    // Another operator publishes before the late write arrives: it must not take effect.
    world.store.delayed_writes = 1;
    world.publish(1, 31, 2, 31);
    world.run(Duration::from_millis(20));
    assert_eq!(world.store.delayed_writes, 0);
    world.publish(2, 32, 2, 32);
    assert_eq!(world.result_of(32).unwrap().version.0, 3);
    let base = ConfigVersion(2);
    let published = ConfigVersion(3);
    assert_eq!(
        world.result_of(31),
        Err(InstallError::Conflict { base, published })
    );
    world.run(Duration::from_secs(20));
    assert!(world.all_have(3) && !world.all_have(4));
}

#[test]
fn store_outage_says_that_nothing_was_published() {
    let mut world = ready(9, 7);
    world.store.down = true;
    world.publish(1, 40, 1, 40);
    assert!(matches!(
        world.result_of(40),
        Err(InstallError::Refused { .. })
    ));
    world.store.down = false;
    world.run(MINUTE);
    assert!(!world.all_have(2));
}

#[test]
fn restarted_hosts_start_from_the_store_or_from_peers() {
    let mut world = ready(9, 8);
    world.store.down = true;
    for at in [3, 0, 7] {
        world.stop(at);
        world.run(Duration::from_secs(1));
        world.start(at);
        let took = world.run_until(MINUTE, |world| world.all_have(1));
        println!("fresh host from peers: {}", millis(took));
        assert!(took.is_some_and(|took| took < Duration::from_secs(7)));
    }
    for at in 0..9 {
        world.stop(at);
    }
    for at in 0..9 {
        world.start(at);
    }
    world.run(MINUTE);
    let none = |world: &World| {
        world
            .hosts
            .iter()
            .flatten()
            .all(|h| h.install.in_force().is_none())
    };
    assert!(none(&world), "no host can know a version");
    world.store.down = false;
    let took = world.run_until(MINUTE, |world| world.all_have(1));
    println!(
        "fresh fleet from the store after its outage: {}",
        millis(took)
    );
    assert!(took.is_some());
}

#[test]
fn fresh_host_reads_a_short_chain() {
    let mut world = World::new(1, 9);
    for version in 0..150 {
        let mut order = order(u128::from(version) + 1, version, 1);
        order.set = set_with(u32::try_from(version).unwrap() + 1, 600);
        world.install(0, InstallInput::Publish(order));
        world.result_of(u128::from(version) + 1).unwrap();
    }
    world.stop(0);
    let reads = world.store.reads;
    world.start(0);
    assert!(
        world
            .run_until(MINUTE, |world| world.all_have(150))
            .is_some()
    );
    let reads = world.store.reads - reads;
    println!("fresh host at version 150: {reads} reads");
    assert!(reads <= 5);

    let rollback = RollbackCommand {
        publish_id: PublishId(999),
        base: ConfigVersion(150),
        to: ConfigVersion(100),
        operator: "operator".to_owned(),
        published_at: WallTime(0),
    };
    world.install(0, InstallInput::Rollback(rollback));
    assert_eq!(world.result_of(999).unwrap().changed, 1);
    let ticket = InstallTicket(77);
    world.install(0, InstallInput::ReadHistory { ticket, limit: 3 });
    let version = ConfigVersion(100);
    world.install(0, InstallInput::ReadVersion { ticket, version });
    world.run(Duration::from_secs(1));
    let mut lines = String::new();
    for output in world.outputs.drain(..) {
        match output {
            InstallOutput::History { result, .. } => {
                for entry in result.unwrap() {
                    writeln!(
                        lines,
                        "{} {} {:?}",
                        entry.version, entry.operator, entry.changes
                    )
                    .unwrap();
                }
            }
            InstallOutput::Version { result, .. } => {
                let set = result.unwrap();
                writeln!(lines, "{}: {} slots", set.version, set.set.pools[0].slots).unwrap();
            }
            _ => {}
        }
    }
    insta::assert_snapshot!(lines);
}

#[test]
fn large_change_is_split_over_rows() {
    let mut world = World::new(3, 10);
    let large = PublishCommand {
        set: set_with(1, 4800),
        ..order(1, 0, 1)
    };
    world.install(0, InstallInput::Publish(large));
    world.result_of(1).unwrap();
    assert!(world.run_until(MINUTE, |world| world.all_have(1)).is_some());
    let longest = world
        .store
        .rows
        .values()
        .map(|row| row.value.to_string().len())
        .max();
    assert!(
        longest.is_some_and(|longest| longest < 100 * 1024),
        "{longest:?}"
    );
    for at in 0..3 {
        world.stop(at);
    }
    world.start(2);
    assert!(world.run_until(MINUTE, |world| world.all_have(1)).is_some());
}

#[test]
fn bad_rows_never_replace_what_is_in_force() {
    let mut world = ready(3, 11);
    for at in [1, 2] {
        world.stop(at);
    }
    world.publish(0, 50, 1, 50);
    world.result_of(50).unwrap();
    let key = (TableName::ConfigChange, format!("{:020}", 2));
    let good = world.store.rows.get(&key).unwrap().clone();
    let mut spoilt = Vec::new();
    let mut missing = good.clone();
    missing.value = serde_json::json!({"other": true});
    spoilt.push(missing);
    let mut changed = good.clone();
    changed.value["diff"]["put"][0]["object"]["slots"] = 51.into();
    spoilt.push(changed);
    let mut faulty = good.clone();
    faulty.value["diff"]["put"][0]["object"]["slots"] = 0.into();
    spoilt.push(faulty);
    let mut elsewhere = good.clone();
    elsewhere.value["base"] = 7.into();
    spoilt.push(elsewhere);
    for row in spoilt {
        world.store.rows.insert(key.clone(), row);
        world.stop(0);
        world.start(1);
        world.run(Duration::from_secs(10));
        let host = world.hosts[1].as_ref().unwrap();
        assert!(host.install.in_force().is_none() && host.rejected > 0);
        world.stop(1);
    }
    world.store.rows.insert(key, good);
    world.start(1);
    assert!(world.run_until(MINUTE, |world| world.all_have(2)).is_some());
}

#[test]
fn faulty_set_is_not_published() {
    let mut world = ready(3, 12);
    let faulty = PublishCommand {
        set: set_with(0, 0),
        ..order(60, 1, 1)
    };
    world.install(0, InstallInput::Publish(faulty));
    assert!(matches!(world.result_of(60), Err(InstallError::Faulty(_))));
    let same = order(61, 1, 1);
    world.install(0, InstallInput::Publish(same));
    assert_eq!(
        world.result_of(61),
        Err(InstallError::Unchanged(ConfigVersion(1)))
    );
}
