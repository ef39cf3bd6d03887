//! A store that is away for a moment and comes back from a copy that is some seconds old.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/peer_host.rs"]
mod peer_host;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use hollywheel_wire::serving::FollowReply;
use prost::Message;
use support::{Fixture, RawLog, RawStep, config, serve_raw};
use tokio::time::sleep;

/// A configuration, or a server that leaves, is in force after this time (settings of the hosts).
const IN_FORCE: Duration = Duration::from_millis(2000);
/// Rows that are written between the copy and the return.
const LOST_WRITES: u64 = 30;
/// Every feed of a host is answered in this time, so that it has seen all revisions.
const FEEDS_ANSWERED: Duration = Duration::from_millis(1600);

/// Writes rows that the copy does not have.
fn write_lost_rows(fixture: &Fixture) {
    for number in 0..LOST_WRITES {
        let server = format!("lost-{}", number % 3);
        let address = "127.0.0.1:1".parse().unwrap();
        let store = &fixture.store;
        store.set_server(&server, "none", address, "ready", number);
    }
}

/// Takes the store away for a moment and brings it back from its copy.
async fn drill(fixture: &Fixture) {
    fixture.store.set_down(true);
    sleep(Duration::from_millis(300)).await;
    fixture.store.rewind();
    fixture.store.set_down(false);
}

/// Starts a plain server that counts its requests.
async fn start_plain() -> (std::net::SocketAddr, Arc<RawLog>) {
    serve_raw(|request| vec![RawStep::Send(request.response("200 OK", "", "x"))]).await
}

/// Sends requests for a time; returns how many were answered by a server.
async fn send_for(fixture: &Fixture, name: &str, time: Duration) -> usize {
    let started = Instant::now();
    let mut served = 0;
    let mut number = 0;
    while started.elapsed() < time {
        let attempt = format!("{name}-{number}");
        let answer = fixture.call("POST", "/pay/ok", &attempt).await;
        served += usize::from(answer.status == 200);
        number += 1;
        sleep(Duration::from_millis(20)).await;
    }
    served
}

/// The versions that the store gives out again are lower than those that the host has seen.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_is_in_force_after_the_store_came_back_older() {
    let fixture = Fixture::start("era-config").await;
    fixture.store.take_copy();
    write_lost_rows(&fixture);
    sleep(FEEDS_ANSWERED).await;
    drill(&fixture).await;
    sleep(Duration::from_millis(500)).await;
    fixture.store.set_config(&config(2, "k2"));
    let published = Instant::now();
    sleep(IN_FORCE).await;
    let answer = fixture.call("POST", "/pay/ok", "old-key").await;
    assert_eq!(
        answer.status,
        401,
        "the key of version 1 after {:?}",
        published.elapsed()
    );
}

/// The entry that the copy still holds says that the server is ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_removed_server_stays_removed_over_a_rewind() {
    let fixture = Fixture::start("era-removed").await;
    let (address, seen) = start_plain().await;
    let store = &fixture.store;
    store.set_server("p3", "plain", address, "ready", 1);
    sleep(Duration::from_millis(700)).await;
    send_for(&fixture, "before", Duration::from_millis(800)).await;
    assert!(!seen.paths().is_empty(), "the server is used");
    store.take_copy();
    store.remove_server("p3");
    sleep(Duration::from_millis(700)).await;
    let before = seen.paths().len();
    drill(&fixture).await;
    let served = send_for(&fixture, "after", Duration::from_secs(4)).await;
    assert!(served > 20, "the other servers serve: {served}");
    assert_eq!(seen.paths().len(), before, "nothing reaches p3 any more");
}

/// The removal comes after the rewind, at a revision below those that the host has seen.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_server_that_is_removed_after_a_rewind_gets_nothing_new() {
    let fixture = Fixture::start("era-later-removal").await;
    let (address, seen) = start_plain().await;
    let store = &fixture.store;
    store.set_server("p3", "plain", address, "ready", 1);
    store.take_copy();
    write_lost_rows(&fixture);
    sleep(FEEDS_ANSWERED).await;
    drill(&fixture).await;
    sleep(Duration::from_secs(3)).await;
    store.remove_server("p3");
    sleep(IN_FORCE).await;
    let before = seen.paths().len();
    assert!(send_for(&fixture, "after", Duration::from_secs(1)).await > 10);
    assert_eq!(seen.paths().len(), before, "nothing reaches p3 any more");
}

/// An address that was given to a server of another pool in the lost seconds is not taken for
/// that of its old owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_address_that_was_reused_gets_nothing_for_its_old_owner() {
    let fixture = Fixture::start("era-reused").await;
    let (address, seen) = start_plain().await;
    let store = &fixture.store;
    store.set_server("p3", "plain", address, "ready", 1);
    sleep(Duration::from_millis(700)).await;
    store.take_copy();
    store.remove_server("p3");
    store.set_server("m3", "model", address, "ready", 2);
    sleep(Duration::from_millis(700)).await;
    drill(&fixture).await;
    let before = seen.paths().len();
    sleep(Duration::from_millis(600)).await;
    store.set_server("m3", "model", address, "ready", 2);
    send_for(&fixture, "after", Duration::from_secs(3)).await;
    assert_eq!(seen.paths().len(), before, "no payment reaches m3");
}

/// The row of the host itself was written after the copy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_writes_its_row_again() {
    let fixture = Fixture::start("era-own-row").await;
    let store = &fixture.store;
    let host = store.keys("hosts");
    assert_eq!(host.len(), 1, "{host:?}");
    for _ in 0..2 {
        drill(&fixture).await;
    }
    assert!(store.keys("hosts").is_empty(), "the copy is from before");
    store.set_config(&config(1, "k1"));
    store.take_calls();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(store.keys("hosts"), host);
    let calls = store.take_calls();
    let writes = calls.iter().filter(|path| *path == "/rows-tx").count();
    assert!(writes <= 2, "one write an era: {writes}");
    assert!(calls.len() <= 40, "calls after the return: {}", calls.len());
}

/// The readers of the store are hosts of an earlier version, which say that their view is fresh but
/// tell no era.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_tells_no_era_is_not_followed() {
    let fixture = Fixture::start("era-not-told").await;
    let reply = FollowReply {
        incarnation: 1,
        age_us: Some(0),
        ..FollowReply::default()
    };
    for name in ["front-x-1", "front-y-1", "front-z-1"] {
        let (address, _) = peer_host::serve_peer(200, reply.encode_to_vec()).await;
        let entry = peer_host::encode_heavy_host(name, address);
        fixture.store.set_host(name, &entry);
    }
    sleep(FEEDS_ANSWERED).await;
    fixture.store.set_config(&config(2, "k2"));
    sleep(IN_FORCE).await;
    let answer = fixture.call("POST", "/pay/ok", "old-key").await;
    assert_eq!(answer.status, 401, "the key of version 1");
}
