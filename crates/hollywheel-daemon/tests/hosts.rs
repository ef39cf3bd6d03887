//! Tests of hosts that are members of one fleet.

mod support;

use hollywheel_standins::LedgerEvent;
use support::keys::{Authority, start_named, states, versions};
use support::{PUBLISHER, Started, TestHost, http_client, wait_for};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn hosts_join_share_claims_and_tell_when_they_leave() {
    let base = TestHost::start().await;
    let authority = Authority::new();
    let first = start_named(&base, &authority, "one", &[]);
    let second = start_named(&base, &authority, "two", &[first.peers.unwrap()]);
    wait_for("both hosts alive on both", async || {
        let expected = ["one:alive", "two:alive"];
        states(&first).await == expected && states(&second).await == expected
    })
    .await;
    for host in [&first, &second] {
        wait_for("the configuration in force", async || {
            host.get("/readyz").await.status == 200
        })
        .await;
    }
    wait_for("version 1 of both hosts on both", async || {
        versions(&first).await == [1, 1] && versions(&second).await == [1, 1]
    })
    .await;
    let body = r#"{"input":"pay 5"}"#;
    let paid = first.post_key("payment", "p-1", body).await;
    assert_eq!(paid.status, 200, "{}", paid.text());
    let again = second.post_key("payment", "p-1", body).await;
    assert_eq!(again.status, 200, "{}", again.text());
    assert_eq!(again.json()["replayed"], true);
    let ledger = base.service.ledger();
    let started = ledger.iter().filter(|e| e.event == LedgerEvent::Started);
    assert_eq!(started.count(), 1);
    let drained = first
        .admin("POST", "/admin/drain", Some(PUBLISHER), "")
        .await;
    assert_eq!(drained.status, 200);
    wait_for("the news of the leaving host", async || {
        states(&second).await.contains(&"one:leaving".to_owned())
    })
    .await;
    assert!(first.stop().await);
    assert!(second.stop().await);
    assert!(base.stop().await);
}

/// Requests a key from a host.
async fn fetch_key(host: &Started) -> String {
    let answer = host.issue(support::CALLER_KEY).await;
    assert_eq!(answer.status, 201, "{}", answer.text());
    let answer = answer.json();
    assert_eq!(answer["expires_ms"], 600_000);
    answer["idempotency_key"].as_str().unwrap().to_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn issued_keys_need_no_table_service() {
    let base = TestHost::start().await;
    let authority = Authority::new();
    let first = start_named(&base, &authority, "one", &[]);
    let second = start_named(&base, &authority, "two", &[first.peers.unwrap()]);
    for host in [&first, &second] {
        wait_for("both hosts alive and ready", async || {
            states(host).await == ["one:alive", "two:alive"]
                && host.get("/readyz").await.status == 200
        })
        .await;
    }
    base.platform.set_faults(hollywheel_standins::FaultOrder {
        outage: true,
        ..hollywheel_standins::FaultOrder::default()
    });
    let body = r#"{"input":"pay 5"}"#;
    let key = fetch_key(&first).await;
    // The other host forwards the payment, and its caller gets the answer.
    let paid = second.post_key("payment", &key, body).await;
    assert_eq!(paid.status, 200, "{}", paid.text());
    assert_eq!(paid.json()["replayed"], false);
    for host in [&first, &second] {
        let again = host.post_key("payment", &key, body).await;
        assert_eq!(again.json()["replayed"], true, "{}", again.text());
        assert_eq!(again.json()["output"], paid.json()["output"]);
    }
    let reused = second
        .post_key("payment", &key, r#"{"input":"pay 6"}"#)
        .await;
    assert_eq!(reused.problem().kind, "/problems/key-reused");
    let starts = || {
        let ledger = base.service.ledger();
        let started = ledger.iter().filter(|e| e.event == LedgerEvent::Started);
        started.count()
    };
    assert_eq!(starts(), 1);
    let unused = fetch_key(&first).await;
    assert!(first.stop().await);
    wait_for("the news that the issuer is gone", async || {
        let gone = second.post_key("payment", &unused, body).await;
        let gone = gone.problem();
        (gone.kind.as_str(), gone.status) == ("/problems/key-taken", 409)
    })
    .await;
    assert_eq!(starts(), 1);
    assert!(second.stop().await);
    assert!(base.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_of_another_authority_stays_alone() {
    let base = TestHost::start().await;
    let first = start_named(&base, &Authority::new(), "one", &[]);
    let seeds = [first.peers.unwrap()];
    let stranger = start_named(&base, &Authority::new(), "two", &seeds);
    wait_for("the configuration in force", async || {
        stranger.get("/readyz").await.status == 200
    })
    .await;
    // Two rounds of joining have ended by then.
    let until = tokio::time::Instant::now() + std::time::Duration::from_secs(5);
    while tokio::time::Instant::now() < until {
        assert_eq!(states(&first).await, ["one:alive"]);
        assert_eq!(states(&stranger).await, ["two:alive"]);
        tokio::time::sleep(std::time::Duration::from_millis(250)).await;
    }
    drop(http_client());
    assert!(stranger.stop().await);
    assert!(first.stop().await);
    assert!(base.stop().await);
}
