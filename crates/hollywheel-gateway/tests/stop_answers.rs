//! The graceful stop while answers are still written, in a test process of its own.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::Duration;

use nix::sys::signal::{Signal, raise};
use support::{Fixture, RawStep};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::sleep;

/// A caller that reads slowly gets its whole answer before the process ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_being_written_is_completed() {
    /// Far more than the buffers of a connection hold, and within what an answer may have.
    const LENGTH: usize = 7 * 1024 * 1024;
    let fixture = Fixture::start("stop-answers").await;
    fixture
        .replace_pool("plain", |request| {
            let answer = request.response("200 OK", "", &"x".repeat(LENGTH));
            vec![RawStep::Send(answer)]
        })
        .await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let mut caller = socket.connect(fixture.callers).await.unwrap();
    let head = "POST /pay/ok HTTP/1.1\r\nhost: h\r\nattempt-id: w1\r\ndeadline-ms: 8000\r\nauthorization: Bearer k1\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    raise(Signal::SIGTERM).unwrap();
    // The stop takes no callers after 2.6 s, and ends when none is left.
    let mut answer = Vec::new();
    for _ in 0..64 {
        let mut part = vec![0; 16 * 1024];
        let count = caller.read(&mut part).await.unwrap();
        answer.extend_from_slice(&part[..count]);
        sleep(Duration::from_millis(50)).await;
    }
    let read = caller.read_to_end(&mut answer).await;
    assert!(read.is_ok(), "{read:?} after {} bytes", answer.len());
    assert!(answer.len() > LENGTH, "{} bytes", answer.len());
}
