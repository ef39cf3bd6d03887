//! Checks how many requests get no answer while a server crashes, is silent or cannot be connected to,
//! on a deployment whose servers share machines.

#[allow(dead_code, reason = "each test program uses a part of the stand-ins")]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::HeaderValue;
use support::{CallerResponse, Fixture, RawLog, RawRequest, RawStep, request, send, serve_raw};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// Returns the answer of a sound server.
fn answer(request: &RawRequest) -> Vec<RawStep> {
    vec![RawStep::Send(request.response("200 OK", "", "done"))]
}

/// Starts a gateway whose plain pool has a sound server, and others at the given addresses.
async fn start(name: &str, others: &[SocketAddr]) -> (Fixture, Arc<RawLog>) {
    let fixture = Fixture::start_under_pressure(name).await;
    for server in ["p1", "p2"] {
        fixture.store.remove_server(server);
    }
    let (address, log) = serve_raw(answer).await;
    fixture
        .store
        .set_server("sound", "plain", address, "ready", 1);
    for (number, address) in others.iter().enumerate() {
        let server = format!("fault-{number}");
        fixture
            .store
            .set_server(&server, "plain", *address, "ready", 1);
    }
    sleep(Duration::from_millis(700)).await;
    (fixture, log)
}

/// Sends a request with a deadline of 600 ms.
async fn call(fixture: &Fixture, path: &str, attempt: &str) -> CallerResponse {
    let mut call = request("POST", path, attempt, "k1");
    let deadline = HeaderValue::from_static("600");
    call.headers_mut().insert("deadline-ms", deadline);
    send(fixture.caller_address, call).await.unwrap()
}

/// Sends requests one after the other for a time; returns how many got no answer.
async fn lost_requests(fixture: &Fixture, path: &str, time: Duration) -> Vec<CallerResponse> {
    let started = Instant::now();
    let mut lost = Vec::new();
    let mut number = 0;
    while started.elapsed() < time {
        number += 1;
        let response = call(fixture, path, &format!("{number:x}")).await;
        if response.status != 200 {
            lost.push(response);
        }
        sleep(Duration::from_millis(5)).await;
    }
    lost
}

/// Returns the value of the counter of a class of requests without an answer.
async fn class_count(fixture: &Fixture, class: &str) -> f64 {
    let request = request("GET", "/metrics", "x", "");
    let response = send(fixture.metrics_address, request).await.unwrap();
    let series = format!("hollywheel_unanswered_total{{class=\"{class}\"}} ");
    let text = response.body.unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(&series));
    line.map_or(0.0, |value| value.parse().unwrap())
}

/// A server closes each connection without an answer: one non-idempotent request is lost, not three.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_loses_three_payments_to_a_crashing_server() {
    let (crashing, log) = serve_raw(|_| vec![RawStep::Close]).await;
    let (fixture, _) = start("crashing", &[crashing]).await;
    let lost = lost_requests(&fixture, "/pay/ok", Duration::from_millis(900)).await;
    assert_eq!(lost.len(), 1, "{lost:?}");
    assert_eq!(lost[0].status, 502);
    assert_eq!(log.paths().len(), 1);
    assert_eq!(class_count(&fixture, "server-lost").await, 1.0);
}

/// A server accepts requests and never answers: while one is unanswered, no other is risked there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_server_gets_further_payments() {
    let silent = |_: &RawRequest| vec![RawStep::Pause(Duration::from_secs(60))];
    let (silent, log) = serve_raw(silent).await;
    let (fixture, sound) = start("silent", &[silent]).await;
    let mut calls = Vec::new();
    for number in 0..24 {
        let mut call = request("POST", "/pay/ok", &format!("{number:x}"), "k1");
        let deadline = HeaderValue::from_static("600");
        call.headers_mut().insert("deadline-ms", deadline);
        calls.push(tokio::spawn(send(fixture.caller_address, call)));
        // Requests of a host with little traffic come at this interval.
        sleep(Duration::from_millis(60)).await;
    }
    let mut lost = 0;
    for call in calls {
        lost += usize::from(call.await.unwrap().unwrap().status != 200);
    }
    assert_eq!(lost, log.paths().len());
    assert!(
        (1..=2).contains(&lost),
        "{lost} of 24, {} answered",
        sound.paths().len()
    );
    assert!(class_count(&fixture, "server-silent").await >= 1.0);
}

/// A listener whose queue is full, so that the kernel drops further connections as a dark machine
/// does.
struct DarkServer {
    address: SocketAddr,
    _listener: tokio::net::TcpListener,
    _queued: Vec<TcpStream>,
}

impl DarkServer {
    async fn start() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut queued = Vec::new();
        let limit = Duration::from_millis(200);
        while let Ok(stream) = tokio::time::timeout(limit, TcpStream::connect(address)).await {
            queued.push(stream.unwrap());
        }
        Self {
            address,
            _listener: listener,
            _queued: queued,
        }
    }
}

/// Two of three servers do not answer the connection: the request still reaches the third one within
/// its deadline of 600 ms, although it may be sent only once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dark_servers_take_the_whole_time_of_a_payment() {
    let dark = [DarkServer::start().await, DarkServer::start().await];
    let addresses = dark.each_ref().map(|server| server.address);
    let (fixture, sound) = start("dark", &addresses).await;
    let lost = lost_requests(&fixture, "/pay/ok", Duration::from_millis(2500)).await;
    assert!(lost.is_empty(), "{lost:?}");
    assert!(sound.paths().len() > 10);
}

/// A server is gone and its address refuses connections: nothing is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_connection_loses_a_payment() {
    let gone = support::free_address();
    let (fixture, _) = start("gone", &[gone]).await;
    let lost = lost_requests(&fixture, "/pay/ok", Duration::from_millis(1500)).await;
    assert!(lost.is_empty(), "{lost:?}");
}

/// A server closes connections after each answer without saying so: a payment on a connection that is
/// closed before it was written is sent elsewhere or on a new connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn payment_on_a_closed_connection_is_lost() {
    let closing = |request: &RawRequest| {
        let mut steps = answer(request);
        steps.push(RawStep::Close);
        steps
    };
    let (closing, log) = serve_raw(closing).await;
    let (fixture, _) = start("closing", &[closing]).await;
    let lost = lost_requests(&fixture, "/pay/ok", Duration::from_millis(800)).await;
    assert!(lost.is_empty(), "{lost:?}");
    assert!(log.paths().len() > 3);
}

/// Idempotent requests meet a silent server: each is answered by another one in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_request_waits_for_a_silent_server() {
    let silent = |_: &RawRequest| vec![RawStep::Pause(Duration::from_secs(60))];
    let (silent, _) = serve_raw(silent).await;
    let (fixture, _) = start("idempotent", &[silent]).await;
    let lost = lost_requests(&fixture, "/look/ok", Duration::from_millis(1500)).await;
    assert!(lost.is_empty(), "{lost:?}");
}
