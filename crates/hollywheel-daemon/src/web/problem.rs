//! Answers as JSON, problems among them.

use std::time::Duration;

use bytes::Bytes;
use hollywheel_admin::ProblemDetails;
use hollywheel_config::CheckFault;
use hollywheel_types::{ExecutionVerdict, RequestId};
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::Serialize;

/// Holds an answer whose body is complete.
pub type BufferedReply = Response<Bytes>;

/// Describes a problem before it is written.
#[derive(Clone, Debug, Default)]
pub struct ProblemReply {
    /// The status.
    pub status: u16,
    /// The last part of the path under `/problems/`.
    pub kind: &'static str,
    /// The kind in words.
    pub title: &'static str,
    /// What is wrong with this request.
    pub detail: String,
    /// Whether the request may have run.
    pub verdict: Option<ExecutionVerdict>,
    /// When to call again.
    pub retry_after: Option<Duration>,
    /// The request.
    pub request: Option<RequestId>,
    /// The faults of an object set.
    pub faults: Vec<CheckFault>,
}

impl ProblemReply {
    /// Returns the message that is written.
    pub fn details(&self) -> ProblemDetails {
        ProblemDetails {
            kind: format!("/problems/{}", self.kind),
            title: self.title.to_owned(),
            status: self.status,
            detail: self.detail.clone(),
            verdict: self.verdict,
            retry_after_ms: self.retry_after.map(whole_millis),
            request: self.request,
            faults: self.faults.clone(),
        }
    }
}

fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the whole seconds that a span takes at most, for the `retry-after` header.
fn whole_seconds(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() > 0)
}

/// Builds an answer with a JSON body.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> BufferedReply {
    build_reply(status, "application/json", body)
}

/// Builds the answer for a problem.
pub fn problem_reply(problem: &ProblemReply) -> BufferedReply {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = build_reply(status, "application/problem+json", &problem.details());
    if let Some(span) = problem.retry_after {
        let value = HeaderValue::from(whole_seconds(span));
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

fn build_reply(status: StatusCode, kind: &'static str, body: &impl Serialize) -> BufferedReply {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Response::new(Bytes::from(body));
    *reply.status_mut() = status;
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}
