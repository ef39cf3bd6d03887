//! Tests of the publication of objects through a host.

mod support;

use support::{PUBLISHER, TestHost, VIEWER, objects, wait_for};

fn text_of(host: &TestHost) -> String {
    let [engine, encoder, service] =
        [&host.engine, &host.encoder, &host.service].map(|standin| standin.address());
    objects(engine, encoder, service)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn versions_are_published_shown_and_rolled_back() {
    let host = TestHost::start().await;
    let changed = text_of(&host).replace("max_tokens = 8", "max_tokens = 3");
    let second = host.publish(1, &changed).await;
    assert_eq!(second.status, 200, "{}", second.text());
    assert_eq!(second.json()["version"], 2);
    assert_eq!(second.json()["changed"], 1);
    wait_for("version 2 in force", async || {
        let answer = host.post("summary", r#"{"input":"x"}"#).await;
        answer.json()["tokens"] == 3
    })
    .await;
    let stale = host
        .publish(
            1,
            &text_of(&host).replace("max_tokens = 8", "max_tokens = 4"),
        )
        .await;
    // A repeated publication gets the same answer; a different one on an old base conflicts.
    assert_eq!(stale.status, 200, "{}", stale.text());
    let other = r#"{"to":1,"base":1,"publish_id":"77","operator":"b"}"#;
    let path = "/admin/config/rollback";
    let conflict = host.admin("POST", path, Some(PUBLISHER), other).await;
    assert_eq!(conflict.status, 409, "{}", conflict.text());
    assert_eq!(conflict.problem().kind, "/problems/config-conflict");
    let order = other.replace("\"base\":1", "\"base\":2");
    let back = host.admin("POST", path, Some(PUBLISHER), &order).await;
    assert_eq!(back.status, 200, "{}", back.text());
    assert_eq!(back.json()["version"], 3);
    wait_for("version 3 in force", async || {
        let document = host.admin("GET", "/admin/config", Some(VIEWER), "").await;
        document.json()["published"]["version"] == 3
    })
    .await;
    let history = host
        .admin("GET", "/admin/config/history?limit=10", Some(VIEWER), "")
        .await;
    assert_eq!(history.status, 200, "{}", history.text());
    let entries = history.json()["entries"].as_array().unwrap().clone();
    let versions: Vec<u64> = entries
        .iter()
        .map(|e| e["version"].as_u64().unwrap())
        .collect();
    assert_eq!(versions, [3, 2, 1]);
    let old = host
        .admin("GET", "/admin/config?version=2", Some(VIEWER), "")
        .await;
    assert_eq!(old.json()["published"]["version"], 2, "{}", old.text());
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_are_listed_with_the_version_in_force() {
    let host = TestHost::start().await;
    let changed = text_of(&host).replace("max_tokens = 8", "max_tokens = 3");
    assert_eq!(host.publish(1, &changed).await.status, 200);
    wait_for("version 2 in the list of hosts", async || {
        let list = host.admin("GET", "/admin/hosts", Some(VIEWER), "").await;
        list.json()["hosts"][0]["config_version"] == 2
    })
    .await;
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_faulty_set_and_an_outage_are_told_apart() {
    let host = TestHost::start().await;
    let faulty = text_of(&host).replace("pool = \"encoders\"", "pool = \"missing\"");
    let answer = host.publish(1, &faulty).await;
    assert_eq!(answer.status, 422, "{}", answer.text());
    assert_eq!(answer.problem().faults.len(), 1);
    host.platform.set_faults(hollywheel_standins::FaultOrder {
        outage: true,
        ..hollywheel_standins::FaultOrder::default()
    });
    let changed = text_of(&host).replace("max_tokens = 8", "max_tokens = 5");
    let answer = host.publish(1, &changed).await;
    assert_eq!(answer.status, 503, "{}", answer.text());
    let problem = answer.problem();
    assert_eq!(problem.verdict.unwrap().name(), "not-run", "{problem:?}");
    // Requests that need no table service are still served.
    assert_eq!(host.post("summary", r#"{"input":"x"}"#).await.status, 200);
    let payment = host.post_key("payment", "p-9", r#"{"input":"x"}"#).await;
    assert_eq!(payment.status, 503, "{}", payment.text());
    assert_eq!(payment.problem().verdict.unwrap().name(), "not-run");
    assert!(payment.problem().retry_after_ms.is_some());
    host.platform
        .set_faults(hollywheel_standins::FaultOrder::default());
    assert!(host.stop().await);
}
