//! The state of the machine as operators see it.

use hollywheel_node::NodeMachine;
use hollywheel_policy::{CostReport, QueueStatus, ServerStatus};
use hollywheel_types::ConfigVersion;

/// Holds what the machine says of itself.
#[derive(Clone, Debug)]
pub struct CoreStatus {
    /// Requests in progress.
    pub requests: usize,
    /// Requests waiting for admission, by class.
    pub queues: [QueueStatus; 4],
    /// Attempts in progress.
    pub attempts: usize,
    /// The configuration version that new requests begin with.
    pub config_version: ConfigVersion,
    /// Claims that are not settled yet.
    pub claims_open: usize,
    /// Whether the last call of the table service succeeded.
    pub store_ok: bool,
    /// The backend servers as this host sees them.
    pub servers: Vec<ServerStatus>,
    /// Ejections of backend servers since the pools were installed.
    pub ejections: u64,
    /// What stages and workspaces spent.
    pub costs: CostReport,
}

impl CoreStatus {
    /// Reads the state of a machine.
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

    /// Counts the requests that wait for admission.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(|queue| queue.waiting).sum()
    }
}
