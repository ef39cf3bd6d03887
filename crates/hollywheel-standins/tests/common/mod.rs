//! HTTP client of the tests.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hollywheel_standins::{LedgerEvent, StandinHandle};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

const WAIT_STEP: Duration = Duration::from_millis(5);
const WAIT_STEPS: u32 = 2000;

#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub not_run: bool,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    pub fn lines(&self) -> Vec<Value> {
        let text = std::str::from_utf8(&self.body).expect("the body is UTF-8");
        text.lines()
            .map(|line| serde_json::from_str(line).expect("each line is JSON"))
            .collect()
    }
}

/// Calls a stand-in on a new connection; returns an error if the connection was closed early.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Answer, String> {
    let client = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .retry_canceled_requests(false)
        .build_http();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(body.into()))
        .expect("the request is valid");
    let reply = client
        .request(request)
        .await
        .map_err(|error| error.to_string())?;
    let status = reply.status();
    let not_run = reply.headers().contains_key("hollywheel-not-run");
    let body = reply.into_body().collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    Ok(Answer {
        status,
        not_run,
        body,
    })
}

pub async fn post(handle: &StandinHandle, path: &str, body: Value) -> Result<Answer, String> {
    call(handle.address(), Method::POST, path, body.to_string()).await
}

pub async fn get(handle: &StandinHandle, path: &str) -> Answer {
    call(handle.address(), Method::GET, path, "")
        .await
        .expect("the stand-in answers")
}

pub async fn set_faults(handle: &StandinHandle, order: Value) {
    let answer = post(handle, "/standin/faults", order).await;
    assert_eq!(answer.expect("it answers").status, StatusCode::OK);
}

pub fn run_call(attempt: u32, work: &str) -> Value {
    json!({
        "request": format!("{attempt:032x}"),
        "attempt": format!("{:032x}", attempt + 0x1000),
        "stage": "some-stage",
        "work": work,
        "workspace": "clerk-desk",
        "class": "lookup",
        "deadline_ms": 1000,
        "input": "a question",
        "previous": "",
    })
}

/// Returns the events of the ledger with the last digits of their request ids.
pub fn events(handle: &StandinHandle) -> Vec<(LedgerEvent, String)> {
    let entries = handle.ledger().into_iter();
    entries
        .map(|entry| {
            (
                entry.event,
                entry.request.trim_start_matches('0').to_owned(),
            )
        })
        .collect()
}

pub fn count(handle: &StandinHandle, event: LedgerEvent) -> usize {
    let entries = handle.ledger().into_iter();
    entries.filter(|entry| entry.event == event).count()
}

/// Waits until a condition holds, for at most ten seconds.
pub async fn wait_until(mut holds: impl FnMut() -> bool) {
    for _ in 0..WAIT_STEPS {
        if holds() {
            return;
        }
        tokio::time::sleep(WAIT_STEP).await;
    }
    panic!("the condition did not come to hold");
}
