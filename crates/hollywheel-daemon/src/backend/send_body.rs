//! Request body that signals when the connection starts to write it.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// Flag that is set when the connection starts to write a body.
#[derive(Clone, Debug, Default)]
pub(super) struct WrittenFlag(Arc<AtomicBool>);

impl WrittenFlag {
    pub(super) fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Complete request body that sets a flag when the connection starts to write it.
#[derive(Debug, Default)]
pub(super) struct SendBody {
    content: Option<Bytes>,
    written: WrittenFlag,
}

impl SendBody {
    pub(super) fn new(content: Bytes) -> Self {
        Self {
            content: Some(content),
            written: WrittenFlag::default(),
        }
    }

    /// Returns the flag that is set when the connection starts to write the body.
    pub(super) fn written(&self) -> WrittenFlag {
        self.written.clone()
    }
}

impl Body for SendBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.written.0.store(true, Ordering::Release);
        Poll::Ready(self.content.take().map(|content| Ok(Frame::data(content))))
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let size = self.content.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(size as u64)
    }
}
