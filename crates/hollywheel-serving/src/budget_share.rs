//! The share of one host in a slack that all hosts spend together.

use std::collections::VecDeque;
use std::time::Duration;

use hollywheel_types::MonoTime;

/// Determines among how many hosts the slack of a common budget is divided.
///
/// What was spent counts for a whole window, also if its host has stopped or restarted since, or if
/// the slack was divided among fewer hosts then. So a process has no share until a window has passed
/// since its start, and its share grows only a window after hosts have left.
#[derive(Clone, Debug)]
pub struct BudgetShare {
    /// The time from which this host has a share.
    begins_at: MonoTime,
    window: Duration,
    /// The numbers of hosts known, each with the time from which it held, oldest first.
    counts: VecDeque<(MonoTime, usize)>,
}

impl BudgetShare {
    /// Creates the share of a host that starts now, in budgets over a window.
    pub fn new(now: MonoTime, window: Duration) -> Self {
        // The other hosts need some seconds to learn of this one and to reduce their shares.
        let begins_at = now + window + window / 4;
        Self {
            begins_at,
            window,
            counts: VecDeque::new(),
        }
    }

    /// Returns the number of hosts that share the slack, given the number known now; none while this
    /// host has no share or knows no other host.
    pub fn hosts(&mut self, now: MonoTime, known: Option<usize>) -> Option<usize> {
        let known = known?;
        if self.counts.back().is_none_or(|(_, count)| *count != known) {
            self.counts.push_back((now, known));
        }
        let is_past = |since: &(MonoTime, usize)| now.since(since.0) >= self.window;
        while self.counts.get(1).is_some_and(is_past) {
            self.counts.pop_front();
        }
        let most = self.counts.iter().map(|(_, count)| *count).max();
        most.filter(|_| now >= self.begins_at)
    }
}
