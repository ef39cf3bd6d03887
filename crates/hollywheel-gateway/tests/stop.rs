//! Checks the graceful stop, in its own test process because SIGTERM starts it.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/peer_host.rs"]
mod peer_host;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, raise};
use support::{Fixture, request, send};
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_host_serves_requests_until_it_closes_its_listeners() {
    let fixture = Fixture::start("stop").await;
    raise(Signal::SIGTERM).unwrap();
    let stop_start = Instant::now();
    sleep(Duration::from_millis(200)).await;
    let readiness = send(
        fixture.readiness_address,
        request("GET", "/ready", "x", "k1"),
    )
    .await
    .unwrap();
    assert_eq!(readiness.status, 503);
    let order_status = peer_host::order_pieces(fixture.peer_address).await;
    assert_eq!(order_status, 503, "orders for pieces are rejected");
    let draft = fixture.call("POST", "/draft/ok", "d1").await;
    assert_eq!(draft.status, 200, "stages of its own requests still run");
    let mut served_count = 0;
    while stop_start.elapsed() < Duration::from_millis(2300) {
        let response = fixture.call("POST", "/pay/ok", "k1").await;
        assert_eq!(
            response.status, 200,
            "callers are accepted until the platform has stopped sending them"
        );
        served_count += 1;
        sleep(Duration::from_millis(100)).await;
    }
    assert!(served_count > 10);
    sleep(Duration::from_millis(500)).await;
    let before = fixture.log.lines_with_prefix("ran ").len();
    let late = send(
        fixture.caller_address,
        request("POST", "/pay/ok", "k2", "k1"),
    )
    .await;
    assert!(late.is_err() || late.is_ok_and(|response| response.status == 0));
    assert_eq!(
        fixture.log.lines_with_prefix("ran ").len(),
        before,
        "no further request reaches a server"
    );
}
