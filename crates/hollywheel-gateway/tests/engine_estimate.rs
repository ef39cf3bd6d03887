//! Checks that streams are placed by the estimate where the settings ask for it, and what callers are
//! told of requests that fit no engine.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use http::HeaderValue;
use support::{CallerResponse, Fixture, request, send};

const PRESSURE: &str = "contracts = [\"pressure\"]\n";

/// Sends a streaming request of the given size.
async fn call_sized(fixture: &Fixture, attempt: &str, size: &'static str) -> CallerResponse {
    let mut call = request("POST", "/brief/x", attempt, "k1");
    let size = HeaderValue::from_static(size);
    call.headers_mut().insert("token-counts", size);
    send(fixture.caller_address, call).await.unwrap()
}

/// Guards against a request that waits or is sent although no engine of the pool can ever hold it, and
/// against effects on the requests after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_larger_than_every_engine_is_rejected_at_once() {
    let fixture = Fixture::start_with("engine-estimate", PRESSURE).await;
    let sizes = ["99000,2000", "100,4294967295", "4294967295,4294967295"];
    for (number, size) in sizes.into_iter().enumerate() {
        let response = call_sized(&fixture, &format!("a{number}"), size).await;
        assert_eq!(response.status, 413, "{size}");
        let body = response.body.unwrap();
        assert!(body.contains("Token-Counts"), "{body}");
        assert_eq!(response.retry_after, None);
    }
    for (number, size) in ["100,10", "-1,7", "99000,900"].into_iter().enumerate() {
        let response = call_sized(&fixture, &format!("b{number}"), size).await;
        assert_eq!(response.status, 200, "{size}");
    }
    let estimated = fixture.metric("hollywheel_saved_tokens_total").await
        + fixture.metric("hollywheel_prefilled_tokens_total").await;
    assert_eq!(estimated, 150.0);
    fixture.check_counts("requests of all sizes").await;
}

/// Guards against a change of deployments whose settings do not ask for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn settings_without_pressure_do_not_use_the_estimate() {
    let fixture = Fixture::start("no-engine-estimate").await;
    let response = call_sized(&fixture, "a1", "99000,2000").await;
    assert_eq!(response.status, 200);
    assert_eq!(fixture.metric("hollywheel_saved_tokens_total").await, 0.0);
}

/// Guards against streams that are not resumed, or resumed at the engine that broke them, where engines
/// are chosen by the estimate.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_stream_continues_on_another_engine_of_the_estimate() {
    let fixture = Fixture::start_with("broken-estimate", PRESSURE).await;
    let response = fixture.call("POST", "/brief/broken", "f1").await;
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert_eq!(response.body.as_deref(), Ok(events));
    let ran = fixture.log.lines_with_prefix("ran f1");
    assert_eq!(ran.len(), 2);
    assert!(ran[1].ends_with("last=1"), "{ran:?}");
}
