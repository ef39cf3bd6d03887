//! Responses that the host generates itself, and the log line and metrics of each request's end.

use std::time::Duration;

use http::header::{self, HeaderValue};
use http::{HeaderMap, Response, StatusCode};

use hollywheel_types::{ExecutionVerdict, MonoTime, ServerId};

use crate::body::AnswerBody;
use crate::containment::WorkPanicked;
use crate::host::HostState;
use crate::log::{log_line, millis};
use crate::metrics::{ClassLabel, RequestLabels};
use crate::request::panic_status;
use crate::unanswered::UnansweredClass;

/// Outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestOutcome {
    /// The caller got the complete answer of a backend server.
    Answered,
    /// The request was shed without having run; a retry may succeed.
    Refused,
    /// The request may have run, and the caller got no answer.
    Failed,
    /// The stream was cut before its last event.
    Broken,
    /// The caller disconnected first.
    Cancelled,
    /// The request is invalid or not authorised, or the host has no configuration.
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

/// Properties of an ended request for its log line and the metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestEnd<'a> {
    pub(crate) outcome: RequestOutcome,
    pub(crate) verdict: ExecutionVerdict,
    pub(crate) status: u16,
    pub(crate) reason: &'a str,
    pub(crate) attempts: u32,
    /// Server of the last attempt.
    pub(crate) server: Option<&'a ServerId>,
    /// Load of that server when it was chosen, as a fraction of its slots.
    pub(crate) server_load: Option<f64>,
    /// Time spent in stages.
    pub(crate) stages_time: Duration,
    /// Time from the arrival of the request to the start of its answer.
    pub(crate) first_byte_time: Option<Duration>,
    pub(crate) workspace: Option<&'a str>,
    /// Configuration version under which the request was served.
    pub(crate) config: u64,
    /// Time left until the deadline.
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
            stages_time: Duration::ZERO,
            first_byte_time: None,
            workspace: None,
            config: 0,
            remaining: Duration::ZERO,
        }
    }
}

impl RequestEnd<'_> {
    /// Returns the end of a request whose caller disconnected.
    pub(crate) fn cancelled() -> Self {
        Self {
            outcome: RequestOutcome::Cancelled,
            verdict: ExecutionVerdict::MayHaveRun,
            reason: "the caller disconnected",
            ..Self::default()
        }
    }

    /// Returns the end of a request whose work panicked before it had an answer.
    pub(crate) fn panicked(verdict: ExecutionVerdict) -> Self {
        Self {
            outcome: match verdict {
                ExecutionVerdict::NotRun => RequestOutcome::Refused,
                ExecutionVerdict::MayHaveRun | ExecutionVerdict::Ran => RequestOutcome::Failed,
            },
            verdict,
            status: panic_status(verdict).as_u16(),
            reason: WorkPanicked::REASON,
            ..Self::default()
        }
    }

    /// Returns the end of a request that was rejected before it was sent anywhere.
    pub(crate) fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self {
            outcome: RequestOutcome::Rejected,
            status: status.as_u16(),
            reason,
            ..Self::default()
        }
    }
}

/// Records the end of a request in the log and the metrics.
pub(crate) fn record_request_end(
    host: &HostState,
    attempt_id: &str,
    pipeline: &str,
    arrived: MonoTime,
    end: &RequestEnd<'_>,
) {
    let took = host.now().since(arrived);
    let label = host.metrics.label(pipeline);
    let labels = RequestLabels {
        pipeline: label.name.clone(),
        outcome: end.outcome.name(),
    };
    host.metrics.requests.get_or_create(&labels).inc();
    let class = UnansweredClass::of(end).map(UnansweredClass::name);
    if let Some(class) = class {
        let label = ClassLabel { class };
        host.metrics.unanswered.get_or_create(&label).inc();
    }
    let seconds = host.metrics.request_seconds.get_or_create(&label);
    seconds.observe(took.as_secs_f64());
    if let Some(first) = end.first_byte_time {
        let seconds = host.metrics.first_seconds.get_or_create(&label);
        seconds.observe(first.as_secs_f64());
    }
    log_line!(
        host,
        info,
        RequestEnded,
        request = attempt_id,
        pipeline,
        workspace = end.workspace,
        config = end.config,
        outcome = end.outcome.name(),
        verdict = end.verdict.name(),
        status = end.status,
        reason = end.reason,
        class,
        attempts = end.attempts,
        server = end.server.map(tracing::field::display),
        server_load = end.server_load,
        took_ms = millis(took),
        stages_ms = millis(end.stages_time),
        first_ms = end.first_byte_time.map(millis),
        remaining_ms = millis(end.remaining)
    );
}

/// Builds a response without a body that the host generates itself.
pub(crate) fn answer_locally(
    host: &HostState,
    attempt_id: &str,
    status: StatusCode,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let headers = hollywheel_adapter::rejection_headers(attempt_id, retry_after);
    build_answer(host, status, headers, AnswerBody::empty())
}

/// Builds a response; during the graceful stop it asks the caller to close the connection.
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
