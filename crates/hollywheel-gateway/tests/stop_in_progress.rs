//! Checks the graceful stop while a response is still being written, in its own test process
//! because SIGTERM starts the stop.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::Duration;

use nix::sys::signal::{Signal, raise};
use support::{Fixture, RawStep};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::sleep;

/// A caller that reads slowly gets its complete response before the process ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_completes_responses_in_progress() {
    /// Far more than the buffers of a connection hold, but within the limit for a response.
    const BODY_BYTES: usize = 7 * 1024 * 1024;
    let fixture = Fixture::start("stop-answers").await;
    fixture
        .replace_pool("plain", |request| {
            let response = request.response("200 OK", "", &"x".repeat(BODY_BYTES));
            vec![RawStep::Send(response)]
        })
        .await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let mut caller = socket.connect(fixture.caller_address).await.unwrap();
    let head = "POST /pay/ok HTTP/1.1\r\nhost: h\r\nattempt-id: w1\r\ndeadline-ms: 8000\r\nauthorization: Bearer k1\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    raise(Signal::SIGTERM).unwrap();
    // The gateway stops accepting callers after 2.6 s and exits once none is connected.
    let mut response = Vec::new();
    for _ in 0..64 {
        let mut part = vec![0; 16 * 1024];
        let count = caller.read(&mut part).await.unwrap();
        response.extend_from_slice(&part[..count]);
        sleep(Duration::from_millis(50)).await;
    }
    let result = caller.read_to_end(&mut response).await;
    assert!(result.is_ok(), "{result:?} after {} bytes", response.len());
    assert!(response.len() > BODY_BYTES, "{} bytes", response.len());
}
