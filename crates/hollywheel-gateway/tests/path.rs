//! The whole path on loopback: a caller, the gateway, the store and backend servers.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::{Duration, Instant};

use support::{Fixture, config, request, send};
use tokio::time::{sleep, timeout};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_payment_runs_once_and_its_answer_is_the_servers() {
    let fixture = Fixture::start("payment").await;
    let answer = fixture.call("POST", "/pay/ok", "a1").await;
    assert_eq!(
        (answer.status, answer.body.as_deref()),
        (200, Ok("echo body"))
    );
    assert!(answer.seal.is_some());
    let ran = fixture.log.lines_with_prefix("ran a1");
    assert_eq!(ran.len(), 1);
    assert!(ran[0].contains("tenant=office key= "), "{ran:?}");
}

/// What may have run is never called refused, and is not sent again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_payment_whose_fate_is_unknown_is_not_repeated() {
    let fixture = Fixture::start("unknown").await;
    for (attempt, mode) in [
        ("b1", "cut"),
        ("b2", "foreign"),
        ("b3", "unsealed"),
        ("b4", "torn"),
    ] {
        let answer = fixture.call("POST", &format!("/pay/{mode}"), attempt).await;
        assert_eq!(answer.status, 502, "{mode}: {answer:?}");
        assert_eq!(answer.retry_after, None);
        assert_eq!(
            fixture
                .log
                .lines_with_prefix(&format!("ran {attempt} "))
                .len(),
            1,
            "{mode}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_payment_that_no_server_takes_is_refused_truthfully() {
    let fixture = Fixture::start("full").await;
    let answer = fixture.call("POST", "/pay/first-full", "c1").await;
    assert_eq!(
        answer.status, 200,
        "the other server takes what one has refused"
    );
    assert_eq!(fixture.log.lines_with_prefix("ran c1").len(), 1);
    let answer = fixture.call("POST", "/pay/full", "c2").await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.unwrap() > 0.0);
    assert!(fixture.log.lines_with_prefix("ran c2").is_empty());
    assert_eq!(
        fixture.log.lines_with_prefix("refused c2").len(),
        2,
        "each server was asked once"
    );
}

/// A request that a server still works on when its time is over may run to its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_runs_at_its_timeout_is_not_called_refused() {
    let fixture = Fixture::start("timeout").await;
    for (attempt, path) in [
        ("j1", "/pay/slow"),
        ("j2", "/draft/slow"),
        ("j3", "/brief/slow"),
    ] {
        let answer = fixture.call("POST", path, attempt).await;
        assert_eq!(answer.status, 504, "{path}: {answer:?}");
        assert_eq!(answer.retry_after, None, "{path}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lookup_that_failed_is_tried_at_another_server() {
    let fixture = Fixture::start("lookup").await;
    let answer = fixture.call("POST", "/look/flaky", "d1").await;
    assert_eq!(answer.status, 200);
    let ran = fixture.log.lines_with_prefix("ran d1");
    assert_eq!(ran.len(), 2);
    assert_ne!(
        ran[0].contains("at=p1"),
        ran[1].contains("at=p1"),
        "{ran:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_gets_its_inputs_and_whole_events() {
    let fixture = Fixture::start("stream").await;
    let answer = fixture.call("POST", "/draft/ok", "e1").await;
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok(events)));
    assert!(fixture.log.lines_with_prefix("ran e1")[0].contains("inputs=1"));
    let runs = fixture.log.lines_with_prefix("/stage-run");
    assert_eq!(runs.len(), 2, "one call a stage: {runs:?}");
    assert!(runs[0].contains(r#""key":"7c1e""#) && runs[1].contains(r#""inputs":["#));
    sleep(Duration::from_millis(300)).await;
    let freed: String = fixture.log.lines_with_prefix("/stage-free").concat();
    assert_eq!(
        freed.matches("s1-").count(),
        3,
        "all results are freed: {freed}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_stream_goes_on_elsewhere_only_where_that_is_allowed() {
    let fixture = Fixture::start("broken").await;
    let answer = fixture.call("POST", "/brief/broken", "f1").await;
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert_eq!(answer.body.as_deref(), Ok(events));
    let ran = fixture.log.lines_with_prefix("ran f1");
    assert_eq!(ran.len(), 2);
    assert!(ran[1].ends_with("last=1"), "{ran:?}");
    let answer = fixture.call("POST", "/draft/broken", "f2").await;
    assert!(
        answer.body.is_err(),
        "an answer that ended early looks so: {answer:?}"
    );
    assert_eq!(fixture.log.lines_with_prefix("ran f2").len(), 1);
}

/// A server drops idle connections without notice; a call for pieces that meets one goes out
/// again at once, and the server is not passed over (for 250 ms) as one that fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_for_pieces_on_a_dead_connection_goes_out_again() {
    let fixture = Fixture::start("stale").await;
    let _first = fixture.call("POST", "/draft/ok", "w1").await;
    let started = Instant::now();
    for attempt in ["stale1", "stale2", "stale3", "stale4", "stale5"] {
        let answer = fixture.call("POST", "/draft/ok", attempt).await;
        assert_eq!(answer.status, 200);
    }
    let taken = started.elapsed();
    assert!(taken < Duration::from_millis(5 * 250), "{taken:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_that_the_caller_has_are_not_passed_on_again() {
    let fixture = Fixture::start("restarted").await;
    let answer = fixture.call("POST", "/brief/restarted", "r1").await;
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert_eq!(answer.body.as_deref(), Ok(events));
    let ran = fixture.log.lines_with_prefix("ran r1");
    assert_eq!(ran.len(), 2);
    assert!(ran[1].ends_with("last=1"), "{ran:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_frees_the_server() {
    let fixture = Fixture::start("gone").await;
    for (attempt, path) in [("g1", "/pay/slow"), ("g2", "/draft/slow")] {
        let call = send(fixture.callers, request("POST", path, attempt, "k1"));
        assert!(timeout(Duration::from_millis(600), call).await.is_err());
        sleep(Duration::from_millis(400)).await;
        let cancelled = fixture
            .log
            .lines_with_prefix(&format!("cancelled {attempt}"));
        assert_eq!(cancelled.len(), 1, "{path}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_and_routes_are_those_of_the_configuration_in_force() {
    let fixture = Fixture::start("keys").await;
    let status = |path: &'static str, key: &'static str| {
        let callers = fixture.callers;
        async move {
            send(callers, request("POST", path, "h1", key))
                .await
                .unwrap()
                .status
        }
    };
    assert_eq!(status("/pay/ok", "k2").await, 401);
    assert_eq!(status("/nowhere/ok", "k1").await, 404);
    fixture.store.set_config(&config(2, "k2"));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(status("/pay/ok", "k2").await, 200);
    assert_eq!(status("/pay/ok", "k1").await, 401);
    fixture.store.set_config("{}");
    fixture.store.set_config(&config(1, "k1"));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(status("/pay/ok", "k2").await, 200, "versions only rise");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_that_leave_get_nothing_new_and_an_outage_changes_nothing() {
    let fixture = Fixture::start("leaving").await;
    fixture.store.remove_server("p1");
    sleep(Duration::from_millis(700)).await;
    for number in 0..6 {
        let attempt = format!("i{number}");
        assert_eq!(fixture.call("POST", "/pay/ok", &attempt).await.status, 200);
    }
    let ran: String = fixture.log.lines_with_prefix("ran i").concat();
    assert!(!ran.contains("at=p1"), "{ran}");
    fixture.store.set_down(true);
    sleep(Duration::from_millis(1500)).await;
    assert_eq!(fixture.call("POST", "/pay/ok", "i7").await.status, 200);
}
