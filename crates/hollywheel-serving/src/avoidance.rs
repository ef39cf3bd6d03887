//! Short avoidance of servers that broke a connection or gave no answer at all.

use std::time::Duration;

use hollywheel_types::MonoTime;

/// The time for which a server is avoided after its first loss; doubles with each further loss. The
/// deadlines of plain requests are about as long, so the next request that is risked there ends
/// before others follow.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Upper limit of the time for which a server is avoided. An entry of a server that is gone lapses
/// within some seconds.
const MAX_AVOID_TIME: Duration = Duration::from_secs(4);

/// Tracks whether a server answers at all, as seen by one host.
///
/// Suited to fleets with many hosts of little traffic each: if each host risked three requests
/// before it ejects a server that is gone, all hosts together would lose hundreds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerAvoidance {
    /// The number of losses since the last answer.
    losses: u32,
    /// The time of the last loss.
    lost_at: MonoTime,
    avoided_until: Option<MonoTime>,
    /// The time of the last answer.
    answered_at: Option<MonoTime>,
}

impl ServerAvoidance {
    /// Records that a request sent at `sent_at` lost its connection or got no answer; returns for how
    /// long the server is avoided. Requests that were in flight together count as one loss.
    pub(crate) fn note_lost(&mut self, now: MonoTime, sent_at: MonoTime) -> Option<Duration> {
        if self.losses > 0 && sent_at <= self.lost_at {
            return None;
        }
        let time = AVOID_TIME * 2u32.pow(self.losses.min(8));
        let time = time.min(MAX_AVOID_TIME);
        self.losses = self.losses.saturating_add(1);
        self.lost_at = now;
        self.avoided_until = self.avoided_until.max(Some(now + time));
        Some(time)
    }

    /// Records that a request sent at `sent_at` should have been answered by now; the server is
    /// avoided up to `until`, unless it has answered another request since.
    pub(crate) fn note_overdue(&mut self, sent_at: MonoTime, until: MonoTime) {
        if !self.has_answered_since(sent_at) {
            self.avoided_until = self.avoided_until.max(Some(until));
        }
    }

    /// Records an answer, which ends the avoidance.
    pub(crate) const fn note_answered(&mut self, now: MonoTime) {
        self.losses = 0;
        self.avoided_until = None;
        self.answered_at = Some(now);
    }

    /// Returns whether the server has answered any request since a time.
    pub(crate) fn has_answered_since(&self, time: MonoTime) -> bool {
        self.answered_at.is_some_and(|at| at >= time)
    }

    /// Returns whether the server gets no request while others have capacity.
    pub(crate) fn is_active(&self, now: MonoTime) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }
}
