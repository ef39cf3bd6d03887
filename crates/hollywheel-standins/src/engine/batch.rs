//! Continuous batching: each step generates one token of every running stream.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::digest::token_text;
use crate::message::GenerateCall;

/// One part of a stream to be sent to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StreamPart {
    Token { index: u32, text: String },
    End { tokens: u32 },
}

/// State of a stream after a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StepEnd {
    Continues,
    Finished,
    Cancelled,
}

/// A stream that is generated or queued.
#[derive(Debug)]
pub(crate) struct StreamJob {
    pub(crate) call: GenerateCall,
    pub(crate) token: CancellationToken,
    parts: mpsc::Sender<StreamPart>,
    prompt_left: Duration,
    next_index: u32,
}

impl StreamJob {
    pub(crate) fn new(
        call: GenerateCall,
        token: CancellationToken,
        parts: mpsc::Sender<StreamPart>,
    ) -> Self {
        let next_index = call.start_index;
        Self {
            call,
            token,
            parts,
            prompt_left: Duration::ZERO,
            next_index,
        }
    }

    /// Sets the processing time of the prompt.
    pub(crate) fn set_prompt_time(&mut self, time: Duration) {
        self.prompt_left = time;
    }

    /// Returns whether the caller has cancelled the stream or closed its connection.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.token.is_cancelled() || self.parts.is_closed()
    }

    /// Advances the stream by one step of the given length.
    pub(crate) fn step(&mut self, length: Duration) -> StepEnd {
        if self.is_abandoned() {
            return StepEnd::Cancelled;
        }
        if self.prompt_left >= length {
            self.prompt_left -= length;
            return StepEnd::Continues;
        }
        self.prompt_left = Duration::ZERO;
        if self.next_index < self.call.max_tokens {
            self.emit_token();
        }
        if self.next_index < self.call.max_tokens {
            return StepEnd::Continues;
        }
        let tokens = self.call.max_tokens;
        let _ = self.parts.try_send(StreamPart::End { tokens });
        StepEnd::Finished
    }

    fn emit_token(&mut self) {
        let index = self.next_index;
        let run = &self.call.run;
        let text = token_text(
            &run.stage,
            &self.call.model,
            &run.input,
            &run.previous,
            index,
        );
        // The channel has room for all parts of the stream, so sending fails only if it is closed.
        let _ = self.parts.try_send(StreamPart::Token { index, text });
        self.next_index += 1;
    }
}

/// Queued streams, sorted by priority and then by arrival.
#[derive(Debug, Default)]
pub(crate) struct StreamQueue {
    jobs: Vec<StreamJob>,
}

impl StreamQueue {
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(crate) fn push(&mut self, job: StreamJob) {
        let priority = job.call.priority;
        let at = self
            .jobs
            .partition_point(|queued| queued.call.priority <= priority);
        self.jobs.insert(at, job);
    }

    /// Removes the streams that their callers have abandoned.
    pub(crate) fn take_abandoned(&mut self) -> Vec<StreamJob> {
        let jobs = std::mem::take(&mut self.jobs);
        let (gone, kept) = jobs.into_iter().partition(StreamJob::is_abandoned);
        self.jobs = kept;
        gone
    }

    pub(crate) fn pop(&mut self) -> Option<StreamJob> {
        if self.jobs.is_empty() {
            return None;
        }
        Some(self.jobs.remove(0))
    }
}
