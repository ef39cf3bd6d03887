//! Checks a host whose backend servers or callers send bytes without end: other requests are served
//! in time, and memory is bounded.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/peer_host.rs"]
mod peer_host;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt};
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use support::{Fixture, RawRequest, RawStep, config, request, send, serve_raw};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Memory that endless answers may take beyond that of a calm host, in kilobytes.
const MAX_GROWTH_KB: u64 = 32 * 1024;

/// Size of a large body that a host has freed, in bytes.
const LARGE_SIZE: usize = 7_000_000;

/// Memory is measured for the whole process, so the tests of this file run one after the other.
static MEASUREMENT: Mutex<()> = Mutex::new(());

/// Returns the resident memory of this process, in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let size = line.unwrap().split_whitespace().nth(1).unwrap();
    size.parse().unwrap()
}

/// Answers with a head and then repeats bytes until the gateway closes the connection.
fn endless(request: &RawRequest, head: &str, bytes: &[u8]) -> Vec<RawStep> {
    let attempt = request.header("attempt-id");
    let head = head.replace("ATTEMPT", &attempt);
    let repeated = bytes.repeat(16 * 1024 / bytes.len());
    vec![
        RawStep::Send(head.into_bytes()),
        RawStep::Repeat(repeated, Duration::ZERO),
    ]
}

/// Head of a chunked answer.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nattempt-id: ATTEMPT\r\nresponse-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n";

/// Returns what a server repeats, by the last segment of the path.
fn script(request: &RawRequest) -> Vec<RawStep> {
    match request.path.rsplit('/').next().unwrap_or("") {
        "stage-run" => endless(request, CHUNKED, b"1\r\n[\r\n"),
        "size" => endless(request, CHUNKED, b"0"),
        "padded" => endless(request, CHUNKED, &padded_chunk()),
        "interim" => endless(request, "", b"HTTP/1.1 100 Continue\r\n\r\n"),
        "bytes" => endless(request, CHUNKED, b"1\r\nx\r\n"),
        "chunks" => endless(
            request,
            CHUNKED,
            &[b"1000\r\n", &[b'x'; 4096][..], b"\r\n"].concat(),
        ),
        "event" => endless(
            request,
            &CHUNKED.replace("\r\n\r\n", "\r\ncontent-type: text/event-stream\r\n\r\n"),
            &[b"1000\r\n", &[b'x'; 4096][..], b"\r\n"].concat(),
        ),
        _ => vec![RawStep::Send(request.response(
            "200 OK",
            "",
            "id: 1\ndata: a\n\n",
        ))],
    }
}

/// Returns a chunk of one byte whose size has many leading zeros.
fn padded_chunk() -> Vec<u8> {
    let mut chunk = vec![b'0'; 16 * 1024 - 6];
    chunk.extend(b"1\r\nx\r\n");
    chunk
}

/// Starts a gateway whose callers wait for 8 s.
async fn start(name: &str) -> Fixture {
    let fixture = Fixture::start(name).await;
    let patient = config(2, "k1").replace("\"timeout-ms\":4000", "\"timeout-ms\":8000");
    fixture.store.set_config(&patient);
    fixture
}

/// Sends requests at once that are answered without end; returns tasks that end with them.
fn begin_calls(
    fixture: &Fixture,
    path: &str,
    count: usize,
) -> Vec<tokio::task::JoinHandle<Option<u16>>> {
    let calls = (0..count).map(|number| {
        let mut request = request("POST", path, &format!("{path}-{number}"), "k1");
        let headers = request.headers_mut();
        headers.insert("deadline-ms", "8000".parse().unwrap());
        let address = fixture.caller_address;
        tokio::spawn(async move {
            send(address, request)
                .await
                .ok()
                .map(|answer| answer.status)
        })
    });
    calls.collect()
}

/// Checks that payments to sound servers are answered in time.
async fn check_payments(fixture: &Fixture, mode: &str) {
    for number in 0..10 {
        let started = Instant::now();
        let attempt = format!("{mode}{number}");
        let status = fixture.call("POST", "/pay/ok", &attempt).await.status;
        let elapsed = started.elapsed();
        assert!(
            status == 200 && elapsed < Duration::from_millis(500),
            "{mode}: payment {number}: {status} after {elapsed:?}"
        );
    }
}

/// Payments to sound servers had no answer for seconds, while a model engine sent chunk sizes or
/// interim answers without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_framing_bytes_hold_up_other_requests() {
    const STREAMS: usize = 24;
    let _guard = MEASUREMENT.lock();
    let fixture = start("endless-framing").await;
    let model = fixture.replace_pool("model", script).await;
    // More servers of the same kind, so that all streams find a place.
    for number in 0..6 {
        let (address, _) = serve_raw(script).await;
        let name = format!("m{number}");
        fixture
            .store
            .set_server(&name, "model", address, "ready", 1);
    }
    sleep(Duration::from_millis(700)).await;
    for mode in ["size", "padded", "interim"] {
        let sent = model.repeated_bytes();
        let streams = begin_calls(&fixture, &format!("/draft/{mode}"), STREAMS);
        sleep(Duration::from_millis(200)).await;
        check_payments(&fixture, mode).await;
        for stream in streams {
            // Some are refused by the stages, which these many requests fill.
            let status = stream.await.unwrap();
            assert!(matches!(status, Some(502 | 503)), "{mode}: {status:?}");
        }
        let sent = model.repeated_bytes() - sent;
        assert!(sent < 32 * 1024 * 1024, "{mode}: {sent} bytes");
    }
}

/// Runs calls that are answered without end; returns by how much the memory grew at most, in
/// kilobytes.
async fn measure_growth(fixture: &Fixture, path: &str, count: usize) -> u64 {
    let calm = resident_kb();
    let has_ended = AtomicBool::new(false);
    let observe = async {
        let mut peak = calm;
        while !has_ended.load(Ordering::Relaxed) {
            peak = peak.max(resident_kb());
            sleep(Duration::from_millis(10)).await;
        }
        peak
    };
    let calls = async {
        for call in begin_calls(fixture, path, count) {
            call.await.unwrap();
        }
        has_ended.store(true, Ordering::Relaxed);
    };
    let (peak, ()) = tokio::join!(observe, calls);
    peak - calm
}

/// A host ran out of memory when a server answered in chunks of one byte without end: each chunk was
/// kept with many times its size.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_byte_chunks_exhaust_memory() {
    let _guard = MEASUREMENT.lock();
    let fixture = start("endless-chunks").await;
    let slow = config(3, "k1").replace("\"timeout-ms\":1500", "\"timeout-ms\":8000");
    fixture.store.set_config(&slow);
    fixture.replace_pool("plain", script).await;
    let growth = measure_growth(&fixture, "/pay/bytes", 12).await;
    assert!(growth < MAX_GROWTH_KB, "{growth} kB");
    fixture.replace_pool("stage", script).await;
    let growth = measure_growth(&fixture, "/draft/ok", 12).await;
    assert!(growth < MAX_GROWTH_KB, "stage calls: {growth} kB");
}

/// A host ran out of memory when a server answered many requests at once without end, although
/// each answer alone was within its limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_endless_answers_exhaust_memory() {
    let _guard = MEASUREMENT.lock();
    let fixture = start("endless-answers").await;
    fixture.replace_pool("plain", script).await;
    let growth = measure_growth(&fixture, "/pay/chunks", 96).await;
    assert!(growth < MAX_GROWTH_KB, "{growth} kB");
    let after = fixture.call("POST", "/pay/ok", "after").await;
    assert_eq!(after.status, 200, "{after:?}");
}

/// The memory of endless answers depended on earlier ones: once a large body had been freed, the
/// allocator placed growing buffers beside each other, and the space that they left was not reused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn freed_body_fragments_memory() {
    let _guard = MEASUREMENT.lock();
    let fixture = start("freed-body").await;
    fixture.replace_pool("plain", script).await;
    // The allocator keeps its threshold after this block is freed, and answers of the test's own
    // client do not count.
    drop(vec![1_u8; LARGE_SIZE]);
    for round in 0..3 {
        let growth = measure_growth(&fixture, "/pay/chunks", 96).await;
        assert!(growth < MAX_GROWTH_KB, "round {round}: {growth} kB");
    }
    fixture.replace_pool("model", script).await;
    for round in 0..3 {
        let growth = measure_growth(&fixture, "/draft/event", 96).await;
        assert!(growth < MAX_GROWTH_KB, "events, round {round}: {growth} kB");
    }
}

/// Starts an upload of a megabyte that stops short of its end.
async fn begin_upload(fixture: &Fixture, number: usize) -> TcpStream {
    let mut caller = TcpStream::connect(fixture.caller_address).await.unwrap();
    let head = format!(
        "POST /pay/ok HTTP/1.1\r\nhost: h\r\nattempt-id: u{number}\r\ndeadline-ms: 8000\r\nauthorization: Bearer k1\r\ncontent-length: 1000000\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    // The host closes the connection when it refuses the rest.
    let _ = caller.write_all(&vec![b'x'; 900_000]).await;
    caller
}

/// A host ran out of memory when many callers uploaded long bodies at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_uploads_exhaust_memory() {
    let _guard = MEASUREMENT.lock();
    let fixture = start("endless-uploads").await;
    let slow = config(3, "k1").replace("\"timeout-ms\":1500", "\"timeout-ms\":8000");
    fixture.store.set_config(&slow);
    sleep(Duration::from_millis(700)).await;
    let calm = resident_kb();
    let mut uploads = Vec::new();
    for number in 0..64 {
        uploads.push(begin_upload(&fixture, number).await);
    }
    let growth = resident_kb() - calm;
    assert!(growth < MAX_GROWTH_KB, "{growth} kB");
    let small = fixture.call("POST", "/pay/ok", "small").await;
    assert_eq!(small.status, 200, "{small:?}");
    let mut refused_count = 0;
    for mut upload in uploads {
        let mut part = vec![0; 1024];
        let count = upload.read(&mut part).await.unwrap();
        let head = String::from_utf8_lossy(&part[..count]);
        // Uploads that found memory stall until their deadline.
        let is_refused = head.starts_with("HTTP/1.1 503 ") && head.contains("retry-after: ");
        assert!(is_refused || head.starts_with("HTTP/1.1 408 "), "{head}");
        refused_count += usize::from(is_refused);
    }
    assert!(refused_count > 0);
}

/// Begins a chunked upload and repeats bytes until the gateway closes the connection; returns the
/// start of the answer and the time until the end.
async fn upload_without_end(
    address: SocketAddr,
    attempt: String,
    bytes: &[u8],
) -> (String, Duration) {
    let head = format!(
        "POST /pay/ok HTTP/1.1\r\nhost: h\r\nattempt-id: {attempt}\r\ndeadline-ms: 1200\r\nauthorization: Bearer k1\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let repeated = bytes.repeat(16 * 1024 / bytes.len());
    let started = Instant::now();
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let writing = tokio::spawn(async move {
        let mut result = writer.write_all(head.as_bytes()).await;
        while result.is_ok() {
            result = writer.write_all(&repeated).await;
        }
    });
    let mut answer = vec![0; 12];
    let length = reader.read(&mut answer).await.unwrap_or(0);
    answer.truncate(length);
    let elapsed = started.elapsed();
    writing.abort();
    (String::from_utf8(answer).unwrap(), elapsed)
}

/// Callers that send chunk sizes, chunk extensions or one-byte chunks without end must neither delay
/// other requests nor outlive their deadlines.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_framing_of_callers_holds_up_other_requests() {
    const UPLOADS: usize = 24;
    let _guard = MEASUREMENT.lock();
    let fixture = start("endless-callers").await;
    let padded = padded_chunk();
    for (mode, bytes) in [
        ("size", b"0".as_slice()),
        ("padded", &padded),
        ("extension", b"1;extension=x\r\nx\r\n"),
        ("bytes", b"1\r\nx\r\n"),
    ] {
        let uploads: Vec<_> = (0..UPLOADS)
            .map(|number| {
                let (address, bytes) = (fixture.caller_address, bytes.to_vec());
                let attempt = format!("{mode}-{number}");
                tokio::spawn(async move { upload_without_end(address, attempt, &bytes).await })
            })
            .collect();
        sleep(Duration::from_millis(200)).await;
        check_payments(&fixture, mode).await;
        for upload in uploads {
            let (answer, elapsed) = upload.await.unwrap();
            assert!(
                answer.starts_with("HTTP/1.1 4") && elapsed < Duration::from_secs(2),
                "{mode}: {answer} after {elapsed:?}"
            );
        }
        let ran = fixture.log.lines_with_prefix(&format!("ran {mode}-"));
        assert!(ran.is_empty(), "{mode}: {ran:?}");
    }
}

/// Sends the start of a message to the gateway as another host does, and then nothing more.
async fn begin_peer_message(fixture: &Fixture) -> JoinSet<()> {
    const START_SIZE: usize = 3_000_000;
    let stream = TcpStream::connect(fixture.peer_address).await.unwrap();
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .unwrap();
    let frames =
        futures_util::stream::repeat_with(|| Ok::<_, Infallible>(Bytes::from_static(&[0; 8192])))
            .take(START_SIZE / 8192)
            .chain(futures_util::stream::pending())
            .map_ok(Frame::data);
    let body = StreamBody::new(frames);
    let request = http::Request::post(format!("http://{}/pieces", fixture.peer_address));
    let request = request.body(body).unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let _ = connection.await;
    });
    tasks.spawn(async move {
        let _ = sender.send_request(request).await;
    });
    tasks
}

/// A host ran out of memory when other hosts sent long messages at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_peer_messages_exhaust_memory() {
    let _guard = MEASUREMENT.lock();
    let fixture = start("endless-messages").await;
    let calm = resident_kb();
    let mut messages = Vec::new();
    for _ in 0..64 {
        messages.push(begin_peer_message(&fixture).await);
    }
    sleep(Duration::from_millis(1000)).await;
    let growth = resident_kb() - calm;
    assert!(growth < MAX_GROWTH_KB, "{growth} kB");
    // A stage of this request is collected through the same budget.
    let response = fixture.call("POST", "/draft/ok", "small").await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// A host ran out of memory when another one, which collects the pieces of a pool, sent long answers
/// to its calls. Its listings are as long and must not keep a configuration out.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_peer_answers_exhaust_memory() {
    let _guard = MEASUREMENT.lock();
    let fixture = start("endless-peer").await;
    let (address, order_count) = peer_host::serve_peer(200, vec![0; 20_000_000]).await;
    let entry = peer_host::encode_heavy_host("front-z-1", address);
    fixture.store.set_host("front-z-1", &entry);
    sleep(Duration::from_millis(1500)).await;
    let growth = measure_growth(&fixture, "/draft/ok", 24).await;
    assert!(order_count.load(Ordering::Relaxed) > 0);
    assert!(growth < MAX_GROWTH_KB, "{growth} kB");
    fixture.store.set_config(&config(3, "k2"));
    sleep(Duration::from_millis(1500)).await;
    let after = send(
        fixture.caller_address,
        request("POST", "/pay/ok", "after", "k2"),
    )
    .await;
    assert_eq!(after.unwrap().status, 200);
}
