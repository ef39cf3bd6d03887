//! The graceful shutdown.

use std::time::Duration;

use hollywheel_types::MonoTime;

use crate::machine::NodeMachine;
use crate::output::{NodeOutput, RefusalReason};

/// When a caller should ask again; the balancer then leads to another host.
pub(crate) const OTHER_HOST_RETRY: Duration = Duration::from_millis(200);

/// Says how far the shutdown has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum DrainState {
    /// Requests are taken.
    #[default]
    Serving,
    /// Requests in progress end until that point.
    Draining { until: MonoTime },
    /// Everything has ended.
    Drained,
}

impl NodeMachine {
    pub(crate) fn begin_drain(&mut self, now: MonoTime, span: Duration, out: &mut Vec<NodeOutput>) {
        if self.drain != DrainState::Serving {
            return;
        }
        self.drain = DrainState::Draining { until: now + span };
        self.claims.begin_drain();
        self.drain_late(now, out);
        for id in self.runs.queued() {
            self.refuse(
                now,
                id,
                RefusalReason::Draining,
                Some(OTHER_HOST_RETRY),
                out,
            );
        }
        self.tick_claims(now);
    }

    /// Returns the point at which what is not complete is given up, and after it the one at
    /// which unwritten claims are left behind.
    pub(crate) fn drain_wake(&self) -> Option<MonoTime> {
        match self.drain {
            DrainState::Draining { until } if self.runs.is_empty() => Some(self.leave_at(until)),
            DrainState::Draining { until } => Some(until),
            DrainState::Serving | DrainState::Drained => None,
        }
    }

    fn leave_at(&self, until: MonoTime) -> MonoTime {
        until + self.settings.store_timeout
    }

    pub(crate) fn check_drained(&mut self, now: MonoTime, out: &mut Vec<NodeOutput>) {
        let DrainState::Draining { until } = self.drain else {
            return;
        };
        if until <= now {
            self.give_up_all(now, out);
        }
        let left = until + self.settings.store_timeout <= now;
        if self.runs.is_empty() && (self.claims.may_leave(now) || left) {
            self.drain = DrainState::Drained;
            out.push(NodeOutput::Drained);
        }
    }

    fn give_up_all(&mut self, now: MonoTime, out: &mut Vec<NodeOutput>) {
        for id in self.runs.ids() {
            self.refuse(
                now,
                id,
                RefusalReason::Draining,
                Some(OTHER_HOST_RETRY),
                out,
            );
            self.carry_out_claims(now, out);
        }
    }
}
