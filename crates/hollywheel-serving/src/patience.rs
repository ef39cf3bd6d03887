//! Which requests come from callers that were turned away before.

use std::time::Duration;

use hollywheel_types::{MonoTime, PipelineId, SortedMap};

/// A caller that has less than this part of the longest wait left has come back: first attempts
/// wait for 0.85 to 1.0 of it, and a refused caller pauses for a quarter of its time or more.
const RETURNED_PART: f64 = 0.78;
/// The longest wait is that of the last one or two spans of this length.
const LONGEST_SPAN: Duration = Duration::from_secs(30);
/// Callers come back within this time, which is longer than any wait that a refusal names.
const CALM_TIME: Duration = Duration::from_secs(6);
/// The part that a new request has in the share of short waits.
const NEW_PART: f64 = 0.05;
/// Where a larger share of callers waits for a short time although nobody was refused, a short
/// wait does not tell that a caller has come back.
const MAX_SHORT_SHARE: f64 = 0.2;

/// Says whether a request is its caller's first attempt.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallerAttempt {
    /// The caller was turned away before and has lost its objective.
    Retry,
    /// As far as is known, it is the first.
    #[default]
    First,
}

#[derive(Clone, Debug, Default)]
struct PipelinePatience {
    /// The longest wait of the span in progress and of the one before it.
    longest: [Duration; 2],
    span_start: MonoTime,
    refused_at: Option<MonoTime>,
    short_share: f64,
}

impl PipelinePatience {
    fn note_wait(&mut self, now: MonoTime, wait: Duration) {
        if now.since(self.span_start) >= LONGEST_SPAN {
            self.longest = [Duration::ZERO, self.longest[0]];
            self.span_start = now;
        }
        self.longest[0] = self.longest[0].max(wait);
    }

    fn is_calm(&self, now: MonoTime) -> bool {
        self.refused_at.is_none_or(|at| now.since(at) > CALM_TIME)
    }
}

/// Learns for each pipeline how long callers wait at their first attempt.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    pipelines: SortedMap<PipelineId, PipelinePatience>,
}

impl RetryDetector {
    /// Creates a table that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes how long the caller of a request waits, and tells from it whether the caller has
    /// come back.
    ///
    /// Answers a burst whose refused callers return into it: they have lost their objective and
    /// must not take the place of those that can still meet theirs.
    pub fn note_wait(
        &mut self,
        now: MonoTime,
        pipeline: &PipelineId,
        wait: Duration,
    ) -> CallerAttempt {
        let patience = self
            .pipelines
            .get_or_insert_with(pipeline.clone(), PipelinePatience::default);
        patience.note_wait(now, wait);
        let longest = patience.longest[0].max(patience.longest[1]);
        let is_short = wait < longest.mul_f64(RETURNED_PART);
        if patience.is_calm(now) {
            let new = if is_short { 1.0 } else { 0.0 };
            patience.short_share += NEW_PART * (new - patience.short_share);
        }
        if is_short && patience.short_share <= MAX_SHORT_SHARE {
            CallerAttempt::Retry
        } else {
            CallerAttempt::First
        }
    }

    /// Forgets the pipelines for which the test fails.
    pub fn retain(&mut self, mut test: impl FnMut(&PipelineId) -> bool) {
        self.pipelines.retain(|pipeline, _| test(pipeline));
    }

    /// Notes that a request was turned away, whose caller may come back.
    pub fn note_refused(&mut self, now: MonoTime, pipeline: &PipelineId) {
        self.pipelines
            .get_or_insert_with(pipeline.clone(), PipelinePatience::default)
            .refused_at = Some(now);
    }
}
