//! The budget of repeated sends that all hosts share.

use std::collections::VecDeque;
use std::time::Duration;

use hollywheel_types::MonoTime;

/// The window is divided into so many parts, which bounds what is kept.
const WINDOW_PARTS: u32 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct WindowPart {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Bounds the repeated sends to one pool over a sliding window.
///
/// Every host takes its own requests' share of the ratio and an equal part of the slack, so the
/// sum over the hosts stays within the common bound without a message between them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    part_length: Duration,
    parts: VecDeque<WindowPart>,
}

impl RetryBudget {
    /// Creates a budget from the common bound: a ratio of the requests and a slack, both over a
    /// window.
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
        self.current(now).requests += 1;
    }

    /// Takes one repeated send, if this host's share of the budget holds it.
    pub fn take_repeat(&mut self, now: MonoTime, hosts: usize) -> bool {
        let holds = self.has_repeat(now, hosts);
        if holds {
            self.current(now).repeats += 1;
        }
        holds
    }

    /// Says whether this host's share of the budget holds a repeated send.
    pub fn has_repeat(&mut self, now: MonoTime, hosts: usize) -> bool {
        let newest = self.current(now).number;
        // The oldest part may lie outside of the window with some of its requests; its repeats
        // count in any case.
        let inside = self
            .parts
            .iter()
            .filter(|part| part.number + u64::from(WINDOW_PARTS) > newest);
        let requests: u32 = inside.map(|part| part.requests).sum();
        let repeats: u32 = self.parts.iter().map(|part| part.repeats).sum();
        let slack = self.slack / hosts.max(1) as f64;
        let bound = self.ratio * f64::from(requests) + slack;
        f64::from(repeats + 1) <= bound
    }

    fn current(&mut self, now: MonoTime) -> &mut WindowPart {
        let length = u64::try_from(self.part_length.as_micros()).unwrap_or(u64::MAX);
        let number = now.0 / length.max(1);
        // One part more than the window has, so that every repeat of a sliding window is counted.
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
