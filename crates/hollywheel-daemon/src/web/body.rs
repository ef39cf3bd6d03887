//! Reading of request bodies within bounds.

use std::fmt;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, TryStream, TryStreamExt, stream};
use xitca_web::body::{BodyExt, RequestBody};
use xitca_web::error::BodyError;

/// Bounds the time in which a caller must send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Bounds the bytes that are read and dropped after a call was rejected.
const DISCARD_LIMIT: usize = 8 * 1024 * 1024;
/// Bounds the time for that.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Says why a body was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyReadError {
    /// It is larger than the limit.
    TooLarge {
        /// The limit in bytes.
        limit: u64,
    },
    /// The connection broke.
    Broken,
    /// It did not arrive in time.
    TooSlow,
}

impl fmt::Display for BodyReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { limit } => {
                write!(f, "the body is larger than {limit} bytes")
            }
            Self::Broken => f.write_str("the body broke off"),
            Self::TooSlow => write!(
                f,
                "the body did not arrive within {} s",
                BODY_TIMEOUT.as_secs()
            ),
        }
    }
}

impl std::error::Error for BodyReadError {}

/// Returns the parts of a body that an operator sends.
pub fn operator_body_stream(
    body: &mut RequestBody,
) -> impl Stream<Item = Result<Bytes, BodyError>> + Unpin + '_ {
    Box::pin(stream::unfold(body, |body| async {
        let part = body.data().await?;
        Some((part, body))
    }))
}

/// Reads a whole body.
///
/// # Errors
///
/// Returns [`BodyReadError`] if the body is too large, breaks off or is slow.
pub async fn read_body(
    body: &mut (impl TryStream<Ok = Bytes> + Unpin),
    limit: u64,
) -> Result<Bytes, BodyReadError> {
    tokio::time::timeout(BODY_TIMEOUT, read_parts(body, limit))
        .await
        .unwrap_or(Err(BodyReadError::TooSlow))
}

async fn read_parts(
    body: &mut (impl TryStream<Ok = Bytes> + Unpin),
    limit: u64,
) -> Result<Bytes, BodyReadError> {
    let mut content = BytesMut::new();
    while let Some(part) = body.try_next().await.map_err(|_| BodyReadError::Broken)? {
        if (content.len() + part.len()) as u64 > limit {
            return Err(BodyReadError::TooLarge { limit });
        }
        content.extend_from_slice(&part);
    }
    Ok(content.freeze())
}

/// Reads and drops the rest of a body, within bounds. Closing a connection with bytes unread
/// resets it, and the caller would lose the answer that says why.
pub async fn discard_body(body: &mut (impl TryStream<Ok = Bytes> + Unpin)) {
    let discard = async {
        let mut dropped = 0;
        while let Ok(Some(part)) = body.try_next().await {
            dropped += part.len();
            if dropped > DISCARD_LIMIT {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
}
