//! One HTTP call to the platform and how it ended.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};

/// Marks an answer that says that nothing was done.
const NOT_RUN_HEADER: &str = "hollywheel-not-run";

const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Says how one call ended.
#[derive(Debug)]
pub(crate) enum CallEnd {
    /// A whole answer with status 200.
    Answer(Bytes),
    /// The answer says that there is no such thing.
    Missing,
    /// Nothing was done.
    Refused(Duration),
    /// Anything else.
    Unknown,
}

/// Sends one call, once, and reads the whole answer.
pub(crate) async fn send_call(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    answer_limit: usize,
) -> CallEnd {
    let call = async {
        match client.request(request).await {
            Ok(response) => read_answer(response, answer_limit).await,
            Err(error) if was_never_sent(&error) => CallEnd::Refused(DEFAULT_RETRY_AFTER),
            Err(_) => CallEnd::Unknown,
        }
    };
    tokio::time::timeout(timeout, call)
        .await
        .unwrap_or(CallEnd::Unknown)
}

/// Says whether no byte of the request can have left this host.
fn was_never_sent(error: &Error) -> bool {
    if error.is_connect() {
        return true;
    }
    // The connection hands a request back as cancelled only if it was not taken from its queue.
    std::error::Error::source(error)
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}

async fn read_answer(response: Response<Incoming>, limit: usize) -> CallEnd {
    let status = response.status();
    if is_not_run(status, response.headers()) {
        return CallEnd::Refused(retry_after(response.headers()));
    }
    match status {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return CallEnd::Missing,
        _ => return CallEnd::Unknown,
    }
    match Limited::new(response.into_body(), limit).collect().await {
        Ok(body) => CallEnd::Answer(body.to_bytes()),
        Err(_) => CallEnd::Unknown,
    }
}

fn is_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    let refusing = matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    );
    refusing && headers.get(NOT_RUN_HEADER).is_some_and(|v| v == "true")
}

fn retry_after(headers: &HeaderMap) -> Duration {
    headers
        .get(http::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
        .min(LONGEST_RETRY_AFTER)
}
