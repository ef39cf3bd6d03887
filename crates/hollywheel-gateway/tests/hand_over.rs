//! Duties that go to another host, since the one that has them stops.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/peer_host.rs"]
mod peer_host;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use support::Fixture;
use tokio::time::sleep;

/// A feed of the hosts' table is read by then, with the time for which its changes are collected.
const HOST_KNOWN: Duration = Duration::from_millis(1500);
/// A host that did not answer would be asked again by then.
const ASKED_AGAIN: Duration = Duration::from_millis(2200);

/// The row of the other host is still there, as in the first part of its stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_stops_is_asked_for_pieces_once() {
    let fixture = Fixture::start("hand-over").await;
    let (address, calls) = peer_host::serve_peer(503, Vec::new()).await;
    let entry = peer_host::encode_heavy_host("front-z-1", address);
    fixture.store.set_host("front-z-1", &entry);
    sleep(HOST_KNOWN).await;
    for number in 0..6 {
        let attempt = format!("draft-{number}");
        let answer = fixture.call("POST", "/draft/ok", &attempt).await;
        assert_eq!(answer.status, 200, "{attempt}: {answer:?}");
        sleep(ASKED_AGAIN / 4).await;
    }
    assert_eq!(calls.load(Ordering::SeqCst), 1, "the duty has gone on");
}
