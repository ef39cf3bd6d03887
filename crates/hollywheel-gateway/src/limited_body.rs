//! Reads bodies up to a size limit, to bound the memory that a peer can make this process use.

use std::cell::Cell;
use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout;

use hollywheel_serving::BodyBuffer;

use crate::memory_budget::{MemoryBudget, MemoryShare};

/// Maximum size of the answer to a non-streaming call, in bytes. Usual answers have some kilobytes.
pub(crate) const ANSWER_LIMIT: usize = 8 * 1024 * 1024;
/// Maximum size of the answer to a batched stage call, or of another host's to a call, in bytes. A
/// result takes less than 100 bytes, and a call has some hundred.
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
    /// Other bodies take the memory that the body needs.
    NoMemory,
}

impl BodyFailure {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::TooLarge => "the body exceeds the size limit",
            Self::Broken => "the body is truncated",
            Self::Stalled => "the body stopped arriving",
            Self::NoMemory => "the memory for bodies is used up",
        }
    }
}

/// Reads a body completely within the memory that all bodies share. The returned bytes count
/// towards it until they are dropped.
///
/// # Errors
///
/// Returns [`BodyFailure`] if the body exceeds `limit` bytes or the memory, or is truncated.
pub(crate) async fn collect_within<B>(
    body: B,
    limit: usize,
    memory: &MemoryBudget,
) -> Result<Bytes, BodyFailure>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let mut share = memory.share();
    let mut collected = BodyBuffer::default();
    let mut body = pin!(body);
    while let Some(data) = next_data(body.as_mut()).await? {
        append(&mut collected, &data, limit, Some(&mut share))?;
    }
    // A share may always shrink.
    let _ = share.resize(collected.len());
    Ok(share.hold(collected.into_vec()))
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
    let mut collected = BodyBuffer::default();
    let mut body = pin!(body);
    loop {
        let data = timeout(stall_time, next_data(body.as_mut())).await;
        let Some(data) = data.map_err(|_| BodyFailure::Stalled)?? else {
            return Ok(Bytes::from(collected.into_vec()));
        };
        received.set(received.get() + data.len());
        append(&mut collected, &data, limit, None)?;
    }
}

/// Returns the next data of a body; none at its end.
async fn next_data<B>(mut body: Pin<&mut B>) -> Result<Option<Bytes>, BodyFailure>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    while let Some(frame) = body.as_mut().frame().await {
        let frame = frame.map_err(|_| BodyFailure::Broken)?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Appends data to a body. The data is copied: a frame of one byte keeps a buffer of kilobytes.
fn append(
    collected: &mut BodyBuffer,
    data: &Bytes,
    limit: usize,
    share: Option<&mut MemoryShare>,
) -> Result<(), BodyFailure> {
    if collected.len() + data.len() > limit {
        return Err(BodyFailure::TooLarge);
    }
    let memory = collected.memory_with(data.len());
    if share.is_some_and(|share| !share.resize(memory)) {
        return Err(BodyFailure::NoMemory);
    }
    collected.append(data);
    Ok(())
}
