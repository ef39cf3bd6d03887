//! Tests of issued keys and late answers on one host.

mod support;

use bytes::Bytes;
use hollywheel_standins::{FaultOrder, LedgerEvent};
use http_body_util::Full;
use support::{CALLER_KEY, OTHER_KEY, TestHost, send};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_is_for_the_workspace_that_asked() {
    let host = TestHost::start().await;
    assert_eq!(host.issue("nobody").await.status, 401);
    assert_eq!(host.get("/v1/keys").await.status, 405);
    let key = host.issue(OTHER_KEY).await.json()["idempotency_key"].clone();
    let key = key.as_str().unwrap();
    let answer = host.post_key("payment", key, r#"{"input":"x"}"#).await;
    let problem = answer.problem();
    assert_eq!(problem.kind, "/problems/key-expired");
    assert_eq!(problem.verdict.unwrap().to_string(), "not-run");
    assert!(host.service.ledger().is_empty());
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_answer_reaches_the_caller_who_asks_again() {
    let host = TestHost::start().await;
    host.service.set_faults(FaultOrder {
        latency_ms: 900,
        ..FaultOrder::default()
    });
    let issued = host.issue(CALLER_KEY).await.json()["idempotency_key"].clone();
    for key in ["p-1", issued.as_str().unwrap()] {
        let request = host
            .call("payment")
            .header("idempotency-key", key)
            .header("hollywheel-timeout-ms", "300");
        let body = Full::from(Bytes::from_static(br#"{"input":"x"}"#));
        let late = send(&host.client, request.body(body).unwrap()).await;
        assert_eq!(late.status, 504, "{}", late.text());
        let again = host.post_key("payment", key, r#"{"input":"x"}"#).await;
        assert_eq!(again.json()["replayed"], true, "{}", again.text());
    }
    let ledger = host.service.ledger();
    let started = ledger.iter().filter(|e| e.event == LedgerEvent::Started);
    assert_eq!(started.count(), 2);
    host.service.set_faults(FaultOrder::default());
    assert!(host.stop().await);
}
