//! Tests of the model engine.

mod common;

use std::time::Duration;

use common::{call, count, get, post, run_call, set_faults, wait_until};
use hollywheel_standins::{
    EngineSettings, LedgerEvent, PlatformSettings, StandinHandle, start_engine, start_platform,
    token_text,
};
use http::{Method, StatusCode};
use serde_json::{Value, json};

fn quick_settings() -> EngineSettings {
    EngineSettings {
        models: vec!["rates-7b".to_owned()],
        token_time: Duration::from_millis(1),
        prompt_byte_time: Duration::ZERO,
        ..EngineSettings::default()
    }
}

async fn engine(settings: EngineSettings) -> StandinHandle {
    start_engine(settings).await.expect("a port is free")
}

fn generate_call(number: u32, max_tokens: u32) -> Value {
    let mut call = run_call(number, "generate");
    call["model"] = json!("rates-7b");
    call["max_tokens"] = json!(max_tokens);
    call["priority"] = json!(1);
    call["start_index"] = json!(0);
    call["generated"] = json!("");
    call
}

fn token(index: u32) -> String {
    token_text("some-stage", "rates-7b", "a question", "", index)
}

/// Returns the indices of the token lines and checks their texts.
fn indices(lines: &[Value]) -> Vec<u64> {
    let tokens = lines.iter().filter(|line| line.get("index").is_some());
    tokens
        .map(|line| {
            let index = line["index"].as_u64().unwrap();
            assert_eq!(line["text"], token(u32::try_from(index).unwrap()));
            index
        })
        .collect()
}

#[tokio::test]
async fn stream_is_whole_with_its_end_line() {
    let handle = engine(quick_settings()).await;
    let answer = post(&handle, "/v1/generate", generate_call(1, 5))
        .await
        .unwrap();
    let lines = answer.lines();
    assert_eq!(indices(&lines), [0, 1, 2, 3, 4]);
    let end = lines.last().unwrap();
    assert_eq!(end["end"], true);
    assert_eq!(end["tokens"], 5);
    assert_eq!(end["request"], generate_call(1, 5)["request"]);
    assert_eq!(end["load"]["models"], json!(["rates-7b"]));
    assert_eq!(end["load"]["prefixes"].as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn stream_resumes_at_the_start_index() {
    let handle = engine(quick_settings()).await;
    let mut call = generate_call(1, 5);
    call["start_index"] = json!(3);
    let lines = post(&handle, "/v1/generate", call).await.unwrap().lines();
    assert_eq!(indices(&lines), [3, 4]);
    assert_eq!(lines.last().unwrap()["tokens"], 5);
}

#[tokio::test]
async fn higher_priority_starts_first_and_equals_keep_their_order() {
    let handle = engine(EngineSettings {
        slots: 1,
        ..quick_settings()
    })
    .await;
    let address = handle.address();
    let send = |number, priority: u8| {
        let mut body = generate_call(number, 100);
        body["priority"] = json!(priority);
        tokio::spawn(call(
            address,
            Method::POST,
            "/v1/generate",
            body.to_string(),
        ))
    };
    let mut calls = vec![send(1, 1)];
    wait_until(|| count(&handle, LedgerEvent::Started) == 1).await;
    for (queued, (number, priority)) in [(2, 3), (3, 2), (4, 2), (5, 0)].into_iter().enumerate() {
        calls.push(send(number, priority));
        let mut load = json!({});
        set_faults(&handle, json!({"lag_ms": 0})).await;
        while load["queued"] != queued + 1 {
            load = get(&handle, "/v1/load").await.json();
        }
    }
    for call in calls {
        call.await.unwrap().unwrap();
    }
    let started = handle.ledger().into_iter();
    let started = started.filter(|entry| entry.event == LedgerEvent::Started);
    let order: Vec<String> = started
        .map(|entry| entry.request.trim_start_matches('0').to_owned())
        .collect();
    assert_eq!(order, ["1", "5", "3", "4", "2"]);
}

#[tokio::test]
async fn cancelled_stream_ends_without_its_end_line() {
    let handle = engine(quick_settings()).await;
    let address = handle.address();
    let body = generate_call(1, 4000).to_string();
    let stream = tokio::spawn(call(address, Method::POST, "/v1/generate", body));
    wait_until(|| count(&handle, LedgerEvent::Started) == 1).await;
    let cancel = json!({"attempt": generate_call(1, 1)["attempt"]});
    let state = post(&handle, "/v1/cancel", cancel.clone()).await.unwrap();
    assert_eq!(state.json()["state"], "cancelled");
    assert!(stream.await.unwrap().is_err());
    wait_until(|| count(&handle, LedgerEvent::Cancelled) == 1).await;
    let state = post(&handle, "/v1/cancel", cancel).await.unwrap();
    assert_eq!(state.json()["state"], "finished");
}

#[tokio::test]
async fn closed_connection_frees_the_slot() {
    let handle = engine(quick_settings()).await;
    let address = handle.address();
    let body = generate_call(1, 4000).to_string();
    let stream = tokio::spawn(call(address, Method::POST, "/v1/generate", body));
    wait_until(|| count(&handle, LedgerEvent::Started) == 1).await;
    stream.abort();
    wait_until(|| count(&handle, LedgerEvent::Cancelled) == 1).await;
}

#[tokio::test]
async fn stream_faults_cut_double_and_cross_tokens() {
    let handle = engine(quick_settings()).await;
    set_faults(&handle, json!({"cut_stream_after": 2, "duplicate": true})).await;
    let cut = post(&handle, "/v1/generate", generate_call(1, 5)).await;
    assert!(cut.is_err());
    let doubled = post(&handle, "/v1/generate", generate_call(2, 2)).await;
    assert_eq!(indices(&doubled.unwrap().lines()), [0, 0, 1, 1]);
    set_faults(&handle, json!({"crossed": 1})).await;
    let crossed = post(&handle, "/v1/generate", generate_call(3, 1)).await;
    let own = &generate_call(3, 1)["attempt"];
    assert!(
        crossed
            .unwrap()
            .lines()
            .iter()
            .all(|line| line["attempt"] != *own)
    );
    set_faults(&handle, json!({"cut_after": 1})).await;
    let cut = post(&handle, "/v1/generate", generate_call(4, 1)).await;
    assert!(cut.is_err());
    assert_eq!(count(&handle, LedgerEvent::Finished), 3);
}

#[tokio::test]
async fn old_fencing_numbers_are_refused_unless_ignored() {
    let handle = engine(quick_settings()).await;
    let order = |fencing: u64| json!({"order": "a", "fencing": fencing, "action": "set-role"});
    let send = async |fencing| post(&handle, "/v1/orders", order(fencing)).await.unwrap();
    assert_eq!(send(5).await.status, StatusCode::OK);
    let stale = send(4).await;
    assert_eq!(stale.status, StatusCode::CONFLICT);
    assert_eq!(stale.json(), json!({"state": "stale", "highest": 5}));
    set_faults(&handle, json!({"ignore_fencing": true})).await;
    assert_eq!(send(4).await.status, StatusCode::OK);
    let fencing: Vec<_> = handle
        .ledger()
        .into_iter()
        .map(|e| (e.event, e.fencing))
        .collect();
    assert_eq!(
        fencing,
        [
            (LedgerEvent::OrderAccepted, Some(5)),
            (LedgerEvent::OrderStale, Some(4)),
            (LedgerEvent::OrderAccepted, Some(4)),
        ]
    );
}

#[tokio::test]
async fn model_serves_once_it_has_come_from_the_weight_store() {
    let platform = start_platform(PlatformSettings::default()).await.unwrap();
    platform.set_faults(serde_json::from_value(json!({"outage": true})).unwrap());
    let handle = engine(EngineSettings {
        models: Vec::new(),
        weights: Some(platform.address()),
        load_time: Duration::from_millis(10),
        ..quick_settings()
    })
    .await;
    let order = json!({"order": "a", "fencing": 1, "action": "load-model", "model": "rates-7b"});
    post(&handle, "/v1/orders", order).await.unwrap();
    let refused = post(&handle, "/v1/generate", generate_call(1, 1))
        .await
        .unwrap();
    assert!(refused.not_run);
    assert_eq!(refused.json()["reason"], "model-not-loaded");
    platform.set_faults(serde_json::from_value(json!({})).unwrap());
    set_faults(&handle, json!({"lag_ms": 0})).await;
    let mut load = json!({});
    while load["models"] != json!(["rates-7b"]) {
        load = get(&handle, "/v1/load").await.json();
    }
    let answer = post(&handle, "/v1/generate", generate_call(2, 1)).await;
    assert_eq!(answer.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn cached_prefix_shortens_the_prompt() {
    let handle = engine(EngineSettings {
        prompt_byte_time: Duration::from_millis(20),
        cached_share: 0.0,
        ..quick_settings()
    })
    .await;
    for number in 1..=2 {
        post(&handle, "/v1/generate", generate_call(number, 1))
            .await
            .unwrap();
    }
    let at: Vec<u64> = handle
        .ledger()
        .into_iter()
        .map(|entry| entry.at_us)
        .collect();
    // Ten bytes of input take 200 ms without the cache.
    assert!(at[1] - at[0] >= 195_000, "{at:?}");
    assert!(at[3] - at[2] < 195_000, "{at:?}");
}

#[tokio::test]
async fn reports_and_cache_events_lag() {
    let handle = engine(EngineSettings {
        load_lag: Duration::from_secs(3600),
        cache_size: 1,
        cache_gap_every: 2,
        ..quick_settings()
    })
    .await;
    let mut other = generate_call(2, 1);
    other["input"] = json!("another question");
    post(&handle, "/v1/generate", generate_call(1, 1))
        .await
        .unwrap();
    post(&handle, "/v1/generate", other).await.unwrap();
    let load = get(&handle, "/v1/load").await.json();
    assert_eq!(load["cache_used"], 0);
    let page = get(&handle, "/v1/cache-events?after=0").await.json();
    assert_eq!(page, json!({"next": 0, "events": []}));
    set_faults(&handle, json!({"lag_ms": 0})).await;
    let page = get(&handle, "/v1/cache-events?after=0").await.json();
    let seen: Vec<_> = page["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| &e["seq"])
        .collect();
    assert_eq!(seen, [1, 3]);
    assert_eq!(get(&handle, "/v1/load").await.json()["cache_used"], 1);
}
