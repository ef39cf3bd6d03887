//! Checks the graceful stop while callers still read answers that were made during it, in its own
//! test process because SIGTERM starts the stop.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::Duration;

use nix::sys::signal::{Signal, raise};
use support::{Fixture, RawRequest, RawStep, config};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// Far more than the buffers of a connection hold, but within the limit for a response.
const BODY_BYTES: usize = 7 * 1024 * 1024;
/// Number and size of the events of a stream.
const EVENTS: usize = 28;
const EVENT_BYTES: usize = 256 * 1024;

/// Answers with a long body, or with a stream of long events.
fn answer(request: &RawRequest) -> Vec<RawStep> {
    if request.path.starts_with("/pay/") {
        let response = request.response("200 OK", "", &"x".repeat(BODY_BYTES));
        return vec![RawStep::Send(response)];
    }
    let events: String = (1..=EVENTS)
        .map(|event| format!("id: {event}\ndata: {}\n\n", "x".repeat(EVENT_BYTES)))
        .collect();
    vec![RawStep::Send(request.response("200 OK", "", &events))]
}

/// Sends a request on a connection with small buffers.
async fn send_request(fixture: &Fixture, path: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let mut caller = socket.connect(fixture.caller_address).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nattempt-id: {}\r\ndeadline-ms: 8000\r\nauthorization: Bearer k1\r\npieces: 1,1\r\npiece-key: 7c1e\r\nmodel: m\r\ntoken-counts: 100,10\r\nprompt-prefix: a:50,b:50\r\ncontent-length: 0\r\n\r\n",
        path.replace('/', "")
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    caller
}

/// Reads an answer slowly until long after the host has closed its listeners, then to its end.
async fn read_slowly(mut caller: TcpStream) -> Vec<u8> {
    let mut response = Vec::new();
    for _ in 0..40 {
        let mut part = vec![0; 16 * 1024];
        let count = caller.read(&mut part).await.unwrap();
        response.extend_from_slice(&part[..count]);
        sleep(Duration::from_millis(80)).await;
    }
    let result = caller.read_to_end(&mut response).await;
    assert!(result.is_ok(), "{result:?} after {} bytes", response.len());
    response
}

/// Callers lost the rest of an answer that had been made during a stop and that they had not read
/// completely when the host closed its idle connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_cuts_answers_that_are_not_read_yet() {
    let fixture = Fixture::start("stop-unread").await;
    // Slow reading must not reach the time-out of the pipeline, which ends a stream.
    let patient = config(2, "k1").replace("\"timeout-ms\":4000", "\"timeout-ms\":8000");
    fixture.store.set_config(&patient);
    fixture.replace_pool("plain", answer).await;
    fixture.replace_pool("model", answer).await;
    raise(Signal::SIGTERM).unwrap();
    sleep(Duration::from_millis(600)).await;
    let plain = send_request(&fixture, "/pay/ok").await;
    let stream = send_request(&fixture, "/brief/ok").await;
    let (plain, stream) = tokio::join!(read_slowly(plain), read_slowly(stream));
    assert!(plain.len() > BODY_BYTES, "{} bytes", plain.len());
    assert!(stream.ends_with(b"\n\n") || stream.ends_with(b"0\r\n\r\n"));
    assert!(
        stream.len() > EVENTS * EVENT_BYTES,
        "{} bytes",
        stream.len()
    );
}
