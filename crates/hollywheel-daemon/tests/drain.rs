//! Tests of the graceful shutdown under load.

mod support;

use std::sync::Arc;
use std::time::Duration;

use hollywheel_standins::LedgerEvent;
use support::{PUBLISHER, TestHost, wait_for};

const CALLERS: usize = 24;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_under_load_answers_every_request() {
    let host = Arc::new(TestHost::start().await);
    let mut calls = Vec::new();
    for at in 0..CALLERS {
        let host = Arc::clone(&host);
        calls.push(tokio::spawn(async move {
            let body = format!(r#"{{"input":"tender {at}"}}"#);
            let payment = host.post_key("payment", &format!("p-{at}"), &body).await;
            let draft = host.post("summary", &body).await;
            (payment, draft)
        }));
    }
    wait_for("work in progress", async || host.engine.ledger().len() > 2).await;
    let ordered = host
        .admin("POST", "/admin/drain", Some(PUBLISHER), "")
        .await;
    assert_eq!(ordered.status, 200, "{}", ordered.text());
    let mut payments = 0;
    let mut refused = 0;
    for call in calls {
        let (payment, draft) = call.await.expect("every call has a whole answer");
        for answer in [&payment, &draft] {
            if answer.status != 200 {
                let problem = answer.problem();
                assert_eq!(problem.verdict.unwrap().name(), "not-run", "{problem:?}");
                refused += 1;
            }
        }
        payments += usize::from(payment.status == 200);
    }
    let ledger = host.service.ledger();
    let ran = ledger.iter().filter(|e| e.event == LedgerEvent::Finished);
    assert_eq!(ran.count(), payments, "refused {refused}");
    let host = Arc::into_inner(host).expect("no caller is left");
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_drains_says_that_it_is_not_ready() {
    let host = TestHost::start().await;
    assert_eq!(host.get("/readyz").await.status, 200);
    assert_eq!(host.get("/healthz").await.status, 200);
    host.engine.set_faults(hollywheel_standins::FaultOrder {
        latency_ms: 1500,
        ..hollywheel_standins::FaultOrder::default()
    });
    let slow = host.post("summary", r#"{"input":"slow"}"#);
    let order = async {
        wait_for("the draft at the engine", async || {
            !host.engine.ledger().is_empty()
        })
        .await;
        host.stop.send_replace(true);
        wait_for("not ready", async || {
            host.get("/readyz").await.status == 503
        })
        .await;
        host.post("look-up", r#"{"input":"late"}"#).await
    };
    let (slow, late) = tokio::join!(slow, order);
    assert_eq!(slow.status, 200, "{}", slow.text());
    assert_eq!(late.status, 503, "{}", late.text());
    assert_eq!(late.problem().kind, "/problems/draining");
    assert!(late.problem().retry_after_ms.is_some());
    let ended = tokio::time::timeout(Duration::from_secs(15), host.host.run).await;
    assert!(ended.unwrap().unwrap());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_closes_refuses_connections_instead_of_leaving_them_unanswered() {
    let host = TestHost::start().await;
    // An open connection delays the end of the host by some seconds.
    let idle = tokio::net::TcpStream::connect(host.callers).await.unwrap();
    host.stop.send_replace(true);
    wait_for("a refused connection", async || {
        tokio::net::TcpStream::connect(host.callers).await.is_err()
    })
    .await;
    assert!(!host.run.is_finished(), "the host has ended already");
    drop(idle);
    assert!(host.stop().await);
}
