//! The retry budget that all hosts share.

use std::collections::VecDeque;
use std::time::Duration;

use hollywheel_types::MonoTime;

use crate::budget_share::SlackShare;

/// The number of parts into which the window is divided; it bounds the size of the state.
const WINDOW_PARTS: u32 = 20;

/// Counts the sends in one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowPart {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Limits the repeated sends (retries and hedges) to one pool over a sliding window.
///
/// Every host may repeat a fixed ratio of its own requests plus an equal share of the slack, so
/// the sum over all hosts stays within the common bound without any messages between them. Among how
/// many hosts the slack is divided is determined by [`BudgetShare`](crate::BudgetShare).
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    part_length: Duration,
    parts: VecDeque<WindowPart>,
}

impl RetryBudget {
    /// Creates a budget from the common bound: a ratio of the requests plus a number of sends as
    /// slack, both over a window.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            part_length: (window / WINDOW_PARTS).max(Duration::from_millis(1)),
            parts: VecDeque::new(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn count_request(&mut self, now: MonoTime) {
        self.current_part(now).requests += 1;
    }

    /// Spends one repeated send if this host's share of the budget allows it; returns whether it
    /// does.
    pub fn take_repeat(&mut self, now: MonoTime, share: SlackShare) -> bool {
        let allowed = self.has_repeat(now, share);
        if allowed {
            self.current_part(now).repeats += 1;
        }
        allowed
    }

    /// Returns whether this host's share of the budget allows another repeated send.
    ///
    /// The bound holds for every period that ends now and is no longer than the window: repeats are
    /// set against the requests of the same period only. Otherwise the repeats of one host could be
    /// set against its earlier requests and those of a host that takes over its callers, or of its
    /// next process, against the same requests once more.
    pub fn has_repeat(&mut self, now: MonoTime, share: SlackShare) -> bool {
        self.current_part(now);
        let slack = share.of(self.slack);
        let (mut requests, mut repeats) = (0, 1);
        self.parts.iter().rev().all(|part| {
            // A period may begin within a part: all of its repeats count, none of its requests.
            repeats += part.repeats;
            let bound = self.ratio * f64::from(requests) + slack;
            requests += part.requests;
            f64::from(repeats) <= bound
        })
    }

    /// Returns the part of the window that contains `now`, and removes parts that have passed.
    fn current_part(&mut self, now: MonoTime) -> &mut WindowPart {
        let length = u64::try_from(self.part_length.as_micros()).unwrap_or(u64::MAX);
        let number = now.0 / length.max(1);
        // One extra part is kept, so that every repeat within the sliding window is counted.
        let oldest = number.saturating_sub(u64::from(WINDOW_PARTS));
        while self.parts.front().is_some_and(|part| part.number < oldest) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number < number) {
            self.parts.push_back(WindowPart {
                number,
                ..WindowPart::default()
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
