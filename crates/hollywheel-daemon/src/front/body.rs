//! The body of an answer to a caller.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::{Stream, TryStreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, SizeHint};

use super::activity::CallGuard;

/// Holds an answer and counts its call until it is written or dropped.
#[derive(Debug)]
pub(super) struct FrontBody {
    inner: UnsyncBoxBody<Bytes, Infallible>,
    _call: Option<CallGuard>,
}

impl FrontBody {
    /// Holds an answer that is complete.
    pub(super) fn whole(bytes: Bytes) -> Self {
        Self {
            inner: Full::new(bytes).boxed_unsync(),
            _call: None,
        }
    }

    /// Holds an answer that is written as its parts come.
    pub(super) fn stream(
        parts: impl Stream<Item = Result<Bytes, Infallible>> + Send + 'static,
    ) -> Self {
        Self {
            inner: StreamBody::new(parts.map_ok(Frame::data)).boxed_unsync(),
            _call: None,
        }
    }

    /// Counts the call as in progress as long as the body lives.
    pub(super) fn counted(self, call: CallGuard) -> Self {
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
