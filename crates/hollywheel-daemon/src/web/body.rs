//! Reading of request bodies with limits on size and time.

use std::fmt;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, TryStream, TryStreamExt, stream};
use xitca_web::body::{BodyExt, RequestBody};
use xitca_web::error::BodyError;

/// Time-out for receiving a complete request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of bytes read and discarded after a call was rejected.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;
/// Maximum time spent on reading and discarding the rest of a body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of reading a request body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyReadError {
    /// The body is larger than the limit.
    TooLarge {
        /// Limit in bytes.
        limit: u64,
    },
    /// The connection broke before the end of the body.
    Broken,
    /// The body did not arrive in time.
    TooSlow,
}

impl fmt::Display for BodyReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { limit } => {
                write!(f, "the body is larger than {limit} bytes")
            }
            Self::Broken => f.write_str("the connection broke before the end of the body"),
            Self::TooSlow => write!(
                f,
                "the body did not arrive within {} s",
                BODY_TIMEOUT.as_secs()
            ),
        }
    }
}

impl std::error::Error for BodyReadError {}

/// Returns the body of an operator's request as a stream of chunks.
pub fn operator_body_stream(
    body: &mut RequestBody,
) -> impl Stream<Item = Result<Bytes, BodyError>> + Unpin + '_ {
    Box::pin(stream::unfold(body, |body| async {
        let chunk = body.data().await?;
        Some((chunk, body))
    }))
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`BodyReadError`] if the body is too large, incomplete or does not arrive in time.
pub async fn read_body(
    body: &mut (impl TryStream<Ok = Bytes> + Unpin),
    limit: u64,
) -> Result<Bytes, BodyReadError> {
    tokio::time::timeout(BODY_TIMEOUT, read_chunks(body, limit))
        .await
        .unwrap_or(Err(BodyReadError::TooSlow))
}

async fn read_chunks(
    body: &mut (impl TryStream<Ok = Bytes> + Unpin),
    limit: u64,
) -> Result<Bytes, BodyReadError> {
    let mut content = BytesMut::new();
    while let Some(chunk) = body.try_next().await.map_err(|_| BodyReadError::Broken)? {
        if (content.len() + chunk.len()) as u64 > limit {
            return Err(BodyReadError::TooLarge { limit });
        }
        content.extend_from_slice(&chunk);
    }
    Ok(content.freeze())
}

/// Reads and discards the rest of a body, with limits on size and time. Closing a connection with
/// unread bytes resets it, and the caller would lose the response.
pub async fn discard_body(body: &mut (impl TryStream<Ok = Bytes> + Unpin)) {
    let discarding = async {
        let mut discarded = 0;
        while let Ok(Some(chunk)) = body.try_next().await {
            discarded += chunk.len();
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
}
