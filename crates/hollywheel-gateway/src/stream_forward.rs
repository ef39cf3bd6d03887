//! The passing on of a stream's whole events, and its continuation at another engine.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::{StatusCode, header};
use http_body_util::BodyExt;
use tokio::time::timeout;

use hollywheel_serving::EventCutter;
use hollywheel_types::ExecutionVerdict;

use crate::respond::RequestOutcome;
use crate::server_attempt::{AttemptFailure, OpenAnswer, record_attempt_failure};
use crate::stream_call::StreamJob;

/// A stream that may continue elsewhere and is silent for so many times its pause objective is
/// taken from its engine; callers leave after eight times.
const SILENCE_FACTOR: u32 = 5;
/// The shortest such silence.
const MIN_SILENCE: Duration = Duration::from_millis(1000);

const SILENT_OR_EXPIRED: &str = "the stream was silent or the time was over";

/// Holds a stream whose first event has arrived.
pub(crate) struct OpenStream {
    pub(crate) answer: OpenAnswer,
    cutter: EventCutter,
    /// The last event that the caller has; earlier ones are not passed on again.
    after: Option<u64>,
    /// Events that the caller has already and that the engine sent again.
    pub(crate) repeated: usize,
    pub(crate) chunk: Option<Bytes>,
    ended: bool,
    /// Whether the end of the connection alone tells the end of the stream.
    ends_at_close: bool,
}

/// Says why the next event of a stream can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamFailure {
    /// The stream broke, or ended within an event.
    Broken,
    /// An event is longer than any event may be.
    Overlong,
}

impl StreamFailure {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Broken => "the stream broke",
            Self::Overlong => "an event of the stream has no end",
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
            cutter: EventCutter::new(),
            after,
            repeated: 0,
            chunk: None,
            ended: false,
        }
    }

    /// Reads until at least one event is complete; none if the stream has ended. What follows
    /// the last event of a stream whose end is told is part of it.
    pub(crate) async fn read_events(&mut self) -> Result<Option<Bytes>, StreamFailure> {
        loop {
            let Some(frame) = self.answer.body.frame().await else {
                let rest = Bytes::copy_from_slice(self.cutter.rest());
                if self.ends_at_close && !rest.is_empty() {
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

/// Passes a stream on, and continues it at another engine where that is allowed.
pub(crate) struct ForwardState {
    pub(crate) job: StreamJob,
    pub(crate) stream: Option<OpenStream>,
    /// Whether the stream was silent and is waited for, since it can't continue elsewhere.
    pub(crate) tolerates_silence: bool,
}

impl ForwardState {
    /// Returns the next bytes for the caller; an error ends the connection, so that the answer
    /// does not look complete.
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
                // A stream that is always ready would never reach the time limit below.
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

    fn record_last_event(&mut self, chunk: &[u8]) {
        let last = EventCutter::new().take(chunk).into_iter().rev();
        let id = last.filter_map(|event| event.id).next();
        self.job.last_event = id.or(self.job.last_event);
    }

    fn read_limit(&self) -> Duration {
        let context = &self.job.context;
        let left = context.deadline.since(self.job.host.now());
        if !context.pipeline.resumable || self.tolerates_silence {
            return left;
        }
        let pause = context.pipeline.pause_objective.unwrap_or_default();
        left.min((pause * SILENCE_FACTOR).max(MIN_SILENCE))
    }

    /// Says whether a silent stream is kept, since it can't continue elsewhere and may be slow only.
    fn should_keep_waiting(&self) -> bool {
        let job = &self.job;
        let in_time = job.host.now() < job.context.deadline;
        let server = self.stream.as_ref().map(|stream| &stream.answer.server);
        in_time && server.is_some_and(|server| !job.can_continue(server))
    }

    /// Continues a broken stream after its last event, or ends the answer.
    async fn continue_stream(&mut self) -> io::Result<()> {
        let job = &mut self.job;
        if let Some(broken) = self.stream.take() {
            let failure = AttemptFailure {
                verdict: ExecutionVerdict::MayHaveRun,
                received: true,
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
        let left = job.context.deadline.since(job.host.now());
        let resumes = job.last_event.is_some() && !left.is_zero() && job.may_retry();
        if resumes && let Ok(Ok(stream)) = timeout(left, job.open()).await {
            self.stream = Some(stream);
            self.tolerates_silence = false;
            return Ok(());
        }
        job.verdict = ExecutionVerdict::MayHaveRun;
        job.end(RequestOutcome::Broken, StatusCode::OK);
        Err(io::Error::other(job.reason))
    }

    fn finish(&mut self) {
        if let Some(stream) = self.stream.take() {
            let host = &self.job.host;
            let elapsed = host.now().since(stream.answer.sent_at);
            let server = stream.answer.server.clone();
            host.loads.borrow_mut().note_success(&server, elapsed);
            stream.answer.complete(host);
        }
        self.job.end(RequestOutcome::Answered, StatusCode::OK);
    }
}
