//! Graceful shutdown of a host.

use std::time::Duration;

use hollywheel_types::MonoTime;

use crate::machine::NodeMachine;
use crate::output::{NodeOutput, RefusalReason};

/// Retry delay for callers that this host cannot serve; the load balancer routes the retry to
/// another host.
pub(crate) const OTHER_HOST_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Progress of the graceful shutdown.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum DrainState {
    /// The host accepts requests.
    #[default]
    Serving,
    /// New requests are refused; requests in progress may complete until the given time.
    Draining { until: MonoTime },
    /// All requests have ended and the process may exit.
    Drained,
}

impl NodeMachine {
    pub(crate) fn begin_drain(
        &mut self,
        now: MonoTime,
        time_limit: Duration,
        out: &mut Vec<NodeOutput>,
    ) {
        if self.drain != DrainState::Serving {
            return;
        }
        self.drain = DrainState::Draining {
            until: now + time_limit,
        };
        self.claims.begin_drain();
        self.cancel_all_late_attempts(now, out);
        for id in self.runs.queued() {
            self.refuse(
                now,
                id,
                RefusalReason::Draining,
                Some(OTHER_HOST_RETRY_AFTER),
                out,
            );
        }
        self.tick_claims(now);
    }

    /// Returns when the remaining requests are refused or, once there are none, when the host
    /// stops waiting for unwritten claims.
    pub(crate) fn drain_wake(&self) -> Option<MonoTime> {
        match self.drain {
            DrainState::Draining { until } if self.runs.is_empty() => Some(self.exit_due_at(until)),
            DrainState::Draining { until } => Some(until),
            DrainState::Serving | DrainState::Drained => None,
        }
    }

    fn exit_due_at(&self, until: MonoTime) -> MonoTime {
        until + self.settings.store_timeout
    }

    pub(crate) fn check_drained(&mut self, now: MonoTime, out: &mut Vec<NodeOutput>) {
        let DrainState::Draining { until } = self.drain else {
            return;
        };
        if until <= now {
            self.refuse_all(now, out);
        }
        let exit_overdue = until + self.settings.store_timeout <= now;
        if self.runs.is_empty() && (self.claims.may_exit(now) || exit_overdue) {
            self.drain = DrainState::Drained;
            out.push(NodeOutput::Drained);
        }
    }

    fn refuse_all(&mut self, now: MonoTime, out: &mut Vec<NodeOutput>) {
        for id in self.runs.ids() {
            self.refuse(
                now,
                id,
                RefusalReason::Draining,
                Some(OTHER_HOST_RETRY_AFTER),
                out,
            );
            self.process_claim_outputs(now, out);
        }
    }
}
