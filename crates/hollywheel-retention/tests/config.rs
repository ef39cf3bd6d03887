//! Removal of old configuration rows, and what hosts read afterwards.

mod world;

use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::{
    InstallInput, InstallMachine, InstallOutput, InstallSettings, InstallTicket, ObjectSet,
    PublishCommand, PublishedSet, read_toml, retain,
};
use hollywheel_store::{StoreOp, StoreRequest, TableName};
use hollywheel_types::{ConfigVersion, MonoTime, PublishId, WallTime};
use world::{Fault, Store, World, settings};

fn no_fault(_: MonoTime, _: &StoreRequest) -> Fault {
    Fault::None
}

fn set_of(version: u64) -> ObjectSet {
    let hash = "a".repeat(64);
    let text =
        format!("format = 1\n[[workspace]]\nname = \"w-{version}\"\nkey_hashes = [\"{hash}\"]\n");
    read_toml("objects", &text).unwrap()
}

/// Hands an input to a machine and answers its calls until it makes none.
fn pump(
    machine: &mut InstallMachine,
    store: &mut Store,
    input: InstallInput,
) -> Vec<InstallOutput> {
    let (mut inputs, mut told) = (vec![input], Vec::new());
    while let Some(input) = inputs.pop() {
        for output in machine.handle(MonoTime(1), input) {
            match output {
                InstallOutput::Store { ticket, request } => {
                    let result = Ok(store.call(&request));
                    inputs.push(InstallInput::Store { ticket, result });
                }
                other => told.push(other),
            }
        }
    }
    told
}

fn publish(machine: &mut InstallMachine, store: &mut Store, versions: std::ops::Range<u64>) {
    for base in versions {
        let order = PublishCommand {
            publish_id: PublishId(u128::from(base) + 1),
            base: ConfigVersion(base),
            operator: "aigul".to_owned(),
            set: set_of(base + 1),
            published_at: WallTime(1),
        };
        pump(machine, store, InstallInput::Publish(order));
        assert_eq!(machine.version(), ConfigVersion(base + 1));
    }
}

fn read(
    machine: &mut InstallMachine,
    store: &mut Store,
    version: u64,
) -> Option<Arc<PublishedSet>> {
    let input = InstallInput::ReadVersion {
        ticket: InstallTicket(9),
        version: ConfigVersion(version),
    };
    let told = pump(machine, store, input);
    told.into_iter().find_map(|output| match output {
        InstallOutput::Version { result, .. } => Some(result.ok()),
        _ => None,
    })?
}

fn machine() -> InstallMachine {
    InstallMachine::new(InstallSettings::default())
}

#[test]
fn the_newest_versions_stay_readable_and_older_ones_are_gone() {
    let mut world = World::new(&[settings("one")]);
    let mut publisher = machine();
    publish(&mut publisher, &mut world.store, 0..10);
    let mut behind = machine();
    pump(&mut behind, &mut world.store, InstallInput::Tick);
    assert_eq!(behind.version(), ConfigVersion(10));
    publish(&mut publisher, &mut world.store, 10..700);
    world.run(Duration::from_secs(60), &mut no_fault);
    // 700 - 256 = 444, and the whole set before it is that of version 384.
    let keys = world.store.keys(TableName::ConfigChange);
    let oldest = keys.iter().filter_map(|key| retain::version_of(key)).min();
    assert_eq!(oldest, Some(ConfigVersion(384)));
    assert_eq!(keys.iter().filter(|key| !key.contains('/')).count(), 317);
    for version in [384, 385, 444, 512, 699, 700] {
        let found = read(&mut publisher, &mut world.store, version).unwrap();
        assert_eq!(found.set, set_of(version), "version {version}");
    }
    for version in [1, 64, 320, 383] {
        assert_eq!(read(&mut publisher, &mut world.store, version), None);
    }
    let mut fresh = machine();
    pump(&mut fresh, &mut world.store, InstallInput::Tick);
    assert_eq!(fresh.in_force().unwrap().set, set_of(700));
    // Its chain is gone, so it starts from a whole set.
    while behind.version() < ConfigVersion(700) {
        behind.poll_now(&mut world.store);
    }
    assert_eq!(behind.in_force().unwrap().set, set_of(700));
    publish(&mut publisher, &mut world.store, 700..703);
}

trait PollNow {
    fn poll_now(&mut self, store: &mut Store);
}

impl PollNow for InstallMachine {
    fn poll_now(&mut self, store: &mut Store) {
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
fn few_versions_all_stay() {
    let mut world = World::new(&[settings("one")]);
    publish(&mut machine(), &mut world.store, 0..319);
    let before = world.store.keys(TableName::ConfigChange);
    world.run(Duration::from_secs(60), &mut no_fault);
    assert_eq!(world.store.keys(TableName::ConfigChange), before);
}

#[test]
fn rows_stay_while_the_whole_set_after_them_is_not_complete() {
    let mut world = World::new(&[settings("one")]);
    publish(&mut machine(), &mut world.store, 0..400);
    let part = format!("snapshot/{:020}/0000", 128);
    let op = StoreOp::Delete {
        table: TableName::ConfigChange,
        key: part,
        if_revision: None,
    };
    world.store.apply(&op);
    let before = world.store.keys(TableName::ConfigChange);
    world.run(Duration::from_secs(60), &mut no_fault);
    assert_eq!(world.kept, 1);
    assert_eq!(world.store.keys(TableName::ConfigChange), before);
}

#[test]
fn a_read_between_two_deletes_ends_in_an_error_and_never_in_a_wrong_set() {
    let mut world = World::new(&[settings("one")]);
    let mut publisher = machine();
    publish(&mut publisher, &mut world.store, 0..700);
    let mut ends = 0;
    while world.passes == 0 {
        world.step(&mut no_fault);
        for version in [1, 63, 130, 383] {
            match read(&mut publisher, &mut world.store, version) {
                Some(found) => assert_eq!(found.set, set_of(version)),
                None => ends += 1,
            }
        }
        let mut fresh = machine();
        pump(&mut fresh, &mut world.store, InstallInput::Tick);
        assert_eq!(fresh.in_force().unwrap().set, set_of(700));
    }
    assert!(ends > 0);
}
