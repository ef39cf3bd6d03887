//! Reads the answer of an engine event by event, and decides whether it is complete.

use std::error::Error;
use std::io;

use bytes::Bytes;
use fail::fail_point;
use http::{Method, StatusCode, header};
use http_body_util::BodyExt;

use hollywheel_serving::EventSplitter;
use hollywheel_types::MonoTime;

use crate::crash_evidence::AnswerEnding;
use crate::limited_body::{ANSWER_LIMIT, BodyFailure, collect_within};
use crate::memory_budget::{MemoryBudget, MemoryShare};
use crate::server_attempt::OpenAnswer;
use crate::stream_place::EngineGuard;

/// A stream that an engine is sending.
pub(crate) struct OpenStream {
    pub(crate) answer: OpenAnswer,
    cutter: EventSplitter,
    /// Memory of the incomplete event.
    share: MemoryShare,
    /// Last event that the caller has received; events up to it are not forwarded again.
    after: Option<u64>,
    /// Record of the request on an engine that was chosen by the estimate.
    pub(crate) placed: Option<EngineGuard>,
    /// Number of events dropped because the caller had already received them.
    pub(crate) repeated: usize,
    /// Events that were read and not yet forwarded.
    pub(crate) chunk: Option<Bytes>,
    pub(crate) ended: bool,
    /// Whether the answer has contained a complete event other than a comment.
    has_event: bool,
    content: AnswerContent,
    /// When the first event had arrived.
    pub(crate) begun_at: MonoTime,
    /// Whether the engine has been writing for longer than an early crash takes.
    pub(crate) outlasted: bool,
}

/// What an answer with a success status holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerContent {
    /// Events, of which the last one has to be complete.
    Events,
    /// Anything else, which is complete if its framing is.
    Other,
}

impl AnswerContent {
    /// Determines the content from the head of an answer. Events are what a streaming pipeline answers
    /// with unless the head says otherwise.
    fn of(answer: &OpenAnswer, method: &Method) -> Self {
        let has_no_body = matches!(
            answer.status,
            StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT
        );
        let media_type = answer.headers.get(header::CONTENT_TYPE);
        let is_other = media_type.is_some_and(|media_type| {
            let mut fields = media_type.as_bytes().split(|byte| *byte == b';');
            let essence = fields.next().unwrap_or_default().trim_ascii();
            !essence.eq_ignore_ascii_case(b"text/event-stream")
        });
        if has_no_body || is_other || *method == Method::HEAD {
            Self::Other
        } else {
            Self::Events
        }
    }
}

/// Reason why the next event of a stream cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamFailure {
    /// The connection ended or was reset before the end of the stream.
    Broken,
    /// The engine could no longer be reached.
    Unreachable,
    /// The server ended the stream in order, within an event or without one.
    Incomplete,
    /// An event exceeds the maximum event size.
    Overlong,
    /// Other bodies take the memory that an event needs.
    NoMemory,
}

impl StreamFailure {
    /// Returns the failure that an error of the connection stands for.
    fn of(error: &hyper::Error) -> Self {
        let cause = error
            .source()
            .and_then(|cause| cause.downcast_ref::<io::Error>());
        match cause.map(io::Error::kind) {
            Some(
                io::ErrorKind::TimedOut
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable,
            ) => Self::Unreachable,
            _ => Self::Broken,
        }
    }

    /// Returns whether the connection to the engine is lost.
    pub(crate) const fn is_lost_server(self) -> bool {
        matches!(self, Self::Broken | Self::Unreachable)
    }

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Broken => "the stream ended early",
            Self::Unreachable => "the engine could not be reached any more",
            Self::Incomplete => "the stream ended within an event",
            Self::Overlong => "an event of the stream exceeds the size limit",
            Self::NoMemory => "the memory for bodies is used up",
        }
    }
}

impl OpenStream {
    pub(crate) fn new(
        answer: OpenAnswer,
        method: &Method,
        after: Option<u64>,
        share: MemoryShare,
    ) -> Self {
        Self {
            content: AnswerContent::of(&answer, method),
            answer,
            cutter: EventSplitter::new(),
            share,
            after,
            placed: None,
            repeated: 0,
            chunk: None,
            ended: false,
            has_event: false,
            begun_at: MonoTime::default(),
            outlasted: false,
        }
    }

    /// Reads an answer that is no stream completely.
    ///
    /// # Errors
    ///
    /// Returns [`BodyFailure`] if the answer is truncated, too long or finds no memory.
    pub(crate) async fn read_whole(&mut self, memory: &MemoryBudget) -> Result<(), BodyFailure> {
        let body = collect_within(&mut self.answer.body, ANSWER_LIMIT, memory).await?;
        self.chunk = (!body.is_empty()).then_some(body);
        self.content = AnswerContent::Other;
        self.ended = true;
        Ok(())
    }

    /// Returns what the end of the answer says about the engine.
    pub(crate) fn ending(&self) -> AnswerEnding {
        match self.answer.ending() {
            AnswerEnding::Complete if self.content == AnswerContent::Events && !self.has_event => {
                AnswerEnding::Unwritten
            }
            ending => ending,
        }
    }

    /// Reads until at least one new event is complete; `None` if the stream has ended.
    ///
    /// Bytes after the last complete event mean that the stream was cut within an event, however its
    /// end is marked. They are forwarded only if the answer is no stream at all: its head names other
    /// content, it holds no event and continues none.
    ///
    /// # Errors
    ///
    /// Returns [`StreamFailure`] if the stream broke or an event is too long.
    pub(crate) async fn read_events(&mut self) -> Result<Option<Bytes>, StreamFailure> {
        loop {
            let Some(frame) = self.answer.body.frame().await else {
                let rest = Bytes::copy_from_slice(self.cutter.rest());
                self.check_end(&rest)?;
                self.ended = true;
                return Ok((!rest.is_empty()).then_some(rest));
            };
            fail_point!("stream.frame");
            let frame = frame.map_err(|error| StreamFailure::of(&error))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let mut events = self.cutter.take(&data);
            self.has_event |= events.iter().any(|event| !event.is_comment());
            if self.cutter.is_overlong() {
                return Err(StreamFailure::Overlong);
            }
            if !self.share.resize(self.cutter.rest().len()) {
                return Err(StreamFailure::NoMemory);
            }
            let count = events.len();
            events.retain(|event| event.id.is_none() || event.id > self.after);
            self.repeated += count - events.len();
            if !events.is_empty() {
                let bytes = events.into_iter().flat_map(|event| event.bytes);
                return Ok(Some(bytes.collect()));
            }
        }
    }

    /// Checks that the stream is complete, given the bytes after its last complete event.
    ///
    /// # Errors
    ///
    /// Returns [`StreamFailure`] if the stream was cut off.
    fn check_end(&self, rest: &Bytes) -> Result<(), StreamFailure> {
        let continues = self.after.is_some();
        let is_marked = self.answer.ending() == AnswerEnding::Complete;
        let is_other = self.content == AnswerContent::Other;
        if is_other && is_marked && !self.has_event && !continues {
            return Ok(());
        }
        // Only a stream that continues another one may add nothing to it. At the end of a connection that
        // is no proof: the server may have crashed.
        let may_be_empty = continues && is_marked;
        if rest.is_empty() && (self.has_event || may_be_empty) {
            return Ok(());
        }
        Err(if is_marked {
            StreamFailure::Incomplete
        } else {
            StreamFailure::Broken
        })
    }
}
