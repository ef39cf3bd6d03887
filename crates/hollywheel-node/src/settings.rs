//! Settings of the decision machine.

use std::time::Duration;

use hollywheel_policy::PolicySettings;
use hollywheel_types::Incarnation;

/// Holds the settings of one host's machine.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The policy, with the host's name and failure domain.
    pub policy: PolicySettings,
    /// The start of the process.
    pub incarnation: Incarnation,
    /// The shortest time between two writes of claims; those made meanwhile are written together.
    pub claim_linger: Duration,
    /// The most claims written together.
    pub claim_batch: usize,
    /// The time allowed for one call of the table service.
    pub store_timeout: Duration,
    /// The largest number of requests in progress.
    pub max_requests: usize,
    /// The time after its deadline for which a non-idempotent attempt stays connected, so that
    /// its answer settles the claim.
    pub late_grace: Duration,
    /// The most attempts kept so; beyond it they are cancelled at the deadline.
    pub max_late: usize,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            policy: PolicySettings::default(),
            incarnation: Incarnation(1),
            claim_linger: Duration::from_millis(20),
            claim_batch: 64,
            store_timeout: Duration::from_millis(500),
            max_requests: 4096,
            late_grace: Duration::from_secs(10),
            max_late: 256,
        }
    }
}
