//! Sends one attempt of a request over HTTP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::event_text::{EventReader, ServerEvent};
use crate::record::RequestRecord;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct CallBody<'a> {
    input: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    max_tokens: Option<u32>,
    stream: bool,
}

#[derive(Deserialize)]
struct KeyBody {
    idempotency_key: String,
}

#[derive(Deserialize)]
struct CompleteBody {
    request: String,
    output: String,
    #[serde(default)]
    tokens: u32,
    #[serde(default)]
    replayed: bool,
}

#[derive(Deserialize)]
struct TokenBody {
    index: u32,
    text: String,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct ProblemBody {
    #[serde(rename = "type")]
    kind: String,
    status: Option<u16>,
    verdict: Option<String>,
    retry_after_ms: Option<u64>,
    request: Option<String>,
}

/// Parameters of an attempt that are not in its record.
#[derive(Clone, Debug)]
pub(crate) struct CallSettings {
    pub(crate) workspace_key: String,
    pub(crate) timeout_ms: Option<u64>,
    pub(crate) give_up: Duration,
    /// The start of the load.
    pub(crate) start: Instant,
}

/// Sends requests to the hosts in position, like a load balancer.
pub(crate) struct HostCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    hosts: Vec<SocketAddr>,
    position: AtomicUsize,
}

/// Collects the tokens of one answer.
struct TokenClock {
    intended: Instant,
    last: Option<Instant>,
}

impl TokenClock {
    fn token(&mut self, record: &mut RequestRecord) {
        let now = Instant::now();
        match self.last.replace(now) {
            Some(last) => {
                let gap = micros(now.duration_since(last));
                let longest = record.longest_gap_us.unwrap_or(0);
                record.longest_gap_us = Some(longest.max(gap));
            }
            None => record.first_token_us = Some(micros(now.duration_since(self.intended))),
        }
    }
}

impl HostCaller {
    pub(crate) fn new(hosts: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            hosts,
            position: AtomicUsize::new(0),
        }
    }

    /// Returns the position of the next host and advances to the one after it.
    pub(crate) fn next_position(&self) -> usize {
        self.position.fetch_add(1, Ordering::Relaxed)
    }

    /// Requests a key from the next host; none if it issues none in time.
    pub(crate) async fn fetch_key(
        &self,
        position: usize,
        settings: &CallSettings,
    ) -> Option<String> {
        let host = self.hosts[position % self.hosts.len()];
        let authorization = format!("Bearer {}", settings.workspace_key);
        let request = Request::post(format!("http://{host}/v1/keys"))
            .header(header::AUTHORIZATION, authorization)
            .body(Full::default())
            .ok()?;
        let fetch = async {
            let reply = self.client.request(request).await.ok()?;
            let body = reply.into_body().collect().await.ok()?.to_bytes();
            let key: KeyBody = serde_json::from_slice(&body).ok()?;
            Some(key.idempotency_key)
        };
        tokio::time::timeout(FETCH_TIMEOUT, fetch).await.ok()?
    }

    /// Sends one attempt, beginning with the next host, and completes its record.
    pub(crate) async fn call(
        &self,
        position: usize,
        record: &mut RequestRecord,
        settings: &CallSettings,
    ) {
        record.sent_us = micros(settings.start.elapsed());
        let exchange = self.exchange(position, record, settings);
        if tokio::time::timeout(settings.give_up, exchange)
            .await
            .is_err()
        {
            record.reason = "gave-up".to_owned();
        }
        let intended = settings.start + Duration::from_micros(record.intended_us);
        record.latency_us = micros(Instant::now().saturating_duration_since(intended));
    }

    async fn exchange(&self, position: usize, record: &mut RequestRecord, settings: &CallSettings) {
        let Some(reply) = self.send(position, record, settings).await else {
            return;
        };
        record.status = reply.status().as_u16();
        let kind = reply.headers().get(header::CONTENT_TYPE);
        let is_stream = kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        if is_stream {
            read_stream(reply, record, settings).await;
        } else {
            read_whole(reply, record).await;
        }
    }

    /// Sends the attempt to the first host that accepts a connection.
    async fn send(
        &self,
        position: usize,
        record: &mut RequestRecord,
        settings: &CallSettings,
    ) -> Option<Response<Incoming>> {
        // The position advances once per attempt, so that unreachable hosts do not shift that of others.
        for step in 0..self.hosts.len() {
            let host = self.hosts[(position + step) % self.hosts.len()];
            let request = build_request(host, record, settings)?;
            match self.client.request(request).await {
                Ok(reply) => {
                    record.host = host.to_string();
                    return Some(reply);
                }
                Err(error) if error.is_connect() => {}
                Err(error) => {
                    record.host = host.to_string();
                    record.reason = format!("no answer: {error}");
                    return None;
                }
            }
        }
        record.verdict = "not-sent".to_owned();
        record.reason = "no host was reached".to_owned();
        None
    }
}

fn build_request(
    host: SocketAddr,
    record: &RequestRecord,
    settings: &CallSettings,
) -> Option<Request<Full<Bytes>>> {
    let body = CallBody {
        input: &record.input,
        max_tokens: record.max_tokens,
        stream: record.stream,
    };
    let body = serde_json::to_vec(&body).ok()?;
    let span = record.try_number;
    let mut request = Request::post(format!("http://{host}/v1/pipelines/{}", record.pipeline))
        .header(header::CONTENT_TYPE, "application/json")
        .header(
            header::AUTHORIZATION,
            format!("Bearer {}", settings.workspace_key),
        )
        .header("traceparent", format!("00-{}-{span:016x}-01", record.trace));
    if !record.key.is_empty() {
        request = request.header("idempotency-key", &record.key);
    }
    if let Some(timeout) = settings.timeout_ms {
        request = request.header("hollywheel-timeout-ms", timeout);
    }
    request.body(Full::new(body.into())).ok()
}

async fn read_whole(reply: Response<Incoming>, record: &mut RequestRecord) {
    let body = match reply.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            record.reason = format!("broken answer: {error}");
            return;
        }
    };
    if record.status == 200 {
        take_complete(&body, record);
    } else {
        take_problem(&body, record);
    }
}

async fn read_stream(
    reply: Response<Incoming>,
    record: &mut RequestRecord,
    settings: &CallSettings,
) {
    let mut clock = TokenClock {
        intended: settings.start + Duration::from_micros(record.intended_us),
        last: None,
    };
    let mut reader = EventReader::default();
    let mut body = reply.into_body();
    while let Some(frame) = body.frame().await {
        let chunk = match frame {
            Ok(frame) => frame.into_data().unwrap_or_default(),
            Err(error) => {
                record.reason = format!("broken answer: {error}");
                return;
            }
        };
        for event in reader.read(&chunk) {
            take_event(&event, record, &mut clock);
        }
    }
    if !record.complete && record.verdict.is_empty() {
        record.reason = "the stream ended early".to_owned();
    }
}

fn take_event(event: &ServerEvent, record: &mut RequestRecord, clock: &mut TokenClock) {
    match event.name.as_str() {
        "token" => {
            let Ok(token) = serde_json::from_str::<TokenBody>(&event.data) else {
                record.reason = "a token is not readable".to_owned();
                return;
            };
            clock.token(record);
            record.indices.push(token.index);
            record.streamed.push_str(&token.text);
        }
        "complete" => take_complete(event.data.as_bytes(), record),
        "problem" => take_problem(event.data.as_bytes(), record),
        _ => {}
    }
}

fn take_complete(body: &[u8], record: &mut RequestRecord) {
    let Ok(answer) = serde_json::from_slice::<CompleteBody>(body) else {
        record.reason = "the answer is not readable".to_owned();
        return;
    };
    record.verdict = "ran".to_owned();
    record.complete = true;
    record.request = answer.request;
    record.output = answer.output;
    record.tokens = answer.tokens;
    record.replayed = answer.replayed;
}

fn take_problem(body: &[u8], record: &mut RequestRecord) {
    let problem: ProblemBody = serde_json::from_slice(body).unwrap_or_default();
    record.status = problem.status.unwrap_or(record.status);
    record.verdict = problem.verdict.unwrap_or_default();
    record.reason = problem.kind.rsplit('/').next().unwrap_or("").to_owned();
    record.retry_after_ms = problem.retry_after_ms;
    record.request = problem.request.unwrap_or_default();
}

/// Returns a duration in whole microseconds.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
