//! Tests of the operators' interface.

mod support;

use support::{PUBLISHER, TestHost, VIEWER, wait_for};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_tell_requests_by_class_and_workspace() {
    let host = TestHost::start().await;
    for _ in 0..3 {
        assert_eq!(host.post("look-up", r#"{"input":"x"}"#).await.status, 200);
    }
    host.post("missing", r#"{"input":"x"}"#).await;
    // The end of a request is counted shortly after its reply.
    let mut text = String::new();
    wait_for("the end of every request", async || {
        text = host.admin("GET", "/metrics", Some(VIEWER), "").await.text();
        text.contains("hollywheel_refusals_total{kind=\"no-pipeline\"} 1")
    })
    .await;
    for line in [
        "hollywheel_requests_received_total 4",
        "hollywheel_request_seconds_count{class=\"interactive\"} 3",
        "hollywheel_workspace_request_seconds_count{workspace=\"clerk-desk\"} 3",
        "hollywheel_attempts_sent_total{kind=\"first\"} 3",
    ] {
        assert!(text.contains(line), "{line} is missing in\n{text}");
    }
    assert!(text.ends_with("# EOF\n"));
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_pools_and_costs_are_shown() {
    let host = TestHost::start().await;
    assert_eq!(host.post("summary", r#"{"input":"x"}"#).await.status, 200);
    let mut status = serde_json::Value::Null;
    wait_for("the end of the request", async || {
        let answer = host.admin("GET", "/admin/status", Some(VIEWER), "").await;
        status = answer.json();
        status["classes"][2]["received"] == 1
    })
    .await;
    assert_eq!(status["ready"], true);
    assert_eq!(status["config_version"], 1);
    assert_eq!(status["classes"][2]["attained"], 1);
    assert_eq!(status["workspaces"][0]["workspace"], "clerk-desk");
    wait_for("a report of every server", async || {
        let pools = host.admin("GET", "/admin/pools", Some(VIEWER), "").await;
        let pools = pools.json();
        let pools = pools["pools"].as_array().unwrap();
        pools.len() == 3
            && pools
                .iter()
                .all(|pool| pool["servers"][0]["state"] == "available")
    })
    .await;
    let hosts = host.admin("GET", "/admin/hosts", Some(VIEWER), "").await;
    assert_eq!(hosts.status, 200, "{}", hosts.text());
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn claims_are_listed_and_those_of_a_live_process_are_kept() {
    let host = TestHost::start().await;
    host.service.set_faults(hollywheel_standins::FaultOrder {
        cut_after: 1,
        ..hollywheel_standins::FaultOrder::default()
    });
    host.post_key("payment", "p-1", r#"{"input":"pay"}"#).await;
    wait_for("the claim in the list", async || {
        let list = host.admin("GET", "/admin/claims", Some(VIEWER), "").await;
        list.json()["claims"].as_array().unwrap().len() == 1
    })
    .await;
    let order = r#"{"workspace":"clerk-desk","key":"p-1","verdict":"not-run","operator":"a"}"#;
    let path = "/admin/claims/resolve";
    let answer = host.admin("POST", path, Some(PUBLISHER), order).await;
    assert_eq!(answer.status, 409, "{}", answer.text());
    assert_eq!(answer.problem().kind, "/problems/claimant-alive");
    let missing = order.replace("p-1", "p-2");
    let answer = host.admin("POST", path, Some(PUBLISHER), &missing).await;
    assert_eq!(answer.status, 404);
    let detail = "claim clerk-desk/p-2 is not known to the table service";
    assert_eq!(answer.problem().detail, detail);
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_are_replaced_without_a_restart() {
    let host = TestHost::start().await;
    let hash = hollywheel_config::hash_key("new-token");
    let path = "/admin/secrets";
    let bad = r#"{"operators":"viewer:12"}"#;
    let answer = host.admin("POST", path, Some(PUBLISHER), bad).await;
    assert_eq!(answer.status, 422);
    assert!(
        answer
            .problem()
            .detail
            .contains("entry 0 has no valid hash")
    );
    let good = format!(r#"{{"operators":"publisher:{hash}"}}"#);
    let answer = host.admin("POST", path, Some(PUBLISHER), &good).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let old = host.admin("GET", "/admin/status", Some(VIEWER), "").await;
    assert_eq!(old.status, 401);
    let new = host
        .admin("GET", "/admin/status", Some("new-token"), "")
        .await;
    assert_eq!(new.status, 200);
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_set_is_checked_with_every_fault() {
    let host = TestHost::start().await;
    let set = r#"{"set":{"pipelines":[{"name":"p","stages":["s"],"target":"t"}],"pools":[],
        "stages":[],"targets":[],"workspaces":[]}}"#;
    let answer = host
        .admin("POST", "/admin/config/check", Some(VIEWER), set)
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.json()["faults"].as_array().unwrap().len(), 2);
    assert!(host.stop().await);
}
