//! Checks the gateway against faulty backend servers: duplicated responses, endless or invalid
//! bytes, and streams that stall or are truncated.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use support::{
    Fixture, HostAddresses, RawRequest, RawStep, config, free_address, request, send, serve_raw,
    servers, start_gateway,
};
use tokio::time::sleep;

/// First event of a stream.
const EVENT: &str = "id: 1\ndata: a\n\n";

/// Starts a stream without a length, which ends when its connection closes.
fn unframed_stream(request: &RawRequest) -> Vec<u8> {
    let attempt = request.header("attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\nconnection: close\r\n\r\n{EVENT}"
    )
    .into_bytes()
}

/// Starts a stream with chunked encoding, which marks its end.
fn chunked_stream(request: &RawRequest) -> Vec<u8> {
    let attempt = request.header("attempt-id");
    let mut head = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    head.extend(chunk(EVENT));
    head
}

/// Encodes one chunk of a chunked body.
fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// A rejection applies only to the attempt that it names. A late duplicate on a reused connection
/// does not mean that the next request was not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejection_of_another_attempt_is_ignored() {
    let fixture = Fixture::start("crossed-rejection").await;
    let log = fixture
        .replace_pool("plain", |request| {
            if request.index == 0 {
                return vec![RawStep::Send(request.response("200 OK", "", "first"))];
            }
            let duplicate = "HTTP/1.1 503 Service Unavailable\r\nattempt-id: a1\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
            vec![RawStep::Send(duplicate.into())]
        })
        .await;
    assert_eq!(fixture.call("POST", "/pay/ok", "a1").await.status, 200);
    let response = fixture.call("POST", "/pay/ok", "a2").await;
    assert_eq!(response.status, 502, "it may have run: {response:?}");
    assert_eq!(response.retry_after, None);
    assert_eq!(log.paths().len(), 2);
}

/// A rejection without an attempt id may belong to the previous request, so its connection is not
/// reused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connection_is_not_reused_after_a_response_without_attempt_id() {
    let fixture = Fixture::start("unnamed").await;
    let log = fixture
        .replace_pool("plain", |request| {
            let rejection =
                "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
            match request.index {
                0 if request.header("attempt-id") == "b1" => {
                    vec![RawStep::Send(rejection.into())]
                }
                0 => vec![RawStep::Send(request.response("200 OK", "", "own"))],
                // The next response on the connection of a rejection is its duplicate.
                _ => vec![RawStep::Send(rejection.into())],
            }
        })
        .await;
    assert_eq!(fixture.call("POST", "/pay/ok", "b1").await.status, 503);
    let response = fixture.call("POST", "/pay/ok", "b2").await;
    assert_eq!(
        (response.status, response.body.as_deref()),
        (200, Ok("own")),
        "the duplicate must not be taken for the rejection of b2"
    );
    assert_eq!(log.paths().len(), 2);
}

/// Releases of results carry no attempt id, nor do their rejections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_rejection_of_a_release_is_taken_for_that_of_a_request() {
    let fixture = Fixture::start("crossed-release").await;
    let direct = r#""routes":[{"name":"direct","host":"h","path-prefix":"/direct/","kind":"non_idempotent","timeout-ms":1500,"latency-target-ms":300,"service":"stage","max-attempts":1},"#;
    let text = config(2, "k1").replacen(r#""routes":["#, direct, 1);
    fixture.store.set_config(&text);
    let log = fixture
        .replace_pool("stage", |request| {
            let rejection =
                "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
            match request.path.as_str() {
                "/stage-run" => {
                    vec![RawStep::Send(request.stage_response())]
                }
                "/stage-free" => vec![RawStep::Send(rejection.into())],
                // The rejection of the release comes once more before the response.
                _ if request.index > 0 => vec![
                    RawStep::Send(rejection.into()),
                    RawStep::Send(request.response("200 OK", "", "ran")),
                ],
                _ => vec![RawStep::Send(request.response("200 OK", "", "ran"))],
            }
        })
        .await;
    assert_eq!(fixture.call("POST", "/brief/ok", "b1").await.status, 200);
    sleep(Duration::from_millis(600)).await;
    let released = log.paths().iter().any(|path| path == "/stage-free");
    assert!(released, "{:?}", log.paths());
    let response = fixture.call("POST", "/direct/x", "b2").await;
    assert_eq!(response.status, 200, "the server ran it: {response:?}");
    let runs = log.paths();
    let runs = runs.iter().filter(|path| path.starts_with("/direct/"));
    assert_eq!(runs.count(), 1);
}

/// Responses to stage calls carry no attempt id. A duplicate is detected by handles of results that
/// the connection has returned before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn duplicate_stage_response_is_not_taken_for_the_next_one() {
    let fixture = Fixture::start("crossed-pieces").await;
    let calls = AtomicUsize::new(0);
    fixture
        .replace_pool("stage", move |request| {
            let stage_response = |call: usize| {
                let handles = [0, 1].map(|piece| {
                    format!(r#"{{"handle":"{}/c{call}-{piece}"}}"#, request.authority)
                });
                let body = format!(r#"{{"items":[{}]}}"#, handles.join(","));
                RawStep::Send(request.response("200 OK", "", &body))
            };
            if request.path == "/stage-free" {
                return vec![RawStep::Send(request.response("200 OK", "", ""))];
            }
            let call = calls.fetch_add(1, Ordering::Relaxed);
            match request.index {
                0 => vec![stage_response(call)],
                // A duplicate of the previous response precedes the actual one.
                _ => vec![
                    stage_response(call - 1),
                    RawStep::Pause(Duration::from_millis(30)),
                    stage_response(call),
                ],
            }
        })
        .await;
    for attempt in ["c1", "c2", "c3"] {
        let response = fixture.call("POST", "/brief/ok", attempt).await;
        assert_eq!(response.status, 200, "{attempt}: {response:?}");
    }
    let lines = fixture.log.lines_with_prefix("inputs c");
    let inputs = lines.iter().filter_map(|line| line.split(' ').nth(2));
    let mut handles: Vec<&str> = inputs.flat_map(|inputs| inputs.split(',')).collect();
    handles.sort_unstable();
    let count = handles.len();
    handles.dedup();
    assert_eq!(
        (count, handles.len()),
        (6, 6),
        "two requests read the same result: {lines:?}"
    );
}

/// Returns a script that sends a head and then bytes without end.
fn endless(head: String) -> Vec<RawStep> {
    vec![
        RawStep::Send(head.into_bytes()),
        RawStep::Repeat(vec![b'x'; 64 * 1024], Duration::ZERO),
    ]
}

/// The gateway reads a bounded part of an endless head or body, and only that attempt fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_responses_are_aborted() {
    /// Upper limit of the bytes that a server can send, including what the connection's buffers
    /// hold.
    const MAX_SENT_BYTES: usize = 32 * 1024 * 1024;
    let fixture = Fixture::start("endless").await;
    let script = |request: &RawRequest| {
        let attempt = request.header("attempt-id");
        let common_headers = format!("attempt-id: {attempt}\r\nresponse-seal: seal\r\n");
        match request.path.rsplit('/').next().unwrap_or("") {
            "head" => endless("HTTP/1.1 200 OK\r\nfield: ".into()),
            "noise" => endless(String::new()),
            "body" => endless(format!(
                "HTTP/1.1 200 OK\r\n{common_headers}connection: close\r\n\r\n"
            )),
            "refusal" => endless(format!(
                "HTTP/1.1 503 Service Unavailable\r\n{common_headers}not-executed: 1\r\nconnection: close\r\n\r\n"
            )),
            "failure" => endless(format!(
                "HTTP/1.1 500 Internal Server Error\r\n{common_headers}connection: close\r\n\r\n"
            )),
            "event" => {
                let mut steps = endless(String::new());
                steps.insert(0, RawStep::Send(unframed_stream(request)));
                steps
            }
            _ => vec![RawStep::Send(request.response("200 OK", "", EVENT))],
        }
    };
    let plain = fixture.replace_pool("plain", script).await;
    for (mode, status) in [
        ("head", 502),
        ("noise", 502),
        ("body", 502),
        ("failure", 502),
        ("refusal", 503),
    ] {
        let before = plain.repeated_bytes();
        let response = fixture.call("POST", &format!("/pay/{mode}"), mode).await;
        assert_eq!(response.status, status, "{mode}: {response:?}");
        sleep(Duration::from_millis(200)).await;
        let sent = plain.repeated_bytes() - before;
        assert!(sent < MAX_SENT_BYTES, "{mode}: {sent} bytes");
    }
    let model = fixture.replace_pool("model", script).await;
    for mode in ["head", "noise", "failure", "event"] {
        let before = model.repeated_bytes();
        let response = fixture.call("POST", &format!("/draft/{mode}"), mode).await;
        assert!(
            response.status == 502 || response.body.is_err(),
            "{mode}: {response:?}"
        );
        sleep(Duration::from_millis(200)).await;
        let sent = model.repeated_bytes() - before;
        assert!(sent < MAX_SENT_BYTES, "{mode}: {sent} bytes");
    }
    assert_eq!(fixture.call("POST", "/draft/ok", "after").await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_stage_responses_are_aborted() {
    const MAX_SENT_BYTES: usize = 32 * 1024 * 1024;
    let fixture = Fixture::start("endless-pieces").await;
    let stage = fixture
        .replace_pool("stage", |_| {
            endless("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"items\":[".into())
        })
        .await;
    let response = fixture.call("POST", "/brief/ok", "d1").await;
    assert_eq!(
        response.status, 503,
        "the request itself was not run: {response:?}"
    );
    let sent = stage.repeated_bytes();
    let calls = stage.paths().len();
    assert!(
        sent < MAX_SENT_BYTES * calls / 4,
        "{sent} bytes in {calls} calls"
    );
    assert_eq!(fixture.call("POST", "/pay/ok", "d2").await.status, 200);
}

/// Callers were told that their request had not run, although its server had run it: the server's own
/// 503 was passed on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_without_not_executed_is_passed_on() {
    let fixture = Fixture::start("unmarked-refusal").await;
    let script = |request: &RawRequest| {
        let status = request.path.rsplit('/').next().unwrap_or("");
        vec![RawStep::Send(request.response(status, "", "ran"))]
    };
    fixture.replace_pool("plain", script).await;
    fixture.replace_pool("model", script).await;
    for route in ["pay", "look", "draft", "brief"] {
        for status in ["408", "429", "503"] {
            let path = format!("/{route}/{status}");
            let response = fixture
                .call("POST", &path, &format!("{route}{status}"))
                .await;
            let given = (response.status, response.seal.as_deref());
            assert_eq!(given, (502, None), "{path}: {response:?}");
        }
    }
}

/// The store, or another process at its address, may send an endless response. The host keeps
/// running and repeats the call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_store_responses_are_aborted() {
    const MAX_SENT_BYTES: usize = 32 * 1024 * 1024;
    let (store, log) =
        serve_raw(|_| endless("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"rows\":[".into()))
            .await;
    let addresses = HostAddresses {
        caller_address: free_address(),
        readiness_address: free_address(),
        peer_address: free_address(),
        store,
    };
    start_gateway("endless-store", &addresses);
    sleep(Duration::from_millis(2500)).await;
    let (sent, calls) = (log.repeated_bytes(), log.paths().len());
    assert!(calls > 3, "the host repeats the call: {calls} calls");
    assert!(
        sent < MAX_SENT_BYTES * calls,
        "{sent} bytes in {calls} calls"
    );
    let readiness = send(
        addresses.readiness_address,
        request("GET", "/ready", "x", ""),
    )
    .await;
    assert_eq!(
        readiness.unwrap().status,
        503,
        "running, but without a configuration"
    );
}

/// Only complete events count as progress, so single bytes do not keep a stream open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_without_complete_events_times_out() {
    let fixture = Fixture::start("drip").await;
    fixture
        .replace_pool("model", |request| {
            vec![
                RawStep::Send(chunked_stream(request)),
                RawStep::Repeat(chunk(":"), Duration::from_millis(100)),
            ]
        })
        .await;
    for path in ["/draft/ok", "/brief/ok"] {
        let started = Instant::now();
        let response = fixture.call("POST", path, "e1").await;
        assert!(response.body.is_err(), "{path}: {response:?}");
        let elapsed = started.elapsed();
        assert!(elapsed < Duration::from_millis(3300), "{path}: {elapsed:?}");
    }
}

/// A stream that always has data ready still ends at the caller's deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_stream_of_comments_ends_at_the_deadline() {
    let fixture = Fixture::start("comments").await;
    fixture
        .replace_pool("model", |request| {
            vec![
                RawStep::Send(unframed_stream(request)),
                RawStep::Repeat(":\n\n".repeat(2000).into_bytes(), Duration::ZERO),
            ]
        })
        .await;
    let started = Instant::now();
    let response = fixture.call("POST", "/draft/ok", "f1").await;
    assert!(response.body.is_err());
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_millis(3300), "{elapsed:?}");
}

/// A slow stream is not abandoned if no other engine can resume it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_stream_is_kept_if_no_other_engine_can_resume_it() {
    let fixture = Fixture::start("slow-stream").await;
    fixture
        .replace_pool("model", |request| {
            vec![
                RawStep::Send(chunked_stream(request)),
                RawStep::Pause(Duration::from_millis(1600)),
                RawStep::Send(chunk("id: 2\ndata: b\n\n")),
                RawStep::Send(b"0\r\n\r\n".to_vec()),
            ]
        })
        .await;
    let response = fixture.call("POST", "/brief/ok", "g1").await;
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    assert_eq!(
        (response.status, response.body.as_deref()),
        (200, Ok(events))
    );
}

/// A slow stream that was kept for lack of another engine, and stalls after its next event, is
/// resumed on an engine that has registered in the meantime.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_stream_is_resumed_on_a_new_engine() {
    let fixture = Fixture::start("kept-stream").await;
    fixture
        .replace_pool("model", |request| {
            vec![
                RawStep::Send(chunked_stream(request)),
                RawStep::Pause(Duration::from_millis(1400)),
                RawStep::Send(chunk("id: 2\ndata: b\n\n")),
                RawStep::Pause(Duration::from_secs(20)),
            ]
        })
        .await;
    let call = fixture.call("POST", "/brief/ok", "g2");
    let add_engine = async {
        sleep(Duration::from_millis(1300)).await;
        let address = servers::serve("m2", Arc::clone(&fixture.log)).await;
        fixture.store.set_server("m2", "model", address, "ready", 2);
    };
    let (response, ()) = tokio::join!(call, add_engine);
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    assert_eq!(
        (response.status, response.body.as_deref()),
        (200, Ok(events))
    );
    assert_eq!(
        fixture.log.lines_with_prefix("ran g2").len(),
        1,
        "the new engine resumes the stream"
    );
}

/// A stream without a length that ends in the middle of an event was truncated and must not look
/// complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_truncated_within_an_event_is_an_error() {
    let fixture = Fixture::start("half-event").await;
    fixture
        .replace_pool("model", |request| {
            vec![
                RawStep::Send(unframed_stream(request)),
                RawStep::Send(b"id: 2\nda".to_vec()),
                RawStep::Close,
            ]
        })
        .await;
    let response = fixture.call("POST", "/draft/ok", "h1").await;
    assert!(response.body.is_err(), "{response:?}");
}

/// A response that is shorter than its length, or lacks its last chunk, is not passed on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn truncated_response_is_not_passed_on() {
    let fixture = Fixture::start("broke-off").await;
    fixture
        .replace_pool("plain", |request| {
            let mut message = match request.path.as_str() {
                "/pay/length" => request.response("200 OK", "", "whole answer"),
                _ => {
                    let mut partial = chunked_stream(request);
                    partial.extend(b"5\r\nwh");
                    partial
                }
            };
            message.truncate(message.len() - 1);
            vec![RawStep::Send(message), RawStep::Close]
        })
        .await;
    for mode in ["length", "chunks"] {
        let response = fixture.call("POST", &format!("/pay/{mode}"), mode).await;
        assert_eq!(response.status, 502, "{mode}: {response:?}");
    }
}
