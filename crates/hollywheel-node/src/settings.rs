//! Settings of the state machine of one host.

use std::time::Duration;

use hollywheel_policy::PolicySettings;
use hollywheel_types::Incarnation;

/// Settings of a [`NodeMachine`](crate::NodeMachine).
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Policy settings, including the name and the failure domain of the host.
    pub policy: PolicySettings,
    /// Incarnation of this process; a restarted process has a new one.
    pub incarnation: Incarnation,
    /// Minimum time between two writes of claims; claims made in between are written in one batch.
    pub claim_linger: Duration,
    /// Maximum number of claims in one write.
    pub claim_batch: usize,
    /// Time-out of one call to the table service.
    pub store_timeout: Duration,
    /// Maximum number of requests in progress; further ones are refused as overloaded.
    pub max_requests: usize,
    /// How long a non-idempotent attempt stays connected after its deadline, so that a late
    /// answer can still settle the claim.
    pub late_grace: Duration,
    /// Maximum number of attempts kept past their deadlines; further ones are cancelled at the
    /// deadline.
    pub max_late_attempts: usize,
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
            max_late_attempts: 256,
        }
    }
}
