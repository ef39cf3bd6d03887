//! Probes in progress and the host's doubt in itself.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_types::{HostId, MonoTime};

/// The largest doubt of a host in itself; every span grows by so many times its length.
const MAX_DOUBT: u32 = 8;

/// The most indirect probes that are run for other hosts at once; later ones are dropped.
const MAX_RELAYS: usize = 64;

/// Measures how far a host doubts itself, after Lifeguard's local health.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SelfDoubt(u32);

impl SelfDoubt {
    /// Raises the doubt.
    pub fn raise(&mut self, by: u32) {
        self.0 = (self.0 + by).min(MAX_DOUBT);
    }

    /// Lowers the doubt by one.
    pub fn lower(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Stretches a span by the doubt.
    pub fn stretch(self, span: Duration) -> Duration {
        span * (self.0 + 1)
    }
}

/// Holds the probe that this host is making.
#[derive(Clone, Debug)]
pub(crate) struct RunningProbe {
    /// Its number.
    pub sequence: u64,
    /// The host that is probed.
    pub target: HostId,
    /// When other hosts are asked to probe too; none once they were.
    pub indirect_at: Option<MonoTime>,
    /// When the probe has failed.
    pub fails_at: MonoTime,
    /// The hosts that were asked.
    pub helpers: u32,
    /// The helpers that say that they had no answer either.
    pub nacks: u32,
}

/// Holds a probe that this host makes for another one.
#[derive(Clone, Debug)]
pub(crate) struct RelayedProbe {
    /// Its number here.
    pub sequence: u64,
    /// Its number at the asker.
    pub asker_sequence: u64,
    /// The address of the asker.
    pub asker: SocketAddr,
    /// When the asker is told that there is no answer yet.
    pub nack_at: MonoTime,
}

/// Holds the probes that this host makes for others.
#[derive(Debug, Default)]
pub(crate) struct RelayList {
    probes: Vec<RelayedProbe>,
}

impl RelayList {
    /// Adds a probe and says whether there was room.
    pub fn add(&mut self, probe: RelayedProbe) -> bool {
        if self.probes.len() >= MAX_RELAYS {
            return false;
        }
        self.probes.push(probe);
        true
    }

    /// Takes the probe with a number.
    pub fn take(&mut self, sequence: u64) -> Option<RelayedProbe> {
        let at = self.probes.iter().position(|p| p.sequence == sequence)?;
        Some(self.probes.swap_remove(at))
    }

    /// Takes a probe that has had no answer in time.
    pub fn take_due(&mut self, now: MonoTime) -> Option<RelayedProbe> {
        let at = self.probes.iter().position(|p| p.nack_at <= now)?;
        Some(self.probes.swap_remove(at))
    }

    /// Returns when the next probe has had no answer in time.
    pub fn next_wake(&self) -> Option<MonoTime> {
        self.probes.iter().map(|probe| probe.nack_at).min()
    }
}
