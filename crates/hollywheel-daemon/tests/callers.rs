//! Tests of callers over HTTP/2, and of callers that disconnect.

mod support;

use std::time::Duration;

use bytes::Bytes;
use hollywheel_node::{CallerRequest, ReplyPart};
use hollywheel_standins::{FaultOrder, LedgerEvent, StandinHandle};
use hollywheel_types::{RequestId, WallTime};
use http::{Request, Version};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use support::{CALLER_KEY, HttpClient, TestHost, send, wait_for};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn http2_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http()
}

fn request_of(host: &TestHost, body: &'static str) -> Request<Full<Bytes>> {
    host.call("summary").body(Full::from(body)).unwrap()
}

fn slow_engine(host: &TestHost) {
    host.engine.set_faults(FaultOrder {
        slow_factor: 40.0,
        ..FaultOrder::default()
    });
}

async fn wait_cancelled(engine: &StandinHandle) {
    wait_for("the cancelled attempt in the ledger", async || {
        let ledger = engine.ledger();
        ledger
            .iter()
            .any(|entry| entry.event == LedgerEvent::Cancelled)
    })
    .await;
}

/// Disconnects from a non-streaming request while the engine executes it.
async fn leave_while_the_engine_works(client: HttpClient, version: Version) {
    let host = TestHost::start().await;
    slow_engine(&host);
    let mut request = request_of(&host, r#"{"input":"x"}"#);
    *request.version_mut() = version;
    let call = tokio::spawn(async move { client.request(request).await });
    wait_for("work at the engine", async || {
        !host.engine.ledger().is_empty()
    })
    .await;
    call.abort();
    wait_cancelled(&host.engine).await;
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_port_serves_http2_with_prior_knowledge_too() {
    let host = TestHost::start().await;
    let client = http2_client();
    for body in [r#"{"input":"x"}"#, r#"{"input":"x","stream":true}"#] {
        let mut request = request_of(&host, body);
        *request.version_mut() = Version::HTTP_2;
        let answer = send(&client, request).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert!(answer.text().contains("\"tokens\":8"), "{}", answer.text());
    }
    drop(client);
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_resets_its_stream_frees_the_engine() {
    leave_while_the_engine_works(http2_client(), Version::HTTP_2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_closes_its_connection_frees_the_engine() {
    leave_while_the_engine_works(support::http_client(), Version::HTTP_11).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_its_stream_frees_the_engine() {
    let host = TestHost::start().await;
    slow_engine(&host);
    let client = support::http_client();
    let request = request_of(&host, r#"{"input":"x","stream":true}"#);
    let mut response = client.request(request).await.unwrap();
    assert_eq!(response.status(), 200);
    let first = response.body_mut().frame().await.unwrap().unwrap();
    assert!(first.into_data().unwrap().starts_with(b"event: token"));
    drop(response);
    drop(client);
    wait_cancelled(&host.engine).await;
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_breaks_off_its_request_runs_nothing() {
    let host = TestHost::start().await;
    let head = format!(
        "POST /v1/pipelines/look-up HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: 13\r\n\r\n"
    );
    for cut in [10, head.len() / 2, head.len() - 1, head.len()] {
        let mut stream = TcpStream::connect(host.callers).await.unwrap();
        stream.write_all(&head.as_bytes()[..cut]).await.unwrap();
    }
    let mut stream = TcpStream::connect(host.callers).await.unwrap();
    let partial = format!("{head}{{\"input\":");
    stream.write_all(partial.as_bytes()).await.unwrap();
    drop(stream);
    let mut noise = TcpStream::connect(host.callers).await.unwrap();
    noise.write_all(&[0xff; 512]).await.unwrap();
    let mut answer = Vec::new();
    let read = noise.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(8), read).await;
    assert_eq!(host.post("look-up", r#"{"input":"x"}"#).await.status, 200);
    let ledger = host.service.ledger();
    let started = ledger.iter().filter(|e| e.event == LedgerEvent::Started);
    assert_eq!(started.count(), 1);
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_does_not_read_its_stream_is_cut_off() {
    let host = TestHost::start().await;
    let (replies, mut parts) = tokio::sync::mpsc::channel(1);
    let request = CallerRequest {
        request: RequestId(5),
        workspace: "clerk-desk".parse().unwrap(),
        pipeline: "summary".parse().unwrap(),
        input: "x".to_owned(),
        idempotency_key: None,
        timeout: None,
        max_tokens: None,
        stream: true,
        received_at: WallTime(0),
    };
    slow_engine(&host);
    host.core.submit(request, replies).unwrap();
    wait_cancelled(&host.engine).await;
    assert!(matches!(parts.recv().await, Some(ReplyPart::Token { .. })));
    assert_eq!(parts.recv().await, None);
    assert!(host.stop().await);
}
