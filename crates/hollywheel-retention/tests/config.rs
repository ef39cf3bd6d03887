//! Tests of the removal of old configuration rows, and of what hosts can read afterwards.

mod simulation;

use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::{
    InstallInput, InstallMachine, InstallOutput, InstallSettings, InstallTicket, ObjectSet,
    PublishCommand, PublishedSet, read_toml, retain,
};
use hollywheel_store::{StoreOp, StoreRequest, TableName};
use hollywheel_types::{ConfigVersion, MonoTime, PublishId, WallTime};
use simulation::{FakeTableService, Fault, Simulation, settings};

fn no_fault(_: MonoTime, _: &StoreRequest) -> Fault {
    Fault::None
}

fn set_of(version: u64) -> ObjectSet {
    let hash = "a".repeat(64);
    let text =
        format!("format = 1\n[[workspace]]\nname = \"w-{version}\"\nkey_hashes = [\"{hash}\"]\n");
    read_toml("objects", &text).unwrap()
}

/// Passes an input to a state machine, answers its calls until it makes none, and returns its
/// other outputs.
fn run_to_completion(
    machine: &mut InstallMachine,
    store: &mut FakeTableService,
    input: InstallInput,
) -> Vec<InstallOutput> {
    let (mut inputs, mut outputs) = (vec![input], Vec::new());
    while let Some(input) = inputs.pop() {
        for output in machine.handle(MonoTime(1), input) {
            match output {
                InstallOutput::Store { ticket, request } => {
                    let result = Ok(store.call(&request));
                    inputs.push(InstallInput::Store { ticket, result });
                }
                other => outputs.push(other),
            }
        }
    }
    outputs
}

fn publish(
    machine: &mut InstallMachine,
    store: &mut FakeTableService,
    versions: std::ops::Range<u64>,
) {
    for base in versions {
        let order = PublishCommand {
            publish_id: PublishId(u128::from(base) + 1),
            base: ConfigVersion(base),
            operator: "aigul".to_owned(),
            set: set_of(base + 1),
            published_at: WallTime(1),
        };
        run_to_completion(machine, store, InstallInput::Publish(order));
        assert_eq!(machine.version(), ConfigVersion(base + 1));
    }
}

fn read(
    machine: &mut InstallMachine,
    store: &mut FakeTableService,
    version: u64,
) -> Option<Arc<PublishedSet>> {
    let input = InstallInput::ReadVersion {
        ticket: InstallTicket(9),
        version: ConfigVersion(version),
    };
    let outputs = run_to_completion(machine, store, input);
    outputs.into_iter().find_map(|output| match output {
        InstallOutput::Version { result, .. } => Some(result.ok()),
        _ => None,
    })?
}

fn machine() -> InstallMachine {
    InstallMachine::new(InstallSettings::default())
}

#[test]
fn newest_versions_stay_readable_and_older_rows_are_removed() {
    let mut simulation = Simulation::new(&[settings("one")]);
    let mut publisher = machine();
    publish(&mut publisher, &mut simulation.store, 0..10);
    let mut lagging = machine();
    run_to_completion(&mut lagging, &mut simulation.store, InstallInput::Tick);
    assert_eq!(lagging.version(), ConfigVersion(10));
    publish(&mut publisher, &mut simulation.store, 10..700);
    simulation.run(Duration::from_secs(60), &mut no_fault);
    // Of 700 versions the newest 256 stay readable, from 444 on; the snapshot before that is the
    // one of version 384.
    let keys = simulation.store.keys(TableName::ConfigChange);
    let oldest = keys.iter().filter_map(|key| retain::version_of(key)).min();
    assert_eq!(oldest, Some(ConfigVersion(384)));
    assert_eq!(keys.iter().filter(|key| !key.contains('/')).count(), 317);
    for version in [384, 385, 444, 512, 699, 700] {
        let found = read(&mut publisher, &mut simulation.store, version).unwrap();
        assert_eq!(found.set, set_of(version), "version {version}");
    }
    for version in [1, 64, 320, 383] {
        assert_eq!(read(&mut publisher, &mut simulation.store, version), None);
    }
    let mut new_host = machine();
    run_to_completion(&mut new_host, &mut simulation.store, InstallInput::Tick);
    assert_eq!(new_host.in_force().unwrap().set, set_of(700));
    // The changes that follow its version are gone, so it must start from a snapshot.
    while lagging.version() < ConfigVersion(700) {
        lagging.poll_at_next_wake(&mut simulation.store);
    }
    assert_eq!(lagging.in_force().unwrap().set, set_of(700));
    publish(&mut publisher, &mut simulation.store, 700..703);
}

trait PollAtNextWake {
    fn poll_at_next_wake(&mut self, store: &mut FakeTableService);
}

impl PollAtNextWake for InstallMachine {
    fn poll_at_next_wake(&mut self, store: &mut FakeTableService) {
        let wake = self.next_wake().unwrap();
        let mut inputs = vec![InstallInput::Tick];
        while let Some(input) = inputs.pop() {
            for output in self.handle(wake, input) {
                match output {
                    InstallOutput::Store { ticket, request } => {
                        let result = Ok(store.call(&request));
                        inputs.push(InstallInput::Store { ticket, result });
                    }
                    InstallOutput::Rejected(fault) => panic!("{fault}"),
                    _ => {}
                }
            }
        }
    }
}

#[test]
fn no_rows_are_removed_while_there_are_few_versions() {
    let mut simulation = Simulation::new(&[settings("one")]);
    publish(&mut machine(), &mut simulation.store, 0..319);
    let before = simulation.store.keys(TableName::ConfigChange);
    simulation.run(Duration::from_secs(60), &mut no_fault);
    assert_eq!(simulation.store.keys(TableName::ConfigChange), before);
}

#[test]
fn rows_are_kept_while_the_snapshot_after_them_is_incomplete() {
    let mut simulation = Simulation::new(&[settings("one")]);
    publish(&mut machine(), &mut simulation.store, 0..400);
    let part = format!("snapshot/{:020}/0000", 128);
    let op = StoreOp::Delete {
        table: TableName::ConfigChange,
        key: part,
        if_revision: None,
    };
    simulation.store.apply(&op);
    let before = simulation.store.keys(TableName::ConfigChange);
    simulation.run(Duration::from_secs(60), &mut no_fault);
    assert_eq!(simulation.config_kept, 1);
    assert_eq!(simulation.store.keys(TableName::ConfigChange), before);
}

#[test]
fn a_read_during_removal_fails_rather_than_returning_a_wrong_set() {
    let mut simulation = Simulation::new(&[settings("one")]);
    let mut publisher = machine();
    publish(&mut publisher, &mut simulation.store, 0..700);
    let mut missing = 0;
    while simulation.passes == 0 {
        simulation.step(&mut no_fault);
        for version in [1, 63, 130, 383] {
            match read(&mut publisher, &mut simulation.store, version) {
                Some(found) => assert_eq!(found.set, set_of(version)),
                None => missing += 1,
            }
        }
        let mut new_host = machine();
        run_to_completion(&mut new_host, &mut simulation.store, InstallInput::Tick);
        assert_eq!(new_host.in_force().unwrap().set, set_of(700));
    }
    assert!(missing > 0);
}
