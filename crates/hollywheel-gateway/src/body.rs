//! Body of a response to a caller.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

/// Chunks of a streamed response. Dropping the stream cancels the attempt that it reads from.
pub(crate) type ChunkStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// Body of a response to a caller.
pub(crate) enum AnswerBody {
    /// A complete body.
    Whole(Full<Bytes>),
    /// Chunks that are forwarded as they arrive. An error closes the connection, so that the
    /// caller does not take a truncated answer for a complete one.
    Stream(ChunkStream),
}

impl AnswerBody {
    pub(crate) fn empty() -> Self {
        Self::Whole(Full::new(Bytes::new()))
    }

    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Whole(body) => match Pin::new(body).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
                Poll::Ready(Some(Err(never))) => match never {},
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Pending => Poll::Pending,
            },
            Self::Stream(stream) => stream
                .as_mut()
                .poll_next(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
