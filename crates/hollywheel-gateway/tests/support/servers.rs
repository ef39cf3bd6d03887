//! Stand-ins of backend servers. The last word of a path says how one misbehaves.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

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

/// Holds what the servers did, as they saw it.
#[derive(Default)]
pub struct ServerLog {
    lines: Mutex<Vec<String>>,
}

impl ServerLog {
    /// Adds a line.
    pub fn record(&self, line: String) {
        self.lines.lock().unwrap().push(line);
    }

    /// Returns the lines that begin with a word.
    pub fn lines_with_prefix(&self, word: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        lines
            .iter()
            .filter(|line| line.starts_with(word))
            .cloned()
            .collect()
    }
}

/// Notes that a request was given up before its answer was complete.
struct CancelNote {
    log: Arc<ServerLog>,
    attempt: String,
    ended: bool,
}

impl Drop for CancelNote {
    fn drop(&mut self) {
        if !self.ended {
            self.log.record(format!("cancelled {}", self.attempt));
        }
    }
}

fn body(chunks: Vec<(u64, Result<&'static str, &'static str>)>) -> ServerBody {
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

/// Sends the events of a stream after the last that the caller has; the second event is cut.
fn events_after(count: usize, last: Option<usize>) -> ServerBody {
    const CHUNKS: [&[&str]; 3] = [
        &["id: 1\ndata: a\n\n"],
        &["id: 2\nda", "ta: b\n\n"],
        &["id: 3\ndata: c\n\n"],
    ];
    let chunks = CHUNKS[..count].iter().skip(last.unwrap_or(0));
    body(
        chunks
            .flat_map(|event| event.iter().map(|chunk| (5, Ok(*chunk))))
            .collect(),
    )
}

fn text(text: String) -> ServerBody {
    let chunk: Chunk = Ok(Frame::data(Bytes::from(text)));
    StreamBody::new(Box::pin(stream::iter([chunk])))
}

fn refuse() -> Response<ServerBody> {
    let response = Response::builder().status(503).header("not-executed", "1");
    response.body(body(Vec::new())).unwrap()
}

fn sealed(server: &str, attempt: &str, status: u16, body: ServerBody) -> Response<ServerBody> {
    Response::builder()
        .status(status)
        .header("attempt-id", attempt)
        .header("response-seal", format!("seal-{server}"))
        .body(body)
        .unwrap()
}

/// Counts the calls for pieces, so that no two results have the same name.
static CALLS: AtomicUsize = AtomicUsize::new(0);

async fn stage(server: String, address: SocketAddr, path: String, sent: String) -> ServerBody {
    if path == "/stage-free" {
        return text("{}".into());
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let pieces = sent.matches("\"stage\":").count();
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let items: Vec<String> = (0..pieces)
        .map(|piece| format!(r#"{{"handle":"{address}/{server}-{call}-{piece}"}}"#))
        .collect();
    text(format!(r#"{{"items":[{}]}}"#, items.join(",")))
}

async fn answer(
    server: String,
    address: SocketAddr,
    log: Arc<ServerLog>,
    used: bool,
    request: Request<Incoming>,
) -> Result<Response<ServerBody>, std::io::Error> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
    };
    let (attempt, tenant, inputs) = (header("attempt-id"), header("tenant"), header("inputs"));
    let (key, last) = (header("authorization"), header("last-event-id"));
    let path = request.uri().path().to_owned();
    // The address by which callers know this server, which may be a proxy's.
    let address = header("host").parse().unwrap_or(address);
    if header("expect-instance") != server {
        return Ok(Response::builder()
            .status(421)
            .body(body(Vec::new()))
            .unwrap());
    }
    let sent = request.into_body().collect().await.unwrap().to_bytes();
    let sent = String::from_utf8(sent.to_vec()).unwrap();
    if used && path == "/stage-run" && sent.contains("\"stale") {
        return Err(std::io::Error::other(
            "the connection was dropped while idle",
        ));
    }
    if path.starts_with("/stage-") {
        log.record(format!("{path} {sent}"));
        let body = stage(server, address, path, sent).await;
        return Ok(Response::new(body));
    }
    let mode = path.rsplit('/').next().unwrap_or("");
    if mode == "full" || (mode == "first-full" && log.lines_with_prefix("refused").is_empty()) {
        log.record(format!("refused {attempt}"));
        return Ok(refuse());
    }
    log.record(format!("inputs {attempt} {inputs}"));
    let before = log.lines_with_prefix(&format!("ran {attempt} ")).len();
    log.record(format!(
        "ran {attempt} at={server} tenant={tenant} key={key} inputs={} last={last}",
        inputs.split(',').filter(|input| !input.is_empty()).count()
    ));
    let mut note = CancelNote {
        log,
        attempt: attempt.clone(),
        ended: false,
    };
    let response = match mode {
        "cut" => Err(std::io::Error::other("cut")),
        "slow" => {
            tokio::time::sleep(Duration::from_secs(30)).await;
            Ok(sealed(&server, &attempt, 200, body(Vec::new())))
        }
        "flaky" if before == 0 => Ok(sealed(&server, &attempt, 500, body(Vec::new()))),
        "foreign" => Ok(sealed(&server, "other", 200, body(vec![(0, Ok("x"))]))),
        "unsealed" => Ok(Response::new(body(vec![(0, Ok("x"))]))),
        "torn" => Ok(sealed(
            &server,
            &attempt,
            200,
            body(vec![(0, Ok("whole")), (20, Err("torn"))]),
        )),
        "broken" | "restarted" if before == 0 => Ok(sealed(
            &server,
            &attempt,
            200,
            body(vec![
                (5, Ok("id: 1\ndata: a\n\n")),
                (20, Ok("id: 2\nda")),
                (20, Err("broken")),
            ]),
        )),
        "restarted" => Ok(sealed(&server, &attempt, 200, events_after(3, None))),
        "broken" => Ok(sealed(
            &server,
            &attempt,
            200,
            events_after(3, last.parse().ok()),
        )),
        _ if path.starts_with("/draft/") || path.starts_with("/brief/") => Ok(sealed(
            &server,
            &attempt,
            200,
            events_after(2, last.parse().ok()),
        )),
        _ => Ok(sealed(&server, &attempt, 200, text(format!("echo {sent}")))),
    };
    note.ended = true;
    response
}

/// Serves one server on an address that the system gives.
pub async fn serve(server: &str, log: Arc<ServerLog>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = server.to_owned();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (server, log) = (server.clone(), Arc::clone(&log));
            let used = AtomicBool::new(false);
            let service = service_fn(move |request| {
                let used = used.swap(true, Ordering::Relaxed);
                answer(server.clone(), address, Arc::clone(&log), used, request)
            });
            tokio::spawn(async move {
                // A handler's error resets the connection, as a crash would.
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
