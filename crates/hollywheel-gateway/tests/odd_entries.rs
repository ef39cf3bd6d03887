//! Checks that entries of another writer among those of the servers do not affect the others.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::time::Duration;

use support::{Fixture, request, send, servers};
use tokio::time::sleep;

/// Returns a server entry with one field replaced by the given text.
fn entry(field: &str, value: &str) -> Vec<u8> {
    let fields = [
        ("service", "\"plain\""),
        ("address", "\"127.0.0.1:9\""),
        ("zone", "\"a\""),
        ("version", "\"v1\""),
        ("slots", "4"),
        ("state", "\"ready\""),
        ("cold-remaining-ms", "0"),
        ("sequence", "1"),
        ("born", "1"),
    ];
    let fields = fields.map(|(name, usual)| {
        let value = if name == field { value } else { usual };
        format!("\"{name}\":{value}")
    });
    format!("{{{}}}", fields.join(",")).into_bytes()
}

/// Hosts ended again and again, or stopped following the list of servers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entry_among_those_of_the_servers_stops_a_host() {
    let fixture = Fixture::start("odd-entries").await;
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let deep_object = format!("{}1{}", "{\"a\":".repeat(20_000), "}".repeat(20_000));
    let huge = "9".repeat(400);
    let odd = [
        nested.clone().into_bytes(),
        deep_object.into_bytes(),
        entry("cold-remaining-ms", &nested),
        entry("unknown", &nested),
        entry("slots", "1e400"),
        entry("slots", &huge),
        entry("slots", "-1"),
        entry("born", &huge),
        entry("sequence", "1e99999"),
        entry("address", "\"127.0.0.1:70000\""),
        entry("address", "\"127.0.0.1:-1\""),
        entry("address", "\"[::1\""),
        entry("service", "null"),
        entry("state", "\"resting\""),
        b"\xff\xfe{".to_vec(),
        Vec::new(),
    ];
    for (number, entry) in odd.iter().enumerate() {
        fixture
            .store
            .set_odd_server(&format!("odd-{number}"), entry);
    }
    // A huge number of slots is valid and must not overflow any sum.
    for number in 0..4 {
        let full = entry("slots", &u32::MAX.to_string());
        let full = String::from_utf8(full).unwrap().replace("plain", "stage");
        fixture
            .store
            .set_odd_server(&format!("wide-{number}"), full.as_bytes());
        fixture.store.remove_server(&format!("wide-{number}"));
    }
    fixture.store.set_odd_server(&"k".repeat(200), b"{}");
    sleep(Duration::from_millis(900)).await;
    assert_eq!(fixture.call("POST", "/pay/ok", "a1").await.status, 200);
    // The list is still followed: the only servers of the pool from now on are new.
    let address = servers::serve("p9", Arc::clone(&fixture.log)).await;
    fixture.store.set_server("p9", "plain", address, "ready", 1);
    fixture.store.remove_server("p1");
    fixture.store.remove_server("p2");
    sleep(Duration::from_millis(900)).await;
    for attempt in ["a2", "a3", "a4"] {
        let response = fixture.call("POST", "/pay/ok", attempt).await;
        assert_eq!(response.status, 200, "{attempt}: {response:?}");
    }
    let ready = send(fixture.readiness_address, request("GET", "/ready", "x", "")).await;
    assert_eq!(ready.unwrap().status, 200);
}

/// Payments ran at another service, since an entry that another writer had put over that of a live
/// server was used; or the server was no longer used until it wrote its own entry again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_of_another_writer_replaces_that_of_a_server() {
    let fixture = Fixture::start("foreign-entries").await;
    let own = servers::serve("p1", Arc::clone(&fixture.log)).await;
    let stage = servers::serve("s1", Arc::clone(&fixture.log)).await;
    fixture.store.set_server("p1", "plain", own, "ready", 1);
    fixture.store.set_server("s1", "stage", stage, "ready", 1);
    fixture.store.remove_server("p2");
    sleep(Duration::from_millis(900)).await;
    let usual = String::from_utf8(entry("address", &format!("\"{stage}\""))).unwrap();
    let moved = usual.replace(",\"sequence\":1", "");
    let draining = moved.replace("\"ready\"", "\"draining\"");
    let odd_version = usual.replace("\"v1\"", "1");
    for (number, foreign) in [moved, draining, odd_version, "{}".into()]
        .iter()
        .enumerate()
    {
        fixture.store.set_odd_server("s1", foreign.as_bytes());
        fixture.store.set_odd_server("p1", foreign.as_bytes());
        sleep(Duration::from_millis(900)).await;
        for call in 0..4 {
            let attempt = format!("f{number}-{call}");
            let response = fixture.call("POST", "/pay/ok", &attempt).await;
            assert_eq!(response.status, 200, "{foreign}: {response:?}");
            let ran = fixture.log.lines_with_prefix(&format!("ran {attempt} "));
            assert!(ran[0].contains(" at=p1 "), "{foreign}: {ran:?}");
        }
        let attempt = format!("d{number}");
        let draft = fixture.call("POST", "/draft/ok", &attempt).await;
        assert_eq!(draft.status, 200, "{foreign}: {draft:?}");
    }
}
