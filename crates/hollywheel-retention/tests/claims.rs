//! Tests of the removal of expired claims, in virtual time.

mod simulation;

use std::time::Duration;

use hollywheel_claims::ClaimState;
use hollywheel_retention::{RetentionInput, RetentionMachine, RetentionSettings, is_sweeper};
use hollywheel_store::{RowOutcome, StoreOp, StoreRequest, TableName};
use hollywheel_types::{ExecutionVerdict, HostId, MonoTime};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use simulation::{Fault, HOUR, START, Simulation, claim, fill_claims, settings};

fn no_fault(_: MonoTime, _: &StoreRequest) -> Fault {
    Fault::None
}

#[test]
fn only_expired_decided_claims_are_removed() {
    let mut simulation = Simulation::new(&[settings("one")]);
    let expected_keys = fill_claims(&mut simulation.store, 500);
    simulation.run(Duration::from_secs(60), &mut no_fault);
    assert_eq!(simulation.passes, 1);
    assert_eq!(simulation.removed, 1000);
    assert_eq!(simulation.store.keys(TableName::Claim), expected_keys);
}

#[test]
fn a_host_without_the_time_or_outside_the_host_list_makes_no_calls() {
    let mut machine = RetentionMachine::new(settings("one"));
    let tick = RetentionInput::Tick(hollywheel_types::WallTime(START));
    assert_eq!(machine.handle(MonoTime(1), tick), []);
    assert_eq!(machine.next_wake(), None);
    let hosts = RetentionInput::Hosts(vec!["two".parse().unwrap()]);
    assert_eq!(machine.handle(MonoTime(2), hosts), []);
    assert!(!machine.is_sweeping());
}

#[test]
fn a_new_sweeper_waits_for_the_start_delay() {
    let mut simulation = Simulation::new(&[RetentionSettings {
        start_delay: Duration::from_secs(60),
        ..settings("one")
    }]);
    simulation.run(Duration::from_secs(59), &mut no_fault);
    assert_eq!(simulation.calls, []);
    simulation.run(Duration::from_secs(2), &mut no_fault);
    assert!(!simulation.calls.is_empty());
    // Another host takes over and this one stops at once.
    let other = (0..).map(|n| format!("h-{n}").parse::<HostId>().unwrap());
    let one: HostId = "one".parse().unwrap();
    let other = other.skip_while(|other| is_sweeper(&one, &[one.clone(), other.clone()]));
    let hosts = vec![one.clone(), other.take(1).next().unwrap()];
    simulation.machines[0].handle(simulation.now, RetentionInput::Hosts(hosts));
    assert_eq!(simulation.machines[0].next_wake(), None);
}

#[test]
fn exactly_one_host_sweeps_for_any_set_of_alive_hosts() {
    let mut hosts: Vec<HostId> = (0..390)
        .map(|n| format!("h-{n}").parse().unwrap())
        .collect();
    while !hosts.is_empty() {
        let on_duty: Vec<usize> = (0..hosts.len())
            .filter(|at| is_sweeper(&hosts[*at], &hosts))
            .collect();
        assert_eq!(on_duty.len(), 1);
        hosts.remove(on_duty[0]);
    }
}

#[test]
fn a_store_outage_delays_a_sweep_without_losing_rows() {
    let mut simulation = Simulation::new(&[settings("one")]);
    let expected_keys = fill_claims(&mut simulation.store, 2000);
    simulation.run(Duration::from_secs(8), &mut no_fault);
    assert!(simulation.removed > 0 && simulation.passes == 0);
    let before = simulation.reads + simulation.writes;
    simulation.run(Duration::from_secs(60), &mut |_, _| Fault::Refused);
    let calls = simulation.reads + simulation.writes - before;
    assert!(
        (8..=14).contains(&calls),
        "{calls} calls in an outage of a minute"
    );
    simulation.run(Duration::from_secs(120), &mut no_fault);
    assert_eq!(simulation.passes, 1);
    assert_eq!(simulation.store.keys(TableName::Claim), expected_keys);
}

#[test]
fn lost_and_late_answers_remove_only_expired_claims() {
    for seed in 0..12 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut simulation = Simulation::new(&[settings("one"), settings("two")]);
        let expected_keys = fill_claims(&mut simulation.store, 300);
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
        simulation.run(Duration::from_secs(1300), &mut faults);
        assert!(simulation.passes >= 2, "seed {seed}");
        assert_eq!(
            simulation.store.keys(TableName::Claim),
            expected_keys,
            "seed {seed}"
        );
    }
}

#[test]
fn concurrent_sweeps_remove_each_row_once() {
    let mut simulation = Simulation::new(&[settings("one"), settings("two")]);
    let expected_keys = fill_claims(&mut simulation.store, 500);
    simulation.run(Duration::from_secs(60), &mut no_fault);
    assert_eq!(simulation.removed, 1000);
    assert_eq!(simulation.store.keys(TableName::Claim), expected_keys);
}

fn is_delete_of(request: &StoreRequest, key: &str) -> bool {
    let StoreRequest::Txn { ops, .. } = request else {
        return false;
    };
    ops.iter()
        .any(|op| matches!(op, StoreOp::Delete { key: k, .. } if k == key))
}

/// Runs until the claims have been read once but nothing has been removed.
fn read_once(simulation: &mut Simulation) {
    while !simulation
        .calls
        .iter()
        .any(|request| matches!(request, StoreRequest::Scan { .. }))
    {
        simulation.step(&mut no_fault);
    }
    simulation.step(&mut no_fault);
    simulation.step(&mut no_fault);
}

#[test]
fn a_row_that_changes_between_read_and_delete_is_kept() {
    let mut simulation = Simulation::new(&[settings("one")]);
    let old = START - 169 * HOUR;
    let key = "w/k";
    let released = claim(ClaimState::Released, ExecutionVerdict::NotRun, old);
    simulation.store.put(TableName::Claim, key, released);
    let read = simulation.store.row(TableName::Claim, key).unwrap();
    read_once(&mut simulation);
    // The caller retries at this moment and takes over the released row by its revision.
    let taken = claim(ClaimState::Open, ExecutionVerdict::MayHaveRun, START);
    let outcome = simulation.store.apply(&StoreOp::Put {
        table: TableName::Claim,
        key: key.to_owned(),
        value: taken.clone(),
        if_revision: Some(read.revision),
    });
    assert!(matches!(outcome, RowOutcome::Applied { .. }));
    simulation.run(Duration::from_secs(30), &mut no_fault);
    assert!(
        simulation
            .calls
            .iter()
            .any(|request| is_delete_of(request, key))
    );
    assert_eq!(simulation.removed, 0);
    assert_eq!(
        simulation.store.row(TableName::Claim, key).unwrap().value,
        taken
    );
}

#[test]
fn a_takeover_after_the_delete_finds_no_row() {
    let mut simulation = Simulation::new(&[settings("one")]);
    let old = START - 169 * HOUR;
    let key = "w/k";
    let released = claim(ClaimState::Released, ExecutionVerdict::NotRun, old);
    simulation.store.put(TableName::Claim, key, released);
    let read = simulation.store.row(TableName::Claim, key).unwrap();
    simulation.run(Duration::from_secs(30), &mut no_fault);
    assert_eq!(simulation.removed, 1);
    let value = claim(ClaimState::Open, ExecutionVerdict::MayHaveRun, START);
    let takeover = StoreOp::Put {
        table: TableName::Claim,
        key: key.to_owned(),
        value: value.clone(),
        if_revision: Some(read.revision),
    };
    let outcome = simulation.store.apply(&takeover);
    assert_eq!(outcome, RowOutcome::Conflict { current: None });
    let insert = StoreOp::Insert {
        table: TableName::Claim,
        key: key.to_owned(),
        value,
    };
    let outcome = simulation.store.apply(&insert);
    assert!(matches!(outcome, RowOutcome::Applied { .. }));
}

#[test]
fn a_new_sweeper_resumes_at_the_stored_cursor() {
    let small = RetentionSettings {
        page_rows: 10,
        ..settings("one")
    };
    let mut simulation = Simulation::new(std::slice::from_ref(&small));
    fill_claims(&mut simulation.store, 200);
    simulation.run(Duration::from_secs(60), &mut no_fault);
    assert_eq!(simulation.passes, 0);
    let cursor = simulation.store.row(TableName::Lease, "retention/claims");
    let cursor = cursor.unwrap().value["after"].as_str().unwrap().to_owned();
    let store = std::mem::take(&mut simulation.store);
    let mut simulation = Simulation::new(&[settings("two")]);
    simulation.store = store;
    simulation.run(Duration::from_secs(5), &mut no_fault);
    let first = simulation.calls.iter().find_map(|request| match request {
        StoreRequest::Scan {
            table: TableName::Claim,
            after,
            ..
        } => Some(after.clone()),
        _ => None,
    });
    assert_eq!(first, Some(cursor));
}

/// Claims per second: a quarter of 660 requests per second.
const CLAIMS_PER_SECOND: u64 = 165;
/// The retention of claims in this test in seconds; the default of 168 h is 2,016 times as long.
const RETENTION_SECONDS: u64 = 300;

#[test]
fn the_sweep_keeps_up_with_the_rate_of_claims() {
    let short_retention = RetentionSettings {
        claim_retention: Duration::from_secs(RETENTION_SECONDS),
        pass_interval: Duration::from_millis(300),
        ..settings("one")
    };
    let mut simulation = Simulation::new(&[short_retention]);
    let mut random = StdRng::seed_from_u64(7);
    let (mut largest, mut marks) = (0, Vec::new());
    for second in 0..1500 {
        for _ in 0..CLAIMS_PER_SECOND {
            let draw: u64 = random.random_range(0..u64::MAX);
            let key = format!("w-{:04}/{draw:016x}", draw % 4800);
            let at = simulation.wall().0;
            let value = claim(ClaimState::Settled, ExecutionVerdict::Ran, at);
            simulation.store.put(TableName::Claim, &key, value);
        }
        simulation.run(Duration::from_secs(1), &mut no_fault);
        largest = largest.max(simulation.store.len());
        if second % 300 == 299 {
            let rows = simulation.store.len();
            marks.push((
                rows,
                simulation.reads,
                simulation.writes,
                simulation.removed,
            ));
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
    assert!(
        largest as u64 <= CLAIMS_PER_SECOND * RETENTION_SECONDS * 3 / 2,
        "{largest}"
    );
}
