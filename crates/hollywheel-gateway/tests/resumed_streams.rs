//! Checks what callers get of a stream that broke off if the next engine fails.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use support::{Fixture, RawRequest, RawStep};

/// First event of a stream.
const EVENT: &str = "id: 1\ndata: a\n\n";

/// Starts a chunked stream with one event.
fn stream_start(request: &RawRequest) -> Vec<u8> {
    let attempt = request.header("attempt-id");
    let length = EVENT.len();
    format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{EVENT}\r\n"
    )
    .into_bytes()
}

/// Returns how an engine fails that is asked to go on with a stream.
fn fail(request: &RawRequest) -> Vec<RawStep> {
    let mode = request.path.rsplit('/').next().unwrap_or("");
    let response = match mode {
        "failure" => request.response("500 Internal Server Error", "", "boom"),
        "rejection" => request.response("503 Service Unavailable", "not-executed: 1\r\n", "boom"),
        "missing" => request.response("404 Not Found", "", "boom"),
        // An error under a success status, complete by its length.
        "text" => request.response("200 OK", "", "boom"),
        "empty" => format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {}\r\nresponse-seal: seal\r\n\r\n",
            request.header("attempt-id")
        )
        .into_bytes(),
        "event" => request.response("200 OK", "", "id: 2\ndata: b\n\nboom"),
        _ => format!(
            "HTTP/1.1 500 Internal Server Error\r\nattempt-id: {}\r\nresponse-seal: seal\r\nconnection: close\r\n\r\nboom",
            request.header("attempt-id")
        )
        .into_bytes(),
    };
    let mut steps = vec![RawStep::Send(response)];
    if matches!(mode, "empty" | "unframed") {
        steps.push(RawStep::Close);
    }
    steps
}

/// Callers found the text of the error, at times with its head, in the middle of their stream, or the
/// stream ended as if it were complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_goes_on_with_the_error_of_the_next_engine() {
    let fixture = Fixture::start("resumed-error").await;
    let script = |request: &RawRequest| match request.header("last-event-id").as_str() {
        "" => vec![RawStep::Send(stream_start(request)), RawStep::Close],
        _ => fail(request),
    };
    fixture.replace_pool("model", script).await;
    let (second, _) = support::serve_raw(script).await;
    fixture.store.set_server("m9", "model", second, "ready", 1);
    tokio::time::sleep(std::time::Duration::from_millis(700)).await;
    for mode in [
        "failure",
        "rejection",
        "missing",
        "text",
        "empty",
        "event",
        "unframed",
    ] {
        let started = fixture.call("POST", &format!("/brief/{mode}"), mode).await;
        assert_eq!(started.status, 200, "{mode}: {started:?}");
        assert!(started.body.is_err(), "{mode}: {started:?}");
    }
}
