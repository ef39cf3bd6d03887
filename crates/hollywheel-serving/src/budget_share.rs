//! The share of one host in a slack that all hosts spend together.

use std::collections::VecDeque;
use std::time::Duration;

use hollywheel_types::MonoTime;

/// The part of a share that a process may spend while its predecessor's repeats may still count. A
/// settled process leaves it to its successor.
const START_FRACTION: f64 = 0.2;

/// Describes the share of a host in the slack of a common budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlackShare {
    /// No other host is known, and it is not known that there is none.
    Unknown,
    /// The process has started so recently that its predecessor may have spent its share in the
    /// current window.
    Starting {
        /// The number of hosts that share the slack.
        hosts: usize,
    },
    /// No predecessor of the process has spent anything in the current window.
    Settled {
        /// The number of hosts that share the slack.
        hosts: usize,
    },
}

impl SlackShare {
    /// Returns the number of hosts that share the slack, if it is known.
    pub const fn hosts(self) -> Option<usize> {
        match self {
            Self::Unknown => None,
            Self::Starting { hosts } | Self::Settled { hosts } => Some(hosts),
        }
    }

    /// Returns how much of a slack this host may spend.
    pub fn of(self, slack: f64) -> f64 {
        match self {
            Self::Unknown => 0.0,
            Self::Starting { hosts } => slack * START_FRACTION / hosts.max(1) as f64,
            Self::Settled { hosts } => slack * (1.0 - START_FRACTION) / hosts.max(1) as f64,
        }
    }
}

/// Determines among how many hosts the slack of a common budget is divided.
///
/// What was spent counts for a whole window, also if its host has stopped or restarted since, or if
/// the slack was divided among fewer hosts then. So a process may spend only a small part of its share
/// until a window has passed since its start, and its share grows only a window after hosts have left.
#[derive(Clone, Debug)]
pub struct BudgetShare {
    /// The time from which nothing that a predecessor has spent counts.
    settles_at: MonoTime,
    window: Duration,
    /// The numbers of hosts known, each with the time from which it held, oldest first.
    counts: VecDeque<(MonoTime, usize)>,
}

impl BudgetShare {
    /// Creates the share of a host that starts now, in budgets over a window.
    pub fn new(now: MonoTime, window: Duration) -> Self {
        // The other hosts need some seconds to learn of this one and to reduce their shares.
        let settles_at = now + window + window / 4;
        Self {
            settles_at,
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
            Some(hosts) if now >= self.settles_at => SlackShare::Settled { hosts },
            Some(hosts) => SlackShare::Starting { hosts },
            None => SlackShare::Unknown,
        }
    }
}
