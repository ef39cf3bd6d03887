//! Checks that the gateway honours `Server-Leaving` and `Retry-After` in servers' responses.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::{Duration, Instant};

use support::{Fixture, RawStep, serve_raw};
use tokio::time::sleep;

/// Header by which a server announces that it is draining.
const LEAVING_HEADER: &str = "server-leaving: 1\r\n";

/// The header on any response suffices, although the store is unavailable and the server's entry in
/// it still says that the server is ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_server_gets_no_new_requests() {
    let fixture = Fixture::start("says-leaving").await;
    for (server, pool, path) in [
        ("p3", "plain", "/pay/ok"),
        ("m3", "model", "/draft/ok"),
        ("s3", "stage", "/draft/ok"),
    ] {
        let (address, server_log) = serve_raw(move |request| {
            let body = match request.path.as_str() {
                "/stage-run" => r#"{"items":[]}"#,
                _ => "id: 1\ndata: a\n\n",
            };
            vec![RawStep::Send(request.response(
                "200 OK",
                LEAVING_HEADER,
                body,
            ))]
        })
        .await;
        fixture.store.set_server(server, pool, address, "ready", 1);
        sleep(Duration::from_millis(700)).await;
        fixture.store.set_down(true);
        for number in 0..12 {
            let attempt = format!("{server}-{number}");
            let response = fixture.call("POST", path, &attempt).await;
            assert_eq!(response.status, 200, "{attempt}: {response:?}");
        }
        assert_eq!(
            server_log.paths().len(),
            1,
            "{server}: {:?}",
            server_log.paths()
        );
        fixture.store.set_down(false);
        sleep(Duration::from_millis(700)).await;
        let later = fixture.call("POST", path, &format!("{server}-z")).await;
        assert_eq!(later.status, 200);
        assert_eq!(
            server_log.paths().len(),
            1,
            "the same incarnation is still draining"
        );
    }
}

/// A server that rejects a request with `Retry-After` gets no request until that time has passed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_gets_no_requests_before_its_retry_after() {
    let fixture = Fixture::start("asks-time").await;
    let retry_after = Duration::from_millis(1200);
    for (server, pool, path) in [
        ("p3", "plain", "/pay/ok"),
        ("m3", "model", "/draft/ok"),
        ("s3", "stage", "/draft/ok"),
    ] {
        let (address, server_log) = serve_raw(move |request| {
            let extra = "not-executed: 1\r\nretry-after: 1.2\r\n";
            let rejection = request.response("503 Service Unavailable", extra, "");
            vec![RawStep::Send(rejection)]
        })
        .await;
        fixture.store.set_server(server, pool, address, "ready", 1);
        sleep(Duration::from_millis(700)).await;
        let mut first_rejection = None;
        let mut number = 0;
        while first_rejection
            .is_none_or(|at: Instant| at.elapsed() < retry_after - Duration::from_millis(150))
        {
            let before = Instant::now();
            let attempt = format!("{server}-{number}");
            let response = fixture.call("POST", path, &attempt).await;
            assert_eq!(response.status, 200, "{attempt}: {response:?}");
            number += 1;
            if first_rejection.is_none() && !server_log.paths().is_empty() {
                first_rejection = Some(before);
            }
        }
        let request_count = server_log.paths().len();
        assert!(number > 12 || pool != "plain");
        assert_eq!(request_count, 1, "{server}: {:?}", server_log.paths());
        fixture.store.remove_server(server);
        sleep(Duration::from_millis(700)).await;
    }
}

/// If every server of a pool has sent `Retry-After`, a request is rejected immediately with the
/// shortest of these times and sent to none of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_rejected_while_all_servers_of_a_pool_ask_to_wait() {
    let fixture = Fixture::start("pool-asks-time").await;
    for (pool, path) in [("plain", "/pay/ok"), ("model", "/draft/ok")] {
        let server_log = fixture
            .replace_pool(pool, |request| {
                let extra = "not-executed: 1\r\nretry-after: 2\r\n";
                let rejection = request.response("503 Service Unavailable", extra, "");
                vec![RawStep::Send(rejection)]
            })
            .await;
        assert_eq!(fixture.call("POST", path, "a").await.status, 503);
        let started = Instant::now();
        let response = fixture.call("POST", path, "b").await;
        assert_eq!(response.status, 503, "{path}: {response:?}");
        let retry_after = response.retry_after.unwrap();
        assert!((1.0..=2.0).contains(&retry_after), "{path}: {retry_after}");
        assert!(started.elapsed() < Duration::from_millis(200), "{path}");
        assert_eq!(server_log.paths().len(), 1, "{path}");
    }
}
