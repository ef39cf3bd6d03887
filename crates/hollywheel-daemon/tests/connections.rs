//! Tests of the limits on open connections, and of callers that hold idle ones.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::{CALLER_KEY, TestHost, VIEWER, wait_for};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time limit that covers all time-outs of the listeners on a busy machine.
const CUT_BOUND: Duration = Duration::from_secs(30);
const HEALTH: &str = "GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n";

/// Sends a request on a new connection. Returns the connection if there was an answer.
async fn ask(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The host may already have closed the connection.
    let _ = stream.write_all(HEALTH.as_bytes()).await;
    let mut answer = [0; 12];
    match stream.read(&mut answer).await {
        Ok(0) | Err(_) => None,
        Ok(_) => Some(stream),
    }
}

async fn metric(host: &TestHost, name: &str, kind: &str) -> i64 {
    let text = host.admin("GET", "/metrics", Some(VIEWER), "").await.text();
    let start = format!("hollywheel_{name}{{kind=\"{kind}\"}} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&start));
    line.unwrap_or_else(|| panic!("no {start}"))
        .parse()
        .unwrap()
}

/// Opens more connections than the limit; returns those that stay open and the number of those that
/// were closed.
async fn fill(address: SocketAddr, connections: usize) -> (Vec<TcpStream>, usize) {
    let mut held = Vec::new();
    for _ in 0..connections {
        held.extend(ask(address).await);
    }
    let closed = connections - held.len();
    (held, closed)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_of_callers_over_the_bound_are_closed_at_once() {
    let host = TestHost::start_with(|settings| hollywheel_daemon::settings::DaemonSettings {
        max_connections: 8,
        ..settings
    })
    .await;
    wait_for("no open connection but the client's", async || {
        metric(&host, "connections_open", "callers").await <= 1
    })
    .await;
    let before = metric(&host, "connections_refused_total", "callers").await;
    let (held, closed) = fill(host.callers, 24).await;
    assert!(held.len() == 7 || held.len() == 8, "{}", held.len());
    assert!(metric(&host, "connections_open", "callers").await <= 8);
    let refused = metric(&host, "connections_refused_total", "callers").await - before;
    assert_eq!(refused, i64::try_from(closed).unwrap());
    drop(held);
    wait_for("a place for a new connection", async || {
        ask(host.callers).await.is_some()
    })
    .await;
    assert!(host.stop().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_of_operators_over_the_bound_are_closed_at_once() {
    let host = TestHost::start_with(|settings| hollywheel_daemon::settings::DaemonSettings {
        max_operator_connections: 3,
        ..settings
    })
    .await;
    let (held, closed) = fill(host.operators, 9).await;
    assert!(held.len() <= 3, "{}", held.len());
    assert!(closed >= 6, "{closed}");
    drop(held);
    wait_for("a place for a new connection", async || {
        ask(host.operators).await.is_some()
    })
    .await;
    wait_for("the count of closed connections", async || {
        metric(&host, "connections_refused_total", "operators").await >= 6
    })
    .await;
    assert!(host.stop().await);
}

/// Sends a text and returns the time until the host closes the connection.
async fn held_after(address: SocketAddr, text: &str) -> (Duration, String) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let start = Instant::now();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(CUT_BOUND, read)
        .await
        .unwrap_or_else(|_| panic!("{text:?} holds a connection for {CUT_BOUND:?}"));
    let answer = String::from_utf8_lossy(&answer);
    let line = answer.lines().next().unwrap_or_default().to_owned();
    (start.elapsed(), line)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_and_slow_writers_are_cut() {
    let host = TestHost::start().await;
    let slow_body = format!(
        "POST /v1/pipelines/look-up HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    let slow_check = format!(
        "POST /admin/config/check HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {VIEWER}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    let slow_head = "GET /healthz HTTP/1.1\r\nhost:";
    let (callers, operators) = (host.callers, host.operators);
    let cases = tokio::join!(
        held_after(callers, ""),
        held_after(callers, "P"),
        held_after(callers, slow_head),
        held_after(callers, HEALTH),
        held_after(callers, &slow_body),
        held_after(operators, ""),
        held_after(operators, slow_head),
        held_after(operators, HEALTH),
        held_after(operators, &slow_check),
    );
    println!("{cases:?}");
    assert!(cases.4.1.contains("408"), "{:?}", cases.4);
    assert!(cases.8.1.contains("408"), "{:?}", cases.8);
    wait_for("no open connection", async || {
        metric(&host, "connections_open", "callers").await == 0
    })
    .await;
    assert!(host.stop().await);
}

/// Sends requests without reading answers until the host closes the connection.
async fn flood(address: SocketAddr) -> Duration {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let start = Instant::now();
    let calls = HEALTH.repeat(256);
    let sending = async { while stream.write_all(calls.as_bytes()).await.is_ok() {} };
    tokio::time::timeout(CUT_BOUND, sending)
        .await
        .expect("a caller that does not read is cut");
    start.elapsed()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_do_not_read_are_cut() {
    let host = TestHost::start().await;
    let cut = tokio::join!(flood(host.callers), flood(host.operators));
    println!("{cut:?}");
    wait_for("no open connection", async || {
        metric(&host, "connections_open", "callers").await == 0
    })
    .await;
    assert!(host.stop().await);
}
