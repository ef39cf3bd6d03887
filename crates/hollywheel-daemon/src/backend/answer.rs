//! Classification of the responses of backend servers.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::wire::RefusalBody;

/// Header that a backend server sets to `true` if it refused a call before processing any of it.
const NOT_RUN_HEADER: &str = "hollywheel-not-run";
/// Maximum size in bytes of a response body that is not streamed.
pub(super) const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Maximum retry delay accepted from a backend server; longer ones are shortened to it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Kind of a response, as far as its status and headers tell.
pub(super) enum ResponseKind {
    /// Response of a call that was executed.
    Ran(Response<Incoming>),
    /// Refusal before any processing, which its body must confirm.
    NotRun(Response<Incoming>),
    /// Response with any other status, or a refusal without the header.
    Other(StatusCode),
}

/// Classifies a response by its status and headers.
pub(super) fn classify_response(response: Response<Incoming>) -> ResponseKind {
    let status = response.status();
    let refusal_status = matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    let marked = response
        .headers()
        .get(NOT_RUN_HEADER)
        .is_some_and(|value| value == "true");
    match status {
        StatusCode::OK => ResponseKind::Ran(response),
        _ if refusal_status && marked => ResponseKind::NotRun(response),
        _ => ResponseKind::Other(status),
    }
}

/// Reads a complete body; returns `None` if the connection breaks or the body is too large.
pub(super) async fn read_body(response: Response<Incoming>) -> Option<Bytes> {
    Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .ok()
        .map(|body| body.to_bytes())
}

/// Reads the body of a refusal; returns `None` if it is incomplete or not valid.
pub(super) async fn read_refusal(response: Response<Incoming>) -> Option<RefusalBody> {
    let body = read_body(response).await?;
    serde_json::from_slice(&body).ok()
}

/// Returns the retry delay of a refusal, limited to [`MAX_RETRY_AFTER`].
pub(super) fn retry_after(refusal: &RefusalBody) -> Duration {
    Duration::from_millis(refusal.retry_after_ms).min(MAX_RETRY_AFTER)
}
