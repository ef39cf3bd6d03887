//! Tests of placement and batching on servers that share their machines with others and report how
//! much slower they are at the moment.

mod support;

use std::time::Duration;

use hollywheel_serving::{
    LoadReport, LoadTable, PlacementQuery, PlacementVerdict, ReportedSlowdown, ServerPhase,
    ServerRecord, choose_least_loaded,
};
use hollywheel_types::{MonoTime, ServerId};
use support::{at, batcher, executed, group, tickets};

fn server(name: &str) -> (ServerId, ServerRecord) {
    let record = ServerRecord {
        pool: "pool".parse().unwrap(),
        address: "10.1.0.1:80".parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots: 1,
        phase: ServerPhase::Ready,
        born: Some(1),
        cold_left: None,
    };
    (name.parse().unwrap(), record)
}

fn report(running: u32, slowdown: Option<f64>) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        slots: 1,
        slowdown,
    }
}

/// Returns how many of 100 requests are placed on each of three servers at a time.
fn placed(loads: &LoadTable, now: MonoTime, full_load: f64) -> [u32; 3] {
    let servers = [server("p1"), server("p2"), server("p3")];
    let mut counts = [0; 3];
    for tie in 0..100 {
        let query = PlacementQuery {
            now,
            servers: &servers,
            exclude: &[],
            tie,
            domain: None,
        };
        if let PlacementVerdict::Server(chosen) = choose_least_loaded(&query, loads, full_load) {
            let position = servers.iter().position(|(name, _)| *name == chosen);
            counts[position.unwrap()] += 1;
        }
    }
    counts
}

fn note(loads: &mut LoadTable, now: MonoTime, name: &str, report: LoadReport) {
    loads.note_report(now, &name.parse().unwrap(), report, 1);
}

#[test]
fn slowdown_is_believed_less_with_each_half_life() {
    let mut loads = LoadTable::new();
    let name: ServerId = "p1".parse().unwrap();
    assert_eq!(loads.slowdown(at(0), &name), 1.0);
    note(&mut loads, at(1000), "p1", report(0, Some(3.0)));
    for (millis, expected) in [(1000, 3.0), (1150, 2.0), (1300, 1.5), (4000, 1.0)] {
        let slowdown = loads.slowdown(at(millis), &name);
        assert!(
            (slowdown - expected).abs() < 0.001,
            "{slowdown} at {millis}"
        );
    }
    note(&mut loads, at(4000), "p1", report(0, Some(0.5)));
    assert!((loads.slowdown(at(4150), &name) - 0.75).abs() < 0.001);
    note(&mut loads, at(4200), "p1", report(0, None));
    assert_eq!(
        loads.slowdown(at(4200), &name),
        1.0,
        "no report of it is left"
    );
}

/// The machine of one server is busy for a moment: requests go to the others until the report is
/// outdated, and come back without a response that shows that the server is fast again.
#[test]
fn momentarily_slow_server_is_avoided_and_used_again() {
    let mut loads = LoadTable::new();
    note(&mut loads, at(0), "p1", report(0, Some(4.0)));
    note(&mut loads, at(0), "p2", report(0, Some(1.0)));
    note(&mut loads, at(0), "p3", report(0, Some(1.0)));
    assert_eq!(placed(&loads, at(1), 4.5)[0], 0);
    note(&mut loads, at(1), "p2", report(1, Some(1.0)));
    note(&mut loads, at(1), "p3", report(1, Some(1.0)));
    assert_eq!(
        placed(&loads, at(2), 4.5)[0],
        0,
        "4 times the time of one request, against 2"
    );
    assert_eq!(
        placed(&loads, at(600), 4.5)[0],
        100,
        "its report is outdated"
    );
}

/// The queue of a server holds a number of requests whatever its speed: a slow pool is not full.
#[test]
fn slow_servers_are_not_taken_for_full() {
    let mut loads = LoadTable::new();
    for name in ["p1", "p2", "p3"] {
        note(&mut loads, at(0), name, report(1, Some(10.0)));
    }
    assert_eq!(placed(&loads, at(0), 4.5).iter().sum::<u32>(), 100);
}

/// A full server is not chosen although it reports that it is fast.
#[test]
fn fast_full_server_does_not_hide_one_with_room() {
    let mut loads = LoadTable::new();
    note(&mut loads, at(0), "p1", report(5, Some(0.1)));
    note(&mut loads, at(0), "p2", report(2, Some(1.0)));
    note(&mut loads, at(0), "p3", report(5, Some(1.0)));
    assert_eq!(placed(&loads, at(0), 4.5), [0, 100, 0]);
}

/// Responses that were slow because of the reported slowdown do not keep requests away once the
/// server reports that it is fast again.
#[test]
fn explained_latency_is_not_counted_again() {
    let mut loads = LoadTable::new();
    for (name, millis, slowdown) in [("p1", 200, 5.0), ("p2", 40, 1.0), ("p3", 40, 1.0)] {
        note(&mut loads, at(0), name, report(0, Some(slowdown)));
        loads.note_success(at(0), &name.parse().unwrap(), Duration::from_millis(millis));
    }
    assert_eq!(placed(&loads, at(0), 4.5)[0], 0);
    note(&mut loads, at(10), "p1", report(0, Some(1.0)));
    let [first, ..] = placed(&loads, at(10), 4.5);
    assert!(first > 15, "{first} of 100 requests");
    // The same latency without a report is the server's own slowness.
    let mut loads = LoadTable::new();
    for (name, millis) in [("p1", 200), ("p2", 40), ("p3", 40)] {
        loads.note_success(at(0), &name.parse().unwrap(), Duration::from_millis(millis));
    }
    assert_eq!(placed(&loads, at(10), 4.5)[0], 0);
}

/// A server claims an absurd slowdown: only that server is avoided, and only for about a second.
#[test]
fn absurd_report_affects_one_server_for_a_second() {
    let mut loads = LoadTable::new();
    note(&mut loads, at(0), "p1", report(0, Some(100.0)));
    for name in ["p1", "p2", "p3"] {
        loads.note_success(at(0), &name.parse().unwrap(), Duration::from_millis(40));
    }
    let [first, second, third] = placed(&loads, at(0), 4.5);
    assert_eq!(first, 0);
    assert!(second > 30 && third > 30, "{second} and {third}");
    for name in ["p2", "p3"] {
        note(&mut loads, at(1200), name, report(1, None));
    }
    assert_eq!(placed(&loads, at(1200), 4.5)[0], 100);
}

/// Servers that state three values are chosen exactly as before: the sequence is the one of the code
/// without slowdowns.
#[test]
fn servers_without_reports_are_chosen_as_before() {
    let mut loads = LoadTable::new();
    let mut sequence = String::new();
    let servers = [server("p1"), server("p2"), server("p3")];
    for step in 0..120_u64 {
        let now = at(step * 17);
        let query = PlacementQuery {
            now,
            servers: &servers,
            exclude: &[],
            tie: step * 31,
            domain: None,
        };
        match choose_least_loaded(&query, &loads, 4.5) {
            PlacementVerdict::Server(chosen) => {
                sequence.push_str(chosen.as_str().trim_start_matches('p'));
                let taken = Duration::from_millis(20 + step * 37 % 140);
                loads.note_success(now, &chosen, taken);
            }
            PlacementVerdict::Full => sequence.push('f'),
            PlacementVerdict::NoServer => sequence.push('n'),
        }
        let running = u32::try_from(step * 7 % 6).unwrap();
        let (reporting, _) = &servers[usize::try_from(step % 3).unwrap()];
        loads.note_report(now, reporting, report(running, None), 1);
    }
    insta::assert_snapshot!(
        sequence,
        @"121123111123111123111123111123111123111123111123111123111123111123111123111123111123111123111123111123111123111123111123"
    );
}

/// A stage server whose machine is busy gets no call while another one is idle, and gets calls again
/// when its report is outdated.
#[test]
fn stage_server_on_a_busy_machine_gets_no_call() {
    let mut batcher = batcher(&[("s1", "a"), ("s2", "a")]);
    let first: ServerId = "s1".parse().unwrap();
    let slow = ReportedSlowdown::new(at(1000), 3.0);
    batcher.note_slowdown(&first, Some(slow));
    batcher.offer(at(1000), group(1, 14, 5000, 8000));
    let plan = batcher.next_call(at(1000)).unwrap();
    assert_eq!(plan.server.as_str(), "s2");
    // The second server is free again after 276 ms, before the slow one would be done.
    batcher.offer(at(1001), group(2, 14, 1600, 8000));
    assert_eq!(batcher.next_call(at(1001)), None);
    let plan = batcher.next_call(at(1270)).unwrap();
    assert_eq!(plan.server.as_str(), "s1", "its report is outdated");
    assert_eq!(tickets(&plan), [2]);
}

/// The time of a call at a slow moment is expected there, so that the call does not time out, and is
/// neither the server's own slowness nor the cost of the work.
#[test]
fn slow_moment_of_a_stage_server_is_expected_and_not_learned() {
    let mut batcher = batcher(&[("s1", "a")]);
    let server: ServerId = "s1".parse().unwrap();
    let mut now = 1000;
    for ticket in 1..=12 {
        let slow = ReportedSlowdown::new(at(now), 3.0);
        batcher.note_slowdown(&server, Some(slow));
        batcher.offer(at(now), group(ticket, 14, now + 20_000, now + 30_000));
        let plan = batcher.next_call(at(now)).unwrap();
        assert!(
            plan.timeout >= Duration::from_millis(276 * 3 * 2),
            "{:?}",
            plan.timeout
        );
        now += 276 * 3;
        batcher.note_slowdown(&server, Some(ReportedSlowdown::new(at(now), 3.0)));
        batcher.finish_call(at(now), plan.call, executed(&plan));
        let made = (0..14).map(|position| format!("s1/{ticket}-{position}"));
        let handles: Vec<_> = made.collect();
        assert!(batcher.release(at(now), &handles).is_empty());
        batcher.confirm_freed(&server, &handles);
    }
    batcher.note_slowdown(&server, Some(ReportedSlowdown::new(at(now), 1.0)));
    batcher.offer(at(now), group(20, 14, now + 300, now + 8000));
    let plan = batcher.next_call(at(now)).unwrap();
    let usual = Duration::from_millis(276);
    assert!(
        plan.timeout >= usual * 2 && plan.timeout <= usual * 8,
        "{:?}",
        plan.timeout
    );
}
