//! The share of one host in a slack that all hosts spend together.

use std::collections::VecDeque;
use std::time::Duration;

use hollywheel_types::MonoTime;

/// Describes the share of a host in the slack of a common budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlackShare {
    /// The process has started so recently that its predecessor may have spent the share in the
    /// current window. The share only bounds short periods.
    Starting {
        /// The number of hosts that share the slack; none while no other host is known.
        hosts: Option<usize>,
    },
    /// The host may spend its share.
    Settled {
        /// The number of hosts that share the slack.
        hosts: usize,
    },
}

impl SlackShare {
    /// Returns the number of hosts that share the slack, if it is known.
    pub const fn hosts(self) -> Option<usize> {
        match self {
            Self::Starting { hosts } => hosts,
            Self::Settled { hosts } => Some(hosts),
        }
    }
}

/// Determines among how many hosts the slack of a common budget is divided.
///
/// What was spent counts for a whole window, also if its host has stopped or restarted since, or if
/// the slack was divided among fewer hosts then. So a process cannot spend its share until a window has
/// passed since its start, and its share grows only a window after hosts have left.
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

    /// Returns the share, given the number of hosts known now.
    pub fn share(&mut self, now: MonoTime, known: Option<usize>) -> SlackShare {
        if let Some(known) = known
            && self.counts.back().is_none_or(|(_, count)| *count != known)
        {
            self.counts.push_back((now, known));
        }
        let is_past = |since: &(MonoTime, usize)| now.since(since.0) >= self.window;
        while self.counts.get(1).is_some_and(is_past) {
            self.counts.pop_front();
        }
        let hosts = self.counts.iter().map(|(_, count)| *count).max();
        match hosts {
            Some(hosts) if now >= self.begins_at => SlackShare::Settled { hosts },
            hosts => SlackShare::Starting { hosts },
        }
    }
}
