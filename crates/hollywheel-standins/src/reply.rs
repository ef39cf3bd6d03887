//! Reading of request bodies and building of replies.

use std::fmt;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a request body, in bytes.
pub(crate) const BODY_BYTES: usize = 16 * 1024 * 1024;

/// Header that marks a refused call that had no effect.
pub(crate) const NOT_RUN: &str = "hollywheel-not-run";

/// Error that closes the connection without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CutConnection;

impl fmt::Display for CutConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is cut by a fault order")
    }
}

impl std::error::Error for CutConnection {}

pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, CutConnection>;
pub(crate) type Reply = Response<ReplyBody>;

/// Result of a call; an error closes the connection.
pub(crate) type ReplyResult = Result<Reply, CutConnection>;

pub(crate) fn bytes_reply(status: StatusCode, kind: &'static str, body: Bytes) -> Reply {
    let body = Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

pub(crate) fn json_reply(status: StatusCode, body: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(body).expect("replies hold only writable fields");
    bytes_reply(status, "application/json", body.into())
}

pub(crate) fn text_reply(status: StatusCode, text: impl Into<String>) -> Reply {
    bytes_reply(status, "text/plain", Bytes::from(text.into()))
}

/// Returns a refusal that states that the call had no effect.
pub(crate) fn not_run_reply(status: StatusCode, body: &impl Serialize) -> Reply {
    let mut reply = json_reply(status, body);
    let headers = reply.headers_mut();
    headers.insert(NOT_RUN, HeaderValue::from_static("true"));
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    reply
}

pub(crate) async fn read_bytes(body: Incoming) -> Result<Bytes, Reply> {
    let read = Limited::new(body, BODY_BYTES).collect().await;
    match read {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) => Err(text_reply(
            StatusCode::BAD_REQUEST,
            format!("body: {error}; expected at most {BODY_BYTES} bytes"),
        )),
    }
}

pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Reply> {
    let body = read_bytes(body).await?;
    serde_json::from_slice(&body)
        .map_err(|error| text_reply(StatusCode::BAD_REQUEST, format!("body: {error}")))
}
