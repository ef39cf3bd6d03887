//! Checks that a panic in a task of the process is followed by its restart, and that a task that
//! keeps panicking takes its host out of service if the host needs it to serve. One test for the
//! process, since failpoints are those of the whole process.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use support::{Fixture, request, send};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Longest pause before a restart and the time for which a task must run, with a second for both.
const RECOVERY_TIME: Duration = Duration::from_secs(11);

/// Waits until the readiness check has a status; returns how long that took.
async fn wait_for_readiness(fixture: &Fixture, status: u16) -> Duration {
    let start = Instant::now();
    loop {
        let asked = send(fixture.readiness_address, request("GET", "/ready", "x", "")).await;
        if asked.is_ok_and(|response| response.status == status) {
            return start.elapsed();
        }
        assert!(
            start.elapsed() < RECOVERY_TIME,
            "the readiness is not {status}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

async fn check_served(fixture: &Fixture, case: &str) {
    for path in ["/pay/ok", "/look/ok", "/draft/ok", "/brief/ok"] {
        let response = fixture.call("POST", path, &format!("{case}{path}")).await;
        assert_eq!(response.status, 200, "{case}: {path}: {response:?}");
    }
}

/// A message of another host that met a panic was not answered; its host waited for its time-out.
async fn check_peer_message(fixture: &Fixture) {
    let stream = TcpStream::connect(fixture.peer_address).await.unwrap();
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.unwrap();
    tokio::spawn(connection);
    for (point, status) in [("peer.message", 500), ("peer.answered", 500), ("", 400)] {
        let guard = fail::FailGuard::new(point, "1*panic").unwrap();
        let uri = format!("http://{}/pieces", fixture.peer_address);
        let message = Request::post(uri).body(Full::new(Bytes::new())).unwrap();
        sender.ready().await.unwrap();
        let answer = sender.send_request(message).await;
        let answer = answer.unwrap_or_else(|error| panic!("{point}: {error}"));
        assert_eq!(answer.status().as_u16(), status, "{point}");
        drop(guard);
    }
}

/// A task that panicked at once after each restart left a host ready that could not serve.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_is_ready_while_a_task_that_it_needs_keeps_panicking() {
    let scenario = fail::FailScenario::setup();
    // The first starts of these tasks panic.
    let tasks = [
        "store-config",
        "store-servers",
        "store-hosts",
        "own-row",
        "follow",
        "config",
    ];
    for task in tasks
        .into_iter()
        .chain(["limits", "results", "sweep", "settings", "peers"])
    {
        fail::cfg(format!("task.{task}"), "1*panic").unwrap();
    }
    let fixture = Fixture::start("panic-in-task").await;
    check_served(&fixture, "restarted").await;
    assert_eq!(fixture.metric("hollywheel_panics_total").await, 11.0);
    check_peer_message(&fixture).await;
    scenario.teardown();

    let scenario = fail::FailScenario::setup();
    // Other tasks may keep panicking: the host serves with what it knows.
    fail::cfg("sweep.round", "panic").unwrap();
    sleep(Duration::from_millis(2500)).await;
    wait_for_readiness(&fixture, 200).await;
    check_served(&fixture, "sweep").await;
    fail::cfg("batches.round", "panic").unwrap();
    // The task rests until a group of pieces is added.
    for attempt in ["wake-1", "wake-2", "wake-3"] {
        fixture.call("POST", "/draft/ok", attempt).await;
        sleep(Duration::from_millis(500)).await;
    }
    wait_for_readiness(&fixture, 503).await;
    fail::remove("batches.round");
    wait_for_readiness(&fixture, 200).await;
    check_served(&fixture, "batches").await;
    scenario.teardown();
}
