//! Detection of requests that callers retry after a refusal.

use std::time::Duration;

use hollywheel_types::{MonoTime, PipelineId, SortedMap};

/// A request whose remaining time is below this fraction of the longest one counts as a retry: first
/// attempts have 0.85 to 1.0 of it. A caller that was refused for a backlog that outlasts its deadline
/// waits until that has been executed, which is mostly a quarter of its time or more.
const RETRY_FRACTION: f64 = 0.78;
/// The length of a window. The longest remaining time is taken over the current and the previous
/// window.
const WINDOW_LENGTH: Duration = Duration::from_secs(30);
/// The time after a refusal within which callers may retry, longer than any retry delay that a
/// refusal names.
const RETRY_PERIOD: Duration = Duration::from_secs(6);
/// Weight of the most recent request in the moving average of the share of short remaining times.
const SHORT_SHARE_WEIGHT: f64 = 0.05;
/// If a larger share of requests than this has a short remaining time without any refusal, a short
/// remaining time is not taken as a sign of a retry.
const MAX_SHORT_SHARE: f64 = 0.2;

/// Describes whether a request is its caller's first attempt.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallerAttempt {
    /// The caller was refused before, so its latency objective is already missed.
    Retry,
    /// The request is the first attempt, as far as is known.
    #[default]
    First,
}

/// Holds what is learned from the requests of one pipeline.
#[derive(Clone, Debug, Default)]
struct PipelineWaits {
    /// The longest remaining time in the current window and in the previous one.
    longest: [Duration; 2],
    window_start: MonoTime,
    /// The time of the last refusal.
    refused_at: Option<MonoTime>,
    /// The mean share of requests with a short remaining time while no caller retries.
    short_share: f64,
    /// The number of requests in that mean, up to those that its weight covers.
    samples: u32,
    /// The arrival of the first request.
    first_at: Option<MonoTime>,
}

impl PipelineWaits {
    fn note_wait(&mut self, now: MonoTime, wait: Duration) {
        if now.since(self.window_start) >= WINDOW_LENGTH {
            self.longest = [Duration::ZERO, self.longest[0]];
            self.window_start = now;
        }
        self.longest[0] = self.longest[0].max(wait);
    }

    /// Adds a request to the mean share of short remaining times; the first ones have equal weight.
    fn learn_short_share(&mut self, is_short: bool) {
        let sample = if is_short { 1.0 } else { 0.0 };
        let weight = SHORT_SHARE_WEIGHT.max(1.0 / f64::from(self.samples + 1));
        self.samples = (self.samples + 1).min(u32::MAX - 1);
        self.short_share += weight * (sample - self.short_share);
    }

    /// Returns whether a caller may have been refused and have waited since requests began to arrive.
    /// Before that, a short remaining time is only a caller with a shorter deadline.
    fn may_see_retries(&self, now: MonoTime, longest: Duration) -> bool {
        let seen_for = self.first_at.map_or(Duration::ZERO, |at| now.since(at));
        self.refused_at.is_some() || seen_for >= longest.mul_f64(1.0 - RETRY_FRACTION)
    }

    fn is_retry_period_over(&self, now: MonoTime) -> bool {
        self.refused_at
            .is_none_or(|at| now.since(at) > RETRY_PERIOD)
    }
}

/// Tells retries from first attempts by the remaining time of requests, learned for each pipeline.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    pipelines: SortedMap<PipelineId, PipelineWaits>,
}

impl RetryDetector {
    /// Creates a detector that has seen no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how long the caller of a request still waits for its answer; returns whether the
    /// request is likely to be a retry.
    ///
    /// Refused callers retry while a burst lasts. They have missed their objective and must not
    /// displace requests that can still meet theirs.
    pub fn note_wait(
        &mut self,
        now: MonoTime,
        pipeline: &PipelineId,
        wait: Duration,
    ) -> CallerAttempt {
        let waits = self
            .pipelines
            .get_or_insert_with(pipeline.clone(), PipelineWaits::default);
        waits.note_wait(now, wait);
        let longest = waits.longest[0].max(waits.longest[1]);
        let is_short = wait < longest.mul_f64(RETRY_FRACTION);
        waits.first_at.get_or_insert(now);
        if waits.is_retry_period_over(now) {
            waits.learn_short_share(is_short);
        }
        let may_be_retry =
            waits.short_share <= MAX_SHORT_SHARE && waits.may_see_retries(now, longest);
        if is_short && may_be_retry {
            CallerAttempt::Retry
        } else {
            CallerAttempt::First
        }
    }

    /// Removes the pipelines for which the predicate is false.
    pub fn retain(&mut self, mut predicate: impl FnMut(&PipelineId) -> bool) {
        self.pipelines.retain(|pipeline, _| predicate(pipeline));
    }

    /// Records that a request was refused and may be retried by its caller.
    pub fn note_refused(&mut self, now: MonoTime, pipeline: &PipelineId) {
        self.pipelines
            .get_or_insert_with(pipeline.clone(), PipelineWaits::default)
            .refused_at = Some(now);
    }
}
