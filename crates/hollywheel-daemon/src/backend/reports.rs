//! Load reports of backend servers, from their responses and from polls.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hollywheel_node::NodeInput;
use hollywheel_policy::ServerReport;
use hollywheel_types::{MonoTime, ServerId, SortedMap};

use crate::core::CoreHandle;
use crate::peers::PeerCaller;
use hollywheel_clock::HostClock;

/// Maximum number of backend servers whose last report is kept.
const MAX_SERVERS: usize = 4096;

/// Last load report of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LastReport {
    /// Time of receipt.
    pub at: MonoTime,
    /// Number of requests that the server was executing.
    pub running: u32,
    /// Number of requests in the queue of the server.
    pub queued: u32,
}

/// Keeps the last load report of each server and passes reports on to the decision machine.
#[derive(Debug)]
pub struct LoadReportTracker {
    clock: HostClock,
    peers: PeerCaller,
    last: Mutex<SortedMap<ServerId, LastReport>>,
}

impl LoadReportTracker {
    /// Creates a tracker without reports.
    pub fn new(clock: HostClock, peers: PeerCaller) -> Self {
        Self {
            clock,
            peers,
            last: Mutex::new(SortedMap::new()),
        }
    }

    /// Records a report and sends it to the decision machine. Other hosts are notified if the
    /// server is leaving.
    pub async fn record(&self, core: &CoreHandle, report: ServerReport, age: Duration) {
        self.store_report(&report);
        if report.leaving {
            self.peers
                .server_leaving(&report.server, report.incarnation);
        }
        core.send(NodeInput::Report { report, age }).await;
    }

    fn store_report(&self, report: &ServerReport) {
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

    /// Returns the last report of a server, if there is one.
    pub fn last(&self, server: &ServerId) -> Option<LastReport> {
        let last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.get(server).copied()
    }

    /// Removes the reports of all servers that are not in the list, which must be sorted.
    pub fn retain_servers(&self, servers: &[ServerId]) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.retain(|server, _| servers.binary_search(server).is_ok());
    }
}
