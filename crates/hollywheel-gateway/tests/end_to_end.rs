//! End-to-end tests on loopback: a caller, the gateway, the store and backend servers.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::{Duration, Instant};

use support::{Fixture, config, request, send};
use tokio::time::{sleep, timeout};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_request_runs_once_and_returns_the_server_response() {
    let fixture = Fixture::start("payment").await;
    let response = fixture.call("POST", "/pay/ok", "a1").await;
    assert_eq!(
        (response.status, response.body.as_deref()),
        (200, Ok("echo body"))
    );
    assert!(response.seal.is_some());
    let ran = fixture.log.lines_with_prefix("ran a1");
    assert_eq!(ran.len(), 1);
    assert!(ran[0].contains("tenant=office key= "), "{ran:?}");
}

/// A non-idempotent request that may have run is neither reported as rejected nor sent again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_request_with_unknown_outcome_is_not_retried() {
    let fixture = Fixture::start("unknown").await;
    for (attempt, mode) in [
        ("b1", "cut"),
        ("b2", "foreign"),
        ("b3", "unsealed"),
        ("b4", "torn"),
    ] {
        let response = fixture.call("POST", &format!("/pay/{mode}"), attempt).await;
        assert_eq!(response.status, 502, "{mode}: {response:?}");
        assert_eq!(response.retry_after, None);
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
async fn request_rejected_by_all_servers_is_reported_as_not_run() {
    let fixture = Fixture::start("full").await;
    let response = fixture.call("POST", "/pay/first-full", "c1").await;
    assert_eq!(
        response.status, 200,
        "the other server accepts what one has rejected"
    );
    assert_eq!(fixture.log.lines_with_prefix("ran c1").len(), 1);
    let response = fixture.call("POST", "/pay/full", "c2").await;
    assert_eq!(response.status, 503);
    assert!(response.retry_after.unwrap() > 0.0);
    assert!(fixture.log.lines_with_prefix("ran c2").is_empty());
    assert_eq!(
        fixture.log.lines_with_prefix("refused c2").len(),
        2,
        "each server gets the request once"
    );
}

/// A request that times out at a server may still complete there, so the response is 504 and allows
/// no retry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn timed_out_request_is_not_reported_as_rejected() {
    let fixture = Fixture::start("timeout").await;
    for (attempt, path) in [
        ("j1", "/pay/slow"),
        ("j2", "/draft/slow"),
        ("j3", "/brief/slow"),
    ] {
        let response = fixture.call("POST", path, attempt).await;
        assert_eq!(response.status, 504, "{path}: {response:?}");
        assert_eq!(response.retry_after, None, "{path}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_idempotent_request_is_retried_on_another_server() {
    let fixture = Fixture::start("lookup").await;
    let response = fixture.call("POST", "/look/flaky", "d1").await;
    assert_eq!(response.status, 200);
    let ran = fixture.log.lines_with_prefix("ran d1");
    assert_eq!(ran.len(), 2);
    assert_ne!(
        ran[0].contains("at=p1"),
        ran[1].contains("at=p1"),
        "{ran:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_reads_stage_results_and_returns_complete_events() {
    let fixture = Fixture::start("stream").await;
    let response = fixture.call("POST", "/draft/ok", "e1").await;
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    assert_eq!(
        (response.status, response.body.as_deref()),
        (200, Ok(events))
    );
    assert!(fixture.log.lines_with_prefix("ran e1")[0].contains("inputs=1"));
    let runs = fixture.log.lines_with_prefix("/stage-run");
    assert_eq!(runs.len(), 2, "one call per stage: {runs:?}");
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
async fn only_resumable_streams_continue_on_another_server() {
    let fixture = Fixture::start("broken").await;
    let response = fixture.call("POST", "/brief/broken", "f1").await;
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert_eq!(response.body.as_deref(), Ok(events));
    let ran = fixture.log.lines_with_prefix("ran f1");
    assert_eq!(ran.len(), 2);
    assert!(ran[1].ends_with("last=1"), "{ran:?}");
    let response = fixture.call("POST", "/draft/broken", "f2").await;
    assert!(
        response.body.is_err(),
        "a truncated response must not look complete: {response:?}"
    );
    assert_eq!(fixture.log.lines_with_prefix("ran f2").len(), 1);
}

/// A server may close idle connections without notice. A call for pieces on such a connection is
/// retried immediately, and the server is not ejected (for 250 ms) as a failing one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stage_call_on_a_closed_pooled_connection_is_retried() {
    let fixture = Fixture::start("stale").await;
    let _warm_up = fixture.call("POST", "/draft/ok", "w1").await;
    let started = Instant::now();
    for attempt in ["stale1", "stale2", "stale3", "stale4", "stale5"] {
        let response = fixture.call("POST", "/draft/ok", attempt).await;
        assert_eq!(response.status, 200);
    }
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_millis(5 * 250), "{elapsed:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_stream_does_not_repeat_events() {
    let fixture = Fixture::start("restarted").await;
    let response = fixture.call("POST", "/brief/restarted", "r1").await;
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert_eq!(response.body.as_deref(), Ok(events));
    let ran = fixture.log.lines_with_prefix("ran r1");
    assert_eq!(ran.len(), 2);
    assert!(ran[1].ends_with("last=1"), "{ran:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_disconnect_cancels_the_server_request() {
    let fixture = Fixture::start("gone").await;
    for (attempt, path) in [("g1", "/pay/slow"), ("g2", "/draft/slow")] {
        let call = send(fixture.caller_address, request("POST", path, attempt, "k1"));
        assert!(timeout(Duration::from_millis(600), call).await.is_err());
        sleep(Duration::from_millis(400)).await;
        let cancelled = fixture
            .log
            .lines_with_prefix(&format!("cancelled {attempt}"));
        assert_eq!(cancelled.len(), 1, "{path}");
    }
}

/// A request ran whose key no configuration had held, on a pipeline that allows requests without one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_key_is_served_on_an_anonymous_pipeline() {
    let fixture = Fixture::start("unknown-key").await;
    let text = config(2, "k1").replace(
        "\"service\":\"plain\"",
        "\"service\":\"plain\",\"allow-anonymous\":true",
    );
    fixture.store.set_config(&text);
    tokio::time::sleep(Duration::from_millis(700)).await;
    for (key, status) in [("k1", 200), ("", 200), ("other", 401)] {
        let mut request = request("POST", "/pay/ok", &format!("a{key}"), key);
        if key.is_empty() {
            request.headers_mut().remove("authorization");
        }
        let response = send(fixture.caller_address, request).await.unwrap();
        assert_eq!(response.status, status, "key {key:?}: {response:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_and_routes_follow_the_applied_configuration() {
    let fixture = Fixture::start("keys").await;
    let status = |path: &'static str, key: &'static str| {
        let address = fixture.caller_address;
        async move {
            send(address, request("POST", path, "h1", key))
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
    assert_eq!(
        status("/pay/ok", "k2").await,
        200,
        "an older version is not applied"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn removed_servers_get_no_requests_and_a_store_outage_changes_nothing() {
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
