//! Tests of pools and plain services.

mod common;

use std::time::Duration;

use common::{call, count, events, get, post, run_call, set_faults, wait_until};
use hollywheel_standins::{
    LedgerEvent, PoolSettings, ServiceSettings, StandinHandle, start_pool, start_service,
    unary_output,
};
use http::{Method, StatusCode};
use serde_json::json;

async fn pool(settings: PoolSettings) -> StandinHandle {
    start_pool(settings).await.expect("a port is free")
}

async fn quick_pool() -> StandinHandle {
    pool(PoolSettings {
        median: Duration::from_millis(1),
        ..PoolSettings::default()
    })
    .await
}

#[tokio::test]
async fn output_is_a_function_of_the_call() {
    let handle = quick_pool().await;
    let answer = post(&handle, "/v1/run", run_call(1, "encode"))
        .await
        .unwrap();
    let body = answer.json();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(body["attempt"], run_call(1, "encode")["attempt"]);
    assert_eq!(
        body["output"],
        unary_output("some-stage", "encode", "a question", "")
    );
    // Computed independently by `printf 'some-stage\0encode\0a question\0\0' | sha256sum`.
    assert_eq!(body["output"], "ENCODE:5eb50b7367689b9a");
    let ran = [LedgerEvent::Started, LedgerEvent::Finished];
    assert_eq!(events(&handle), ran.map(|event| (event, "1".to_owned())));
}

#[tokio::test]
async fn work_of_another_kind_is_a_bad_request() {
    let handle = quick_pool().await;
    let answer = post(&handle, "/v1/run", run_call(1, "rerank"))
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    assert!(handle.ledger().is_empty());
}

#[tokio::test]
async fn calls_beyond_slots_and_queue_are_refused_as_not_run() {
    let handle = pool(PoolSettings {
        slots: 1,
        queue_limit: 1,
        load_lag: Duration::ZERO,
        median: Duration::from_millis(200),
        sigma: 0.0,
        ..PoolSettings::default()
    })
    .await;
    let address = handle.address();
    let send = |number| async move {
        let body = run_call(number, "encode").to_string();
        call(address, Method::POST, "/v1/run", body).await.unwrap()
    };
    let first = tokio::spawn(send(1));
    wait_until(|| count(&handle, LedgerEvent::Started) == 1).await;
    let second = tokio::spawn(send(2));
    let mut live = json!({});
    while live["queued"] != 1 {
        live = get(&handle, "/v1/load").await.json();
    }
    let refused = send(3).await;
    assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
    assert!(refused.not_run);
    assert_eq!(refused.json()["reason"], "queue-full");
    assert_eq!(first.await.unwrap().status, StatusCode::OK);
    assert_eq!(second.await.unwrap().status, StatusCode::OK);
    assert_eq!(count(&handle, LedgerEvent::Started), 2);
}

#[tokio::test]
async fn cut_before_leaves_no_trace_and_cut_after_does() {
    let handle = quick_pool().await;
    set_faults(&handle, json!({"cut_before": 1})).await;
    let cut = post(&handle, "/v1/run", run_call(1, "encode")).await;
    assert!(cut.is_err());
    assert!(handle.ledger().is_empty());
    set_faults(&handle, json!({"cut_after": 1})).await;
    let cut = post(&handle, "/v1/run", run_call(2, "encode")).await;
    assert!(cut.is_err());
    assert_eq!(count(&handle, LedgerEvent::Finished), 1);
    let whole = post(&handle, "/v1/run", run_call(3, "encode")).await;
    assert_eq!(whole.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn crossed_answers_are_those_of_another_call() {
    let handle = quick_pool().await;
    let first = post(&handle, "/v1/run", run_call(1, "encode"))
        .await
        .unwrap();
    set_faults(&handle, json!({"crossed": 1})).await;
    let crossed = post(&handle, "/v1/run", run_call(2, "encode"))
        .await
        .unwrap();
    assert_eq!(crossed.json()["attempt"], first.json()["attempt"]);
    let third = post(&handle, "/v1/run", run_call(3, "encode"))
        .await
        .unwrap();
    assert_eq!(third.json()["attempt"], run_call(3, "encode")["attempt"]);
}

#[tokio::test]
async fn fail_status_hides_work_that_ran() {
    let handle = quick_pool().await;
    set_faults(&handle, json!({"fail_status": 500})).await;
    let failed = post(&handle, "/v1/run", run_call(1, "encode"))
        .await
        .unwrap();
    assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(!failed.not_run);
    assert_eq!(count(&handle, LedgerEvent::Finished), 1);
}

#[tokio::test]
async fn leaving_lasts_until_restart() {
    let handle = quick_pool().await;
    set_faults(&handle, json!({"leaving": true})).await;
    set_faults(&handle, json!({})).await;
    let refused = post(&handle, "/v1/run", run_call(1, "encode"))
        .await
        .unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.not_run);
    let before = refused.json()["load"].clone();
    assert_eq!(before["leaving"], true);
    post(&handle, "/standin/restart", json!({})).await.unwrap();
    let answer = post(&handle, "/v1/run", run_call(2, "encode"))
        .await
        .unwrap();
    let after = answer.json()["load"].clone();
    assert_eq!(after["leaving"], false);
    assert!(after["incarnation"].as_u64() > before["incarnation"].as_u64());
}

#[tokio::test]
async fn freeze_holds_calls_until_cleared() {
    let handle = quick_pool().await;
    let address = handle.address();
    set_faults(&handle, json!({"freeze": true})).await;
    let body = run_call(1, "encode").to_string();
    let frozen = tokio::spawn(call(address, Method::POST, "/v1/run", body));
    let held = tokio::time::timeout(Duration::from_millis(100), async {
        wait_until(|| !handle.ledger().is_empty()).await;
    });
    assert!(held.await.is_err());
    set_faults(&handle, json!({})).await;
    assert_eq!(frozen.await.unwrap().unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn service_does_not_deduplicate_and_finishes_what_it_started() {
    let handle = start_service(ServiceSettings {
        slots: 1,
        median: Duration::from_millis(50),
        ..ServiceSettings::default()
    })
    .await
    .unwrap();
    let mut body = run_call(1, "call");
    body["idempotency_key"] = json!("pay-1");
    let address = handle.address();
    let abandoned = tokio::spawn(call(address, Method::POST, "/v1/run", body.to_string()));
    wait_until(|| count(&handle, LedgerEvent::Started) == 1).await;
    abandoned.abort();
    let cancel = json!({"attempt": body["attempt"]});
    let state = post(&handle, "/v1/cancel", cancel).await.unwrap().json();
    assert_eq!(state["state"], "unknown");
    wait_until(|| count(&handle, LedgerEvent::Finished) == 1).await;
    post(&handle, "/v1/run", body).await.unwrap();
    let keys: Vec<String> = handle
        .ledger()
        .into_iter()
        .filter(|entry| entry.event == LedgerEvent::Started)
        .map(|entry| entry.idempotency_key)
        .collect();
    assert_eq!(keys, ["pay-1", "pay-1"]);
}

#[tokio::test]
async fn queued_work_that_is_cancelled_never_starts() {
    let handle = start_service(ServiceSettings {
        slots: 1,
        median: Duration::from_millis(100),
        sigma: 0.0,
        ..ServiceSettings::default()
    })
    .await
    .unwrap();
    let address = handle.address();
    let send = |number| {
        let body = run_call(number, "call").to_string();
        tokio::spawn(call(address, Method::POST, "/v1/run", body))
    };
    let first = send(1);
    wait_until(|| count(&handle, LedgerEvent::Started) == 1).await;
    let second = send(2);
    let cancel = json!({"attempt": run_call(2, "call")["attempt"]});
    let mut state = json!({});
    while state["state"] != "cancelled" {
        state = post(&handle, "/v1/cancel", cancel.clone())
            .await
            .unwrap()
            .json();
    }
    assert!(second.await.unwrap().unwrap().not_run);
    first.await.unwrap().unwrap();
    assert_eq!(count(&handle, LedgerEvent::Started), 1);
}
