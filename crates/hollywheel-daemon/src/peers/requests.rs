//! What arrives from other hosts.

use hollywheel_membership::MemberInput;
use hollywheel_transport::HostRequest;

use super::forward::run_forward;
use super::handle::MemberHandle;
use crate::core::{CoreHandle, HostQuestion};
use crate::install::InstallHandle;
use crate::queue::SharedReceiver;

/// Hands what arrives from other hosts to the machine that it is for.
#[derive(Debug)]
pub struct PeerRequestDispatcher {
    /// What arrives.
    pub receiver: SharedReceiver<HostRequest>,
    /// The membership machine.
    pub member: MemberHandle,
    /// The decision machine.
    pub core: CoreHandle,
    /// The install machine.
    pub install: InstallHandle,
}

impl PeerRequestDispatcher {
    /// Runs until the transport ends.
    pub async fn run(self) {
        let mut receiver = self.receiver.clone().lock_owned().await;
        while let Some(request) = receiver.recv().await {
            self.take(request);
        }
    }

    fn take(&self, request: HostRequest) {
        match request {
            HostRequest::Member { from, message, .. } => {
                self.member.offer(MemberInput::Message { from, message });
            }
            HostRequest::Claim {
                host,
                question,
                reply,
            } => self.core.ask(HostQuestion {
                from: host,
                question,
                reply,
            }),
            HostRequest::Forward { request, reply, .. } => {
                run_forward(&self.core, *request, reply);
            }
            HostRequest::Changes { have, reply, .. } => self.install.peer_asks(have, reply),
        }
    }
}
