//! Backend servers in trouble: copies of answers, bytes that are no answer, streams that stall or
//! are cut.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use support::{
    Fixture, HostAddresses, RawRequest, RawStep, free_address, request, send, serve_raw, servers,
    start_gateway,
};
use tokio::time::sleep;

const EVENT: &str = "id: 1\ndata: a\n\n";

/// Begins a stream whose length is not told, which ends with its connection.
fn open_stream(request: &RawRequest) -> Vec<u8> {
    let attempt = request.header("attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\nconnection: close\r\n\r\n{EVENT}"
    )
    .into_bytes()
}

/// Begins a stream in chunks, so that its end is told.
fn chunked_stream(request: &RawRequest) -> Vec<u8> {
    let attempt = request.header("attempt-id");
    let mut head = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n"
    )
    .into_bytes();
    head.extend(chunk(EVENT));
    head
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// A refusal speaks of the request that it names. One that comes late, on a connection that is in
/// use again, says nothing about the next request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_that_names_another_request_promises_nothing() {
    let fixture = Fixture::start("crossed-refusal").await;
    let log = fixture
        .replace_pool("plain", |request| {
            if request.index == 0 {
                return vec![RawStep::Send(request.response("200 OK", "", "first"))];
            }
            let copy = "HTTP/1.1 503 Service Unavailable\r\nattempt-id: a1\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
            vec![RawStep::Send(copy.into())]
        })
        .await;
    assert_eq!(fixture.call("POST", "/pay/ok", "a1").await.status, 200);
    let answer = fixture.call("POST", "/pay/ok", "a2").await;
    assert_eq!(answer.status, 502, "it may have run: {answer:?}");
    assert_eq!(answer.retry_after, None);
    assert_eq!(log.paths().len(), 2);
}

/// A refusal that names no request may belong to the one before, so its connection is not used
/// again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_whose_answer_named_no_request_is_not_used_again() {
    let fixture = Fixture::start("unnamed").await;
    let log = fixture
        .replace_pool("plain", |request| {
            let refusal =
                "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
            match request.index {
                0 if request.header("attempt-id") == "b1" => {
                    vec![RawStep::Send(refusal.into())]
                }
                0 => vec![RawStep::Send(request.response("200 OK", "", "own"))],
                // What follows on the connection of a refusal is its second copy.
                _ => vec![RawStep::Send(refusal.into())],
            }
        })
        .await;
    assert_eq!(fixture.call("POST", "/pay/ok", "b1").await.status, 503);
    let answer = fixture.call("POST", "/pay/ok", "b2").await;
    assert_eq!(
        (answer.status, answer.body.as_deref()),
        (200, Ok("own")),
        "a copy must not say that b2 has not run"
    );
    assert_eq!(log.paths().len(), 2);
}

/// Answers to calls for pieces name no request. A copy is told by results that the connection
/// has brought before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_copy_of_a_call_for_pieces_is_not_taken_for_the_next_one() {
    let fixture = Fixture::start("crossed-pieces").await;
    let calls = AtomicUsize::new(0);
    fixture
        .replace_pool("stage", move |request| {
            let answer = |call: usize| {
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
                0 => vec![answer(call)],
                // The copy of the answer before comes ahead of the own one.
                _ => vec![
                    answer(call - 1),
                    RawStep::Pause(Duration::from_millis(30)),
                    answer(call),
                ],
            }
        })
        .await;
    for attempt in ["c1", "c2", "c3"] {
        let answer = fixture.call("POST", "/brief/ok", attempt).await;
        assert_eq!(answer.status, 200, "{attempt}: {answer:?}");
    }
    let lines = fixture.log.lines_with_prefix("inputs c");
    let inputs = lines.iter().filter_map(|line| line.split(' ').nth(2));
    let mut read: Vec<&str> = inputs.flat_map(|inputs| inputs.split(',')).collect();
    read.sort_unstable();
    let count = read.len();
    read.dedup();
    assert_eq!(
        (count, read.len()),
        (6, 6),
        "no result is read by two requests: {lines:?}"
    );
}

fn endless(head: String) -> Vec<RawStep> {
    vec![
        RawStep::Send(head.into_bytes()),
        RawStep::Repeat(vec![b'x'; 64 * 1024], Duration::ZERO),
    ]
}

/// Bytes without end, in a head or a body, end the attempt after a bounded number of them, and
/// nothing else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_without_end_are_given_up() {
    /// What the connection's buffers hold is sent in any case.
    const BOUND: usize = 32 * 1024 * 1024;
    let fixture = Fixture::start("endless").await;
    let script = |request: &RawRequest| {
        let attempt = request.header("attempt-id");
        let named = format!("attempt-id: {attempt}\r\nresponse-seal: seal\r\n");
        match request.path.rsplit('/').next().unwrap_or("") {
            "head" => endless("HTTP/1.1 200 OK\r\nfield: ".into()),
            "noise" => endless(String::new()),
            "body" => endless(format!(
                "HTTP/1.1 200 OK\r\n{named}connection: close\r\n\r\n"
            )),
            "refusal" => endless(format!(
                "HTTP/1.1 503 Service Unavailable\r\n{named}not-executed: 1\r\nconnection: close\r\n\r\n"
            )),
            "failure" => endless(format!(
                "HTTP/1.1 500 Internal Server Error\r\n{named}connection: close\r\n\r\n"
            )),
            "event" => {
                let mut steps = endless(String::new());
                steps.insert(0, RawStep::Send(open_stream(request)));
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
        let answer = fixture.call("POST", &format!("/pay/{mode}"), mode).await;
        assert_eq!(answer.status, status, "{mode}: {answer:?}");
        sleep(Duration::from_millis(200)).await;
        let sent = plain.repeated_bytes() - before;
        assert!(sent < BOUND, "{mode}: {sent} bytes");
    }
    let model = fixture.replace_pool("model", script).await;
    for mode in ["head", "noise", "failure", "event"] {
        let before = model.repeated_bytes();
        let answer = fixture.call("POST", &format!("/draft/{mode}"), mode).await;
        assert!(
            answer.status == 502 || answer.body.is_err(),
            "{mode}: {answer:?}"
        );
        sleep(Duration::from_millis(200)).await;
        let sent = model.repeated_bytes() - before;
        assert!(sent < BOUND, "{mode}: {sent} bytes");
    }
    assert_eq!(fixture.call("POST", "/draft/ok", "after").await.status, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pieces_without_end_are_given_up() {
    const BOUND: usize = 32 * 1024 * 1024;
    let fixture = Fixture::start("endless-pieces").await;
    let stage = fixture
        .replace_pool("stage", |_| {
            endless("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"items\":[".into())
        })
        .await;
    let answer = fixture.call("POST", "/brief/ok", "d1").await;
    assert_eq!(
        answer.status, 503,
        "the request itself has not run: {answer:?}"
    );
    let sent = stage.repeated_bytes();
    let calls = stage.paths().len();
    assert!(sent < BOUND * calls / 4, "{sent} bytes in {calls} calls");
    assert_eq!(fixture.call("POST", "/pay/ok", "d2").await.status, 200);
}

/// A store, or what has its address, may send without end as well; the host stays up and asks again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_sends_without_end_is_given_up() {
    const BOUND: usize = 32 * 1024 * 1024;
    let (store, log) =
        serve_raw(|_| endless("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"rows\":[".into()))
            .await;
    let addresses = HostAddresses {
        callers: free_address(),
        ready: free_address(),
        peers: free_address(),
        store,
    };
    start_gateway("endless-store", &addresses);
    sleep(Duration::from_millis(2500)).await;
    let (sent, calls) = (log.repeated_bytes(), log.paths().len());
    assert!(calls > 3, "it asks again: {calls} calls");
    assert!(sent < BOUND * calls, "{sent} bytes in {calls} calls");
    let ready = send(addresses.ready, request("GET", "/ready", "x", "")).await;
    assert_eq!(ready.unwrap().status, 503, "up, without a configuration");
}

/// A byte now and then is no progress: a stream ends by its whole events.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_sends_a_byte_now_and_then_ends() {
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
        let answer = fixture.call("POST", path, "e1").await;
        assert!(answer.body.is_err(), "{path}: {answer:?}");
        let taken = started.elapsed();
        assert!(taken < Duration::from_millis(3300), "{path}: {taken:?}");
    }
}

/// A server that fills a stream faster than its caller's time passes still ends at that time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_of_comments_without_end_ends() {
    let fixture = Fixture::start("comments").await;
    fixture
        .replace_pool("model", |request| {
            vec![
                RawStep::Send(open_stream(request)),
                RawStep::Repeat(":\n\n".repeat(2000).into_bytes(), Duration::ZERO),
            ]
        })
        .await;
    let started = Instant::now();
    let answer = fixture.call("POST", "/draft/ok", "f1").await;
    assert!(answer.body.is_err());
    let taken = started.elapsed();
    assert!(taken < Duration::from_millis(3300), "{taken:?}");
}

/// A slow stream is sound; without another engine that could go on with it, it is kept.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_stream_that_no_other_engine_can_continue_is_kept() {
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
    let answer = fixture.call("POST", "/brief/ok", "g1").await;
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok(events)));
}

/// A stream that was waited for and stalls after its next event goes on at an engine that has come
/// meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_kept_stream_that_stalls_goes_on_at_a_new_engine() {
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
    let join = async {
        sleep(Duration::from_millis(1300)).await;
        let address = servers::serve("m2", Arc::clone(&fixture.log)).await;
        fixture.store.set_server("m2", "model", address, "ready", 2);
    };
    let (answer, ()) = tokio::join!(call, join);
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    assert_eq!((answer.status, answer.body.as_deref()), (200, Ok(events)));
    assert_eq!(
        fixture.log.lines_with_prefix("ran g2").len(),
        1,
        "the new engine ran it"
    );
}

/// A stream without a told length that ends within an event was cut, and must not look complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_ends_within_an_event_is_not_complete() {
    let fixture = Fixture::start("half-event").await;
    fixture
        .replace_pool("model", |request| {
            vec![
                RawStep::Send(open_stream(request)),
                RawStep::Send(b"id: 2\nda".to_vec()),
                RawStep::Close,
            ]
        })
        .await;
    let answer = fixture.call("POST", "/draft/ok", "h1").await;
    assert!(answer.body.is_err(), "{answer:?}");
}

/// An answer that is shorter than it says, or whose last chunk is missing, reaches no caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_broke_off_is_not_passed_on() {
    let fixture = Fixture::start("broke-off").await;
    fixture
        .replace_pool("plain", |request| {
            let mut whole = match request.path.as_str() {
                "/pay/length" => request.response("200 OK", "", "whole answer"),
                _ => {
                    let mut answer = chunked_stream(request);
                    answer.extend(b"5\r\nwh");
                    answer
                }
            };
            whole.truncate(whole.len() - 1);
            vec![RawStep::Send(whole), RawStep::Close]
        })
        .await;
    for mode in ["length", "chunks"] {
        let answer = fixture.call("POST", &format!("/pay/{mode}"), mode).await;
        assert_eq!(answer.status, 502, "{mode}: {answer:?}");
    }
}
