//! What the head of an answer says.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::wire::RefusalBody;

/// Marks an answer that says that nothing was done.
const NOT_RUN_HEADER: &str = "hollywheel-not-run";
/// Bounds the answer of a stage that does not stream.
pub(super) const ANSWER_LIMIT: usize = 4 * 1024 * 1024;
/// Bounds the wait that a server may ask for.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Says what kind of answer begins.
pub(super) enum AnswerHead {
    /// The answer of a call that ran.
    Ran(Response<Incoming>),
    /// A refusal before any processing, to be confirmed by its body.
    NotRun(Response<Incoming>),
    /// Anything else.
    Other(StatusCode),
}

/// Sorts an answer by its head.
pub(super) fn read_head(response: Response<Incoming>) -> AnswerHead {
    let status = response.status();
    let refusing = matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    let marked = response
        .headers()
        .get(NOT_RUN_HEADER)
        .is_some_and(|value| value == "true");
    match status {
        StatusCode::OK => AnswerHead::Ran(response),
        _ if refusing && marked => AnswerHead::NotRun(response),
        _ => AnswerHead::Other(status),
    }
}

/// Reads a whole body within the limit; none if it breaks or is larger.
pub(super) async fn read_body(response: Response<Incoming>) -> Option<Bytes> {
    Limited::new(response.into_body(), ANSWER_LIMIT)
        .collect()
        .await
        .ok()
        .map(|body| body.to_bytes())
}

/// Reads the body of a refusal; none if it is not whole.
pub(super) async fn read_refusal(response: Response<Incoming>) -> Option<RefusalBody> {
    let body = read_body(response).await?;
    serde_json::from_slice(&body).ok()
}

/// Returns the wait that a refusal asks for.
pub(super) fn retry_after(refusal: &RefusalBody) -> Duration {
    Duration::from_millis(refusal.retry_after_ms).min(LONGEST_RETRY_AFTER)
}
