//! Questions and news to other hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_config::ChangeBatch;
use hollywheel_membership::MemberInput;
use hollywheel_node::{CallerRequest, ForwardEnd};
use hollywheel_transport::HostTransport;
use hollywheel_types::{ConfigVersion, HostId, Incarnation, ServerId};

use super::directory::HostDirectory;
use super::forward::{read_outcome, write_request};
use super::handle::MemberHandle;

/// Asks other hosts and spreads news; clones share the connections.
#[derive(Clone, Debug)]
pub struct PeerCaller {
    /// Spreads news.
    member: MemberHandle,
    directory: Arc<HostDirectory>,
    /// None on a host without a certificate, which serves alone.
    transport: Option<HostTransport>,
}

impl PeerCaller {
    /// Creates a caller.
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

    /// Asks the process that made a claim; none if it was not reached.
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

    /// Hands a request to the process that issued its key.
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
        let Some(request) = write_request(request) else {
            return ForwardEnd::NotSent;
        };
        read_outcome(transport.forward(address, host, request).await)
    }

    /// Fetches the changes that follow a version; none if the host was not reached.
    pub async fn fetch_changes(
        &self,
        from: SocketAddr,
        have: ConfigVersion,
    ) -> Option<ChangeBatch> {
        let transport = self.transport.as_ref()?;
        transport.fetch_changes(from, have).await
    }

    /// Spreads the news that a backend server is leaving.
    pub fn server_leaving(&self, server: &ServerId, incarnation: Incarnation) {
        self.member.offer(MemberInput::ServerLeaving {
            server: server.clone(),
            incarnation,
        });
    }

    /// Tells other hosts of the version in force on this one.
    pub fn config_in_force(&self, version: ConfigVersion) {
        self.member.offer(MemberInput::ConfigInForce(version));
    }

    /// Spreads the news that a version was published.
    pub fn config_published(&self, version: ConfigVersion) {
        self.member.offer(MemberInput::ConfigPublished(version));
    }
}
