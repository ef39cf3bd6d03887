//! Removal of old claims, in virtual time.

mod world;

use std::time::Duration;

use hollywheel_claims::ClaimState;
use hollywheel_retention::{RetentionInput, RetentionMachine, RetentionSettings, is_duty_of};
use hollywheel_store::{RowOutcome, StoreOp, StoreRequest, TableName};
use hollywheel_types::{ExecutionVerdict, HostId, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use world::{Fault, HOUR, START, World, claim, fill, settings};

fn no_fault(_: MonoTime, _: &StoreRequest) -> Fault {
    Fault::None
}

#[test]
fn only_old_and_decided_claims_are_removed() {
    let mut world = World::new(&[settings("one")]);
    let stay = fill(&mut world.store, 500);
    world.run(Duration::from_secs(60), &mut no_fault);
    assert_eq!(world.passes, 1);
    assert_eq!(world.removed, 1000);
    assert_eq!(world.store.keys(TableName::Claim), stay);
}

#[test]
fn a_sweep_without_the_time_or_without_hosts_calls_nothing() {
    let mut machine = RetentionMachine::new(settings("one"));
    let tick = RetentionInput::Tick(hollywheel_types::WallTime(START));
    assert_eq!(machine.handle(MonoTime(1), tick), []);
    assert_eq!(machine.next_wake(), None);
    let hosts = RetentionInput::Hosts(vec!["two".parse().unwrap()]);
    assert_eq!(machine.handle(MonoTime(2), hosts), []);
    assert!(!machine.is_on_duty());
}

#[test]
fn a_host_that_has_just_become_the_sweeper_waits() {
    let mut world = World::new(&[RetentionSettings {
        start_delay: Duration::from_secs(60),
        ..settings("one")
    }]);
    world.run(Duration::from_secs(59), &mut no_fault);
    assert_eq!(world.seen, []);
    world.run(Duration::from_secs(2), &mut no_fault);
    assert!(!world.seen.is_empty());
    // Another host takes over, and this one stops at once.
    let other = (0..).map(|n| format!("h-{n}").parse::<HostId>().unwrap());
    let one: HostId = "one".parse().unwrap();
    let other = other.skip_while(|other| is_duty_of(&one, &[one.clone(), other.clone()]));
    let hosts = vec![one.clone(), other.take(1).next().unwrap()];
    world.machines[0].handle(world.now, RetentionInput::Hosts(hosts));
    assert_eq!(world.machines[0].next_wake(), None);
}

#[test]
fn one_host_sweeps_and_another_follows_it() {
    let mut hosts: Vec<HostId> = (0..390)
        .map(|n| format!("h-{n}").parse().unwrap())
        .collect();
    while !hosts.is_empty() {
        let on_duty: Vec<usize> = (0..hosts.len())
            .filter(|at| is_duty_of(&hosts[*at], &hosts))
            .collect();
        assert_eq!(on_duty.len(), 1);
        hosts.remove(on_duty[0]);
    }
}

#[test]
fn an_outage_in_the_middle_only_delays() {
    let mut world = World::new(&[settings("one")]);
    let stay = fill(&mut world.store, 2000);
    world.run(Duration::from_secs(8), &mut no_fault);
    assert!(world.removed > 0 && world.passes == 0);
    let before = world.reads + world.writes;
    world.run(Duration::from_secs(60), &mut |_, _| Fault::Refused);
    let calls = world.reads + world.writes - before;
    assert!(
        (8..=14).contains(&calls),
        "{calls} calls in an outage of a minute"
    );
    world.run(Duration::from_secs(120), &mut no_fault);
    assert_eq!(world.passes, 1);
    assert_eq!(world.store.keys(TableName::Claim), stay);
}

#[test]
fn lost_and_late_answers_remove_nothing_else() {
    for seed in 0..12 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut world = World::new(&[settings("one"), settings("two")]);
        let stay = fill(&mut world.store, 300);
        let mut faults = |now: MonoTime, _: &StoreRequest| {
            if now > MonoTime::from_millis(400_000) {
                return Fault::None;
            }
            match random.random_range(0..10) {
                0 => Fault::Lost,
                1 => Fault::AnswerLost,
                2 => Fault::Late,
                3 => Fault::Refused,
                _ => Fault::None,
            }
        };
        world.run(Duration::from_secs(1300), &mut faults);
        assert!(world.passes >= 2, "seed {seed}");
        assert_eq!(world.store.keys(TableName::Claim), stay, "seed {seed}");
    }
}

#[test]
fn two_sweeps_at_once_remove_each_row_once() {
    let mut world = World::new(&[settings("one"), settings("two")]);
    let stay = fill(&mut world.store, 500);
    world.run(Duration::from_secs(60), &mut no_fault);
    assert_eq!(world.removed, 1000);
    assert_eq!(world.store.keys(TableName::Claim), stay);
}

fn is_delete_of(request: &StoreRequest, key: &str) -> bool {
    let StoreRequest::Txn { ops, .. } = request else {
        return false;
    };
    ops.iter()
        .any(|op| matches!(op, StoreOp::Delete { key: k, .. } if k == key))
}

/// Runs until the claims were read once, but nothing was removed.
fn read_once(world: &mut World) {
    while !world
        .seen
        .iter()
        .any(|request| matches!(request, StoreRequest::Scan { .. }))
    {
        world.step(&mut no_fault);
    }
    world.step(&mut no_fault);
    world.step(&mut no_fault);
}

#[test]
fn a_row_that_changes_between_read_and_delete_stays() {
    let mut world = World::new(&[settings("one")]);
    let old = START - 169 * HOUR;
    let key = "w/k";
    let released = claim(ClaimState::Released, ExecutionVerdict::NotRun, old);
    world.store.put(TableName::Claim, key, released);
    let read = world.store.row(TableName::Claim, key).unwrap();
    read_once(&mut world);
    // The caller asks again exactly now: the released row is taken over by its revision.
    let taken = claim(ClaimState::Open, ExecutionVerdict::MayHaveRun, START);
    let outcome = world.store.apply(&StoreOp::Put {
        table: TableName::Claim,
        key: key.to_owned(),
        value: taken.clone(),
        if_revision: Some(read.revision),
    });
    assert!(matches!(outcome, RowOutcome::Applied { .. }));
    world.run(Duration::from_secs(30), &mut no_fault);
    assert!(world.seen.iter().any(|request| is_delete_of(request, key)));
    assert_eq!(world.removed, 0);
    assert_eq!(world.store.row(TableName::Claim, key).unwrap().value, taken);
}

#[test]
fn a_claim_that_comes_after_the_delete_finds_no_row() {
    let mut world = World::new(&[settings("one")]);
    let old = START - 169 * HOUR;
    let key = "w/k";
    let released = claim(ClaimState::Released, ExecutionVerdict::NotRun, old);
    world.store.put(TableName::Claim, key, released);
    let read = world.store.row(TableName::Claim, key).unwrap();
    world.run(Duration::from_secs(30), &mut no_fault);
    assert_eq!(world.removed, 1);
    let value = claim(ClaimState::Open, ExecutionVerdict::MayHaveRun, START);
    let takeover = StoreOp::Put {
        table: TableName::Claim,
        key: key.to_owned(),
        value: value.clone(),
        if_revision: Some(read.revision),
    };
    let outcome = world.store.apply(&takeover);
    assert_eq!(outcome, RowOutcome::Conflict { current: None });
    let insert = StoreOp::Insert {
        table: TableName::Claim,
        key: key.to_owned(),
        value,
    };
    let outcome = world.store.apply(&insert);
    assert!(matches!(outcome, RowOutcome::Applied { .. }));
}

#[test]
fn the_next_host_goes_on_where_the_last_one_was() {
    let small = RetentionSettings {
        page_rows: 10,
        ..settings("one")
    };
    let mut world = World::new(std::slice::from_ref(&small));
    fill(&mut world.store, 200);
    world.run(Duration::from_secs(60), &mut no_fault);
    assert_eq!(world.passes, 0);
    let cursor = world.store.row(TableName::Lease, "retention/claims");
    let cursor = cursor.unwrap().value["after"].as_str().unwrap().to_owned();
    let store = std::mem::take(&mut world.store);
    let mut world = World::new(&[settings("two")]);
    world.store = store;
    world.run(Duration::from_secs(5), &mut no_fault);
    let first = world.seen.iter().find_map(|request| match request {
        StoreRequest::Scan {
            table: TableName::Claim,
            after,
            ..
        } => Some(after.clone()),
        _ => None,
    });
    assert_eq!(first, Some(cursor));
}

/// Claims a second: a quarter of 660 requests a second.
const CLAIMS: u64 = 165;
/// The time that claims are kept here, in seconds; 168 h is 2,016 times as long.
const KEEP: u64 = 300;

#[test]
fn the_sweep_keeps_up_with_the_claims() {
    let scaled = RetentionSettings {
        claim_retention: Duration::from_secs(KEEP),
        pass_interval: Duration::from_millis(300),
        ..settings("one")
    };
    let mut world = World::new(&[scaled]);
    let mut random = StdRng::seed_from_u64(7);
    let (mut largest, mut marks) = (0, Vec::new());
    for second in 0..1500 {
        for _ in 0..CLAIMS {
            let draw: u64 = random.random_range(0..u64::MAX);
            let key = format!("w-{:04}/{draw:016x}", draw % 4800);
            let at = world.wall().0;
            let value = claim(ClaimState::Settled, ExecutionVerdict::Ran, at);
            world.store.put(TableName::Claim, &key, value);
        }
        world.run(Duration::from_secs(1), &mut no_fault);
        largest = largest.max(world.store.len());
        if second % 300 == 299 {
            let rows = world.store.len();
            marks.push((rows, world.reads, world.writes, world.removed));
        }
    }
    println!("rows, reads, writes, removed every 300 s: {marks:?}; largest {largest}");
    let (end, middle) = (marks[4], marks[2]);
    let rate = |a: u64, b: u64| (a - b) as f64 / 600.0;
    let removed = rate(end.3, middle.3);
    println!(
        "reads/s {:.2} writes/s {:.2} removed/s {removed:.1}",
        rate(end.1, middle.1),
        rate(end.2, middle.2)
    );
    assert!((150.0..180.0).contains(&removed), "{removed}");
    assert!(rate(end.1 + end.2, middle.1 + middle.2) <= 2.5);
    assert!(largest as u64 <= CLAIMS * KEEP * 3 / 2, "{largest}");
}
