//! Forwards the complete events of a stream, and resumes a broken stream at another engine.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::{StatusCode, header};
use http_body_util::BodyExt;
use tokio::time::timeout;

use hollywheel_serving::EventSplitter;
use hollywheel_types::ExecutionVerdict;

use crate::respond::RequestOutcome;
use crate::server_attempt::{AttemptFailure, OpenAnswer, record_attempt_failure};
use crate::stream_call::StreamJob;

/// Multiple of the objective for pauses between events after which a silent resumable stream is
/// moved to another engine; callers disconnect after eight times the objective.
const SILENCE_FACTOR: u32 = 5;
/// Shortest silence after which a stream is moved, however small its objective.
const MIN_SILENCE: Duration = Duration::from_millis(1000);

const SILENT_OR_EXPIRED: &str = "the stream was silent too long or reached its deadline";

/// A stream that an engine is sending.
pub(crate) struct OpenStream {
    pub(crate) answer: OpenAnswer,
    cutter: EventSplitter,
    /// Last event that the caller has received; events up to it are not forwarded again.
    after: Option<u64>,
    /// Number of events dropped because the caller had already received them.
    pub(crate) repeated: usize,
    /// Events that were read and not yet forwarded.
    pub(crate) chunk: Option<Bytes>,
    ended: bool,
    /// Whether the answer has contained a complete event.
    has_event: bool,
    /// Whether the close of the connection is the only mark of the end of the stream.
    ends_at_close: bool,
}

/// Reason why the next event of a stream cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamFailure {
    /// The connection failed, or the stream ended within an event.
    Broken,
    /// An event exceeds the maximum event size.
    Overlong,
}

impl StreamFailure {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Broken => "the stream ended early",
            Self::Overlong => "an event of the stream exceeds the size limit",
        }
    }
}

impl OpenStream {
    pub(crate) fn new(answer: OpenAnswer, after: Option<u64>) -> Self {
        let length_headers = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
        Self {
            ends_at_close: !length_headers
                .iter()
                .any(|name| answer.headers.contains_key(name)),
            answer,
            cutter: EventSplitter::new(),
            after,
            repeated: 0,
            chunk: None,
            ended: false,
            has_event: false,
        }
    }

    /// Reads until at least one new event is complete; `None` if the stream has ended.
    ///
    /// Bytes after the last complete event mean that the stream was cut within an event. They are
    /// forwarded only if the answer is no stream at all: it holds no event, continues none, and its
    /// headers mark its end.
    ///
    /// # Errors
    ///
    /// Returns [`StreamFailure`] if the stream broke or an event is too long.
    pub(crate) async fn read_events(&mut self) -> Result<Option<Bytes>, StreamFailure> {
        loop {
            let Some(frame) = self.answer.body.frame().await else {
                let rest = Bytes::copy_from_slice(self.cutter.rest());
                let is_stream = self.ends_at_close || self.has_event || self.after.is_some();
                // A stream that ends with its connection has at least one event, also one that is resumed.
                let is_empty = self.ends_at_close && !self.has_event;
                if is_stream && !rest.is_empty() || is_empty {
                    return Err(StreamFailure::Broken);
                }
                self.ended = true;
                return Ok((!rest.is_empty()).then_some(rest));
            };
            let frame = frame.map_err(|_| StreamFailure::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let mut events = self.cutter.take(&data);
            self.has_event |= !events.is_empty();
            if self.cutter.is_overlong() {
                return Err(StreamFailure::Overlong);
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
}

/// State of a stream that is forwarded to its caller, and resumed at another engine where the
/// pipeline allows it.
pub(crate) struct ForwardState {
    pub(crate) job: StreamJob,
    pub(crate) stream: Option<OpenStream>,
    /// Whether silence is accepted up to the deadline, since no other engine can resume the
    /// stream.
    pub(crate) tolerates_silence: bool,
}

impl ForwardState {
    /// Returns the next bytes for the caller. An error closes the connection, so that the caller
    /// does not take a truncated answer for a complete one.
    pub(crate) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let stream = self.stream.as_mut()?;
            if let Some(chunk) = stream.chunk.take() {
                self.record_last_event(&chunk);
                return Some(Ok(chunk));
            }
            if stream.ended {
                self.finish();
                return None;
            }
            let limit = self.read_limit();
            if limit.is_zero() {
                // `timeout` polls the read first, so a stream that always has data would never
                // time out below.
                self.job.reason = SILENT_OR_EXPIRED;
            } else {
                let read = timeout(limit, self.stream.as_mut()?.read_events()).await;
                self.job.reason = match read {
                    Ok(Ok(chunk)) => {
                        self.stream.as_mut()?.chunk = chunk;
                        self.tolerates_silence = false;
                        continue;
                    }
                    Ok(Err(failure)) => failure.name(),
                    Err(_) if self.should_keep_waiting() => {
                        self.tolerates_silence = true;
                        continue;
                    }
                    Err(_) => SILENT_OR_EXPIRED,
                };
            }
            if let Err(error) = self.continue_stream().await {
                return Some(Err(error));
            }
        }
    }

    /// Records the id of the last event in a chunk, after which the stream can resume.
    fn record_last_event(&mut self, chunk: &[u8]) {
        let events = EventSplitter::new().take(chunk).into_iter().rev();
        let id = events.filter_map(|event| event.id).next();
        self.job.last_event = id.or(self.job.last_event);
    }

    /// Returns how long to wait for the next event.
    fn read_limit(&self) -> Duration {
        let context = &self.job.context;
        let time_left = context.deadline.since(self.job.host.now());
        if !context.pipeline.resumable || self.tolerates_silence {
            return time_left;
        }
        let pause = context.pipeline.pause_objective.unwrap_or_default();
        time_left.min((pause * SILENCE_FACTOR).max(MIN_SILENCE))
    }

    /// Returns whether to wait longer for a silent stream, which may just be slow: the deadline
    /// has not passed and no other engine can resume it.
    fn should_keep_waiting(&self) -> bool {
        let job = &self.job;
        let in_time = job.host.now() < job.context.deadline;
        let server = self.stream.as_ref().map(|stream| &stream.answer.server);
        in_time && server.is_some_and(|server| !job.can_continue(server))
    }

    /// Resumes a broken stream after its last event, or ends the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream cannot be resumed; the answer is then incomplete.
    async fn continue_stream(&mut self) -> io::Result<()> {
        let job = &mut self.job;
        if let Some(broken) = self.stream.take() {
            let failure = AttemptFailure {
                verdict: ExecutionVerdict::MayHaveRun,
                received: true,
                lost_server: false,
                reason: job.reason,
            };
            let server = broken.answer.server.clone();
            let sent_at = broken.answer.sent_at;
            record_attempt_failure(
                &job.host,
                &job.context,
                &server,
                job.tries,
                &failure,
                sent_at,
            );
            job.excluded.push(server);
        }
        let time_left = job.context.deadline.since(job.host.now());
        let resumes = job.last_event.is_some() && !time_left.is_zero() && job.may_retry();
        if resumes && let Ok(Ok(stream)) = timeout(time_left, job.open()).await {
            self.stream = Some(stream);
            self.tolerates_silence = false;
            return Ok(());
        }
        job.verdict = ExecutionVerdict::MayHaveRun;
        job.end(RequestOutcome::Broken, StatusCode::OK);
        Err(io::Error::other(job.reason))
    }

    /// Ends a stream that was forwarded completely.
    fn finish(&mut self) {
        if let Some(stream) = self.stream.take() {
            let host = &self.job.host;
            let now = host.now();
            let elapsed = now.since(stream.answer.sent_at);
            let server = stream.answer.server.clone();
            host.loads.borrow_mut().note_success(now, &server, elapsed);
            let context = &self.job.context;
            let taken = now.since(context.arrived);
            let name = &context.pipeline.name;
            host.forecast.borrow_mut().learn_whole(name, taken);
            stream.answer.complete(host);
        }
        self.job.end(RequestOutcome::Answered, StatusCode::OK);
    }
}
