//! Probes in progress and the local health score.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{HostId, MonoTime};

/// Maximum health score; at that score time-outs are nine times as long as when healthy.
const MAX_HEALTH_SCORE: u32 = 8;

/// Maximum number of concurrent indirect probes on behalf of other hosts; further ones are
/// dropped.
const MAX_RELAYS: usize = 64;

/// The local health score of the Lifeguard extensions to SWIM; 0 is healthy. Time-outs grow
/// with the score, so that a slow host does not suspect healthy ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LocalHealth(u32);

impl LocalHealth {
    /// Increases the score.
    pub fn worsen(&mut self, by: u32) {
        self.0 = (self.0 + by).min(MAX_HEALTH_SCORE);
    }

    /// Decreases the score by one.
    pub fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Multiplies a duration by the score plus one.
    pub fn scale(self, span: Duration) -> Duration {
        span * (self.0 + 1)
    }
}

/// The probe that the local host is running.
#[derive(Clone, Debug)]
pub(crate) struct RunningProbe {
    /// Its sequence number.
    pub sequence: u64,
    /// The probed host.
    pub target: HostId,
    /// When other hosts will be asked to probe as well; `None` once they have been.
    pub indirect_at: Option<MonoTime>,
    /// When the probe fails.
    pub fails_at: MonoTime,
    /// The number of hosts that were asked for an indirect probe.
    pub helpers: u32,
    /// The number of helpers that reported that they got no answer either.
    pub nacks: u32,
}

/// An indirect probe on behalf of another host.
#[derive(Clone, Debug)]
pub(crate) struct RelayedProbe {
    /// Its sequence number on the local host.
    pub sequence: u64,
    /// Its sequence number on the requester.
    pub requester_sequence: u64,
    /// The address of the requester.
    pub requester: SocketAddr,
    /// When the requester is told that there is no answer yet.
    pub nack_at: MonoTime,
}

/// The indirect probes on behalf of other hosts.
#[derive(Debug, Default)]
pub(crate) struct RelayList {
    probes: Vec<RelayedProbe>,
}

impl RelayList {
    /// Adds a probe and returns whether there was room for it.
    pub fn add(&mut self, probe: RelayedProbe) -> bool {
        if self.probes.len() >= MAX_RELAYS {
            return false;
        }
        self.probes.push(probe);
        true
    }

    /// Removes and returns the probe with a sequence number.
    pub fn take(&mut self, sequence: u64) -> Option<RelayedProbe> {
        let index = self.probes.iter().position(|p| p.sequence == sequence)?;
        Some(self.probes.swap_remove(index))
    }

    /// Removes and returns a probe that was not answered in time.
    pub fn take_due(&mut self, now: MonoTime) -> Option<RelayedProbe> {
        let index = self.probes.iter().position(|p| p.nack_at <= now)?;
        Some(self.probes.swap_remove(index))
    }

    /// Returns when the next probe times out.
    pub fn next_wake(&self) -> Option<MonoTime> {
        self.probes.iter().map(|probe| probe.nack_at).min()
    }
}
