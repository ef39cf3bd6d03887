//! Answers of the host's own, and the log line at the end of each request.

use std::time::Duration;

use http::header::{self, HeaderValue};
use http::{HeaderMap, Response, StatusCode};

use hollywheel_types::{ExecutionVerdict, MonoTime, ServerId};

use crate::body::AnswerBody;
use crate::host::HostState;
use crate::log::{log_line, millis};
use crate::metrics::RequestLabels;

/// Says how a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestOutcome {
    /// With a backend server's whole answer.
    Answered,
    /// It was turned away, and has not run.
    Refused,
    /// It may have run, and has no answer.
    Failed,
    /// Its stream ended before its last event.
    Broken,
    /// The caller left before.
    Cancelled,
    /// It was turned away for what it asks.
    Rejected,
}

impl RequestOutcome {
    const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Cancelled => "cancelled",
            Self::Rejected => "rejected",
        }
    }
}

/// Describes how a request ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestEnd<'a> {
    pub(crate) outcome: RequestOutcome,
    pub(crate) verdict: ExecutionVerdict,
    pub(crate) status: u16,
    pub(crate) reason: &'a str,
    pub(crate) attempts: u32,
    /// The server of the last attempt.
    pub(crate) server: Option<&'a ServerId>,
    /// The load of that server, in parts of its slots, as it was known at the choice.
    pub(crate) server_load: Option<f64>,
    pub(crate) stages_took: Duration,
    pub(crate) first_took: Option<Duration>,
    pub(crate) workspace: Option<&'a str>,
    pub(crate) config: u64,
    pub(crate) remaining: Duration,
}

impl Default for RequestEnd<'_> {
    fn default() -> Self {
        Self {
            outcome: RequestOutcome::Answered,
            verdict: ExecutionVerdict::NotRun,
            status: 0,
            reason: "",
            attempts: 0,
            server: None,
            server_load: None,
            stages_took: Duration::ZERO,
            first_took: None,
            workspace: None,
            config: 0,
            remaining: Duration::ZERO,
        }
    }
}

impl RequestEnd<'_> {
    /// Describes a request whose caller left.
    pub(crate) fn cancelled() -> Self {
        Self {
            outcome: RequestOutcome::Cancelled,
            verdict: ExecutionVerdict::MayHaveRun,
            reason: "the caller left",
            ..Self::default()
        }
    }

    /// Describes a request that was turned away before anything was done for it.
    pub(crate) fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self {
            outcome: RequestOutcome::Rejected,
            status: status.as_u16(),
            reason,
            ..Self::default()
        }
    }
}

/// Writes the end of a request to the log and the metrics.
pub(crate) fn log_end(
    host: &HostState,
    attempt: &str,
    pipeline: &str,
    arrived: MonoTime,
    end: &RequestEnd<'_>,
) {
    let took = host.now().since(arrived);
    let name = host.metrics.name(pipeline);
    let labels = RequestLabels {
        pipeline: name.name.clone(),
        outcome: end.outcome.name(),
    };
    host.metrics.requests.get_or_create(&labels).inc();
    let seconds = host.metrics.request_seconds.get_or_create(&name);
    seconds.observe(took.as_secs_f64());
    if let Some(first) = end.first_took {
        let seconds = host.metrics.first_seconds.get_or_create(&name);
        seconds.observe(first.as_secs_f64());
    }
    log_line!(
        host,
        info,
        RequestEnded,
        request = attempt,
        pipeline,
        workspace = end.workspace,
        config = end.config,
        outcome = end.outcome.name(),
        verdict = end.verdict.name(),
        status = end.status,
        reason = end.reason,
        attempts = end.attempts,
        server = end.server.map(tracing::field::display),
        server_load = end.server_load,
        took_ms = millis(took),
        stages_ms = millis(end.stages_took),
        first_ms = end.first_took.map(millis),
        remaining_ms = millis(end.remaining)
    );
}

/// Makes an answer that the host gives itself.
pub(crate) fn answer_own(
    host: &HostState,
    attempt: &str,
    status: StatusCode,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let headers = hollywheel_adapter::rejection_headers(attempt, retry_after);
    build_answer(host, status, headers, AnswerBody::empty())
}

/// Makes an answer; while the host stops it asks the caller to connect elsewhere.
pub(crate) fn build_answer(
    host: &HostState,
    status: StatusCode,
    headers: HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if host.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
