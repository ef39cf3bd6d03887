//! Forwards the complete events of a stream, and resumes a broken stream at another engine.

use std::error::Error;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fail::fail_point;
use http::StatusCode;
use tokio::time::timeout;

use hollywheel_serving::{AnswerProof, EARLY_CRASH_TIME, EventSplitter};
use hollywheel_types::{ExecutionVerdict, MonoTime};

use crate::containment::{TaskKind, WorkPanicked};
use crate::crash_evidence::{record_crash, record_ending, record_panic, record_proof};
use crate::log::{log_line, millis};
use crate::open_stream::{OpenStream, StreamFailure};
use crate::respond::RequestOutcome;
use crate::server_attempt::{AttemptFailure, record_attempt_failure};
use crate::stream_call::StreamJob;

/// Shortest time reserved for another engine to continue a silent stream before its caller leaves.
const MIN_RESUME_TIME: Duration = Duration::from_millis(400);
/// Multiple of the objective for pauses between events for which a stream may always be silent
/// before another engine is asked to continue it.
const SILENCE_FACTOR: u32 = 5;
/// Shortest silence after which another engine is asked, however small that objective.
const MIN_SILENCE: Duration = Duration::from_millis(1000);

/// State of a stream that is forwarded to its caller, and resumed at another engine where the
/// pipeline allows it.
pub(crate) struct ForwardState {
    job: StreamJob,
    stream: Option<OpenStream>,
    /// When the last complete event was read.
    last_event_at: MonoTime,
    /// Whether another engine was asked to continue the stream since the last event.
    asked_other: bool,
}

/// Reason why a stream that has begun is not read on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    Failed(StreamFailure),
    Expired,
    /// Another engine has continued the stream.
    Replaced,
    Panicked,
}

impl StreamEnd {
    const fn name(self) -> &'static str {
        match self {
            Self::Failed(failure) => failure.name(),
            Self::Expired => "the stream reached its deadline",
            Self::Replaced => "the stream was silent and another engine has continued it",
            Self::Panicked => WorkPanicked::REASON,
        }
    }
}

/// Result of waiting for the next event of a silent stream and for another engine that continues it.
enum SilenceEnd {
    /// The stream goes on with these events, or has ended.
    Events(Option<Bytes>),
    /// Another engine has sent the next event; the silent stream may have broken meanwhile.
    Continued(Box<OpenStream>, Option<StreamFailure>),
    /// The stream broke, and no other engine continues it.
    Failed(StreamFailure),
}

impl ForwardState {
    pub(crate) fn new(job: StreamJob, stream: OpenStream) -> Self {
        Self {
            last_event_at: job.host.now(),
            job,
            stream: Some(stream),
            asked_other: false,
        }
    }

    /// Returns the next bytes for the caller. An error closes the connection, so that the caller
    /// does not take a truncated answer for a complete one.
    pub(crate) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let job = &self.job;
        let (host, context) = (job.host.clone(), Rc::clone(&job.context));
        let attempt_id = context.head.attempt.as_str();
        let chunk = self.next_chunk();
        let chunk = host.panics.contain(TaskKind::Stream, attempt_id, chunk);
        chunk.await.unwrap_or_else(|panicked| {
            self.stream = None;
            self.job.reason = WorkPanicked::REASON;
            Some(Err(self.break_off(panicked)))
        })
    }

    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let stream = self.stream.as_mut()?;
            let chunk = stream.chunk.take();
            let context = Rc::clone(&self.job.context);
            let attempt_id = context.head.attempt.as_str();
            let panics = self.job.host.panics.clone();
            if let Some(chunk) = chunk {
                let recorded = panics.contain_call(TaskKind::Stream, attempt_id, || {
                    fail_point!("stream.chunk");
                    self.record_last_event(&chunk);
                });
                if recorded.is_err() {
                    // The stream cannot be resumed, since it is not known after which event.
                    self.job.last_event = None;
                }
                return Some(Ok(chunk));
            }
            if stream.ended {
                // The caller has every event; what fails here cannot make the answer incomplete.
                let _ = panics.contain_call(TaskKind::Stream, attempt_id, || self.finish());
                return None;
            }
            let read = panics.contain(TaskKind::Stream, attempt_id, self.read_next());
            let end = match read.await {
                Ok(Ok(())) => continue,
                Ok(Err(end)) => end,
                Err(WorkPanicked) => {
                    record_panic(&self.job.host, &context);
                    // The engine is not at fault; the stream may go on there.
                    self.stream = None;
                    StreamEnd::Panicked
                }
            };
            if let Err(error) = self.continue_stream(end).await {
                return Some(Err(error));
            }
        }
    }

    /// Reads the next events, however long the engine is silent: only the caller knows when to
    /// give up. Shortly before it would, another engine is asked to continue the stream.
    ///
    /// # Errors
    ///
    /// Returns the reason if the stream broke or reached its deadline.
    async fn read_next(&mut self) -> Result<(), StreamEnd> {
        let time_left = self.time_left();
        // `timeout` polls the read first, so a stream that always has data would never time out.
        if time_left.is_zero() {
            return Err(StreamEnd::Expired);
        }
        let silence = self.silence_before_asking();
        let wait = silence.map_or(time_left, |silence| silence.min(time_left));
        let Some(stream) = self.stream.as_mut() else {
            return Err(StreamEnd::Expired);
        };
        if let Ok(read) = timeout(wait, stream.read_events()).await {
            let chunk = read.map_err(StreamEnd::Failed)?;
            self.store_events(chunk);
            return Ok(());
        }
        if !self.time_left().is_zero() {
            self.asked_other = true;
            if self.may_ask_other() {
                return self.race_other().await;
            }
        }
        Ok(())
    }

    fn store_events(&mut self, chunk: Option<Bytes>) {
        let (host, context) = (&self.job.host, &self.job.context);
        let now = host.now();
        if let Some(stream) = self.stream.as_mut() {
            let has_written = chunk.is_some();
            stream.chunk = chunk;
            if has_written && !stream.outlasted && now.since(stream.begun_at) >= EARLY_CRASH_TIME {
                stream.outlasted = true;
                record_proof(host, context, AnswerProof::Outlasted);
            }
        }
        self.last_event_at = now;
        self.asked_other = false;
    }

    fn time_left(&self) -> Duration {
        let job = &self.job;
        job.context.deadline.since(job.host.now())
    }

    /// Returns how much longer the stream may be silent before another engine is asked to continue
    /// it; none if no engine is asked.
    fn silence_before_asking(&self) -> Option<Duration> {
        let context = &self.job.context;
        if self.asked_other || !context.pipeline.resumable {
            return None;
        }
        let caller_wait = context.pipeline.stream_event_timeout()?;
        let caller_leaves = (self.last_event_at + caller_wait).min(context.deadline);
        let resume_time = self.job.resume_time().max(MIN_RESUME_TIME);
        let latest = caller_leaves.since(self.last_event_at + resume_time);
        let pause = context.pipeline.pause_objective.unwrap_or_default();
        let silence = latest.max(pause * SILENCE_FACTOR).max(MIN_SILENCE);
        Some((self.last_event_at + silence).since(self.job.host.now()))
    }

    /// Returns whether another engine can be asked to continue the stream. Takes one unit of the
    /// pool's retry budget.
    fn may_ask_other(&mut self) -> bool {
        let job = &mut self.job;
        let server = self
            .stream
            .as_ref()
            .map(|stream| &stream.answer.start.server);
        let can_continue = server.is_some_and(|server| job.can_continue(server));
        can_continue && job.last_event.is_some() && job.may_retry()
    }

    /// Asks another engine to continue a silent stream, and keeps whichever of the two engines
    /// sends the next event first. The silent engine may be sound, so its stream is dropped only
    /// then.
    ///
    /// # Errors
    ///
    /// Returns the reason if both streams failed or the deadline passed.
    async fn race_other(&mut self) -> Result<(), StreamEnd> {
        let time_left = self.time_left();
        let waited = self.job.host.now().since(self.last_event_at);
        let Some(stream) = self.stream.as_mut() else {
            return Err(StreamEnd::Expired);
        };
        let job = &mut self.job;
        let silent = stream.answer.start.server.clone();
        log_line!(
            job.host,
            info,
            StreamSilent,
            request = job.context.head.attempt,
            server = %silent,
            silent_ms = millis(waited),
            after = job.last_event
        );
        let chosen = job.begin_other_attempt(&silent);
        let race = async {
            let mut reading = pin!(stream.read_events());
            let mut opening = pin!(job.open());
            let (mut failure, mut is_refused) = (None, false);
            loop {
                tokio::select! {
                    biased;
                    read = reading.as_mut(), if failure.is_none() => match read {
                        Ok(chunk) => return SilenceEnd::Events(chunk),
                        Err(broken) => failure = Some(broken),
                    },
                    opened = opening.as_mut(), if !is_refused => match opened {
                        Ok(other) => return SilenceEnd::Continued(Box::new(other), failure),
                        Err(_) => is_refused = true,
                    },
                }
                if let (Some(failure), true) = (failure, is_refused) {
                    return SilenceEnd::Failed(failure);
                }
            }
        };
        let ended = timeout(time_left, race).await;
        match ended {
            Ok(SilenceEnd::Continued(other, failure)) => {
                self.drop_stream(failure.map_or(StreamEnd::Replaced, StreamEnd::Failed));
                self.job.reason = "";
                self.stream = Some(*other);
                self.last_event_at = self.job.host.now();
                self.asked_other = false;
                Ok(())
            }
            Ok(SilenceEnd::Events(chunk)) => {
                self.job.cancel_other_attempt(chosen);
                self.store_events(chunk);
                Ok(())
            }
            Ok(SilenceEnd::Failed(failure)) => {
                self.job.cancel_other_attempt(chosen);
                Err(StreamEnd::Failed(failure))
            }
            Err(_) => {
                self.job.cancel_other_attempt(chosen);
                Err(StreamEnd::Expired)
            }
        }
    }

    /// Records the id of the last event in a chunk, after which the stream can resume.
    fn record_last_event(&mut self, chunk: &[u8]) {
        let events = EventSplitter::new().take(chunk).into_iter().rev();
        let id = events.filter_map(|event| event.id).next();
        self.job.last_event = id.or(self.job.last_event);
    }

    /// Closes the stream of an engine that broke it off or was silent, and records the failure.
    fn drop_stream(&mut self, end: StreamEnd) {
        let job = &mut self.job;
        job.reason = end.name();
        let Some(broken) = self.stream.take() else {
            return;
        };
        let failure = AttemptFailure {
            verdict: ExecutionVerdict::MayHaveRun,
            received: true,
            lost_server: matches!(end, StreamEnd::Failed(failure) if failure.is_lost_server()),
            reason: job.reason,
        };
        let server = broken.answer.start.server.clone();
        let sent_at = broken.answer.sent_at;
        record_attempt_failure(
            &job.host,
            &job.context,
            &server,
            job.tries,
            &failure,
            sent_at,
        );
        if end == StreamEnd::Failed(StreamFailure::Broken) {
            let written = job.host.now().since(broken.begun_at);
            record_crash(&job.host, &job.context, &broken.answer.start, written);
        }
        job.exclude(server);
    }

    /// Resumes a broken stream after its last event, or ends the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream cannot be resumed; the answer is then incomplete.
    async fn continue_stream(&mut self, end: StreamEnd) -> io::Result<()> {
        self.drop_stream(end);
        let time_left = self.time_left();
        let job = &mut self.job;
        let resumes = job.last_event.is_some() && !time_left.is_zero() && job.may_retry();
        if resumes && let Ok(Ok(stream)) = timeout(time_left, job.open()).await {
            self.stream = Some(stream);
            self.last_event_at = self.job.host.now();
            self.asked_other = false;
            return Ok(());
        }
        let reason = job.reason;
        Err(self.break_off(reason))
    }

    /// Records that the stream ends before its end; returns the error that closes the connection.
    fn break_off(&self, error: impl Into<Box<dyn Error + Send + Sync>>) -> io::Error {
        let job = &self.job;
        job.context.run.replace(ExecutionVerdict::MayHaveRun);
        job.end(RequestOutcome::Broken, StatusCode::OK);
        io::Error::other(error)
    }

    /// Ends a stream that was forwarded completely.
    fn finish(&mut self) {
        fail_point!("stream.finish");
        if let Some(stream) = self.stream.take() {
            let host = &self.job.host;
            let now = host.now();
            let elapsed = now.since(stream.answer.sent_at);
            let server = stream.answer.start.server.clone();
            host.loads.borrow_mut().note_success(now, &server, elapsed);
            let context = &self.job.context;
            let taken = now.since(context.arrived);
            let name = &context.pipeline.name;
            host.forecast.borrow_mut().learn_whole(name, taken);
            record_ending(host, context, &stream.answer.start, stream.ending());
            stream.answer.complete(host);
        }
        self.job.end(RequestOutcome::Answered, StatusCode::OK);
    }
}
