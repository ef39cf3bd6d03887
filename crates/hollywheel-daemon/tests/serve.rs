//! Tests of requests from a caller through a host to the stand-ins.

mod support;

use hollywheel_standins::{FaultOrder, LedgerEvent};
use http::StatusCode;
use support::TestHost;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pipeline_of_two_stages_answers_whole() {
    let host = TestHost::start().await;
    let answer = host.post("summary", r#"{"input":"tender 12"}"#).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    let body = answer.json();
    assert_eq!(body["tokens"], 8);
    assert_eq!(body["replayed"], false);
    assert_eq!(body["output"].as_str().unwrap().split(' ').count(), 9);
    let parent = answer.headers["traceparent"].to_str().unwrap();
    assert!(parent.starts_with("00-"));
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_delivers_each_token_once_and_then_the_whole() {
    let host = TestHost::start().await;
    let answer = host
        .post("summary", r#"{"input":"tender 12","stream":true}"#)
        .await;
    assert_eq!(answer.headers["content-type"], "text/event-stream");
    let text = answer.text();
    let tokens = text.matches("event: token\n").count();
    assert_eq!(tokens, 8, "{text}");
    let whole = text.rsplit("event: complete\ndata: ").next().unwrap();
    let whole: serde_json::Value = serde_json::from_str(whole.trim()).unwrap();
    assert_eq!(whole["tokens"], 8);
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_payment_asked_for_twice_runs_once() {
    let host = TestHost::start().await;
    let first = host
        .post_key("payment", "p-1", r#"{"input":"pay 5"}"#)
        .await;
    assert_eq!(first.status, StatusCode::OK, "{}", first.text());
    let again = host
        .post_key("payment", "p-1", r#"{"input":"pay 5"}"#)
        .await;
    assert_eq!(again.status, StatusCode::OK, "{}", again.text());
    assert_eq!(again.json()["replayed"], true);
    assert_eq!(first.json()["output"], again.json()["output"]);
    let other = host
        .post_key("payment", "p-1", r#"{"input":"pay 6"}"#)
        .await;
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.problem().kind, "/problems/key-reused");
    let without = host.post("payment", r#"{"input":"pay 5"}"#).await;
    assert_eq!(without.problem().kind, "/problems/key-missing");
    let ledger = host.service.ledger();
    let started = ledger.iter().filter(|e| e.event == LedgerEvent::Started);
    assert_eq!(started.count(), 1);
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_payment_whose_answer_is_lost_is_not_sent_again() {
    let host = TestHost::start().await;
    host.service.set_faults(FaultOrder {
        cut_after: 1,
        ..FaultOrder::default()
    });
    let lost = host
        .post_key("payment", "p-2", r#"{"input":"pay 5"}"#)
        .await;
    assert!(lost.status.is_server_error(), "{}", lost.text());
    let problem = lost.problem();
    assert_eq!(problem.verdict.unwrap().name(), "may-have-run");
    let again = host
        .post_key("payment", "p-2", r#"{"input":"pay 5"}"#)
        .await;
    assert_eq!(again.status, StatusCode::CONFLICT, "{}", again.text());
    let ledger = host.service.ledger();
    let started = ledger.iter().filter(|e| e.event == LedgerEvent::Started);
    assert_eq!(started.count(), 1);
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_says_when_to_come_back() {
    let host = TestHost::start().await;
    host.service.set_faults(FaultOrder {
        refuse: true,
        ..FaultOrder::default()
    });
    let answer = host
        .post_key("payment", "p-3", r#"{"input":"pay 5"}"#)
        .await;
    assert!(answer.status.is_server_error(), "{}", answer.text());
    let problem = answer.problem();
    assert_eq!(problem.verdict.unwrap().name(), "not-run");
    assert!(problem.retry_after_ms.is_some());
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(answer.headers["content-type"], "application/problem+json");
    assert!(host.stop().await);
}
