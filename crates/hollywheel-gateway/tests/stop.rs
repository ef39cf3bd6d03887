//! The graceful stop, in a test process of its own, since it is asked for by a signal.

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
async fn a_host_that_stops_serves_what_it_has_and_then_takes_nothing() {
    let fixture = Fixture::start("stop").await;
    raise(Signal::SIGTERM).unwrap();
    let stopped = Instant::now();
    sleep(Duration::from_millis(200)).await;
    let ready = send(fixture.ready, request("GET", "/ready", "x", "k1"))
        .await
        .unwrap();
    assert_eq!(ready.status, 503);
    let order = peer_host::order_pieces(fixture.peers).await;
    assert_eq!(order, 503, "it takes no duty any more");
    let draft = fixture.call("POST", "/draft/ok", "d1").await;
    assert_eq!(draft.status, 200, "its own requests have their stages run");
    let mut served = 0;
    while stopped.elapsed() < Duration::from_millis(2300) {
        let answer = fixture.call("POST", "/pay/ok", "k1").await;
        assert_eq!(answer.status, 200, "the platform still sends callers");
        served += 1;
        sleep(Duration::from_millis(100)).await;
    }
    assert!(served > 10);
    sleep(Duration::from_millis(500)).await;
    let before = fixture.log.lines_with_prefix("ran ").len();
    let late = send(fixture.callers, request("POST", "/pay/ok", "k2", "k1")).await;
    assert!(late.is_err() || late.is_ok_and(|answer| answer.status == 0));
    assert_eq!(
        fixture.log.lines_with_prefix("ran ").len(),
        before,
        "nothing is passed on any more"
    );
}
