//! One attempt at a backend server.

use std::time::Duration;

use bytes::Bytes;
use fail::fail_point;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::Full;

use hollywheel_adapter::{ResponseHead, ServerRequest};
use hollywheel_serving::{ServerRecord, ServerStart};
use hollywheel_types::{ExecutionVerdict, MonoTime, ServerId};

use crate::connection_pool::{ActiveConnection, CONNECT_TIMEOUT, SendFailure};
use crate::crash_evidence::{
    AnswerEnding, record_gone, record_server_alive, server_start, shared_parts,
};
use crate::host::{Host, HostState};
use crate::limited_body::{SMALL_LIMIT, collect_within};
use crate::log::{log_line, millis};
use crate::metered_stream::MeteredBody;
use crate::request::RequestContext;
use crate::server_limits::note_response_limit;
use crate::unanswered::SERVER_SILENT;

/// Time to read the body of a refusal so that its connection can be reused; the body itself is
/// not needed.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Fraction of the latency objective within which a connection is opened. A server on the same
/// network accepts within milliseconds; one that is down never does, and its request still has to be
/// served elsewhere in time.
const CONNECT_FRACTION: f64 = 0.5;
/// Shortest time for opening a connection, which covers the round trip between failure domains many
/// times.
const MIN_CONNECT_TIME: Duration = Duration::from_millis(25);
/// Reason of an attempt for which no connection was opened.
const NOT_CONNECTED: &str = "could not connect";

/// Reason why an attempt has no answer that can be forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct AttemptFailure {
    /// Whether the request may have been executed.
    pub(crate) verdict: ExecutionVerdict,
    /// Whether the request may have reached a server.
    pub(crate) received: bool,
    /// Whether the connection ended before the answer did, as it does if the server crashes.
    pub(crate) lost_server: bool,
    /// Description of the failure for the log.
    pub(crate) reason: &'static str,
}

/// Counts a request as in flight at a server until dropped.
pub(crate) struct InFlightGuard {
    host: Host,
    server: ServerId,
}

impl InFlightGuard {
    fn new(host: &Host, server: &ServerId) -> Self {
        host.loads.borrow_mut().note_sent(server);
        Self {
            host: host.clone(),
            server: server.clone(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.host.loads.borrow_mut().note_ended(&self.server);
    }
}

/// An answer whose head was checked and whose body has not been read. Dropping it cancels the
/// attempt.
pub(crate) struct OpenAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: MeteredBody,
    /// The start of the server that answers.
    pub(crate) start: ServerStart,
    pub(crate) sent_at: MonoTime,
    facts: ResponseHead,
    connection: ActiveConnection,
    _in_flight_guard: InFlightGuard,
}

impl OpenAnswer {
    /// Returns what marks the end of the answer, once it was read completely.
    pub(crate) fn ending(&self) -> AnswerEnding {
        let length_headers = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
        let mut names = length_headers.iter();
        if names.any(|name| self.headers.contains_key(name)) {
            AnswerEnding::Complete
        } else {
            AnswerEnding::ConnectionEnd
        }
    }

    /// Returns the connection to the pool after the body was read completely.
    pub(crate) fn complete(self, host: &HostState) {
        host.connections
            .give_back(self.connection, self.facts.idle_time);
    }
}

/// Headers that an attempt adds to the caller's request.
#[derive(Clone, Copy, Default)]
pub(crate) struct AttemptExtras<'a> {
    /// Handles of the stage results that the server reads.
    pub(crate) inputs: Option<&'a [String]>,
    /// Last event that the caller has received; the stream resumes after it.
    pub(crate) last_event: Option<u64>,
}

/// Sends a request to a server and checks the head of its answer.
///
/// # Errors
///
/// Returns the failure if the server was not reached, refused the request, or gave an answer that
/// does not belong to it.
pub(crate) async fn send_attempt(
    host: &Host,
    context: &RequestContext,
    server: &ServerId,
    record: &ServerRecord,
    extras: AttemptExtras<'_>,
) -> Result<OpenAnswer, AttemptFailure> {
    let sent_at = host.now();
    let in_flight_guard = InFlightGuard::new(host, server);
    let request = build_request(context, server, sent_at, extras).ok_or(AttemptFailure {
        verdict: ExecutionVerdict::NotRun,
        received: false,
        lost_server: false,
        reason: "the request could not be encoded",
    })?;
    host.count_limited_send(server, &record.pool);
    let limit = connect_limit(host, context, sent_at);
    let sent = host
        .connections
        .send(server, record.address, request, limit);
    let sent = sent.await;
    if let Err(SendFailure::Refused) = sent {
        record_gone(host, &server_start(server, record));
    }
    let (answer, connection) = sent.map_err(|failure| match failure {
        SendFailure::Unwritten if !host.avoids_lost_servers() => lost_connection(),
        // Without a byte of it no server can have run the request.
        SendFailure::Refused | SendFailure::NotSent | SendFailure::Unwritten => AttemptFailure {
            verdict: ExecutionVerdict::NotRun,
            received: false,
            lost_server: false,
            reason: NOT_CONNECTED,
        },
        SendFailure::Broken => lost_connection(),
    })?;
    fail_point!("attempt.head");
    let facts = hollywheel_adapter::decode_response_head(&answer, &context.head.attempt);
    if !facts.matches_attempt {
        return Err(may_have_run("the answer belongs to another request"));
    }
    host.apply_answer_facts(server, &facts);
    let is_genuine = facts.not_run || facts.authentic;
    // Another server sends the 421 at the address of one that is gone.
    if is_genuine && answer.status() != StatusCode::MISDIRECTED_REQUEST {
        note_answered(host, server);
    }
    let said = facts.limit.trusted_if(is_genuine);
    note_response_limit(host, server, said, sent_at);
    if facts.not_run {
        let reason = refusal_reason(answer.status());
        drain_refusal(host, answer, connection, facts).await;
        return Err(AttemptFailure {
            verdict: ExecutionVerdict::NotRun,
            received: true,
            lost_server: false,
            reason,
        });
    }
    if !facts.authentic {
        return Err(may_have_run(
            "the answer does not come from the server itself",
        ));
    }
    if promises_not_run(answer.status()) {
        // Passed on, the status would tell the caller what the server has not stated.
        return Err(may_have_run("the server's status contradicts its headers"));
    }
    if answer.status().is_success() {
        record_server_alive(host, server, record, sent_at);
    }
    let (parts, body) = answer.into_parts();
    Ok(OpenAnswer {
        status: parts.status,
        headers: parts.headers,
        body,
        start: server_start(server, record),
        sent_at,
        facts,
        connection,
        _in_flight_guard: in_flight_guard,
    })
}

/// Returns the time within which a connection is opened, which leaves time for another server.
fn connect_limit(host: &HostState, context: &RequestContext, now: MonoTime) -> Duration {
    if !host.avoids_lost_servers() {
        return CONNECT_TIMEOUT;
    }
    let third = context.deadline.since(now) / 3;
    let limit = context.pipeline.objective.mul_f64(CONNECT_FRACTION);
    limit.min(third).max(MIN_CONNECT_TIME).min(CONNECT_TIMEOUT)
}

/// Records that a server has answered a request, which ends its avoidance.
fn note_answered(host: &HostState, server: &ServerId) {
    if host.avoids_lost_servers() {
        host.loads.borrow_mut().note_answered(host.now(), server);
    }
}

/// Avoids a server for a while that broke the connection of a request or gave no answer to it, where
/// the deployment asks for it.
pub(crate) fn record_loss(
    host: &HostState,
    server: &ServerId,
    sent_at: MonoTime,
    reason: &'static str,
) {
    if !host.avoids_lost_servers() {
        return;
    }
    // Opening a connection shows that a server is gone before anything is sent to it.
    host.connections.close_idle(server);
    let now = host.now();
    let avoided = host.loads.borrow_mut().note_lost(now, server, sent_at);
    if let Some(time) = avoided {
        log_line!(
            host,
            warn,
            ServerAvoided,
            server = %server,
            reason,
            avoided_ms = millis(time)
        );
    }
}

/// Records that the attempt in flight had no answer before the deadline, if its server has answered
/// nothing since; returns the reason of the request's end then.
pub(crate) fn record_silence(
    host: &HostState,
    context: &RequestContext,
    server: Option<&ServerId>,
    sent_at: MonoTime,
) -> Option<&'static str> {
    let server = server.filter(|_| host.avoids_lost_servers() && context.run.is_sending())?;
    if host.loads.borrow().has_answered_since(server, sent_at) {
        return None;
    }
    record_loss(host, server, sent_at, SERVER_SILENT);
    Some(SERVER_SILENT)
}

/// Returns the failure of an attempt whose connection broke.
const fn lost_connection() -> AttemptFailure {
    AttemptFailure {
        lost_server: true,
        ..may_have_run("the connection closed before an answer")
    }
}

/// Returns the failure of an attempt that may have been executed.
const fn may_have_run(reason: &'static str) -> AttemptFailure {
    AttemptFailure {
        verdict: ExecutionVerdict::MayHaveRun,
        received: true,
        lost_server: false,
        reason,
    }
}

/// Returns whether callers take a status as the promise that their request has not run. A 421 is
/// absent, since a server sends it only without running the request.
const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
    )
}

fn refusal_reason(status: StatusCode) -> &'static str {
    match status {
        StatusCode::MISDIRECTED_REQUEST => "another server uses the address",
        StatusCode::CONFLICT => "an input is no longer stored",
        StatusCode::BAD_REQUEST => "the server could not read the request",
        _ => "the server refused the request",
    }
}

/// Reads the rest of a refusal, and returns its connection to the pool if that succeeds in time.
async fn drain_refusal(
    host: &Host,
    answer: Response<MeteredBody>,
    connection: ActiveConnection,
    facts: ResponseHead,
) {
    // Without a request id, a late duplicate of this refusal would look like the answer to the
    // next request on the connection.
    if !facts.names_attempt {
        return;
    }
    let read = collect_within(answer.into_body(), SMALL_LIMIT, &host.body_memory);
    let read = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, read).await;
    if matches!(read, Ok(Ok(_))) {
        host.connections.give_back(connection, facts.idle_time);
    }
}

/// Builds the request for a server from the caller's request; `None` if it cannot be encoded.
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
        request.headers_mut().insert(header::CONTENT_LENGTH, length);
    }
    Some(request)
}

/// Returns the ids of prompt parts, as callers name them.
fn part_names(parts: impl Iterator<Item = u64>) -> String {
    let names: Vec<String> = parts.map(|part| format!("{part:x}")).collect();
    names.join(",")
}

/// Logs a failed attempt, and counts it towards the ejection of its server unless the server
/// refused the request.
pub(crate) fn record_attempt_failure(
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
        in_flight,
        parts = part_names(shared_parts(&context.head.parts)),
        identity = format!("{:016x}", context.identity())
    );
    if failure.lost_server || failure.reason == NOT_CONNECTED {
        record_loss(host, server, sent_at, failure.reason);
    }
    // A refusal, such as that of a full server, is no sign of a fault.
    if !failure.received || failure.verdict != ExecutionVerdict::NotRun {
        let ejected_after = host.loads.borrow_mut().note_failure(now, server);
        if let Some(failures) = ejected_after {
            log_line!(host, warn, ServerEjected, server = %server, failures);
        }
    }
}
