//! Dispatch of requests from other hosts.

use hollywheel_membership::MemberInput;
use hollywheel_transport::HostRequest;

use super::forward::submit_forwarded;
use super::handle::MemberHandle;
use crate::core::{CoreHandle, PeerClaimQuestion};
use crate::install::InstallHandle;
use crate::queue::SharedReceiver;

/// Task that dispatches each request of another host to the state machine that handles it.
#[derive(Debug)]
pub struct PeerRequestDispatcher {
    /// Requests received by the transport.
    pub receiver: SharedReceiver<HostRequest>,
    /// Handle of the membership state machine.
    pub member: MemberHandle,
    /// Handle of the node state machine.
    pub core: CoreHandle,
    /// Handle of the install state machine.
    pub install: InstallHandle,
}

impl PeerRequestDispatcher {
    /// Runs until the transport is closed.
    pub async fn run(self) {
        let mut receiver = self.receiver.clone().lock_owned().await;
        while let Some(request) = receiver.recv().await {
            self.dispatch(request);
        }
    }

    fn dispatch(&self, request: HostRequest) {
        match request {
            HostRequest::Member { from, message, .. } => {
                self.member.offer(MemberInput::Message { from, message });
            }
            HostRequest::Claim {
                host,
                question,
                reply,
            } => self.core.ask(PeerClaimQuestion {
                from: host,
                question,
                reply,
            }),
            HostRequest::Forward { request, reply, .. } => {
                submit_forwarded(&self.core, *request, reply);
            }
            HostRequest::Changes { have, reply, .. } => self.install.peer_asks(have, reply),
        }
    }
}
