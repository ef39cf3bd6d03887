//! Connections whose reads are bounded per poll, and between two pieces of content.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};

/// Number of bytes read in one poll before other tasks run. The HTTP library parses framing byte by
/// byte and would go on for as long as the peer sends.
const TURN_BYTES: usize = 8 * 1024;
/// Maximum number of bytes read before the content that they belong to is delivered. It covers the
/// largest head and the read-ahead of the HTTP library, 64 kB each.
const MAX_UNDELIVERED: usize = 256 * 1024;
/// Framing allowed per byte of content; a chunk of one byte has six times its size.
const FRAMING_FACTOR: usize = 16;

/// Counts the bytes of an answer that were read and not delivered as content, and those of its request
/// that were written.
#[derive(Debug)]
pub(crate) struct ReadMeter {
    left: Cell<usize>,
    /// Bytes of the current request that the kernel has taken.
    written: Cell<usize>,
    /// Size of the body of the current request.
    upload: Cell<usize>,
}

impl ReadMeter {
    fn new() -> Rc<Self> {
        Rc::new(Self {
            left: Cell::new(MAX_UNDELIVERED),
            written: Cell::new(0),
            upload: Cell::new(0),
        })
    }

    /// Starts to count for the next request on the connection, with a body of the given size, and
    /// its answer.
    pub(crate) fn restart(&self, upload: usize) {
        self.left.set(MAX_UNDELIVERED);
        self.written.set(0);
        self.upload.set(upload);
    }

    /// Returns whether the kernel has taken a byte of the current request.
    pub(crate) const fn has_written(&self) -> bool {
        self.written.get() > 0
    }

    /// Returns whether a part of the request's body was certainly not written.
    const fn is_uploading(&self) -> bool {
        self.written.get() < self.upload.get()
    }

    /// Counts bytes that were read; returns whether they are within the bound.
    fn note_read(&self, count: usize) -> bool {
        let left = self.left.get().checked_sub(count);
        self.left.set(left.unwrap_or(0));
        left.is_some()
    }

    /// Counts content that was delivered, and its framing.
    fn note_content(&self, count: usize) {
        let credit = count.saturating_mul(1 + FRAMING_FACTOR);
        let left = self.left.get().saturating_add(credit);
        self.left.set(left.min(MAX_UNDELIVERED));
    }
}

/// A TCP connection that yields to other tasks after each [`TURN_BYTES`], and fails if its peer
/// sends too many bytes without content.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    /// Bytes read since the last yield.
    turn: usize,
    /// Task that ends once other tasks had a turn. The HTTP library polls a connection several times
    /// before it returns to the executor, so a single `Pending` is not enough.
    yielded: Option<JoinHandle<()>>,
    meter: Option<Rc<ReadMeter>>,
}

impl MeteredStream {
    /// Creates a connection whose reads yield, without a bound on bytes without content.
    pub(crate) const fn yielding(stream: TcpStream) -> Self {
        Self {
            stream,
            turn: 0,
            yielded: None,
            meter: None,
        }
    }

    /// Creates a connection whose reads yield and are metered.
    pub(crate) fn metered(stream: TcpStream) -> (Self, Rc<ReadMeter>) {
        let meter = ReadMeter::new();
        let metered = Self {
            stream,
            turn: 0,
            yielded: None,
            meter: Some(Rc::clone(&meter)),
        };
        (metered, meter)
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl MeteredStream {
    /// Notes that the kernel has taken bytes.
    fn note_write(&self, written: &Poll<io::Result<usize>>) {
        if let (Some(meter), Poll::Ready(Ok(count))) = (&self.meter, written) {
            meter
                .written
                .set(meter.written.get().saturating_add(*count));
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.turn >= TURN_BYTES {
            let yielded = this.yielded.get_or_insert_with(|| spawn_local(async {}));
            // Its failure, at the end of the process, means that it runs no more.
            let _ = ready!(Pin::new(yielded).poll(context));
            this.yielded = None;
            this.turn = 0;
        }
        // The buffer may be larger than what is left of the turn.
        let size = buffer.remaining().min(TURN_BYTES - this.turn);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        let read = Pin::new(&mut this.stream).poll_read(context, &mut part);
        if read.is_pending() {
            this.turn = 0;
        }
        ready!(read)?;
        let count = part.filled().len();
        buffer.advance(count);
        this.turn += count;
        // The end of the connection also ends an answer without a length. A server that ends it while
        // it is being written to has not finished the request.
        if count == 0
            && size > 0
            && this
                .meter
                .as_ref()
                .is_some_and(|meter| meter.is_uploading())
        {
            let error = io::Error::new(io::ErrorKind::UnexpectedEof, "end within the request");
            return Poll::Ready(Err(error));
        }
        let is_within = this
            .meter
            .as_ref()
            .is_none_or(|meter| meter.note_read(count));
        if !is_within {
            let error = io::Error::new(io::ErrorKind::InvalidData, "framing without content");
            return Poll::Ready(Err(error));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.note_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.note_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

/// The body of an answer on a metered connection.
#[derive(Debug)]
pub(crate) struct MeteredBody {
    body: Incoming,
    meter: Rc<ReadMeter>,
}

impl MeteredBody {
    pub(crate) const fn new(body: Incoming, meter: Rc<ReadMeter>) -> Self {
        Self { body, meter }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let frame = Pin::new(&mut this.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &frame
            && let Some(data) = frame.data_ref()
        {
            this.meter.note_content(data.len());
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
