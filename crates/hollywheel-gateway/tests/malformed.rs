//! Checks that a malformed message of a caller or of another host ends that request only.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use hyper_util::rt::{TokioExecutor, TokioIo};
use prost::Message;
use support::{Fixture, RawRequest, RawStep};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use hollywheel_wire::serving::{FreeResults, PieceOrder};

/// Sends a message to the gateway as another host does; returns the HTTP status.
async fn send_as_peer(fixture: &Fixture, path: &str, body: Vec<u8>) -> u16 {
    let stream = TcpStream::connect(fixture.peer_address).await.unwrap();
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .unwrap();
    tokio::spawn(connection);
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{path}", fixture.peer_address))
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    sender
        .send_request(request)
        .await
        .unwrap()
        .status()
        .as_u16()
}

/// Without a limit, an order for 2^32 pieces would exhaust the memory of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_peer_messages_do_not_affect_other_requests() {
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
        send_as_peer(&fixture, "/pieces", order.encode_to_vec()).await,
        400
    );
    let free = FreeResults {
        pool: "stage".into(),
        handles: vec!["no handle".into(), "1.1.1.1:1/x".into()],
        ..FreeResults::default()
    };
    assert_eq!(
        send_as_peer(&fixture, "/free", free.encode_to_vec()).await,
        200
    );
    let mut random_state = 0x9e37_79b9_7f4a_7c15_u64;
    for length in 0..64 {
        let bytes = (0..length).map(|_| {
            random_state = random_state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            (random_state >> 33) as u8
        });
        let bytes: Vec<u8> = bytes.collect();
        for path in ["/pieces", "/free", "/follow", "/nothing"] {
            let status = send_as_peer(&fixture, path, bytes.clone()).await;
            assert!(matches!(status, 200 | 400), "{path}: {status}");
        }
    }
    assert_eq!(fixture.call("POST", "/draft/ok", "a1").await.status, 200);
}

/// Sends raw bytes as a caller and returns what the gateway sends within 3 s.
async fn exchange(fixture: &Fixture, bytes: &[u8]) -> String {
    let mut caller = TcpStream::connect(fixture.caller_address).await.unwrap();
    caller.write_all(bytes).await.unwrap();
    let mut response = Vec::new();
    let read_timeout = Duration::from_secs(3);
    // After a time-out, the test checks the part that has arrived.
    let _ = tokio::time::timeout(read_timeout, caller.read_to_end(&mut response)).await;
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_requests_do_not_affect_other_requests() {
    let fixture = Fixture::start("malformed-caller").await;
    let valid_headers = "host: h\r\nattempt-id: a1\r\nauthorization: Bearer k1\r\n";
    let max_tokens = u32::MAX;
    for (request, status) in [
        ("nonsense\r\n\r\n".to_owned(), "400"),
        (
            format!("POST /pay/x HTTP/1.1\r\n{valid_headers}content-length: -1\r\n\r\n"),
            "400",
        ),
        (
            format!("POST /pay/x HTTP/1.1\r\n{valid_headers}deadline-ms: x\r\n\r\n"),
            "400",
        ),
        (
            format!(
                "POST /pay/x HTTP/1.1\r\n{valid_headers}deadline-ms: {}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
                u64::MAX
            ),
            "200",
        ),
        (
            format!(
                "POST /draft/x HTTP/1.1\r\n{valid_headers}deadline-ms: 3000\r\nprompt-prefix: a:{max_tokens},b:{max_tokens},c:1\r\npieces: 1,1\r\npiece-key: k\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            ),
            "200",
        ),
        (
            format!(
                "POST /pay/x HTTP/1.1\r\n{valid_headers}filler: {}\r\n\r\n",
                "y".repeat(600_000)
            ),
            "431",
        ),
    ] {
        let response = exchange(&fixture, request.as_bytes()).await;
        let head: String = request.chars().take(60).collect();
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{head}: {response:.80}"
        );
    }
    assert_eq!(fixture.call("POST", "/pay/ok", "a2").await.status, 200);
}

/// Requests with over 100 header lines were refused with 431 although their head was within
/// `max-header-bytes`; answers with as many were lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_short_header_lines_are_refused() {
    let fixture = Fixture::start("header-lines").await;
    let script = |request: &RawRequest| {
        let lines = "b: c\r\n".repeat(request.head_lines());
        vec![RawStep::Send(request.response("200 OK", &lines, "body"))]
    };
    fixture.replace_pool("plain", script).await;
    for count in [101, 240] {
        let lines = "a:\r\n".repeat(count);
        let request = format!(
            "POST /pay/ok HTTP/1.1\r\nhost: h\r\nattempt-id: n{count}\r\nauthorization: Bearer k1\r\n{lines}content-length: 0\r\nconnection: close\r\n\r\n"
        );
        let response = exchange(&fixture, request.as_bytes()).await;
        assert!(
            response.starts_with("HTTP/1.1 200") && response.ends_with("body"),
            "{count} lines: {response:.80}"
        );
    }
}

/// The gateway rejects an oversized head while the caller is still sending it. Closing the
/// connection with unread bytes would reset it, and the caller would not get the response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejected_caller_gets_the_response_while_still_sending() {
    let fixture = Fixture::start("refused-writer").await;
    let mut caller = TcpStream::connect(fixture.caller_address).await.unwrap();
    let chunk = [b'y'; 50_000];
    caller
        .write_all(b"POST /pay/x HTTP/1.1\r\nfiller: ")
        .await
        .unwrap();
    for _ in 0..20 {
        caller.write_all(&chunk).await.unwrap();
        sleep(Duration::from_millis(10)).await;
    }
    let mut response = Vec::new();
    caller.read_to_end(&mut response).await.unwrap();
    let response = String::from_utf8_lossy(&response);
    assert!(response.starts_with("HTTP/1.1 431"), "{response:.80}");
    assert_eq!(fixture.call("POST", "/pay/ok", "a3").await.status, 200);
}

/// A caller that stops in the middle of its body gets a 408 response at its deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stalled_request_body_ends_at_the_deadline() {
    let fixture = Fixture::start("stalled-body").await;
    let started = Instant::now();
    let head = "POST /pay/ok HTTP/1.1\r\nhost: h\r\nattempt-id: s1\r\ndeadline-ms: 700\r\nauthorization: Bearer k1\r\ncontent-length: 10\r\n\r\nx";
    let response = exchange(&fixture, head.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(started.elapsed() < Duration::from_millis(1500));
    assert!(fixture.log.lines_with_prefix("ran s1").is_empty());
}
