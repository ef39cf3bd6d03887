//! Checks that a panic ends only the request that meets it, with the truth about what ran. One test
//! for the process, since failpoints are those of the whole process.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::{Duration, Instant};

use support::{CallerResponse, Fixture, request, send};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Failpoints on the way of a request.
const POINTS: [&str; 20] = [
    "request.head",
    "request.body",
    "request.routed",
    "request.end",
    "plain.chosen",
    "plain.sending",
    "plain.answered",
    "plain.failed",
    "stream.chosen",
    "stream.sending",
    "stream.begun",
    "stream.failed",
    "stream.frame",
    "stream.chunk",
    "stream.finish",
    "attempt.head",
    "connection.take",
    "connection.give_back",
    "stages.made",
    "stages.order",
];
/// Requests of each kind of pipeline, some of which need a second attempt.
const PATHS: [&str; 8] = [
    "/pay/ok",
    "/pay/full",
    "/look/ok",
    "/look/flaky",
    "/draft/ok",
    "/brief/ok",
    "/brief/broken",
    "/brief/full",
];
/// Time within which every request gets its answer: the longest time-out of the pipelines.
const ANSWER_TIME: Duration = Duration::from_secs(4);

/// Sends a request; fails if its connection is closed without an answer.
async fn call(fixture: &Fixture, case: &str, path: &str, attempt: &str) -> CallerResponse {
    let mut sent = request("POST", path, attempt, "k1");
    // The same request again would add to the evidence against it.
    let (prefix, mode) = path.rsplit_once('/').unwrap();
    *sent.uri_mut() = format!("{prefix}/{attempt}/{mode}").parse().unwrap();
    let answered = timeout(ANSWER_TIME, send(fixture.caller_address, sent)).await;
    let answered = answered.unwrap_or_else(|_| panic!("{case} {path}: no answer in time"));
    answered.unwrap_or_else(|error| panic!("{case} {path}: closed without an answer: {error}"))
}

/// Checks that an answer tells the truth about what ran.
fn check_truth(
    fixture: &Fixture,
    case: &str,
    path: &str,
    attempt: &str,
    response: &CallerResponse,
) {
    let runs = fixture.log.lines_with_prefix(&format!("ran {attempt} "));
    let may_repeat = !path.starts_with("/pay") && !path.starts_with("/draft");
    assert!(
        runs.len() <= 1 || may_repeat,
        "{case} {path}: ran {} times",
        runs.len()
    );
    match response.status {
        200 => match &response.body {
            Ok(body) => {
                assert!(
                    response.seal.is_some(),
                    "{case} {path}: not a server's answer"
                );
                let is_stream = path.starts_with("/draft") || path.starts_with("/brief");
                let events = body.matches("data: ").count();
                let is_whole = if is_stream {
                    events >= 2
                } else {
                    body == "echo body"
                };
                assert!(is_whole, "{case} {path}: {body:?} looks whole");
            }
            // A stream that was broken off, and looks so.
            Err(_) => assert!(!runs.is_empty(), "{case} {path}"),
        },
        503 => assert!(runs.is_empty(), "{case} {path}: refused and ran"),
        500 => assert!(path.ends_with("/flaky"), "{case} {path}: {response:?}"),
        502 => {}
        status => panic!("{case} {path}: {status}"),
    }
}

/// Checks that the next request of each pipeline is served as before within a second.
async fn check_next(fixture: &Fixture, case: &str) {
    for path in ["/pay/ok", "/look/ok", "/draft/ok", "/brief/ok"] {
        let start = Instant::now();
        let attempt = format!("next-{}", fixture.log.lines_with_prefix("").len());
        let response = call(fixture, case, path, &attempt).await;
        assert_eq!(response.status, 200, "after {case}: {path}: {response:?}");
        assert!(response.body.is_ok(), "after {case}: {path}: {response:?}");
        assert!(
            start.elapsed() < Duration::from_secs(1),
            "after {case}: {path}"
        );
    }
}

/// Payments on kept connections ran, a panic followed after their whole answers had been read, and
/// the connections were closed without an answer.
async fn check_answer_in_hand(fixture: &Fixture) {
    for point in ["connection.give_back", "plain.answered", "request.end"] {
        let stream = TcpStream::connect(fixture.caller_address).await.unwrap();
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
        tokio::spawn(connection);
        let guard = fail::FailGuard::new(point, "panic").unwrap();
        for payment in 0..8 {
            let attempt = format!("kept-{point}-{payment}");
            let path = format!("/pay/{attempt}/ok");
            sender.ready().await.unwrap();
            let response = sender
                .send_request(request("POST", &path, &attempt, "k1"))
                .await;
            let response = response.unwrap_or_else(|error| panic!("{point}: {error}"));
            assert_eq!(response.status(), 200, "{point}");
        }
        drop(guard);
    }
}

/// A request that met a panic on every host was sent round all of them.
async fn check_repeated_panic(fixture: &Fixture) {
    let guard = fail::FailGuard::new("attempt.head", "panic").unwrap();
    for (attempt, path, status) in [
        ("same-1", "/look/same/ok", 502),
        ("same-2", "/look/same/ok", 502),
        ("same-3", "/look/same/ok", 502),
        ("same-4", "/look/same/ok", 503),
        ("other", "/look/other/ok", 502),
    ] {
        let response = fixture.call("POST", path, attempt).await;
        assert_eq!(response.status, status, "{attempt}: {response:?}");
        let runs = fixture.log.lines_with_prefix(&format!("ran {attempt} "));
        assert_eq!(runs.len(), usize::from(status == 502), "{attempt}");
        assert_eq!(response.retry_after.is_some(), status == 503, "{attempt}");
    }
    drop(guard);
}

/// A panic closed the connection of its request without an answer, whatever had run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn panic_ends_more_than_its_request() {
    let scenario = fail::FailScenario::setup();
    let fixture = Fixture::start("panic-in-request").await;
    check_next(&fixture, "the start").await;
    check_answer_in_hand(&fixture).await;
    let mut cells = 0;
    let mut before = fixture.metric("hollywheel_panics_total").await;
    for point in POINTS {
        let mut was_met = false;
        for path in PATHS {
            fail::cfg(point, "1*panic").unwrap();
            let attempt = format!("a{cells}");
            let response = call(&fixture, point, path, &attempt).await;
            check_truth(&fixture, point, path, &attempt, &response);
            fail::remove(point);
            let after = fixture.metric("hollywheel_panics_total").await;
            was_met |= after > before;
            before = after;
            cells += 1;
        }
        check_next(&fixture, point).await;
        assert!(was_met, "no request meets {point}");
    }
    fixture.check_counts("single panics").await;
    for first in POINTS {
        for second in POINTS.iter().filter(|second| **second > first) {
            let case = format!("{first} and {second}");
            let path = PATHS[cells % PATHS.len()];
            fail::cfg(first, "1*panic").unwrap();
            fail::cfg(*second, "1*panic").unwrap();
            let attempt = format!("a{cells}");
            let response = call(&fixture, &case, path, &attempt).await;
            check_truth(&fixture, &case, path, &attempt, &response);
            fail::remove(first);
            fail::remove(second);
            cells += 1;
        }
        check_next(&fixture, first).await;
    }
    check_repeated_panic(&fixture).await;
    check_next(&fixture, "repeated panics").await;
    fixture.check_counts("pairs of panics").await;
    println!("{cells} cells");
    scenario.teardown();
}
