//! Response body of the listener for callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::{Stream, TryStreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, SizeHint};

use super::activity::CallGuard;

/// Response body that counts its call as in progress until it is written or dropped.
#[derive(Debug)]
pub(super) struct FrontBody {
    inner: UnsyncBoxBody<Bytes, Infallible>,
    _call: Option<CallGuard>,
}

impl FrontBody {
    /// Creates a body from a complete answer.
    pub(super) fn buffered(bytes: Bytes) -> Self {
        Self {
            inner: Full::new(bytes).boxed_unsync(),
            _call: None,
        }
    }

    /// Creates a body that sends the chunks of a stream as they arrive.
    pub(super) fn chunked(
        chunks: impl Stream<Item = Result<Bytes, Infallible>> + Send + 'static,
    ) -> Self {
        Self {
            inner: StreamBody::new(chunks.map_ok(Frame::data)).boxed_unsync(),
            _call: None,
        }
    }

    /// Attaches the guard that counts the call as in progress until the body is dropped.
    pub(super) fn with_call(self, call: CallGuard) -> Self {
        Self {
            _call: Some(call),
            ..self
        }
    }
}

impl Body for FrontBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
