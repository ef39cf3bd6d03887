//! Questions to other hosts.

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_types::{HostId, Incarnation, ServerId};

/// Asks other hosts.
#[derive(Clone, Debug, Default)]
pub struct PeerCaller {}

impl PeerCaller {
    /// Asks the host that made a claim; none if it was not reached.
    pub async fn ask_claim(
        &self,
        _host: &HostId,
        _incarnation: Incarnation,
        _question: &ClaimQuestion,
    ) -> Option<ClaimAnswer> {
        None
    }

    /// Spreads the news that a backend server is leaving.
    pub fn server_leaving(&self, _server: &ServerId, _incarnation: Incarnation) {}
}
