//! Client for calls and gossip to other hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_config::ChangeBatch;
use hollywheel_membership::MemberInput;
use hollywheel_node::{CallerRequest, ForwardEnd};
use hollywheel_transport::HostTransport;
use hollywheel_types::{ConfigVersion, HostId, Incarnation, ServerId};

use super::directory::HostDirectory;
use super::forward::{forward_end, to_wire_request};
use super::handle::MemberHandle;

/// Client of the other hosts. Clones share the connections.
#[derive(Clone, Debug)]
pub struct PeerCaller {
    /// Membership state machine, which gossips updates.
    member: MemberHandle,
    directory: Arc<HostDirectory>,
    /// `None` on a host without a certificate, which has no peers.
    transport: Option<HostTransport>,
}

impl PeerCaller {
    /// Creates a client.
    pub const fn new(
        member: MemberHandle,
        directory: Arc<HostDirectory>,
        transport: Option<HostTransport>,
    ) -> Self {
        Self {
            member,
            directory,
            transport,
        }
    }

    /// Asks the process that made a claim about its state. Returns `None` if the process is unknown
    /// or did not answer.
    pub async fn ask_claim(
        &self,
        host: &HostId,
        incarnation: Incarnation,
        question: &ClaimQuestion,
    ) -> Option<ClaimAnswer> {
        let address = self.directory.address(host, incarnation)?;
        let transport = self.transport.as_ref()?;
        transport.ask_claim(address, host, question).await
    }

    /// Forwards a request to the process that issued its idempotency key. Returns
    /// [`ForwardEnd::NotSent`] if the process is unknown or the request cannot be forwarded.
    pub async fn forward(
        &self,
        host: &HostId,
        incarnation: Incarnation,
        request: CallerRequest,
    ) -> ForwardEnd {
        let address = self.directory.address(host, incarnation);
        let (Some(address), Some(transport)) = (address, &self.transport) else {
            return ForwardEnd::NotSent;
        };
        let Some(request) = to_wire_request(request) else {
            return ForwardEnd::NotSent;
        };
        forward_end(transport.forward(address, host, request).await)
    }

    /// Fetches the configuration changes after a version. Returns `None` if the host did not
    /// answer.
    pub async fn fetch_changes(
        &self,
        from: SocketAddr,
        have: ConfigVersion,
    ) -> Option<ChangeBatch> {
        let transport = self.transport.as_ref()?;
        transport.fetch_changes(from, have).await
    }

    /// Gossips that a backend server is leaving.
    pub fn server_leaving(&self, server: &ServerId, incarnation: Incarnation) {
        self.member.offer(MemberInput::ServerLeaving {
            server: server.clone(),
            incarnation,
        });
    }

    /// Gossips the configuration version in force on this host.
    pub fn config_in_force(&self, version: ConfigVersion) {
        self.member.offer(MemberInput::ConfigInForce(version));
    }

    /// Gossips that a configuration version was published.
    pub fn config_published(&self, version: ConfigVersion) {
        self.member.offer(MemberInput::ConfigPublished(version));
    }
}
