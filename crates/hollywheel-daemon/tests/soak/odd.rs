//! Servers that behave as the protocol allows and few do, and the checks beside them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use super::load::{CallBook, CallRecord, CallerEnd, call_once};
use super::support::{RawRequest, RawStep, ServerLog, serve_raw};

/// First seed with such servers.
pub const FIRST_ODD_SEED: u64 = 400;
/// Name of the server of another system that appears among the entries.
pub const STRANGER: &str = "stranger";
/// Number of requests that are sent beside each other.
const CALLS: usize = 200;
/// Time-out of the pipeline for `/pay/`.
const PAY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Paths of requests; the last segment selects the behaviour of the server.
const PATHS: [&str; 14] = [
    "/odd/size",
    "/odd/padded",
    "/odd/interim",
    "/odd/bytes",
    "/odd/numbers",
    "/odd/split",
    "/odd/unmarked",
    "/odd/full",
    "/paused/ok",
    "/paused/ok",
    "/draft/omit",
    "/draft/ok",
    "/pay/ok",
    "/pay/ok",
];
/// Numbers in headers.
const NUMBERS: [&str; 6] = [
    "0",
    "-1",
    "4294967296",
    "18446744073709551615",
    "1e308",
    "nan",
];

/// Adds the pipelines and pools of these servers to a configuration.
pub fn with_odd_pools(config: &str) -> String {
    const ROUTES: &str = r#""routes":[
{"name":"odd","host":"h","path-prefix":"/odd/","kind":"non_idempotent","timeout-ms":2500,"latency-target-ms":300,"service":"odd","max-attempts":1},
{"name":"paused","host":"h","path-prefix":"/paused/","kind":"streaming","timeout-ms":4000,"latency-target-ms":800,"gap-target-ms":250,"service":"paused","max-attempts":2,"resume-streams":true},"#;
    const SERVICES: &str = r#""services":[{"name":"odd","max-connections":100},
{"name":"paused","max-connections":100,"engine":{"slots":8,"kv-cache-tokens":100000}},"#;
    let config = config.replace(r#""routes":["#, ROUTES);
    config.replace(r#""services":["#, SERVICES)
}

/// Starts a server; its steps depend on the request's path and attempt id.
pub async fn serve_odd(name: &'static str, log: Arc<ServerLog>) -> SocketAddr {
    let script = move |request: &RawRequest| {
        let attempt = request.header("attempt-id");
        let tenant = request.header("tenant");
        let last = request.header("last-event-id");
        if request.path != "/odd/full" {
            log.record(format!(
                "ran {attempt} at={name} tenant={tenant} key= inputs=0 last={last}"
            ));
        }
        steps(request, &attempt, &last)
    };
    serve_raw(script).await.0
}

/// Returns what a server sends.
fn steps(request: &RawRequest, attempt: &str, last: &str) -> Vec<RawStep> {
    let seed = attempt
        .bytes()
        .fold(7_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte));
    let mut random = StdRng::seed_from_u64(seed);
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let endless = |head: &str, bytes: &[u8]| {
        let repeated = bytes.repeat(16 * 1024 / bytes.len());
        vec![
            RawStep::Send(head.as_bytes().to_vec()),
            RawStep::Repeat(repeated, Duration::ZERO),
        ]
    };
    let answer = |extra: &str| {
        vec![RawStep::Send(request.response(
            "200 OK",
            extra,
            "echo body",
        ))]
    };
    match request.path.as_str() {
        "/odd/size" => endless(&head, b"0"),
        "/odd/padded" => endless(&head, format!("{:0>4096}\r\nx\r\n", 1).as_bytes()),
        "/odd/interim" => endless("", b"HTTP/1.1 100 Continue\r\n\r\n"),
        "/odd/bytes" => endless(&head, b"1\r\nx\r\n"),
        "/odd/numbers" => {
            let number = NUMBERS[random.random_range(0..NUMBERS.len())];
            answer(&format!(
                "keep-alive: timeout={number}\r\nretry-after: {number}\r\n"
            ))
        }
        "/odd/split" => {
            let mut sent = b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(3);
            sent.extend(head.as_bytes());
            for byte in "echo body".chars() {
                sent.extend(format!("1\r\n{byte}\r\n").as_bytes());
            }
            sent.extend(b"0\r\n\r\n");
            vec![RawStep::Send(sent)]
        }
        "/odd/unmarked" => vec![RawStep::Send(request.response("503 Busy", "", "ran"))],
        "/odd/full" => vec![RawStep::Send(request.response(
            "503 Full",
            "not-executed: 1\r\n",
            "",
        ))],
        "/paused/ok" => {
            let chunk =
                |text: &str| RawStep::Send(format!("{:x}\r\n{text}\r\n", text.len()).into_bytes());
            let mut steps = vec![RawStep::Send(head.into_bytes())];
            if last.is_empty() {
                steps.push(chunk("id: 1\ndata: a\n\n"));
                let pause = random.random_range(1300..2000);
                steps.push(RawStep::Pause(Duration::from_millis(pause)));
            }
            steps.push(chunk("id: 2\ndata: b\n\n"));
            steps.push(RawStep::Send(b"0\r\n\r\n".to_vec()));
            steps
        }
        _ => answer(""),
    }
}

/// Sends requests of all kinds beside each other; returns the violated guarantees.
pub async fn check_odd(hosts: &[SocketAddr], seed: u64, book: &CallBook) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = JoinSet::new();
    for number in 0..CALLS {
        let path = PATHS[random.random_range(0..PATHS.len())];
        let host = random.random_range(0..hosts.len());
        let (address, attempt) = (hosts[host], format!("odd{number}"));
        calls.spawn(async move {
            let started = Instant::now();
            let end = call_once(address, path, &attempt, "k1").await;
            let call = CallRecord {
                attempt,
                path,
                host,
                end,
            };
            (call, started.elapsed())
        });
        tokio::time::sleep(Duration::from_millis(random.random_range(0..30))).await;
    }
    let mut found = Vec::new();
    while let Some(ended) = calls.join_next().await {
        let (call, elapsed) = ended.unwrap();
        let status = match &call.end {
            CallerEnd::Whole(status, ..) => Some(*status),
            _ => None,
        };
        let is_expected = match call.path {
            "/odd/unmarked" => status == Some(502),
            "/odd/full" => status == Some(503),
            "/odd/numbers" | "/odd/split" | "/paused/ok" => status == Some(200),
            // Stages refuse some requests of a burst.
            "/draft/ok" | "/draft/omit" => matches!(status, Some(200 | 503)),
            "/pay/ok" => status == Some(200) && elapsed < PAY_TIMEOUT,
            _ => status != Some(200),
        };
        if !is_expected {
            found.push(format!("not as expected after {elapsed:?}: {call}"));
        }
        book.lock().unwrap().push(call);
    }
    found
}
