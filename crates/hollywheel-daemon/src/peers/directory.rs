//! Shared, lock-free directory of the known hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use hollywheel_membership::{MemberRecord, MemberState};
use hollywheel_types::{HostId, Incarnation};

/// Membership records of the known hosts, readable from every task without a lock.
#[derive(Debug, Default)]
pub struct HostDirectory {
    records: ArcSwap<Vec<MemberRecord>>,
}

impl HostDirectory {
    /// Returns the records, sorted by host name.
    pub fn records(&self) -> Arc<Vec<MemberRecord>> {
        self.records.load_full()
    }

    /// Replaces all records.
    pub fn replace(&self, records: Vec<MemberRecord>) {
        self.records.store(Arc::new(records));
    }

    /// Returns the address of one process of a host, whatever its state: a leaving host still
    /// answers its peers.
    pub fn address(&self, host: &HostId, incarnation: Incarnation) -> Option<SocketAddr> {
        let records = self.records();
        records
            .iter()
            .find(|record| record.host == *host && record.incarnation == incarnation)
            .map(|record| record.address)
    }

    /// Returns whether a process of a host is known and not marked as dead.
    pub fn may_be_alive(&self, host: &HostId, incarnation: Incarnation) -> bool {
        let records = self.records();
        records.iter().any(|record| {
            record.host == *host
                && record.incarnation == incarnation
                && record.state != MemberState::Dead
        })
    }

    /// Returns the number of hosts that are alive or suspected.
    pub fn alive(&self) -> usize {
        let records = self.records();
        let alive = records
            .iter()
            .filter(|record| matches!(record.state, MemberState::Alive | MemberState::Suspect));
        alive.count()
    }
}
