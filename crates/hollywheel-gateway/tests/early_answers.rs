//! Checks what callers get when a server answers a long upload at once and resets the connection, and
//! when it answers with a number that is no status.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use socket2::SockRef;
use support::{Fixture, RawStep, config, serve_raw};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Sizes of uploads: within the buffers of a connection, beyond them, and the largest of callers.
const SIZES: [usize; 3] = [60_000, 1_000_000, 4_000_000];
/// Time for which a server waits before it resets the connection, in milliseconds: the gateway has
/// read nothing, a part, or all that was sent.
const RESET_DELAYS: [u64; 3] = [0, 3, 30];
/// Servers of a pool: one that fails is not used for a while.
const SERVERS: usize = 30;
/// Routes besides those of the fixture, whose timeouts are long enough for slow uploads.
const ROUTES: &str = r#""routes":[
{"name":"slow-pay","host":"h","path-prefix":"/slow-pay/","kind":"non_idempotent","timeout-ms":8000,"latency-target-ms":4000,"service":"plain","max-attempts":1},
{"name":"slow-look","host":"h","path-prefix":"/slow-look/","kind":"idempotent","timeout-ms":8000,"latency-target-ms":4000,"service":"plain","max-attempts":2},
{"name":"slow-draft","host":"h","path-prefix":"/slow-draft/","kind":"streaming","timeout-ms":8000,"latency-target-ms":4000,"gap-target-ms":250,"service":"model","max-attempts":2,"session-affinity":true},
{"name":"slow-stage","host":"h","path-prefix":"/slow-stage/","kind":"non_idempotent","timeout-ms":8000,"latency-target-ms":4000,"service":"stage","max-attempts":1},
{"name":"slow-brief","host":"h","path-prefix":"/slow-brief/","kind":"streaming","timeout-ms":8000,"latency-target-ms":4000,"gap-target-ms":250,"service":"model","max-attempts":2,"stages":[{"service":"stage","after":[],"bytes":1000}],"session-affinity":true},"#;

/// A response as the caller received it.
#[derive(Debug)]
struct Received {
    status: u16,
    /// The body up to its end or to the end of the connection.
    body: String,
    /// Whether the response was complete by its own framing.
    whole: bool,
}

/// Starts a gateway whose plain, model and stage servers are the given ones.
async fn start(name: &str, servers: &[SocketAddr]) -> Fixture {
    let fixture = Fixture::start(name).await;
    let text = config(2, "k1").replacen(r#""routes":["#, ROUTES, 1);
    fixture.store.set_config(&text);
    for server in ["p1", "p2", "m1", "m2", "s1"] {
        fixture.store.remove_server(server);
    }
    for (number, address) in servers.iter().enumerate() {
        let pool = ["plain", "model", "stage"][number % 3];
        let server = format!("e{number}");
        fixture
            .store
            .set_server(&server, pool, *address, "ready", 1);
    }
    sleep(Duration::from_millis(900)).await;
    fixture
}

/// Reads the head of a request; returns its headers in lower case.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(head).ok()?.to_lowercase())
}

/// Serves a backend server that answers as soon as it has read the head, without a length, and resets
/// the connection while the body is still being sent. It may end its side of the connection first, as
/// some servers do when they close.
async fn serve_resets(answered: Arc<AtomicUsize>, delay: u64, ends_first: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    // A small window keeps the gateway writing.
    SockRef::from(&listener).set_recv_buffer_size(4096).unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let answered = Arc::clone(&answered);
            tokio::spawn(async move {
                let head = read_head(&mut stream).await?;
                let attempt = head
                    .lines()
                    .find_map(|line| line.strip_prefix("attempt-id: "));
                let attempt = attempt.unwrap_or_default();
                let part = if head.starts_with("post /stage-run") {
                    r#"{"items":[{"handle":"x"}]}"#
                } else {
                    "id: 1\ndata: part of the answer\n\n"
                };
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\n\r\n{part}"
                );
                stream.write_all(answer.as_bytes()).await.ok()?;
                answered.fetch_add(1, Ordering::Relaxed);
                if ends_first {
                    stream.shutdown().await.ok()?;
                }
                sleep(Duration::from_millis(delay)).await;
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok()
            });
        }
    });
    address
}

/// Encodes an upload with a length or in chunks.
fn upload(path: &str, attempt: &str, size: usize, chunked: bool) -> Vec<u8> {
    let framing = match chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {size}"),
    };
    let mut bytes = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nattempt-id: {attempt}\r\ndeadline-ms: 8000\r\nauthorization: Bearer k1\r\nmodel: m\r\ntoken-counts: 100,10\r\npieces: 1\r\npiece-key: {attempt}\r\nprompt-prefix: {attempt}:50,b:50\r\nconnection: close\r\n{framing}\r\n\r\n"
    )
    .into_bytes();
    let body = vec![b'u'; size];
    if !chunked {
        bytes.extend(body);
        return bytes;
    }
    for part in body.chunks(16_000) {
        bytes.extend(format!("{:x}\r\n", part.len()).into_bytes());
        bytes.extend(part);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n\r\n");
    bytes
}

/// Sends an upload and reads the response up to the end of the connection.
async fn send_upload(address: SocketAddr, bytes: Vec<u8>) -> Received {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let writing = tokio::spawn(async move {
        // The gateway may answer before it has read all.
        let _ = writer.write_all(&bytes).await;
        writer
    });
    let mut answer = Vec::new();
    let read = timeout(Duration::from_secs(10), reader.read_to_end(&mut answer)).await;
    let clean = matches!(read, Ok(Ok(_)));
    drop(writing.await);
    let text = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let head = head.to_lowercase();
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let whole = match length {
        Some(length) => length.parse() == Ok(body.len()),
        None if head.contains("transfer-encoding: chunked") => body.ends_with("0\r\n\r\n"),
        None => clean,
    };
    Received {
        status: status.unwrap_or(0),
        body: body.to_owned(),
        whole,
    }
}

/// Sends uploads of the given sizes to servers that reset them; fails if a caller takes the part of an
/// answer for a whole one.
async fn check_resets(name: &str, delay: u64, ends_first: bool, sizes: &[usize]) {
    let answered = Arc::new(AtomicUsize::new(0));
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        servers.push(serve_resets(Arc::clone(&answered), delay, ends_first).await);
    }
    let fixture = start(name, &servers).await;
    let mut case = 0;
    for path in [
        "/slow-pay/x",
        "/slow-look/x",
        "/slow-draft/x",
        "/slow-stage/x",
        "/slow-brief/x",
    ] {
        for size in sizes {
            for chunked in [false, true] {
                case += 1;
                let bytes = upload(path, &format!("{case:x}"), *size, chunked);
                let received = send_upload(fixture.caller_address, bytes).await;
                let is_whole = received.status < 400 && received.whole;
                assert!(!is_whole, "{path} {size} {chunked} {delay}: {received:?}");
                assert_ne!(received.status, 0, "{path} {size} {chunked} {delay}");
            }
        }
    }
    let answered = answered.load(Ordering::Relaxed);
    assert!(answered > case / 2, "{answered} of {case} reached a server");
}

/// A server accepts an upload of any size with the beginning of an answer and resets the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn part_of_an_answer_before_a_reset_is_taken_for_whole() {
    for delay in RESET_DELAYS {
        check_resets(&format!("early-{delay}"), delay, false, &SIZES).await;
    }
}

/// The server ends its side of the connection before it resets it. What it has not read is beyond the
/// buffers of the connection, so that the gateway knows that its request is not complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn end_of_a_connection_within_an_upload_is_taken_for_that_of_the_answer() {
    check_resets("early-end", 30, true, &[4_000_000]).await;
}

/// A server states a number that is no status: callers get an error of the gateway instead.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn number_that_is_no_status_is_passed_on() {
    let mut servers = Vec::new();
    let mut logs = Vec::new();
    for _ in 0..SERVERS {
        let (address, log) = serve_raw(|request| {
            let status = request.path.rsplit('/').next().unwrap_or("");
            let status = match status {
                "stage-run" => "000",
                status => status,
            };
            vec![RawStep::Send(request.response(
                &format!("{status} OK"),
                "",
                "id: 1\ndata: a\n\n",
            ))]
        })
        .await;
        servers.push(address);
        logs.push(log);
    }
    let fixture = start("no-status", &servers).await;
    let mut case = 0;
    for route in [
        "slow-pay",
        "slow-look",
        "slow-draft",
        "slow-stage",
        "slow-brief",
    ] {
        for status in ["000", "0", "099", "1000"] {
            for (size, chunked) in [(60_000, false), (1_000_000, true), (4_000_000, false)] {
                case += 1;
                let path = format!("/{route}/{status}");
                let bytes = upload(&path, &format!("{case:x}"), size, chunked);
                let received = send_upload(fixture.caller_address, bytes).await;
                assert!(
                    (500..600).contains(&received.status) && received.body.is_empty(),
                    "{path} {size} {chunked}: {received:?}"
                );
            }
        }
    }
    let reached: usize = logs.iter().map(|log| log.paths().len()).sum();
    assert!(reached > case / 2, "{reached} of {case} reached a server");
}
