//! Checks how long a host is without news of the servers when the hosts that it follows fall silent.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/peer_host.rs"]
mod peer_host;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use support::{Fixture, request, send, servers};
use tokio::time::sleep;

/// Time after which a leaving server gets no requests (`drain-ms` in the settings of the fixture).
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Number of other hosts, as many as a host tries to follow.
const SOURCES: usize = 6;

/// All hosts that could be followed fall silent at the moment when a server announces that it leaves;
/// the store answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_reach_a_leaving_server_while_the_followed_hosts_are_silent() {
    let fixture = Fixture::start("silent-sources").await;
    let address = servers::serve("p3", Arc::clone(&fixture.log)).await;
    fixture.store.set_server("p3", "plain", address, "ready", 1);
    let silent = Arc::new(AtomicBool::new(false));
    for number in 0..SOURCES {
        let source = peer_host::serve_source(Arc::clone(&silent)).await;
        let name = format!("front-z-{number}");
        let entry = peer_host::encode_heavy_host(&name, source);
        fixture.store.set_host(&name, &entry);
    }
    sleep(Duration::from_secs(3)).await;
    fixture.store.take_calls();
    sleep(Duration::from_millis(1500)).await;
    let calls = fixture.store.take_calls();
    let reads = calls.iter().filter(|path| path.starts_with("/rows-feed"));
    assert_eq!(reads.count(), 0, "the host follows others: {calls:?}");

    silent.store(true, Ordering::SeqCst);
    let left_at = Instant::now();
    fixture
        .store
        .set_server("p3", "plain", address, "draining", 1);
    let mut number = 0;
    while left_at.elapsed() < DRAIN_BOUND + Duration::from_secs(4) {
        number += 1;
        let call = request("POST", "/look/ok", &format!("a{number:x}"), "k1");
        tokio::spawn(send(fixture.caller_address, call));
        sleep(Duration::from_millis(20)).await;
    }
    let arrivals = fixture.log.arrivals_since("p3", left_at);
    println!("last request {:?}", arrivals.last().map(|at| *at - left_at));
    assert!(!arrivals.is_empty(), "the host used the server before");
    let late = fixture.log.arrivals_since("p3", left_at + DRAIN_BOUND);
    assert_eq!(late.len(), 0, "requests after {DRAIN_BOUND:?}");
}
