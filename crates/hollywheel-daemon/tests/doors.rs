//! Tests of calls without a valid key, and of invalid calls.

mod support;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use support::{CALLER_KEY, OTHER_KEY, PUBLISHER, TestHost, VIEWER, send, wait_for};

const OPERATOR_PATHS: [(&str, &str, bool); 15] = [
    ("GET", "/metrics", false),
    ("GET", "/admin/status", false),
    ("GET", "/admin/hosts", false),
    ("GET", "/admin/pools", false),
    ("GET", "/admin/config", false),
    ("GET", "/admin/config/history", false),
    ("POST", "/admin/config/check", false),
    ("GET", "/admin/claims", false),
    ("GET", "/admin/trace/1", false),
    ("POST", "/admin/config/publish", true),
    ("POST", "/admin/config/rollback", true),
    ("POST", "/admin/claims/resolve", true),
    ("POST", "/admin/drain", true),
    ("POST", "/admin/secrets", true),
    ("GET", "/admin/nothing", false),
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_operators_door_asks_for_a_token_and_its_role() {
    let host = TestHost::start().await;
    for (method, path, publisher) in OPERATOR_PATHS {
        for token in [None, Some("wrong"), Some(CALLER_KEY), Some("")] {
            let answer = host.admin(method, path, token, "{}").await;
            assert_eq!(answer.status, 401, "{method} {path} with {token:?}");
        }
        let answer = host.admin(method, path, Some(VIEWER), "{}").await;
        assert_eq!(answer.status == 403, publisher, "{method} {path} as viewer");
    }
    let health = host.admin("GET", "/healthz", None, "").await;
    assert_eq!(health.status, 200);
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_without_the_right_key_are_turned_away() {
    let host = TestHost::start().await;
    let uri = format!("http://{}/v1/pipelines/private", host.callers);
    let mut lines = Vec::new();
    for header in [
        None,
        Some("Bearer wrong".to_owned()),
        Some(format!("Basic {CALLER_KEY}")),
        Some("Bearer ".to_owned()),
        Some(format!("Bearer {PUBLISHER}")),
        Some(format!("Bearer {CALLER_KEY}")),
        Some(format!("Bearer {OTHER_KEY}")),
    ] {
        let mut request = Request::post(&uri);
        if let Some(header) = &header {
            request = request.header("authorization", header);
        }
        let body = Full::from(r#"{"input":"x"}"#);
        let answer = send(&host.client, request.body(body).unwrap()).await;
        lines.push(format!("{header:?}: {}", answer.status));
    }
    insta::assert_snapshot!(lines.join("\n"));
    assert!(host.stop().await);
}

/// Name, method, path, headers and body of a call.
type InvalidCall<'a> = (&'a str, Method, &'a str, &'a [(&'a str, &'a str)], &'a str);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_are_not_valid_say_what_was_expected() {
    let host = TestHost::start().await;
    let long = "x".repeat(129);
    let huge = format!(r#"{{"input":"{}"}}"#, "x".repeat(1024 * 1024));
    let good = r#"{"input":"x"}"#;
    let post = Method::POST;
    let cases: [InvalidCall<'_>; 12] = [
        ("no JSON", post.clone(), "/v1/pipelines/look-up", &[], "{"),
        ("no input", post.clone(), "/v1/pipelines/look-up", &[], "{}"),
        (
            "unknown field",
            post.clone(),
            "/v1/pipelines/look-up",
            &[],
            r#"{"input":"x","tokens":1}"#,
        ),
        (
            "wrong type",
            post.clone(),
            "/v1/pipelines/look-up",
            &[],
            r#"{"input":1}"#,
        ),
        (
            "too large",
            post.clone(),
            "/v1/pipelines/look-up",
            &[],
            &huge,
        ),
        (
            "timeout",
            post.clone(),
            "/v1/pipelines/look-up",
            &[("hollywheel-timeout-ms", "0")],
            good,
        ),
        (
            "key too long",
            post.clone(),
            "/v1/pipelines/payment",
            &[("idempotency-key", &long)],
            good,
        ),
        (
            "two keys",
            post.clone(),
            "/v1/pipelines/payment",
            &[("idempotency-key", "a"), ("idempotency-key", "b")],
            good,
        ),
        (
            "no pipeline",
            post.clone(),
            "/v1/pipelines/missing",
            &[],
            good,
        ),
        ("bad name", post.clone(), "/v1/pipelines/a%20b", &[], good),
        (
            "wrong method",
            Method::GET,
            "/v1/pipelines/look-up",
            &[],
            "",
        ),
        ("no path", post, "/v2", &[], good),
    ];
    let mut lines = Vec::new();
    for (name, method, path, headers, body) in cases {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", host.callers))
            .header("authorization", format!("Bearer {CALLER_KEY}"));
        for (header, value) in headers {
            request = request.header(*header, *value);
        }
        let body = Full::from(Bytes::copy_from_slice(body.as_bytes()));
        let answer = send(&host.client, request.body(body).unwrap()).await;
        let problem = answer.problem();
        assert_eq!(answer.status, problem.status);
        let verdict = problem.verdict.unwrap();
        lines.push(format!(
            "{name}: {} {} {verdict}: {}",
            problem.status, problem.kind, problem.detail
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(host.service.ledger().len(), 0);
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_trace_of_the_caller_is_continued() {
    let host = TestHost::start().await;
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let request = host
        .call("look-up")
        .header("traceparent", format!("00-{trace}-00f067aa0ba902b7-01"))
        .body(Full::from(r#"{"input":"x"}"#));
    let answer = send(&host.client, request.unwrap()).await;
    let parent = answer.headers["traceparent"].to_str().unwrap();
    assert!(parent.starts_with(&format!("00-{trace}-")), "{parent}");
    assert!(parent.ends_with("-01"));
    assert!(!parent.contains("00f067aa0ba902b7"));
    let request = answer.json()["request"].as_str().unwrap().to_owned();
    let path = format!("/admin/trace/{request}");
    let mut events = Vec::new();
    wait_for("the end in the trace", async || {
        let document = host.admin("GET", &path, Some(VIEWER), "").await.json();
        events = document["events"].as_array().unwrap().clone();
        events.len() == 5
    })
    .await;
    let events: Vec<&str> = events
        .iter()
        .map(|event| event["event"].as_str().unwrap())
        .collect();
    insta::assert_debug_snapshot!(events);
    assert!(host.stop().await);
}
