//! Tests of the platform.

mod common;

use std::time::Duration;

use common::{call, get, post, set_faults};
use hollywheel_standins::{PlatformSettings, StandinHandle, start_platform};
use http::{Method, StatusCode};
use serde_json::{Value, json};

async fn platform(settings: PlatformSettings) -> StandinHandle {
    start_platform(settings).await.expect("a port is free")
}

async fn quick_platform() -> StandinHandle {
    platform(PlatformSettings {
        latency: Duration::ZERO,
        ..PlatformSettings::default()
    })
    .await
}

fn insert(key: &str, value: u32) -> Value {
    json!({"op": "insert", "table": "claim", "key": key, "value": value})
}

fn txn(mode: &str, ops: Vec<Value>) -> Value {
    json!({"call": "txn", "mode": mode, "ops": ops})
}

async fn table(handle: &StandinHandle, body: Value) -> Value {
    let answer = post(handle, "/v1/table", body).await.expect("it answers");
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    answer.json()
}

async fn scan(handle: &StandinHandle, prefix: &str, after: &str) -> Vec<(String, Value)> {
    let body = json!({"call": "scan", "table": "claim", "prefix": prefix, "after": after,
        "limit": 10});
    let reply = table(handle, body).await;
    let rows = reply["rows"].as_array().unwrap().iter();
    rows.map(|row| {
        (
            row["key"].as_str().unwrap().to_owned(),
            row["value"].clone(),
        )
    })
    .collect()
}

fn outcomes(reply: &Value) -> Vec<&str> {
    let outcomes = reply["outcomes"].as_array().unwrap().iter();
    outcomes.map(|o| o["outcome"].as_str().unwrap()).collect()
}

#[tokio::test]
async fn atomic_transactions_take_effect_whole_or_not_at_all() {
    let handle = quick_platform().await;
    table(&handle, txn("atomic", vec![insert("b", 1)])).await;
    let ops = vec![insert("a", 2), insert("b", 2), insert("c", 2)];
    let failed = table(&handle, txn("atomic", ops.clone())).await;
    assert_eq!(outcomes(&failed), ["skipped", "conflict", "skipped"]);
    assert_eq!(failed["outcomes"][1]["current"]["value"], 1);
    assert_eq!(scan(&handle, "", "").await, [("b".to_owned(), json!(1))]);
    let each = table(&handle, txn("independent", ops)).await;
    assert_eq!(outcomes(&each), ["applied", "conflict", "applied"]);
    assert_eq!(scan(&handle, "", "a").await.len(), 2);
}

#[tokio::test]
async fn revisions_guard_puts_and_deletes() {
    let handle = quick_platform().await;
    let put = |revision: Value| {
        let op = json!({"op": "put", "table": "lease", "key": "k", "value": 1,
            "if_revision": revision});
        txn("atomic", vec![op])
    };
    let first = table(&handle, put(json!(0))).await;
    let revision = first["outcomes"][0]["revision"].clone();
    assert_eq!(outcomes(&table(&handle, put(json!(0))).await), ["conflict"]);
    assert_eq!(
        outcomes(&table(&handle, put(revision.clone())).await),
        ["applied"]
    );
    let delete = json!({"op": "delete", "table": "lease", "key": "k", "if_revision": revision});
    let late = table(&handle, txn("atomic", vec![delete])).await;
    assert_eq!(outcomes(&late), ["conflict"]);
    let read = json!({"call": "read", "table": "lease", "keys": ["k", "missing"]});
    let rows = table(&handle, read).await;
    assert_eq!(rows["rows"].as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn calls_above_the_rate_have_no_effect() {
    let handle = platform(PlatformSettings {
        latency: Duration::ZERO,
        writes_per_second: 0.001,
        ..PlatformSettings::default()
    })
    .await;
    table(&handle, txn("atomic", vec![insert("a", 1)])).await;
    let body = txn("atomic", vec![insert("b", 1)]);
    let refused = post(&handle, "/v1/table", body).await.unwrap();
    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    assert!(refused.not_run);
    assert_eq!(scan(&handle, "", "").await.len(), 1);
    let counts = get(&handle, "/standin/counts").await.json();
    assert_eq!(
        counts,
        json!({"reads": 1, "writes": 1, "refused": 1, "lost": 0, "late": 0})
    );
}

#[tokio::test]
async fn lost_and_late_writes_take_effect_without_an_answer() {
    let handle = quick_platform().await;
    set_faults(&handle, json!({"lose_answer": 1})).await;
    let lost = post(&handle, "/v1/table", txn("atomic", vec![insert("lost", 1)])).await;
    assert!(lost.is_err());
    assert_eq!(scan(&handle, "lost", "").await.len(), 1);
    set_faults(&handle, json!({"late_effect_ms": 150})).await;
    let late = post(&handle, "/v1/table", txn("atomic", vec![insert("late", 1)])).await;
    assert!(late.is_err());
    assert!(scan(&handle, "late", "").await.is_empty());
    let appears = async { while scan(&handle, "late", "").await.is_empty() {} };
    let appears = tokio::time::timeout(Duration::from_secs(10), appears);
    appears.await.expect("the write takes effect");
}

#[tokio::test]
async fn outage_refuses_as_not_run() {
    let handle = quick_platform().await;
    set_faults(&handle, json!({"outage": true})).await;
    let body = txn("atomic", vec![insert("a", 1)]);
    let refused = post(&handle, "/v1/table", body).await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.not_run);
    set_faults(&handle, json!({})).await;
    assert!(scan(&handle, "", "").await.is_empty());
}

#[tokio::test]
async fn host_list_lags() {
    let handle = platform(PlatformSettings {
        host_lag: Duration::from_secs(3600),
        ..PlatformSettings::default()
    })
    .await;
    let list = json!({"hosts": [{"name": "entry-1", "address": "127.0.0.1:4000",
        "domain": "medeu", "region": "almaty", "role": "entry", "state": "live"}]});
    post(&handle, "/standin/hosts", list.clone()).await.unwrap();
    assert_eq!(get(&handle, "/v1/hosts").await.json(), json!({"hosts": []}));
    set_faults(&handle, json!({"lag_ms": 0})).await;
    assert_eq!(get(&handle, "/v1/hosts").await.json(), list);
}

#[tokio::test]
async fn objects_are_kept_and_tokens_asked_for() {
    let handle = quick_platform().await;
    let address = handle.address();
    assert_eq!(
        get(&handle, "/v1/objects/a").await.status,
        StatusCode::NOT_FOUND
    );
    call(address, Method::PUT, "/v1/objects/a", "bytes")
        .await
        .unwrap();
    assert_eq!(get(&handle, "/v1/objects/a").await.body, "bytes");
    let closed = platform(PlatformSettings {
        token: Some("secret".to_owned()),
        ..PlatformSettings::default()
    })
    .await;
    assert_eq!(
        get(&closed, "/v1/hosts").await.status,
        StatusCode::UNAUTHORIZED
    );
}

#[tokio::test]
async fn calls_beyond_the_sizes_are_bad_requests() {
    let handle = quick_platform().await;
    let ops = (0..129).map(|n| insert(&n.to_string(), 0)).collect();
    let answer = post(&handle, "/v1/table", txn("atomic", ops))
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    assert_eq!(answer.body, "txn: 129 operations; at most 128");
}
