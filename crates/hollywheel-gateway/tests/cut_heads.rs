//! Checks what callers get when a server stops in the head or the body of its answer and closes the
//! connection.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use support::{Fixture, RawLog, RawRequest, RawStep, request, send, serve_raw};
use tokio::time::sleep;

/// Servers of a pool: one that fails is not used for a while.
const SERVERS: usize = 40;

/// Answers with the first bytes of a response, as many as the last segment of the path says, and
/// closes the connection. A response without a length ends with its connection.
fn cut_answer(request: &RawRequest) -> Vec<RawStep> {
    let mut segments = request.path.rsplit('/');
    let bytes: usize = segments.next().unwrap().parse().unwrap();
    let answer = match segments.next() {
        Some("length") => request.response("200 OK", "", "body"),
        _ => open_head(request),
    };
    let end = bytes.min(answer.len());
    vec![RawStep::Send(answer[..end].to_vec()), RawStep::Close]
}

/// Returns the head of a genuine answer that names no length.
fn open_head(request: &RawRequest) -> Vec<u8> {
    let attempt = request.header("attempt-id");
    let head = format!("HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\n\r\n");
    head.into_bytes()
}

/// Starts a gateway whose plain and model servers cut their answers.
async fn start(name: &str) -> (Fixture, Vec<Arc<RawLog>>) {
    let fixture = Fixture::start(name).await;
    for server in ["p1", "p2", "m1", "m2"] {
        fixture.store.remove_server(server);
    }
    let mut logs = Vec::new();
    for number in 0..SERVERS {
        let (address, log) = serve_raw(cut_answer).await;
        logs.push(log);
        let server = format!("cut-{number}");
        let pool = if number % 2 == 0 { "plain" } else { "model" };
        fixture.store.set_server(&server, pool, address, "ready", 1);
    }
    sleep(Duration::from_millis(700)).await;
    (fixture, logs)
}

/// Sends requests whose answers are cut after each number of bytes; returns the statuses that are a
/// success.
async fn successes(fixture: &Fixture, prefix: &str, cuts: std::ops::Range<usize>) -> Vec<String> {
    let mut found = Vec::new();
    for cut in cuts {
        let path = format!("{prefix}/{cut}");
        let mut call = request("POST", &path, &format!("c{cut:04x}"), "k1");
        let parts = HeaderValue::from_str(&format!("{cut:x}:50")).unwrap();
        call.headers_mut().insert("prompt-prefix", parts);
        // Each request has no pieces, so no stage runs.
        let none = HeaderValue::from_static("0,0");
        call.headers_mut().insert("pieces", none);
        let response = send(fixture.caller_address, call).await.unwrap();
        if response.status < 400 && response.body.is_ok() {
            found.push(format!("{path}: {response:?}"));
        }
    }
    found
}

fn received(logs: &[Arc<RawLog>]) -> usize {
    logs.iter().map(|log| log.paths().len()).sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_that_is_cut_off_is_taken_for_whole() {
    let (fixture, logs) = start("cut-heads").await;
    // An answer with a length has 82 bytes, the head of one without a length 59.
    for (prefix, whole) in [
        ("/pay/length", 82),
        ("/pay/open", 59),
        ("/brief/length", 82),
        ("/brief/open", 59),
    ] {
        let before = received(&logs);
        let found = successes(&fixture, prefix, 1..whole).await;
        assert!(found.is_empty(), "{found:#?}");
        let sent = received(&logs) - before;
        assert!(
            sent > whole / 2,
            "{prefix}: {sent} of {whole} reached servers"
        );
    }
}

/// The connection is all that ends the stream, and it ends before the first event.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_without_events_is_taken_for_whole() {
    let (fixture, logs) = start("cut-streams").await;
    let found = successes(&fixture, "/brief/open", 1000..1004).await;
    assert!(received(&logs) > 0);
    assert!(found.is_empty(), "{found:#?}");
}
