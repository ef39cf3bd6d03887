//! The hosts that this host knows, for reading from every part of the daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use hollywheel_membership::{MemberRecord, MemberState};
use hollywheel_types::{HostId, Incarnation};

/// Shares the records of the hosts.
#[derive(Debug, Default)]
pub struct HostDirectory {
    records: ArcSwap<Vec<MemberRecord>>,
}

impl HostDirectory {
    /// Returns the records in the order of the names.
    pub fn records(&self) -> Arc<Vec<MemberRecord>> {
        self.records.load_full()
    }

    /// Replaces the records.
    pub fn replace(&self, records: Vec<MemberRecord>) {
        self.records.store(Arc::new(records));
    }

    /// Returns the address of one process of a host. A leaving host still answers questions.
    pub fn address(&self, host: &HostId, incarnation: Incarnation) -> Option<SocketAddr> {
        let records = self.records();
        records
            .iter()
            .find(|record| record.host == *host && record.incarnation == incarnation)
            .map(|record| record.address)
    }

    /// Says whether one process of a host is not known to be dead.
    pub fn may_live(&self, host: &HostId, incarnation: Incarnation) -> bool {
        let records = self.records();
        records.iter().any(|record| {
            record.host == *host
                && record.incarnation == incarnation
                && record.state != MemberState::Dead
        })
    }

    /// Counts the hosts taken for alive.
    pub fn alive(&self) -> usize {
        let records = self.records();
        let alive = records
            .iter()
            .filter(|record| matches!(record.state, MemberState::Alive | MemberState::Suspect));
        alive.count()
    }
}
