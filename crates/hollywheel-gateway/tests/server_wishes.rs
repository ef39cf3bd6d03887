//! What servers ask for in their answers: nothing new since they leave, or nothing for a while.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::{Duration, Instant};

use support::{Fixture, RawStep, serve_raw};
use tokio::time::sleep;

const LEAVING: &str = "server-leaving: 1\r\n";

/// The entry in the store still says that the server is ready, and the store is away: the
/// server's own word is enough, on any answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_says_that_it_leaves_gets_nothing_new() {
    let fixture = Fixture::start("says-leaving").await;
    for (server, pool, path) in [
        ("p3", "plain", "/pay/ok"),
        ("m3", "model", "/draft/ok"),
        ("s3", "stage", "/draft/ok"),
    ] {
        let (address, seen) = serve_raw(move |request| {
            let body = match request.path.as_str() {
                "/stage-run" => r#"{"items":[]}"#,
                _ => "id: 1\ndata: a\n\n",
            };
            vec![RawStep::Send(request.response("200 OK", LEAVING, body))]
        })
        .await;
        fixture.store.set_server(server, pool, address, "ready", 1);
        sleep(Duration::from_millis(700)).await;
        fixture.store.set_down(true);
        for number in 0..12 {
            let attempt = format!("{server}-{number}");
            let answer = fixture.call("POST", path, &attempt).await;
            assert_eq!(answer.status, 200, "{attempt}: {answer:?}");
        }
        assert_eq!(seen.paths().len(), 1, "{server}: {:?}", seen.paths());
        fixture.store.set_down(false);
        sleep(Duration::from_millis(700)).await;
        let again = fixture.call("POST", path, &format!("{server}-z")).await;
        assert_eq!(again.status, 200);
        assert_eq!(seen.paths().len(), 1, "the same incarnation still leaves");
    }
}

/// A refusal may say for how long its server wants nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_asks_for_time_gets_nothing_until_then() {
    let fixture = Fixture::start("asks-time").await;
    let pause = Duration::from_millis(1200);
    for (server, pool, path) in [
        ("p3", "plain", "/pay/ok"),
        ("m3", "model", "/draft/ok"),
        ("s3", "stage", "/draft/ok"),
    ] {
        let (address, seen) = serve_raw(move |request| {
            let extra = "not-executed: 1\r\nretry-after: 1.2\r\n";
            let refusal = request.response("503 Service Unavailable", extra, "");
            vec![RawStep::Send(refusal)]
        })
        .await;
        fixture.store.set_server(server, pool, address, "ready", 1);
        sleep(Duration::from_millis(700)).await;
        let mut asked_at = None;
        let mut number = 0;
        while asked_at.is_none_or(|at: Instant| at.elapsed() < pause - Duration::from_millis(150)) {
            let before = Instant::now();
            let attempt = format!("{server}-{number}");
            let answer = fixture.call("POST", path, &attempt).await;
            assert_eq!(answer.status, 200, "{attempt}: {answer:?}");
            number += 1;
            if asked_at.is_none() && !seen.paths().is_empty() {
                asked_at = Some(before);
            }
        }
        let seen_first = seen.paths().len();
        assert!(number > 12 || pool != "plain");
        assert_eq!(seen_first, 1, "{server}: {:?}", seen.paths());
        fixture.store.remove_server(server);
        sleep(Duration::from_millis(700)).await;
    }
}

/// If every server of a pool has asked for time, a request is refused at once with the least of
/// these times, and none of them gets it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pool_that_asks_for_time_is_left_alone() {
    let fixture = Fixture::start("pool-asks-time").await;
    for (pool, path) in [("plain", "/pay/ok"), ("model", "/draft/ok")] {
        let seen = fixture
            .replace_pool(pool, |request| {
                let extra = "not-executed: 1\r\nretry-after: 2\r\n";
                let refusal = request.response("503 Service Unavailable", extra, "");
                vec![RawStep::Send(refusal)]
            })
            .await;
        assert_eq!(fixture.call("POST", path, "a").await.status, 503);
        let started = Instant::now();
        let answer = fixture.call("POST", path, "b").await;
        assert_eq!(answer.status, 503, "{path}: {answer:?}");
        let retry_after = answer.retry_after.unwrap();
        assert!((1.0..=2.0).contains(&retry_after), "{path}: {retry_after}");
        assert!(started.elapsed() < Duration::from_millis(200), "{path}");
        assert_eq!(seen.paths().len(), 1, "{path}");
    }
}
