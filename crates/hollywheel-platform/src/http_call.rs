//! A single HTTP call to the platform and its outcome.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};

/// Response header that is `true` if the platform did not execute the call.
const NOT_RUN_HEADER: &str = "hollywheel-not-run";

const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Outcome of one call.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// The complete body of a response with status 200.
    Response(Bytes),
    /// The response has status 404.
    Missing,
    /// The call was not executed; holds the delay after which it may be retried.
    Rejected(Duration),
    /// The call may have been executed: its response was lost, late, incomplete or an error.
    Unknown,
}

/// Sends a call without retrying it and reads the complete response.
pub(crate) async fn send_call(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    body_limit: usize,
) -> CallOutcome {
    let call = async {
        match client.request(request).await {
            Ok(response) => read_response(response, body_limit).await,
            Err(error) if was_never_sent(&error) => CallOutcome::Rejected(DEFAULT_RETRY_AFTER),
            Err(_) => CallOutcome::Unknown,
        }
    };
    tokio::time::timeout(timeout, call)
        .await
        .unwrap_or(CallOutcome::Unknown)
}

/// Returns whether no byte of the request can have left this host.
fn was_never_sent(error: &Error) -> bool {
    if error.is_connect() {
        return true;
    }
    // hyper reports a request as cancelled only if the connection had not dequeued it yet.
    std::error::Error::source(error)
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}

async fn read_response(response: Response<Incoming>, body_limit: usize) -> CallOutcome {
    let status = response.status();
    if is_not_run(status, response.headers()) {
        return CallOutcome::Rejected(decode_retry_after(response.headers()));
    }
    match status {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return CallOutcome::Missing,
        _ => return CallOutcome::Unknown,
    }
    match Limited::new(response.into_body(), body_limit)
        .collect()
        .await
    {
        Ok(body) => CallOutcome::Response(body.to_bytes()),
        Err(_) => CallOutcome::Unknown,
    }
}

/// Returns whether the response declares that the call was not executed.
fn is_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    let is_rejection = matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    is_rejection && headers.get(NOT_RUN_HEADER).is_some_and(|v| v == "true")
}

/// Decodes `Retry-After` in seconds, limited to [`MAX_RETRY_AFTER`].
fn decode_retry_after(headers: &HeaderMap) -> Duration {
    headers
        .get(http::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
        .min(MAX_RETRY_AFTER)
}
