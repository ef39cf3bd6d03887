//! One attempt at a backend server.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use hollywheel_adapter::{ResponseHead, ServerRequest};
use hollywheel_serving::ServerRecord;
use hollywheel_types::{ExecutionVerdict, MonoTime, ServerId};

use crate::connection_pool::{HeldConnection, SendFailure};
use crate::host::{Host, HostState};
use crate::limited_body::{SMALL_LIMIT, collect_body};
use crate::log::{log_line, millis};
use crate::request::RequestContext;

/// The answer that refuses an attempt has no body worth waiting for.
const REFUSAL_BODY_LIMIT: Duration = Duration::from_millis(50);

/// Says why an attempt has no answer that can be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct AttemptFailure {
    /// What may be said about its execution.
    pub(crate) verdict: ExecutionVerdict,
    /// Whether a server received it.
    pub(crate) arrived: bool,
    /// What was seen.
    pub(crate) reason: &'static str,
}

/// Counts a request at a server until it is dropped.
pub(crate) struct FlightGuard {
    host: Host,
    server: ServerId,
}

impl FlightGuard {
    fn new(host: &Host, server: &ServerId) -> Self {
        host.loads.borrow_mut().note_sent(server);
        Self {
            host: host.clone(),
            server: server.clone(),
        }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.host.loads.borrow_mut().note_ended(&self.server);
    }
}

/// Holds an answer whose head was checked and whose body is still to come. Dropping it cancels
/// the attempt.
pub(crate) struct OpenAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) server: ServerId,
    pub(crate) sent_at: MonoTime,
    facts: ResponseHead,
    connection: HeldConnection,
    _flight: FlightGuard,
}

impl OpenAnswer {
    /// Notes that the answer was read completely, and keeps its connection.
    pub(crate) fn complete(self, host: &HostState) {
        host.connections.keep(self.connection, self.facts.idle_time);
    }
}

/// Holds what one attempt adds to its request.
#[derive(Clone, Copy, Default)]
pub(crate) struct AttemptExtras<'a> {
    pub(crate) inputs: Option<&'a [String]>,
    pub(crate) last_event: Option<u64>,
}

/// Sends a request to a server and checks the head of its answer.
pub(crate) async fn send_attempt(
    host: &Host,
    context: &RequestContext,
    server: &ServerId,
    record: &ServerRecord,
    extras: AttemptExtras<'_>,
) -> Result<OpenAnswer, AttemptFailure> {
    let sent_at = host.now();
    let flight = FlightGuard::new(host, server);
    let request = build_request(context, server, sent_at, extras).ok_or(AttemptFailure {
        verdict: ExecutionVerdict::NotRun,
        arrived: false,
        reason: "the request can't be written",
    })?;
    let sent = host.connections.send(server, record.address, request).await;
    let (answer, connection) = sent.map_err(|failure| match failure {
        SendFailure::NotSent => AttemptFailure {
            verdict: ExecutionVerdict::NotRun,
            arrived: false,
            reason: "no connection",
        },
        SendFailure::Broken => may_have_run("the connection broke before an answer"),
    })?;
    let facts = hollywheel_adapter::decode_response_head(&answer, &context.head.attempt);
    if !facts.matches_attempt {
        return Err(may_have_run("the answer belongs to another request"));
    }
    host.note_answer(server, &facts);
    if facts.not_run {
        let reason = refusal_reason(answer.status());
        read_refusal(host, answer, connection, facts).await;
        return Err(AttemptFailure {
            verdict: ExecutionVerdict::NotRun,
            arrived: true,
            reason,
        });
    }
    if !facts.authentic {
        return Err(may_have_run("the answer is not the server's own"));
    }
    let (parts, body) = answer.into_parts();
    Ok(OpenAnswer {
        status: parts.status,
        headers: parts.headers,
        body,
        server: server.clone(),
        sent_at,
        facts,
        connection,
        _flight: flight,
    })
}

const fn may_have_run(reason: &'static str) -> AttemptFailure {
    AttemptFailure {
        verdict: ExecutionVerdict::MayHaveRun,
        arrived: true,
        reason,
    }
}

fn refusal_reason(status: StatusCode) -> &'static str {
    match status {
        StatusCode::MISDIRECTED_REQUEST => "another server has the address",
        StatusCode::CONFLICT => "an input is gone",
        StatusCode::BAD_REQUEST => "the server can't read the request",
        _ => "refused by the server",
    }
}

async fn read_refusal(
    host: &Host,
    answer: Response<Incoming>,
    connection: HeldConnection,
    facts: ResponseHead,
) {
    // A later copy of a refusal without an id could not be told from that of the next request.
    if !facts.names_attempt {
        return;
    }
    let read = collect_body(answer.into_body(), SMALL_LIMIT);
    let read = tokio::time::timeout(REFUSAL_BODY_LIMIT, read).await;
    if matches!(read, Ok(Ok(_))) {
        host.connections.keep(connection, facts.idle_time);
    }
}

fn build_request(
    context: &RequestContext,
    server: &ServerId,
    now: MonoTime,
    extras: AttemptExtras<'_>,
) -> Option<Request<Full<Bytes>>> {
    let call = ServerRequest {
        server,
        remaining: context.deadline.since(now),
        workspace: context.workspace.as_ref(),
        strip_key: context.set.keys.is_some(),
        inputs: extras.inputs,
        last_event: extras.last_event,
    };
    let body = context.body.clone();
    let has_body = !body.is_empty() || context.method != Method::GET;
    let request = Request::builder()
        .method(context.method.clone())
        .uri(context.target.clone())
        .body(Full::new(body));
    let mut request = request.ok()?;
    *request.headers_mut() = hollywheel_adapter::server_request_headers(&context.headers, &call);
    if has_body {
        let length = http::HeaderValue::from(context.body.len());
        request
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, length);
    }
    Some(request)
}

/// Notes a failure against the server that it speaks against, and writes it to the log.
pub(crate) fn note_failure(
    host: &Host,
    context: &RequestContext,
    server: &ServerId,
    number: u32,
    failure: &AttemptFailure,
    sent_at: MonoTime,
) {
    let now = host.now();
    let in_flight = host.loads.borrow().in_flight(server);
    log_line!(
        host,
        info,
        AttemptEnded,
        request = context.head.attempt,
        server = %server,
        attempt = number,
        verdict = failure.verdict.name(),
        reason = failure.reason,
        took_ms = millis(now.since(sent_at)),
        in_flight
    );
    // A full server says so while it is sound.
    if !failure.arrived || failure.verdict != ExecutionVerdict::NotRun {
        let passed_over = host.loads.borrow_mut().note_failure(now, server);
        if let Some(failures) = passed_over {
            log_line!(host, warn, ServerPassedOver, server = %server, failures);
        }
    }
}
