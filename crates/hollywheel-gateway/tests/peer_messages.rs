//! Property tests of the messages and answers of other hosts. The environment variable `FUZZ_INPUTS`
//! sets the number of messages of each type, `FUZZ_SEED` the first seed and `FUZZ_PARALLEL` how many are
//! sent at once, for long runs by hand.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/message_generator.rs"]
mod message_generator;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
#[path = "support/peer_host.rs"]
mod peer_host;
#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use message_generator::MessageGenerator;
use support::Fixture;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Paths between hosts, with the types of the message and of its answer.
const CALLS: [(&str, &str, &str); 7] = [
    ("/pieces", "PieceOrder", "PieceAnswer"),
    ("/free", "FreeResults", ""),
    ("/permit", "PermitRequest", "PermitReply"),
    ("/limits", "LimitNews", "LimitNews"),
    ("/evidence", "EvidenceNews", ""),
    ("/config", "ConfigPartRequest", "ConfigPart"),
    ("/follow", "FollowRequest", "FollowReply"),
];
/// Longest time-out of the fixture's pipelines, and the time to read the answer.
const ANSWER_TIME: Duration = Duration::from_millis(4500);

/// Number of panics in this process, whose threads the gateways run on.
static PANIC_COUNT: AtomicU64 = AtomicU64::new(0);

fn environment(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().unwrap())
}

/// Counts panics from now on, those in tasks included.
fn count_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANIC_COUNT.fetch_add(1, Ordering::SeqCst);
        print(info);
    }));
}

/// Checks that requests are answered, whatever the answer, and that nothing has panicked.
async fn check_requests(fixture: &Fixture, input: u64) {
    for path in ["/pay/ok", "/look/ok", "/draft/ok"] {
        let attempt = format!("{path}{input}");
        let start = Instant::now();
        let response = timeout(ANSWER_TIME, fixture.call("POST", path, &attempt)).await;
        let response = response.unwrap_or_else(|_| panic!("{path}: no answer, seed {input}"));
        assert!(response.status >= 200, "{path}, seed {input}: {response:?}");
        assert!(start.elapsed() < ANSWER_TIME);
    }
    let count = PANIC_COUNT.load(Ordering::SeqCst);
    assert_eq!(count, 0, "a panic at seed {input} or before");
}

/// Messages that are valid for their types but for no sound host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn arbitrary_messages_of_another_host_end_requests() {
    count_panics();
    let fixture = Fixture::start("peer-messages").await;
    let first = environment("FUZZ_SEED", 0);
    let last = first + environment("FUZZ_INPUTS", 300);
    let mut senders = Vec::new();
    for _ in 0..environment("FUZZ_PARALLEL", 1) {
        senders.push(connect(fixture.peer_address).await);
    }
    let mut seed = first;
    while seed < last {
        let sent = senders.iter_mut().zip(seed..last);
        let sent: Vec<()> =
            join_all(sent.map(|(sender, seed)| send_messages(fixture.peer_address, sender, seed)))
                .await;
        if senders.len() > 1 {
            // The library closes a connection with over 20 cancelled calls that a busy host has not
            // accepted yet.
            for sender in &mut senders {
                *sender = connect(fixture.peer_address).await;
            }
        }
        let end = seed + sent.len() as u64;
        if seed / 100 != end / 100 {
            check_requests(&fixture, end).await;
        }
        seed = end;
    }
    check_requests(&fixture, u64::MAX).await;
}

/// Connects to a host as another one does.
async fn connect(address: SocketAddr) -> http2::SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.unwrap();
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
    let (sender, connection) = handshake.unwrap();
    tokio::spawn(connection);
    sender
}

/// Sends one message of each type to a host.
async fn send_messages(
    address: SocketAddr,
    sender: &mut http2::SendRequest<Full<Bytes>>,
    seed: u64,
) {
    let mut generator = MessageGenerator::new(seed);
    for (path, message, _) in CALLS {
        let body = Full::new(Bytes::from(generator.message(message)));
        let uri = format!("http://{address}{path}");
        let request = Request::post(uri).body(body).unwrap();
        sender.ready().await.unwrap();
        // Some calls are answered only after changes; the caller leaves them.
        let answer = timeout(Duration::from_millis(5), sender.send_request(request)).await;
        if let Ok(answer) = answer {
            let status = answer.unwrap().status().as_u16();
            assert!(matches!(status, 200..500), "{path}, seed {seed}: {status}");
        }
    }
}

/// Answers that are valid for their types but from no sound host, which has all duties.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn arbitrary_answers_of_another_host_end_requests() {
    count_panics();
    let fixture = Fixture::start("peer-answers").await;
    let seed = Arc::new(AtomicU64::new(environment("FUZZ_SEED", 0)));
    let next_seed = Arc::clone(&seed);
    let address = peer_host::serve_answers(move |path| {
        let call = CALLS.iter().find(|call| call.0 == path);
        let mut generator = MessageGenerator::new(next_seed.fetch_add(1, Ordering::SeqCst));
        let body = match call {
            Some((_, _, answer)) if !answer.is_empty() => generator.message(answer),
            _ => Vec::new(),
        };
        (200, Bytes::from(body))
    })
    .await;
    let entry = peer_host::encode_heavy_host("front-z-1", address);
    fixture.store.set_host("front-z-1", &entry);
    sleep(Duration::from_millis(1500)).await;
    let first = seed.load(Ordering::SeqCst);
    let last = first + environment("FUZZ_INPUTS", 200);
    let start = Instant::now();
    let limit = Duration::from_secs(environment("FUZZ_SECONDS", 10));
    let parallel = environment("FUZZ_PARALLEL", 1);
    while seed.load(Ordering::SeqCst) < last && start.elapsed() < limit {
        let input = seed.load(Ordering::SeqCst);
        join_all((0..parallel).map(|_| check_requests(&fixture, input))).await;
    }
    let count = seed.load(Ordering::SeqCst);
    assert!(count > first, "the host got no calls");
    println!("{} answers", count - first);
}
