//! JSON responses, including problem details.

use std::time::Duration;

use bytes::Bytes;
use hollywheel_admin::ProblemDetails;
use hollywheel_config::CheckFault;
use hollywheel_types::{ExecutionVerdict, RequestId};
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::Serialize;

/// Response whose body is complete in memory.
pub type BufferedReply = Response<Bytes>;

/// Problem to be sent as `application/problem+json`.
#[derive(Clone, Debug, Default)]
pub struct ProblemReply {
    /// HTTP status code.
    pub status: u16,
    /// Kind of the problem: the last segment of its URI under `/problems/`.
    pub kind: &'static str,
    /// Short description of the kind.
    pub title: &'static str,
    /// Explanation for this request.
    pub detail: String,
    /// What is known of the execution of the request.
    pub verdict: Option<ExecutionVerdict>,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Identifier of the request.
    pub request: Option<RequestId>,
    /// Faults found in a set of configuration objects.
    pub faults: Vec<CheckFault>,
}

impl ProblemReply {
    /// Returns the JSON document of the problem.
    pub fn details(&self) -> ProblemDetails {
        ProblemDetails {
            kind: format!("/problems/{}", self.kind),
            title: self.title.to_owned(),
            status: self.status,
            detail: self.detail.clone(),
            verdict: self.verdict,
            retry_after_ms: self.retry_after.map(to_millis),
            request: self.request,
            faults: self.faults.clone(),
        }
    }
}

fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Rounds a time span up to whole seconds, for the `retry-after` header.
fn round_up_seconds(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() > 0)
}

/// Builds a response with a JSON body.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> BufferedReply {
    build_reply(status, "application/json", body)
}

/// Builds the response for a problem.
pub fn problem_reply(problem: &ProblemReply) -> BufferedReply {
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = build_reply(status, "application/problem+json", &problem.details());
    if let Some(span) = problem.retry_after {
        let value = HeaderValue::from(round_up_seconds(span));
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
