//! Snapshot of the decision machine for operators.

use hollywheel_node::NodeMachine;
use hollywheel_policy::{CostReport, QueueStatus, ServerStatus};
use hollywheel_types::ConfigVersion;

/// Snapshot of the state of the decision machine.
#[derive(Clone, Debug)]
pub struct CoreStatus {
    /// Number of requests in progress.
    pub requests: usize,
    /// Admission queue of each request class.
    pub queues: [QueueStatus; 4],
    /// Number of attempts in flight.
    pub attempts: usize,
    /// Configuration version used for new requests.
    pub config_version: ConfigVersion,
    /// Number of claims that are not settled yet.
    pub claims_open: usize,
    /// Whether the last call to the table service succeeded.
    pub store_ok: bool,
    /// State of each backend server as known to this host.
    pub servers: Vec<ServerStatus>,
    /// Number of backend server ejections since the pools were installed.
    pub ejections: u64,
    /// Cost accounted to each stage and workspace.
    pub costs: CostReport,
}

impl CoreStatus {
    /// Takes a snapshot of a decision machine; `attempts` is the number of attempts in flight.
    pub fn of(machine: &NodeMachine, attempts: usize) -> Self {
        let policy = machine.policy();
        Self {
            requests: machine.requests(),
            queues: policy.queues(),
            attempts,
            config_version: machine.config_version(),
            claims_open: machine.claims().open_claims(),
            store_ok: machine.claims().store_ok(),
            servers: policy.servers(),
            ejections: policy
                .pools()
                .iter()
                .map(|pool| pool.counters.ejections)
                .sum(),
            costs: policy.costs(),
        }
    }

    /// Returns the number of requests that wait for admission, over all classes.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiting).sum()
    }
}
