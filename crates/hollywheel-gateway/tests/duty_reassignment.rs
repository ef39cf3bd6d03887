//! Checks that duties are reassigned when the host that has them stops.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/peer_host.rs"]
mod peer_host;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use support::Fixture;
use tokio::time::sleep;

/// Time within which the gateway has applied a change of the hosts' table.
const HOST_APPLIED: Duration = Duration::from_millis(1500);
/// Time after which a host that failed to respond would be called again.
const RETRY_TIME: Duration = Duration::from_millis(2200);

/// The peer rejects the order as a stopping host does, while its row is still in the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_host_gets_one_order_before_its_duty_is_reassigned() {
    let fixture = Fixture::start("hand-over").await;
    let (address, order_count) = peer_host::serve_peer(503, Vec::new()).await;
    let entry = peer_host::encode_heavy_host("front-z-1", address);
    fixture.store.set_host("front-z-1", &entry);
    sleep(HOST_APPLIED).await;
    for number in 0..6 {
        let attempt = format!("draft-{number}");
        let response = fixture.call("POST", "/draft/ok", &attempt).await;
        assert_eq!(response.status, 200, "{attempt}: {response:?}");
        sleep(RETRY_TIME / 4).await;
    }
    assert_eq!(
        order_count.load(Ordering::SeqCst),
        1,
        "the duty was not reassigned"
    );
}
