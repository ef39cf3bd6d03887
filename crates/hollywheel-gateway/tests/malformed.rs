//! Malformed messages of callers and of other hosts, which end one request and nothing else.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use hyper_util::rt::{TokioExecutor, TokioIo};
use prost::Message;
use support::Fixture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use hollywheel_wire::serving::{FreeResults, PieceOrder};

async fn send_to_host(fixture: &Fixture, path: &str, body: Vec<u8>) -> u16 {
    let stream = TcpStream::connect(fixture.peers).await.unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .unwrap();
    tokio::spawn(connection);
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{path}", fixture.peers))
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    sender
        .send_request(request)
        .await
        .unwrap()
        .status()
        .as_u16()
}

/// An order for more pieces than any request may have would take all memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_malformed_message_of_a_host_is_refused_alone() {
    let fixture = Fixture::start("malformed-peer").await;
    let order = PieceOrder {
        pool: "stage".into(),
        kind: "draft/0".into(),
        attempt: "x".into(),
        pieces: u32::MAX,
        key: "k".into(),
        due_us: i64::MIN,
        goal_us: u64::MAX,
        expires_us: u64::MAX,
        ..PieceOrder::default()
    };
    assert_eq!(
        send_to_host(&fixture, "/pieces", order.encode_to_vec()).await,
        400
    );
    let free = FreeResults {
        pool: "stage".into(),
        handles: vec!["no handle".into(), "1.1.1.1:1/x".into()],
        ..FreeResults::default()
    };
    assert_eq!(
        send_to_host(&fixture, "/free", free.encode_to_vec()).await,
        200
    );
    let mut noise = 0x9e37_79b9_7f4a_7c15_u64;
    for length in 0..64 {
        let bytes = (0..length).map(|_| {
            noise = noise
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            (noise >> 33) as u8
        });
        let bytes: Vec<u8> = bytes.collect();
        for path in ["/pieces", "/free", "/follow", "/nothing"] {
            let status = send_to_host(&fixture, path, bytes.clone()).await;
            assert!(matches!(status, 200 | 400), "{path}: {status}");
        }
    }
    assert_eq!(fixture.call("POST", "/draft/ok", "a1").await.status, 200);
}

async fn exchange(fixture: &Fixture, bytes: &[u8]) -> String {
    let mut caller = TcpStream::connect(fixture.callers).await.unwrap();
    caller.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let limit = Duration::from_secs(3);
    // What is not answered in time is compared as far as it came.
    let _ = tokio::time::timeout(limit, caller.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_malformed_request_is_answered_alone() {
    let fixture = Fixture::start("malformed-caller").await;
    let named = "host: h\r\nattempt-id: a1\r\nauthorization: Bearer k1\r\n";
    let many = u32::MAX;
    for (request, status) in [
        ("nonsense\r\n\r\n".to_owned(), "400"),
        (
            format!("POST /pay/x HTTP/1.1\r\n{named}content-length: -1\r\n\r\n"),
            "400",
        ),
        (
            format!("POST /pay/x HTTP/1.1\r\n{named}deadline-ms: x\r\n\r\n"),
            "400",
        ),
        (
            format!(
                "POST /pay/x HTTP/1.1\r\n{named}deadline-ms: {}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
                u64::MAX
            ),
            "200",
        ),
        (
            format!(
                "POST /draft/x HTTP/1.1\r\n{named}deadline-ms: 3000\r\nprompt-prefix: a:{many},b:{many},c:1\r\npieces: 1,1\r\npiece-key: k\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            ),
            "200",
        ),
        (
            format!(
                "POST /pay/x HTTP/1.1\r\n{named}filler: {}\r\n\r\n",
                "y".repeat(600_000)
            ),
            "431",
        ),
    ] {
        let answer = exchange(&fixture, request.as_bytes()).await;
        let head: String = request.chars().take(60).collect();
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{head}: {answer:.80}"
        );
    }
    assert_eq!(fixture.call("POST", "/pay/ok", "a2").await.status, 200);
}

/// A caller still writes its head when the host has refused it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_is_refused_while_it_writes_gets_the_answer() {
    let fixture = Fixture::start("refused-writer").await;
    let mut caller = TcpStream::connect(fixture.callers).await.unwrap();
    let chunk = [b'y'; 50_000];
    caller
        .write_all(b"POST /pay/x HTTP/1.1\r\nfiller: ")
        .await
        .unwrap();
    for _ in 0..20 {
        caller.write_all(&chunk).await.unwrap();
        sleep(Duration::from_millis(10)).await;
    }
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer:.80}");
    assert_eq!(fixture.call("POST", "/pay/ok", "a3").await.status, 200);
}

/// A caller that stops in the middle of its body is told in its own time that nothing ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_body_stalls_ends_in_its_time() {
    let fixture = Fixture::start("stalled-body").await;
    let started = Instant::now();
    let head = "POST /pay/ok HTTP/1.1\r\nhost: h\r\nattempt-id: s1\r\ndeadline-ms: 700\r\nauthorization: Bearer k1\r\ncontent-length: 10\r\n\r\nx";
    let answer = exchange(&fixture, head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(started.elapsed() < Duration::from_millis(1500));
    assert!(fixture.log.lines_with_prefix("ran s1").is_empty());
}
