//! Tests of placement while servers break connections or give no answer at all.

use std::time::Duration;

use hollywheel_serving::{
    LoadReport, LoadTable, PlacementQuery, PlacementVerdict, PromptPart, ServerPhase, ServerRecord,
    choose_engine, choose_least_loaded,
};
use hollywheel_types::{MonoTime, ServerId};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

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

fn id(name: &str) -> ServerId {
    name.parse().unwrap()
}

/// Places a request on two servers.
fn place(loads: &LoadTable, now: MonoTime, tie: u64) -> PlacementVerdict {
    let servers = [server("p1"), server("p2")];
    let query = PlacementQuery {
        now,
        servers: &servers,
        exclude: &[],
        tie,
        domain: None,
    };
    choose_least_loaded(&query, loads, 4.5)
}

/// Returns how many of 100 requests are placed on the first of two servers.
fn first_share(loads: &LoadTable, now: MonoTime) -> usize {
    let first = PlacementVerdict::Server(id("p1"));
    (0..100)
        .filter(|tie| place(loads, now, *tie) == first)
        .count()
}

fn report(waiting: u32) -> LoadReport {
    LoadReport {
        running: 1,
        waiting,
        slots: 1,
        slowdown: None,
    }
}

/// A server crashes: after the first broken connection it gets nothing for a second, then twice as
/// long after each further one, up to four seconds.
#[test]
fn server_gets_three_requests_after_it_crashed() {
    let mut loads = LoadTable::new();
    let mut now = 0;
    for avoided in [1000, 2000, 4000, 4000] {
        let time = loads.note_lost(at(now), &id("p1"), at(now));
        assert_eq!(time, Some(Duration::from_millis(avoided)));
        assert_eq!(first_share(&loads, at(now + avoided - 1)), 0);
        now += avoided;
        assert!(first_share(&loads, at(now)) > 30);
    }
    loads.note_lost(at(now), &id("p1"), at(now));
    loads.note_answered(at(now + 1), &id("p1"));
    assert!(first_share(&loads, at(now + 1)) > 30, "an answer ends it");
    let time = loads.note_lost(at(now + 2), &id("p1"), at(now + 2));
    assert_eq!(time, Some(Duration::from_secs(1)), "and its doubling");
}

/// Eight requests are in flight when a server crashes: that is one crash, not eight.
#[test]
fn requests_in_flight_together_are_taken_for_repeated_crashes() {
    let mut loads = LoadTable::new();
    assert!(loads.note_lost(at(100), &id("p1"), at(50)).is_some());
    for sent in 51..58 {
        assert_eq!(loads.note_lost(at(101), &id("p1"), at(sent)), None);
    }
    assert!(first_share(&loads, at(1100)) > 30);
}

/// The other servers are full: a server that lost a connection may be back.
#[test]
fn avoided_server_is_refused_although_the_others_are_full() {
    let mut loads = LoadTable::new();
    loads.note_lost(at(0), &id("p1"), at(0));
    loads.note_report(at(0), &id("p2"), report(2), 1);
    assert_eq!(place(&loads, at(0), 0), PlacementVerdict::Server(id("p2")));
    loads.note_report(at(0), &id("p2"), report(8), 1);
    assert_eq!(place(&loads, at(0), 0), PlacementVerdict::Server(id("p1")));
    loads.note_lost(at(0), &id("p2"), at(0));
    assert_eq!(place(&loads, at(0), 0), PlacementVerdict::Server(id("p1")));
}

/// A server is silent for the time of the objective. One that answers other requests meanwhile is
/// merely slow with this one.
#[test]
fn slow_request_is_taken_for_a_silent_server() {
    let mut loads = LoadTable::new();
    loads.note_answered(at(150), &id("p1"));
    loads.note_overdue(&id("p1"), at(100), at(700));
    assert!(first_share(&loads, at(200)) > 30);
    loads.note_overdue(&id("p1"), at(151), at(700));
    assert_eq!(first_share(&loads, at(300)), 0);
    assert!(first_share(&loads, at(700)) > 30);
}

/// An engine that lost a stream is passed over in the order of the prompt's hash.
#[test]
fn lost_engine_keeps_its_prompts() {
    let mut loads = LoadTable::new();
    let servers = [server("m1"), server("m2"), server("m3")];
    let part = |id, tokens| PromptPart { id, tokens };
    let parts = [part(7, 5000), part(8, 50)];
    let choose = |loads: &LoadTable| {
        let query = PlacementQuery {
            now: at(10),
            servers: &servers,
            exclude: &[],
            tie: 0,
            domain: None,
        };
        choose_engine(&query, loads, &parts, 4.5)
    };
    let PlacementVerdict::Server(first) = choose(&loads) else {
        panic!("no engine");
    };
    loads.note_lost(at(10), &first, at(10));
    let PlacementVerdict::Server(second) = choose(&loads) else {
        panic!("no engine");
    };
    assert_ne!(first, second);
    loads.note_answered(at(10), &first);
    assert_eq!(choose(&loads), PlacementVerdict::Server(first));
}
