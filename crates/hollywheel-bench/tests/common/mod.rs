//! Test server of the callers' protocol, and its objects.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hollywheel_bench::{
    KeySource, LoadPlan, ObjectView, PipelinePlan, ServerView, WorkspacePlan, expected_answer,
    post_json,
};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

pub const OBJECTS: &str = r#"
format = 1
pool = [{ name = "engines", kind = "engine", servers = [] }]
stage = [
    { name = "embed", kind = "encode", pool = "encoders" },
    { name = "draft", kind = "generate", pool = "engines", model = "rates-7b", max_tokens = 6 },
    { name = "pay", kind = "call", pool = "payments", idempotent = false },
]
pipeline = [
    { name = "summary", stages = ["embed", "draft"], target = "quick" },
    { name = "payment", stages = ["pay"], target = "quick" },
]
"#;

pub fn objects() -> ObjectView {
    ObjectView::from_toml(Path::new("objects.toml"), OBJECTS).expect("the objects are valid")
}

pub fn pipeline(name: &str) -> PipelinePlan {
    PipelinePlan {
        name: name.to_owned(),
        class: "interactive".to_owned(),
        weight: 1.0,
        deadline_ms: 1000,
        first_token_ms: None,
        token_gap_ms: None,
        stream: false,
        max_tokens: None,
        keyed: false,
        keys: KeySource::Own,
        timeout_ms: None,
        workspaces: Vec::new(),
        prefixes: 0,
        input_bytes: 0,
    }
}

pub fn plan(pipelines: Vec<PipelinePlan>) -> LoadPlan {
    let workspace = WorkspacePlan {
        name: "clerk-desk".to_owned(),
        key: "sample-key".to_owned(),
        weight: 1.0,
    };
    LoadPlan {
        seed: 7,
        seconds: 0.5,
        rate: 100.0,
        addresses: Vec::new(),
        give_up_ms: 5000,
        max_in_flight: 1000,
        retries: 0,
        retry_ms: 10,
        bursts: Vec::new(),
        workspaces: vec![workspace],
        pipelines,
    }
}

/// Behaviour of the test server.
#[derive(Clone, Debug)]
pub enum ServerHabit {
    /// Sends the expected answer after a delay.
    Answer { after: Duration },
    /// Calls a plain service and passes its failures to the caller.
    Forward { service: SocketAddr },
    /// Refuses all requests.
    Refuse,
}

pub async fn start_server(habit: ServerHabit) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let habit = Arc::new(habit);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let habit = Arc::clone(&habit);
            let service = service_fn(move |request| answer(request, Arc::clone(&habit)));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

fn reply(status: StatusCode, kind: &str, body: String) -> Response<Full<Bytes>> {
    let reply = Response::builder()
        .status(status)
        .header("content-type", kind);
    reply
        .body(Full::new(body.into()))
        .expect("the reply is valid")
}

fn problem(verdict: &str) -> Response<Full<Bytes>> {
    let body = json!({"type": "/problems/overloaded", "status": 503, "verdict": verdict,
        "retry_after_ms": 5});
    let status = StatusCode::SERVICE_UNAVAILABLE;
    reply(status, "application/problem+json", body.to_string())
}

/// Issues a key unless the server refuses all requests.
fn issued_key(habit: &ServerHabit) -> Response<Full<Bytes>> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    if matches!(habit, ServerHabit::Refuse) {
        return problem("not-run");
    }
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let body = json!({"idempotency_key": format!("issue:one:1:{number}"), "expires_ms": 1000});
    reply(StatusCode::CREATED, "application/json", body.to_string())
}

async fn answer(
    request: Request<Incoming>,
    habit: Arc<ServerHabit>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let path = request.uri().path().to_owned();
    let name = path.strip_prefix("/v1/pipelines/").unwrap_or("").to_owned();
    let header = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned()
    };
    assert_eq!(header("authorization"), "Bearer sample-key");
    if path == "/v1/keys" {
        return Ok(issued_key(&habit));
    }
    let key = header("idempotency-key");
    let id = header("traceparent")[3..35].to_owned();
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(std::io::Error::other)?;
    let body: Value = serde_json::from_slice(&body.to_bytes()).map_err(std::io::Error::other)?;
    match *habit {
        ServerHabit::Refuse => return Ok(problem("not-run")),
        ServerHabit::Answer { after } => tokio::time::sleep(after).await,
        ServerHabit::Forward { service } => {
            let call = json!({"request": id, "attempt": id, "stage": "pay", "work": "call",
                "workspace": "clerk-desk", "input": body["input"], "previous": "",
                "idempotency_key": key});
            if post_json(service, "/v1/run", &call).await.is_err() {
                return Ok(problem("may-have-run"));
            }
        }
    }
    Ok(whole_answer(&name, &id, &body))
}

fn whole_answer(name: &str, id: &str, body: &Value) -> Response<Full<Bytes>> {
    let tokens = body["max_tokens"]
        .as_u64()
        .map(|n| u32::try_from(n).unwrap());
    let input = body["input"].as_str().unwrap();
    let expected = expected_answer(&objects(), name, input, tokens).expect("it is described");
    let complete = json!({"request": id, "output": expected.output, "tokens": expected.tokens,
        "replayed": false});
    if body["stream"] != true {
        return reply(StatusCode::OK, "application/json", complete.to_string());
    }
    let mut text = String::new();
    for (index, token) in expected.output.split_inclusive(' ').enumerate() {
        let data = json!({"index": index, "text": token});
        text.push_str(&format!("event: token\ndata: {data}\n\n"));
    }
    text.push_str(&format!("event: complete\ndata: {complete}\n\n"));
    reply(StatusCode::OK, "text/event-stream", text)
}

pub fn server_view(name: &str, address: SocketAddr) -> ServerView {
    ServerView {
        name: name.to_owned(),
        address,
        domain: "medeu".to_owned(),
        pool: "payments".to_owned(),
    }
}
