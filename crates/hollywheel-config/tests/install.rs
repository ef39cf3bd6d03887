//! Tests of the publication and installation of versions, on a simulated fleet in virtual time.

mod simulation;

use std::fmt::Write;
use std::time::Duration;

use hollywheel_config::{
    InstallError, InstallInput, InstallOutput, InstallTicket, PublishCommand, RollbackCommand,
};
use hollywheel_store::TableName;
use hollywheel_types::{ConfigVersion, PublishId, WallTime};
use simulation::{SimulatedFleet, publish_command, set_with};

const MINUTE: Duration = Duration::from_secs(60);

fn format_millis(elapsed: Option<Duration>) -> String {
    elapsed.map_or_else(
        || "not reached".to_owned(),
        |elapsed| format!("{} ms", elapsed.as_millis()),
    )
}

/// Returns a fleet whose hosts know one another and have version 1 in force.
fn fleet_with_version_1(hosts: usize, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(hosts, seed);
    fleet.run(Duration::from_secs(30));
    fleet.publish(0, 1, 0, 1);
    assert_eq!(fleet.wait_for_result(1).unwrap().version.0, 1);
    assert!(
        fleet
            .run_until(MINUTE, |fleet| fleet.all_reached(1))
            .is_some()
    );
    fleet.run(MINUTE);
    fleet
}

#[test]
fn every_host_installs_a_version_within_seven_seconds() {
    let mut lines = String::new();
    for hosts in [9, 390] {
        let mut fleet = fleet_with_version_1(hosts, 1);
        let mut version = 1;
        let mut publish = |fleet: &mut SimulatedFleet, lines: &mut String, scenario: &str| {
            fleet.publish(
                1,
                u128::from(version) + 100,
                version,
                10 + u32::try_from(version).unwrap(),
            );
            fleet.wait_for_result(u128::from(version) + 100).unwrap();
            version += 1;
            if scenario.contains("down") {
                fleet.store.down = true;
            }
            if scenario.contains("publisher") {
                fleet.stop(1);
            }
            let elapsed = fleet.run_until(MINUTE, |fleet| fleet.all_reached(version));
            writeln!(
                lines,
                "{hosts} hosts, {scenario}: {}",
                format_millis(elapsed)
            )
            .unwrap();
            let in_time = elapsed.is_some_and(|elapsed| elapsed < Duration::from_secs(7));
            assert!(in_time, "{lines}");
            fleet.store.down = false;
            if scenario.contains("publisher") {
                fleet.start(1);
                fleet.run(Duration::from_secs(20));
            }
            fleet.run(Duration::from_secs(5));
        };
        publish(&mut fleet, &mut lines, "store healthy");
        fleet.store.latency = Duration::from_secs(2);
        publish(&mut fleet, &mut lines, "store answers after 2 s");
        fleet.store.latency = Duration::from_millis(5);
        publish(&mut fleet, &mut lines, "store down after the publication");
        publish(&mut fleet, &mut lines, "publisher stops at once");
        for index in (0..hosts).step_by(3) {
            fleet.stop(index);
        }
        publish(&mut fleet, &mut lines, "a region lost just before");
        for index in (0..hosts).step_by(3) {
            fleet.start(index);
        }
        let elapsed = fleet.run_until(MINUTE, |fleet| fleet.all_reached(6));
        writeln!(
            lines,
            "{hosts} hosts, region back: {}",
            format_millis(elapsed)
        )
        .unwrap();
        let (reads_before, start) = (fleet.store.reads, fleet.now);
        fleet.run(2 * MINUTE);
        let reads = fleet.store.reads - reads_before;
        let rate = reads as f64 / fleet.now.since(start).as_secs_f64();
        writeln!(lines, "{hosts} hosts: {rate:.1} reads/s at rest").unwrap();
    }
    insta::assert_snapshot!(lines);
}

#[test]
fn partitioned_region_installs_versions_from_the_store() {
    for hosts in [9, 60] {
        let mut fleet = fleet_with_version_1(hosts, 2);
        for index in (0..hosts).step_by(3) {
            fleet.partitions[index] = 1;
        }
        fleet.publish(1, 5, 1, 5);
        fleet.wait_for_result(5).unwrap();
        let elapsed = fleet.run_until(MINUTE, |fleet| fleet.all_reached(2));
        println!(
            "{hosts} hosts, partitioned region: {}",
            format_millis(elapsed)
        );
        assert!(elapsed.is_some_and(|elapsed| elapsed < Duration::from_secs(7)));
    }
}

#[test]
fn one_of_several_concurrent_publications_succeeds_and_the_others_conflict() {
    let mut fleet = fleet_with_version_1(9, 3);
    for (index, id) in [(1, 11), (2, 12), (3, 13)] {
        fleet.publish(index, id, 1, u32::try_from(id).unwrap());
    }
    let results: Vec<_> = [11, 12, 13].map(|id| fleet.wait_for_result(id)).into();
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1);
    let conflict = results
        .iter()
        .find_map(|result| result.as_ref().err())
        .unwrap();
    insta::assert_snapshot!(conflict.to_string());
}

#[test]
fn repeated_publication_returns_the_same_version() {
    let mut fleet = fleet_with_version_1(9, 4);
    fleet.publish(1, 7, 1, 7);
    let first = fleet.wait_for_result(7).unwrap();
    fleet.publish(2, 8, 2, 8);
    fleet.wait_for_result(8).unwrap();
    for index in [1, 5] {
        fleet.publish(index, 7, 1, 7);
        assert_eq!(fleet.wait_for_result(7).unwrap(), first);
    }
    assert!(!fleet.all_reached(4));
}

#[test]
fn lost_reply_is_resolved_by_reading_back() {
    let mut fleet = fleet_with_version_1(9, 5);
    for id in 20..30 {
        fleet.store.lost_replies = 1;
        let base = u64::try_from(id - 20).unwrap() + 1;
        fleet.publish(1, id, base, u32::try_from(id).unwrap());
        assert_eq!(fleet.wait_for_result(id).unwrap().version.0, base + 1);
    }
}

#[test]
fn delayed_write_publishes_at_most_once() {
    let mut fleet = fleet_with_version_1(9, 6);
    // Every attempt takes effect late. Only the first to do so may succeed.
    fleet.store.delayed_writes = 4;
    fleet.publish(1, 30, 1, 30);
    assert_eq!(fleet.wait_for_result(30), Err(InstallError::Unknown));
    fleet.run(Duration::from_secs(20));
    assert!(fleet.all_reached(2) && !fleet.all_reached(3));
    fleet.publish(1, 30, 1, 30);
    assert_eq!(fleet.wait_for_result(30).unwrap().version.0, 2);

    // Another operator publishes before the delayed write arrives, which must then have no effect.
    fleet.store.delayed_writes = 1;
    fleet.publish(1, 31, 2, 31);
    fleet.run(Duration::from_millis(20));
    assert_eq!(fleet.store.delayed_writes, 0);
    fleet.publish(2, 32, 2, 32);
    assert_eq!(fleet.wait_for_result(32).unwrap().version.0, 3);
    let base = ConfigVersion(2);
    let published = ConfigVersion(3);
    assert_eq!(
        fleet.wait_for_result(31),
        Err(InstallError::Conflict { base, published })
    );
    fleet.run(Duration::from_secs(20));
    assert!(fleet.all_reached(3) && !fleet.all_reached(4));
}

#[test]
fn publication_during_a_store_outage_is_rejected_without_effect() {
    let mut fleet = fleet_with_version_1(9, 7);
    fleet.store.down = true;
    fleet.publish(1, 40, 1, 40);
    assert!(matches!(
        fleet.wait_for_result(40),
        Err(InstallError::Refused { .. })
    ));
    fleet.store.down = false;
    fleet.run(MINUTE);
    assert!(!fleet.all_reached(2));
}

#[test]
fn restarted_hosts_recover_the_version_from_peers_or_from_the_store() {
    let mut fleet = fleet_with_version_1(9, 8);
    fleet.store.down = true;
    for index in [3, 0, 7] {
        fleet.stop(index);
        fleet.run(Duration::from_secs(1));
        fleet.start(index);
        let elapsed = fleet.run_until(MINUTE, |fleet| fleet.all_reached(1));
        println!("restarted host, from peers: {}", format_millis(elapsed));
        assert!(elapsed.is_some_and(|elapsed| elapsed < Duration::from_secs(7)));
    }
    for index in 0..9 {
        fleet.stop(index);
    }
    for index in 0..9 {
        fleet.start(index);
    }
    fleet.run(MINUTE);
    let no_version_in_force = |fleet: &SimulatedFleet| {
        fleet
            .hosts
            .iter()
            .flatten()
            .all(|host| host.install.in_force().is_none())
    };
    assert!(
        no_version_in_force(&fleet),
        "no host can know a version while the store is down"
    );
    fleet.store.down = false;
    let elapsed = fleet.run_until(MINUTE, |fleet| fleet.all_reached(1));
    println!(
        "restarted fleet, from the store after its outage: {}",
        format_millis(elapsed)
    );
    assert!(elapsed.is_some());
}

#[test]
fn new_host_needs_few_reads_and_older_versions_stay_readable() {
    let mut fleet = SimulatedFleet::new(1, 9);
    for version in 0..150 {
        let mut command = publish_command(u128::from(version) + 1, version, 1);
        command.set = set_with(u32::try_from(version).unwrap() + 1, 600);
        fleet.install(0, InstallInput::Publish(command));
        fleet.wait_for_result(u128::from(version) + 1).unwrap();
    }
    fleet.stop(0);
    let reads_before = fleet.store.reads;
    fleet.start(0);
    assert!(
        fleet
            .run_until(MINUTE, |fleet| fleet.all_reached(150))
            .is_some()
    );
    let reads = fleet.store.reads - reads_before;
    println!("new host at version 150: {reads} reads");
    assert!(reads <= 5);

    let rollback = RollbackCommand {
        publish_id: PublishId(999),
        base: ConfigVersion(150),
        to: ConfigVersion(100),
        operator: "operator".to_owned(),
        published_at: WallTime(0),
    };
    fleet.install(0, InstallInput::Rollback(rollback));
    assert_eq!(fleet.wait_for_result(999).unwrap().changed, 1);
    let ticket = InstallTicket(77);
    fleet.install(0, InstallInput::ReadHistory { ticket, limit: 3 });
    let version = ConfigVersion(100);
    fleet.install(0, InstallInput::ReadVersion { ticket, version });
    fleet.run(Duration::from_secs(1));
    let mut lines = String::new();
    for output in fleet.outputs.drain(..) {
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
fn large_change_is_split_across_rows() {
    let mut fleet = SimulatedFleet::new(3, 10);
    let large = PublishCommand {
        set: set_with(1, 4800),
        ..publish_command(1, 0, 1)
    };
    fleet.install(0, InstallInput::Publish(large));
    fleet.wait_for_result(1).unwrap();
    assert!(
        fleet
            .run_until(MINUTE, |fleet| fleet.all_reached(1))
            .is_some()
    );
    let longest = fleet
        .store
        .rows
        .values()
        .map(|row| row.value.to_string().len())
        .max();
    assert!(
        longest.is_some_and(|longest| longest < 100 * 1024),
        "{longest:?}"
    );
    for index in 0..3 {
        fleet.stop(index);
    }
    fleet.start(2);
    assert!(
        fleet
            .run_until(MINUTE, |fleet| fleet.all_reached(1))
            .is_some()
    );
}

#[test]
fn invalid_rows_are_rejected_and_valid_rows_installed_afterwards() {
    let mut fleet = fleet_with_version_1(3, 11);
    for index in [1, 2] {
        fleet.stop(index);
    }
    fleet.publish(0, 50, 1, 50);
    fleet.wait_for_result(50).unwrap();
    let key = (TableName::ConfigChange, format!("{:020}", 2));
    let valid_row = fleet.store.rows.get(&key).unwrap().clone();
    let mut invalid_rows = Vec::new();
    let mut without_fields = valid_row.clone();
    without_fields.value = serde_json::json!({"other": true});
    invalid_rows.push(without_fields);
    let mut wrong_digest = valid_row.clone();
    wrong_digest.value["diff"]["put"][0]["object"]["slots"] = 51.into();
    invalid_rows.push(wrong_digest);
    let mut faulty = valid_row.clone();
    faulty.value["diff"]["put"][0]["object"]["slots"] = 0.into();
    invalid_rows.push(faulty);
    let mut wrong_base = valid_row.clone();
    wrong_base.value["base"] = 7.into();
    invalid_rows.push(wrong_base);
    for row in invalid_rows {
        fleet.store.rows.insert(key.clone(), row);
        fleet.stop(0);
        fleet.start(1);
        fleet.run(Duration::from_secs(10));
        let host = fleet.hosts[1].as_ref().unwrap();
        assert!(host.install.in_force().is_none() && host.rejected > 0);
        fleet.stop(1);
    }
    fleet.store.rows.insert(key, valid_row);
    fleet.start(1);
    assert!(
        fleet
            .run_until(MINUTE, |fleet| fleet.all_reached(2))
            .is_some()
    );
}

#[test]
fn invalid_or_unchanged_set_is_not_published() {
    let mut fleet = fleet_with_version_1(3, 12);
    let faulty = PublishCommand {
        set: set_with(0, 0),
        ..publish_command(60, 1, 1)
    };
    fleet.install(0, InstallInput::Publish(faulty));
    assert!(matches!(
        fleet.wait_for_result(60),
        Err(InstallError::Faulty(_))
    ));
    let unchanged = publish_command(61, 1, 1);
    fleet.install(0, InstallInput::Publish(unchanged));
    assert_eq!(
        fleet.wait_for_result(61),
        Err(InstallError::Unchanged(ConfigVersion(1)))
    );
}
