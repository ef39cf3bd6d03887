//! Checks the gateway while the store is restored from a backup that is some seconds old.
//!
//! Such a restore loses the latest writes, assigns their revisions again and starts a new era.

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

/// Time within which a configuration or the removal of a server is applied, as the settings of the
/// hosts require.
const APPLY_TIME: Duration = Duration::from_millis(2000);
/// Number of writes between the backup and the restore.
const LOST_WRITES: u64 = 30;
/// Time within which every feed of a host returns, so that the host has received all revisions.
const FEED_TIME: Duration = Duration::from_millis(1600);

/// Writes rows that the backup does not contain.
fn write_lost_rows(fixture: &Fixture) {
    for number in 0..LOST_WRITES {
        let server = format!("lost-{}", number % 3);
        let address = "127.0.0.1:1".parse().unwrap();
        let store = &fixture.store;
        store.set_server(&server, "none", address, "ready", number);
    }
}

/// Makes the store unavailable for 0.3 s and restores its backup.
async fn restore_store(fixture: &Fixture) {
    fixture.store.set_down(true);
    sleep(Duration::from_millis(300)).await;
    fixture.store.restore_backup();
    fixture.store.set_down(false);
}

/// Starts a server of the pool `plain` that records its requests.
async fn start_plain_server() -> (std::net::SocketAddr, Arc<RawLog>) {
    serve_raw(|request| vec![RawStep::Send(request.response("200 OK", "", "x"))]).await
}

/// Sends requests for a duration; returns how many succeeded.
async fn send_for(fixture: &Fixture, name: &str, duration: Duration) -> usize {
    let started = Instant::now();
    let mut served = 0;
    let mut number = 0;
    while started.elapsed() < duration {
        let attempt = format!("{name}-{number}");
        let response = fixture.call("POST", "/pay/ok", &attempt).await;
        served += usize::from(response.status == 200);
        number += 1;
        sleep(Duration::from_millis(20)).await;
    }
    served
}

/// The restored store assigns revisions below those that the host has seen.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configuration_is_applied_after_a_store_restore() {
    let fixture = Fixture::start("era-config").await;
    fixture.store.take_backup();
    write_lost_rows(&fixture);
    sleep(FEED_TIME).await;
    restore_store(&fixture).await;
    sleep(Duration::from_millis(500)).await;
    fixture.store.set_config(&config(2, "k2"));
    let published = Instant::now();
    sleep(APPLY_TIME).await;
    let response = fixture.call("POST", "/pay/ok", "old-key").await;
    assert_eq!(
        response.status,
        401,
        "the key of version 1 after {:?}",
        published.elapsed()
    );
}

/// The restored entry says that the removed server is ready.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn removed_server_stays_removed_after_a_store_restore() {
    let fixture = Fixture::start("era-removed").await;
    let (address, server_log) = start_plain_server().await;
    let store = &fixture.store;
    store.set_server("p3", "plain", address, "ready", 1);
    sleep(Duration::from_millis(700)).await;
    send_for(&fixture, "before", Duration::from_millis(800)).await;
    assert!(
        !server_log.paths().is_empty(),
        "the server gets requests before its removal"
    );
    store.take_backup();
    store.remove_server("p3");
    sleep(Duration::from_millis(700)).await;
    let before = server_log.paths().len();
    restore_store(&fixture).await;
    let served = send_for(&fixture, "after", Duration::from_secs(4)).await;
    assert!(served > 20, "the other servers respond: {served}");
    assert_eq!(
        server_log.paths().len(),
        before,
        "no further request reaches p3"
    );
}

/// The removal follows the restore, at a revision below those that the host has seen.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_removed_after_a_store_restore_gets_no_requests() {
    let fixture = Fixture::start("era-later-removal").await;
    let (address, server_log) = start_plain_server().await;
    let store = &fixture.store;
    store.set_server("p3", "plain", address, "ready", 1);
    store.take_backup();
    write_lost_rows(&fixture);
    sleep(FEED_TIME).await;
    restore_store(&fixture).await;
    sleep(Duration::from_secs(3)).await;
    store.remove_server("p3");
    sleep(APPLY_TIME).await;
    let before = server_log.paths().len();
    assert!(send_for(&fixture, "after", Duration::from_secs(1)).await > 10);
    assert_eq!(
        server_log.paths().len(),
        before,
        "no further request reaches p3"
    );
}

/// After the backup, the address of a server was reassigned to a server of another pool. The
/// restored entry of the old owner must not direct requests to that address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reused_address_gets_no_requests_for_its_old_owner() {
    let fixture = Fixture::start("era-reused").await;
    let (address, server_log) = start_plain_server().await;
    let store = &fixture.store;
    store.set_server("p3", "plain", address, "ready", 1);
    sleep(Duration::from_millis(700)).await;
    store.take_backup();
    store.remove_server("p3");
    store.set_server("m3", "model", address, "ready", 2);
    sleep(Duration::from_millis(700)).await;
    restore_store(&fixture).await;
    let before = server_log.paths().len();
    sleep(Duration::from_millis(600)).await;
    store.set_server("m3", "model", address, "ready", 2);
    send_for(&fixture, "after", Duration::from_secs(3)).await;
    assert_eq!(
        server_log.paths().len(),
        before,
        "no request for the old owner reaches m3"
    );
}

/// The host wrote its own row after the backup, so the restore removes the row.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_rewrites_its_row_after_a_store_restore() {
    let fixture = Fixture::start("era-own-row").await;
    let store = &fixture.store;
    let host_keys = store.keys("hosts");
    assert_eq!(host_keys.len(), 1, "{host_keys:?}");
    for _ in 0..2 {
        restore_store(&fixture).await;
    }
    assert!(
        store.keys("hosts").is_empty(),
        "the restored store has no host rows"
    );
    store.set_config(&config(1, "k1"));
    store.take_calls();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(store.keys("hosts"), host_keys);
    let calls = store.take_calls();
    let writes = calls.iter().filter(|path| *path == "/rows-tx").count();
    assert!(writes <= 2, "one write per era: {writes}");
    assert!(
        calls.len() <= 40,
        "calls after the restore: {}",
        calls.len()
    );
}

/// Hosts of an earlier version report that their view of the store is fresh, but not its era.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peer_that_reports_no_era_is_not_followed() {
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
    sleep(FEED_TIME).await;
    fixture.store.set_config(&config(2, "k2"));
    sleep(APPLY_TIME).await;
    let response = fixture.call("POST", "/pay/ok", "old-key").await;
    assert_eq!(response.status, 401, "the key of version 1");
}
