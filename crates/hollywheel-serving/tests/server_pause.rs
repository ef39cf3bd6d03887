//! Tests of placement while servers have asked for a pause (back-pressure).

use std::time::Duration;

use hollywheel_serving::{
    LoadTable, PlacementQuery, PlacementVerdict, PromptPart, ServerPhase, ServerRecord,
    choose_engine, choose_least_loaded,
};
use hollywheel_types::{MonoTime, ServerId};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns a ready server with four slots.
fn server(name: &str) -> (ServerId, ServerRecord) {
    let record = ServerRecord {
        pool: "pool".parse().unwrap(),
        address: "10.1.0.1:80".parse().unwrap(),
        domain: "a".parse().unwrap(),
        slots: 4,
        phase: ServerPhase::Ready,
        born: Some(1),
        cold_left: None,
    };
    (name.parse().unwrap(), record)
}

/// Places a request on the least-loaded server, and checks that the choice of an engine agrees on
/// whether a server is available.
fn place_request(
    now: MonoTime,
    loads: &LoadTable,
    servers: &[(ServerId, ServerRecord)],
) -> PlacementVerdict {
    let query = PlacementQuery {
        now,
        servers,
        exclude: &[],
        tie: 1,
        domain: None,
    };
    let parts = [
        PromptPart {
            id: 1,
            tokens: u32::MAX,
        },
        PromptPart {
            id: 2,
            tokens: u32::MAX,
        },
        PromptPart { id: 3, tokens: 1 },
    ];
    let least = choose_least_loaded(&query, loads, 4.0);
    let engine = choose_engine(&query, loads, &parts, 4.0);
    assert_eq!(
        least == PlacementVerdict::NoServer,
        engine == PlacementVerdict::NoServer
    );
    least
}

/// In a burst one of two servers asks for a pause, so the other takes all requests. Once both have
/// asked, nothing is sent until the first pause ends.
#[test]
fn a_server_that_asked_for_a_pause_is_not_chosen_before_it_ends() {
    let servers = [server("s1"), server("s2")];
    let (s1, s2) = (&servers[0].0, &servers[1].0);
    let mut loads = LoadTable::new();
    loads.note_pause(at(0), s1, Duration::from_millis(900));
    for _ in 0..8 {
        assert_eq!(
            place_request(at(10), &loads, &servers),
            PlacementVerdict::Server(s2.clone())
        );
        loads.note_sent(s2);
    }
    assert_eq!(
        loads.pool_pause(at(10), [s1, s2]),
        None,
        "one server is not paused"
    );
    loads.note_pause(at(20), s2, Duration::from_millis(400));
    assert_eq!(
        place_request(at(30), &loads, &servers),
        PlacementVerdict::NoServer
    );
    let left = loads.pool_pause(at(30), [s1, s2]);
    assert_eq!(left, Some(Duration::from_millis(390)));
    loads.note_pause(at(40), s1, Duration::from_millis(10));
    assert_eq!(
        loads.pause_left(at(100), s1),
        Some(Duration::from_millis(800)),
        "a later, shorter pause does not end the longer one early"
    );
    loads.retain(at(100), |_| false);
    assert!(
        loads.pause_left(at(100), s1).is_some(),
        "the pause outlasts the removal of the server's row"
    );
    assert_eq!(
        place_request(at(420), &loads, &servers),
        PlacementVerdict::Server(s2.clone())
    );
    assert_eq!(loads.pool_pause(at(950), []), None);
}
