//! Bodies are read up to a limit, since the other side may send bytes without end.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;

/// The largest answer of a plain service; those described have some kilobytes, and thirty of
/// this size fit into the smallest host described (160 MB).
pub(crate) const ANSWER_LIMIT: usize = 8 * 1024 * 1024;
/// The largest answer to a call for pieces: a result takes below 100 bytes, and calls hold some
/// hundred.
pub(crate) const PIECES_LIMIT: usize = 1024 * 1024;
/// The largest answer whose body tells nothing, as that of a refusal.
pub(crate) const SMALL_LIMIT: usize = 64 * 1024;
/// The largest answer of the store, whose pages have about 1 MB, and of another host, which may
/// hold a configuration and all servers.
pub(crate) const DOCUMENT_LIMIT: usize = 16 * 1024 * 1024;

/// Says why a body was not read to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFailure {
    /// It is larger than the limit.
    TooLarge,
    /// Its connection broke, or its end is missing.
    Broken,
}

impl BodyFailure {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "the body is larger than the limit",
            Self::Broken => "the body ended early",
        }
    }
}

/// Reads a whole body.
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
