//! Stand-ins for backend servers. The last segment of a request's path selects how a server fails.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http::{Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

type Chunk = Result<Frame<Bytes>, std::io::Error>;
type ServerBody = StreamBody<std::pin::Pin<Box<dyn futures_util::Stream<Item = Chunk> + Send>>>;

/// Events that the servers recorded, one line each.
#[derive(Default)]
pub struct ServerLog {
    lines: Mutex<Vec<String>>,
    /// The servers that name a limit on their requests, with the limit in requests per second.
    limits: Mutex<Vec<(String, f64)>>,
    /// The servers that received requests, with the time of each one.
    arrivals: Mutex<Vec<(String, Instant)>>,
}

impl ServerLog {
    /// Appends a line.
    pub fn record(&self, line: String) {
        self.lines.lock().unwrap().push(line);
    }

    /// Lets a server name a limit in its responses, or no longer.
    pub fn set_limit(&self, server: &str, limit: Option<f64>) {
        let mut limits = self.limits.lock().unwrap();
        limits.retain(|(name, _)| name != server);
        limits.extend(limit.map(|limit| (server.to_owned(), limit)));
    }

    fn limit(&self, server: &str) -> Option<f64> {
        let limits = self.limits.lock().unwrap();
        let named = limits.iter().find(|(name, _)| name == server);
        named.map(|(_, limit)| *limit)
    }

    /// Returns when a server received requests, from a time on.
    pub fn arrivals_since(&self, server: &str, start: Instant) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals
            .iter()
            .filter(|(name, at)| name == server && *at >= start)
            .map(|(_, at)| *at)
            .collect()
    }

    /// Returns the lines that start with a prefix.
    pub fn lines_with_prefix(&self, prefix: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        lines
            .iter()
            .filter(|line| line.starts_with(prefix))
            .cloned()
            .collect()
    }
}

/// Records that a request was cancelled, if it is dropped before the response is complete.
struct CancelGuard {
    log: Arc<ServerLog>,
    attempt: String,
    completed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.completed {
            self.log.record(format!("cancelled {}", self.attempt));
        }
    }
}

/// Builds a body of chunks or errors, each sent after a pause in milliseconds.
fn chunked_body(chunks: Vec<(u64, Result<&'static str, &'static str>)>) -> ServerBody {
    let chunks = stream::unfold(chunks.into_iter(), |mut chunks| async move {
        let (pause, chunk) = chunks.next()?;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let chunk = chunk
            .map(|text| Frame::data(Bytes::from_static(text.as_bytes())))
            .map_err(std::io::Error::other);
        Some((chunk, chunks))
    });
    StreamBody::new(Box::pin(chunks))
}

/// Builds a body of the first `count` events without the first `last` ones. The second event is
/// split into two chunks.
fn events_after(count: usize, last: Option<usize>) -> ServerBody {
    const CHUNKS: [&[&str]; 3] = [
        &["id: 1\ndata: a\n\n"],
        &["id: 2\nda", "ta: b\n\n"],
        &["id: 3\ndata: c\n\n"],
    ];
    let chunks = CHUNKS[..count].iter().skip(last.unwrap_or(0));
    chunked_body(
        chunks
            .flat_map(|event| event.iter().map(|chunk| (5, Ok(*chunk))))
            .collect(),
    )
}

/// Builds a body of one chunk.
fn text_body(text: String) -> ServerBody {
    let chunk: Chunk = Ok(Frame::data(Bytes::from(text)));
    StreamBody::new(Box::pin(stream::iter([chunk])))
}

/// Builds a response that declares that the request was not run.
fn not_executed_response() -> Response<ServerBody> {
    let response = Response::builder().status(503).header("not-executed", "1");
    response.body(chunked_body(Vec::new())).unwrap()
}

/// Builds a response with the attempt id and the seal of a genuine server.
fn sealed_response(
    server: &str,
    attempt: &str,
    status: u16,
    body: ServerBody,
) -> Response<ServerBody> {
    Response::builder()
        .status(status)
        .header("attempt-id", attempt)
        .header("response-seal", format!("seal-{server}"))
        .body(body)
        .unwrap()
}

/// Number of calls for pieces; makes the handles of results unique.
static STAGE_CALLS: AtomicUsize = AtomicUsize::new(0);

/// Handles a stage call: results for a run, an empty document for a free.
async fn handle_stage_call(
    server: String,
    address: SocketAddr,
    path: String,
    request_body: String,
) -> ServerBody {
    if path == "/stage-free" {
        return text_body("{}".into());
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let pieces = request_body.matches("\"stage\":").count();
    let call = STAGE_CALLS.fetch_add(1, Ordering::Relaxed);
    let items: Vec<String> = (0..pieces)
        .map(|piece| format!(r#"{{"handle":"{address}/{server}-{call}-{piece}"}}"#))
        .collect();
    text_body(format!(r#"{{"items":[{}]}}"#, items.join(",")))
}

/// Handles one request and adds the limit that the server names to the response.
async fn respond_with_limit(
    server: String,
    address: SocketAddr,
    log: Arc<ServerLog>,
    reused: bool,
    request: Request<Incoming>,
) -> Result<Response<ServerBody>, std::io::Error> {
    let arrival = (server.clone(), Instant::now());
    log.arrivals.lock().unwrap().push(arrival);
    let responded = respond(server.clone(), address, Arc::clone(&log), reused, request).await;
    responded.map(|mut response| {
        if let Some(limit) = log.limit(&server) {
            let value = limit.to_string().parse().unwrap();
            response.headers_mut().insert("server-limit", value);
        }
        response
    })
}

/// Handles one request; `reused` is false for the first one on a connection. An error resets the
/// connection.
async fn respond(
    server: String,
    address: SocketAddr,
    log: Arc<ServerLog>,
    reused: bool,
    request: Request<Incoming>,
) -> Result<Response<ServerBody>, std::io::Error> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
    };
    let (attempt, tenant, inputs) = (header("attempt-id"), header("tenant"), header("inputs"));
    let (key, last) = (header("authorization"), header("last-event-id"));
    let path = request.uri().path().to_owned();
    // The gateway may know this server by the address of a proxy.
    let address = header("host").parse().unwrap_or(address);
    if header("expect-instance") != server {
        return Ok(Response::builder()
            .status(421)
            .body(chunked_body(Vec::new()))
            .unwrap());
    }
    let request_body = request.into_body().collect().await.unwrap().to_bytes();
    let request_body = String::from_utf8(request_body.to_vec()).unwrap();
    if reused && path == "/stage-run" && request_body.contains("\"stale") {
        return Err(std::io::Error::other(
            "the connection was dropped while idle",
        ));
    }
    if path.starts_with("/stage-") {
        log.record(format!("{path} {request_body}"));
        let body = handle_stage_call(server, address, path, request_body).await;
        return Ok(Response::new(body));
    }
    let mode = path.rsplit('/').next().unwrap_or("");
    if mode == "full" || (mode == "first-full" && log.lines_with_prefix("refused").is_empty()) {
        log.record(format!("refused {attempt}"));
        return Ok(not_executed_response());
    }
    log.record(format!("inputs {attempt} {inputs}"));
    let earlier_runs = log.lines_with_prefix(&format!("ran {attempt} ")).len();
    log.record(format!(
        "ran {attempt} at={server} tenant={tenant} key={key} inputs={} last={last}",
        inputs.split(',').filter(|input| !input.is_empty()).count()
    ));
    let mut guard = CancelGuard {
        log,
        attempt: attempt.clone(),
        completed: false,
    };
    let response = match mode {
        "cut" => Err(std::io::Error::other("cut")),
        "slow" => {
            tokio::time::sleep(Duration::from_secs(30)).await;
            Ok(sealed_response(
                &server,
                &attempt,
                200,
                chunked_body(Vec::new()),
            ))
        }
        "flaky" if earlier_runs == 0 => Ok(sealed_response(
            &server,
            &attempt,
            500,
            chunked_body(Vec::new()),
        )),
        "foreign" => Ok(sealed_response(
            &server,
            "other",
            200,
            chunked_body(vec![(0, Ok("x"))]),
        )),
        "unsealed" => Ok(Response::new(chunked_body(vec![(0, Ok("x"))]))),
        "torn" => Ok(sealed_response(
            &server,
            &attempt,
            200,
            chunked_body(vec![(0, Ok("whole")), (20, Err("torn"))]),
        )),
        "broken" | "restarted" if earlier_runs == 0 => Ok(sealed_response(
            &server,
            &attempt,
            200,
            chunked_body(vec![
                (5, Ok("id: 1\ndata: a\n\n")),
                (20, Ok("id: 2\nda")),
                (20, Err("broken")),
            ]),
        )),
        "restarted" => Ok(sealed_response(
            &server,
            &attempt,
            200,
            events_after(3, None),
        )),
        "broken" => Ok(sealed_response(
            &server,
            &attempt,
            200,
            events_after(3, last.parse().ok()),
        )),
        _ if path.starts_with("/draft/") || path.starts_with("/brief/") => Ok(sealed_response(
            &server,
            &attempt,
            200,
            events_after(2, last.parse().ok()),
        )),
        _ => Ok(sealed_response(
            &server,
            &attempt,
            200,
            text_body(format!("echo {request_body}")),
        )),
    };
    guard.completed = true;
    response
}

/// Serves one server on a free port; returns its address.
pub async fn serve(server: &str, log: Arc<ServerLog>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = server.to_owned();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (server, log) = (server.clone(), Arc::clone(&log));
            let reused = AtomicBool::new(false);
            let service = service_fn(move |request| {
                let reused = reused.swap(true, Ordering::Relaxed);
                respond_with_limit(server.clone(), address, Arc::clone(&log), reused, request)
            });
            tokio::spawn(async move {
                // An error of the handler resets the connection, as a crash of the server would.
                let _: Result<(), hyper::Error> = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                Ok::<(), Infallible>(())
            });
        }
    });
    address
}
