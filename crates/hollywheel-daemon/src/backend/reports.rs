//! What backend servers say of themselves, from answers and from polls.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hollywheel_node::NodeInput;
use hollywheel_policy::ServerReport;
use hollywheel_types::{MonoTime, ServerId, SortedMap};

use crate::core::CoreHandle;
use crate::peers::PeerCaller;
use hollywheel_clock::HostClock;

/// Bounds the backend servers whose last report is remembered.
const MAX_SERVERS: usize = 4096;

/// Describes the last report of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LastReport {
    /// When it was taken.
    pub at: MonoTime,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
}

/// Takes reports and remembers when each server reported last.
#[derive(Debug)]
pub struct LoadReportTracker {
    clock: HostClock,
    peers: PeerCaller,
    last: Mutex<SortedMap<ServerId, LastReport>>,
}

impl LoadReportTracker {
    /// Creates an intake without reports.
    pub fn new(clock: HostClock, peers: PeerCaller) -> Self {
        Self {
            clock,
            peers,
            last: Mutex::new(SortedMap::new()),
        }
    }

    /// Takes a report and passes it on.
    pub async fn take(&self, core: &CoreHandle, report: ServerReport, age: Duration) {
        self.remember(&report);
        if report.leaving {
            self.peers
                .server_leaving(&report.server, report.incarnation);
        }
        core.send(NodeInput::Report { report, age }).await;
    }

    fn remember(&self, report: &ServerReport) {
        let entry = LastReport {
            at: self.clock.now(),
            running: report.running,
            queued: report.queued,
        };
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if last.len() < MAX_SERVERS || last.contains_key(&report.server) {
            last.insert(report.server.clone(), entry);
        }
    }

    /// Returns the last report of a server.
    pub fn last(&self, server: &ServerId) -> Option<LastReport> {
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.get(server).copied()
    }

    /// Forgets the servers that are not listed. The list is sorted.
    pub fn keep(&self, servers: &[ServerId]) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.retain(|server, _| servers.binary_search(server).is_ok());
    }
}
