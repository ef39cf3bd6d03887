//! Callers and their outcomes.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;

use super::support::{CallerBody, request};

/// Time-out of an answer at the caller; the deadline of requests is 3 s.
const PATIENCE: Duration = Duration::from_secs(4);
/// Time after which a caller disconnects, if it does.
const LEAVE: Duration = Duration::from_millis(60);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);
/// Paths of requests; the last segment selects the behaviour of the backend server.
const PATHS: [&str; 15] = [
    "/pay/ok",
    "/pay/ok",
    "/pay/cut",
    "/pay/first-full",
    "/pay/full",
    "/pay/foreign",
    "/pay/torn",
    "/look/ok",
    "/look/flaky",
    "/draft/ok",
    "/draft/ok",
    "/draft/broken",
    "/brief/ok",
    "/brief/broken",
    "/brief/restarted",
];

/// Outcome of a request at the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerEnd {
    /// A complete answer, with its status, its body and whether it has the server's seal.
    Whole(u16, String, bool),
    /// An incomplete answer.
    Broken,
    /// The connection ended without an answer.
    Closed,
    /// No answer in time, or the caller disconnected.
    Left,
    /// The connection could not be opened.
    Unreached,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub attempt: String,
    pub path: &'static str,
    pub host: usize,
    pub end: CallerEnd,
}

impl fmt::Display for CallRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            attempt,
            path,
            host,
            end,
        } = self;
        write!(f, "{attempt} {path} at host {host}: {end:?}")
    }
}

/// The outcomes of all requests.
pub type CallBook = Arc<Mutex<Vec<CallRecord>>>;

type Sender = SendRequest<CallerBody>;

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends a request and reads its answer.
pub async fn call(sender: &mut Sender, path: &str, attempt: &str, key: &str) -> CallerEnd {
    let mut request = request("POST", path, attempt, key);
    if path.ends_with("/omit") {
        let pieces = "2,0".parse().unwrap();
        request.headers_mut().insert("pieces", pieces);
    }
    let Ok(answer) = sender.send_request(request).await else {
        return CallerEnd::Closed;
    };
    let status = answer.status().as_u16();
    let proven = answer.headers().contains_key("response-seal");
    match answer.into_body().collect().await {
        Ok(body) => {
            let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
            CallerEnd::Whole(status, body, proven)
        }
        Err(_) => CallerEnd::Broken,
    }
}

/// Sends one request on a new connection.
pub async fn call_once(address: SocketAddr, path: &str, attempt: &str, key: &str) -> CallerEnd {
    match connect(address).await {
        Some(mut sender) => {
            let called = call(&mut sender, path, attempt, key);
            let ended = tokio::time::timeout(PATIENCE, called).await;
            ended.unwrap_or(CallerEnd::Left)
        }
        None => CallerEnd::Unreached,
    }
}

/// Sends requests until a time, on keep-alive connections as long as they stay open.
pub async fn run_caller(
    name: String,
    seed: u64,
    hosts: Vec<SocketAddr>,
    until: Instant,
    book: CallBook,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while Instant::now() < until {
        let host = random.random_range(0..hosts.len());
        let Some(mut sender) = connect(hosts[host]).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        while Instant::now() < until && sender.ready().await.is_ok() {
            number += 1;
            let attempt = format!("{name}n{number}");
            let path = PATHS[random.random_range(0..PATHS.len())];
            let leaves = random.random_bool(0.05);
            let limit = if leaves { LEAVE } else { PATIENCE };
            let called = call(&mut sender, path, &attempt, "k1");
            let end = tokio::time::timeout(limit, called).await;
            let end = end.unwrap_or(CallerEnd::Left);
            let is_over = !matches!(end, CallerEnd::Whole(..));
            book.lock().unwrap().push(CallRecord {
                attempt,
                path,
                host,
                end,
            });
            tokio::time::sleep(PAUSE).await;
            if is_over || random.random_bool(0.1) {
                break;
            }
        }
    }
}
