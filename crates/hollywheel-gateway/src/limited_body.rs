//! Reads bodies up to a size limit, to bound the memory that a peer can make this process use.

use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use tokio::time::timeout;

/// Maximum size of the answer to a non-streaming call, in bytes. Usual answers have some kilobytes;
/// the smallest supported host (160 MB) can hold thirty answers of this size.
pub(crate) const ANSWER_LIMIT: usize = 8 * 1024 * 1024;
/// Maximum size of the answer to a batched stage call, in bytes. A result takes less than 100
/// bytes, and a call has some hundred.
pub(crate) const PIECES_LIMIT: usize = 1024 * 1024;
/// Maximum size of an answer whose body is discarded, such as a refusal, in bytes.
pub(crate) const SMALL_LIMIT: usize = 64 * 1024;
/// Maximum size, in bytes, of an answer of the store, whose pages have about 1 MB, and of another
/// host, which may contain a configuration and all servers.
pub(crate) const DOCUMENT_LIMIT: usize = 16 * 1024 * 1024;

/// Time without a byte after which the rest of a body counts as lost. A packet lost on a lossy link is
/// sent again within some hundred milliseconds.
pub(crate) const STALL_TIME: Duration = Duration::from_millis(600);

/// Reason why a body was not read completely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFailure {
    /// The body exceeds the size limit.
    TooLarge,
    /// The connection failed or closed before the end of the body.
    Broken,
    /// Nothing arrived for too long.
    Stalled,
}

impl BodyFailure {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "the body exceeds the size limit",
            Self::Broken => "the body is truncated",
            Self::Stalled => "the body stopped arriving",
        }
    }
}

/// Reads a body completely.
///
/// # Errors
///
/// Returns [`BodyFailure`] if the body exceeds `limit` bytes or is truncated.
pub(crate) async fn collect_body<B>(body: B, limit: usize) -> Result<Bytes, BodyFailure>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyFailure::TooLarge),
        Err(_) => Err(BodyFailure::Broken),
    }
}

/// Reads a body completely as long as it makes progress: it fails once nothing has arrived for
/// `stall_time`. Counts the bytes that have arrived, which are known also after a failure.
///
/// # Errors
///
/// Returns [`BodyFailure`] if the body exceeds `limit` bytes, stalls or is truncated.
pub(crate) async fn collect_steadily<B>(
    body: B,
    limit: usize,
    stall_time: Duration,
    received: &Cell<usize>,
) -> Result<Bytes, BodyFailure>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let mut body = pin!(body);
    let mut collected = BytesMut::new();
    loop {
        let frame = timeout(stall_time, body.as_mut().frame()).await;
        let Some(frame) = frame.map_err(|_| BodyFailure::Stalled)? else {
            return Ok(collected.freeze());
        };
        let frame = frame.map_err(|_| BodyFailure::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        received.set(received.get() + data.len());
        if received.get() > limit {
            return Err(BodyFailure::TooLarge);
        }
        collected.extend_from_slice(&data);
    }
}
