//! Tests of placement on servers whose answers take different times.

use std::time::Duration;

use hollywheel_serving::{
    LoadTable, PlacementQuery, PlacementVerdict, ServerPhase, ServerRecord, choose_least_loaded,
};
use hollywheel_types::{MonoTime, ServerId};

/// Time between two requests of a host.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time in which a healthy server answers.
const USUAL_TIME: Duration = Duration::from_millis(40);
/// Time in which a slow server answers.
const SLOW_TIME: Duration = Duration::from_millis(400);

fn at(time: Duration) -> MonoTime {
    MonoTime::from_millis(u64::try_from(time.as_millis()).unwrap())
}

/// Returns a ready server with one slot.
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

/// Sends one request after another from `start` to `end` to two servers; the first one answers in
/// `first_time`, the second one in [`USUAL_TIME`]. Returns the share of the first server.
fn send_requests(
    loads: &mut LoadTable,
    start: Duration,
    end: Duration,
    first_time: Duration,
) -> f64 {
    let servers = [server("p1"), server("p2")];
    let (mut count, mut first_count) = (0_u32, 0_u32);
    let mut time = start;
    while time < end {
        let query = PlacementQuery {
            now: at(time),
            servers: &servers,
            exclude: &[],
            tie: u64::from(count),
            domain: None,
        };
        let PlacementVerdict::Server(chosen) = choose_least_loaded(&query, loads, 9.0) else {
            panic!("no server at {time:?}");
        };
        let is_first = chosen == servers[0].0;
        let taken = if is_first { first_time } else { USUAL_TIME };
        loads.note_success(at(time + taken), &chosen, taken);
        count += 1;
        first_count += u32::from(is_first);
        time += INTERVAL;
    }
    f64::from(first_count) / f64::from(count)
}

/// A server that gets no requests because its last answer was slow has no answer that shows that it
/// is fast again.
#[test]
fn server_is_avoided_for_good_after_one_slow_answer() {
    let mut loads = LoadTable::new();
    let (first, _) = server("p1");
    loads.note_success(at(Duration::ZERO), &first, SLOW_TIME);
    let minute = Duration::from_secs(60);
    send_requests(&mut loads, Duration::ZERO, minute / 2, USUAL_TIME);
    let share = send_requests(&mut loads, minute / 2, minute, USUAL_TIME);
    assert!(share >= 0.4, "a share of {share:.3} after 30 s");
}

#[test]
fn slow_server_gets_few_requests() {
    let mut loads = LoadTable::new();
    let share = send_requests(
        &mut loads,
        Duration::ZERO,
        Duration::from_secs(60),
        SLOW_TIME,
    );
    assert!(share <= 0.05, "a share of {share:.3}");
}

/// Servers that answer within a millisecond or two, and one response delayed by the network.
#[test]
fn server_is_avoided_for_a_delay_of_milliseconds() {
    let mut loads = LoadTable::new();
    for (name, millis) in [("p1", 17), ("p2", 2)] {
        let (name, _) = server(name);
        loads.note_success(at(Duration::ZERO), &name, Duration::from_millis(millis));
    }
    let servers = [server("p1"), server("p2")];
    let chosen_count = (0..100_u64)
        .filter(|tie| {
            let query = PlacementQuery {
                now: at(Duration::ZERO),
                servers: &servers,
                exclude: &[],
                tie: *tie,
                domain: None,
            };
            choose_least_loaded(&query, &loads, 9.0)
                == PlacementVerdict::Server(servers[0].0.clone())
        })
        .count();
    assert!(chosen_count >= 30, "{chosen_count} of 100 requests");
}
