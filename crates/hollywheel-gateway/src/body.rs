//! The body of an answer to a caller.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

/// Holds the chunks of an answer that goes on while they are made. Dropping it cancels the
/// attempt behind it.
pub(crate) type ChunkStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// Holds the body of an answer.
pub(crate) enum AnswerBody {
    /// All of it is there.
    Whole(Full<Bytes>),
    /// It is passed on as it arrives; an error ends the connection, so that what was sent does
    /// not look complete.
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
