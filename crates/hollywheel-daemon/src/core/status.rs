//! The state of the machine as operators see it.

use hollywheel_types::ServerId;

/// Holds what the machine says of itself.
#[derive(Clone, Debug, Default)]
pub struct CoreStatus {
    /// Requests in progress whose callers wait.
    pub in_flight: u32,
    /// Attempts in progress.
    pub attempts: u32,
    /// Whether the graceful shutdown has begun.
    pub draining: bool,
    /// The backend servers that this host uses.
    pub subset: Vec<ServerId>,
}
