//! Checks that a panic in a stage call, or in the queue of its pool, costs the requests that meet it
//! and leaves the pool serving. One test for the process, since failpoints are those of the whole
//! process.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use support::{CallerResponse, Fixture, request, send};

/// Failpoints on the way of a stage call and of the results that it makes.
const POINTS: [&str; 10] = [
    "batch.offer",
    "batch.planned",
    "batch.call",
    "batch.answered",
    "batch.finish",
    "batch.release",
    "release.call",
    "connection.take",
    "connection.give_back",
    "stages.made",
];
/// Longest time from a panic until the pool serves as before.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

async fn draft(fixture: &Fixture, case: &str, attempt: &str) -> CallerResponse {
    let path = format!("/draft/{attempt}/ok");
    let answered = send(
        fixture.caller_address,
        request("POST", &path, attempt, "k1"),
    )
    .await;
    let response = answered.unwrap_or_else(|error| panic!("{case}: no answer: {error}"));
    let runs = fixture.log.lines_with_prefix(&format!("ran {attempt} "));
    match response.status {
        200 => assert!(
            response.body.is_ok() && runs.len() == 1,
            "{case}: {response:?}"
        ),
        503 => assert!(runs.is_empty(), "{case}: refused and ran"),
        502 => {}
        status => panic!("{case}: {status}"),
    }
    response
}

/// A panic in one stage call took its pieces and its server from the pool: every later request
/// through the pool was refused after seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn panic_in_a_stage_call_stops_its_pool() {
    let scenario = fail::FailScenario::setup();
    let fixture = Fixture::start("panic-in-stage-call").await;
    assert_eq!(draft(&fixture, "the start", "first").await.status, 200);
    let mut panics = fixture.metric("hollywheel_panics_total").await;
    let mut lost = 0;
    for (index, first) in POINTS.iter().enumerate() {
        for second in &POINTS[index..] {
            let case = format!("{first} and {second}");
            fail::cfg(*first, "1*panic").unwrap();
            fail::cfg(*second, "1*panic").unwrap();
            let attempts: Vec<String> = (0..4).map(|n| format!("{first}-{second}-{n}")).collect();
            let drafts = attempts
                .iter()
                .map(|attempt| draft(&fixture, &case, attempt));
            let responses = join_all(drafts).await;
            lost += responses
                .iter()
                .filter(|response| response.status != 200)
                .count();
            // Results are released some time after the answers.
            tokio::time::sleep(Duration::from_millis(60)).await;
            fail::remove(first);
            fail::remove(second);
            let start = Instant::now();
            let next = draft(&fixture, &case, &format!("{first}-{second}-next")).await;
            assert_eq!(next.status, 200, "after {case}: {next:?}");
            assert!(
                start.elapsed() < RECOVERY_TIME,
                "after {case}: {:?}",
                start.elapsed()
            );
        }
        let after = fixture.metric("hollywheel_panics_total").await;
        assert!(after > panics, "nothing meets {first}");
        panics = after;
    }
    println!(
        "{lost} of {} requests beside panics were not answered by an engine",
        4 * 55
    );
    fixture.check_counts("pairs of panics").await;
    scenario.teardown();
}

/// The same, with one panic in the fifth stage call of the host and nothing else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pool_is_lost_after_a_panic_in_its_fifth_call() {
    let scenario = fail::FailScenario::setup();
    let fixture = Fixture::start("panic-in-fifth-call").await;
    fail::cfg("batch.call", "4*off->1*panic->off").unwrap();
    for number in 0..8 {
        let start = Instant::now();
        let response = draft(&fixture, "fifth call", &format!("fifth-{number}")).await;
        assert_eq!(response.status, 200, "request {number}: {response:?}");
        assert!(start.elapsed() < RECOVERY_TIME, "request {number}");
    }
    assert_eq!(fixture.metric("hollywheel_panics_total").await, 1.0);
    scenario.teardown();
}
