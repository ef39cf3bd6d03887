//! What arrives from other hosts.

use std::net::SocketAddr;

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_config::ChangeBatch;
use hollywheel_membership::MemberMessage;
use hollywheel_types::{ConfigVersion, HostId};
use hollywheel_wire::{ForwardAnswer, ForwardedRequest};
use tokio::sync::oneshot;

/// Holds a message or a question of another host.
#[derive(Debug)]
pub enum HostRequest {
    /// A membership message.
    Member {
        /// The address of the host.
        from: SocketAddr,
        /// The host, by its certificate.
        host: HostId,
        /// The message.
        message: MemberMessage,
    },
    /// A question about a claim.
    Claim {
        /// The host, by its certificate.
        host: HostId,
        /// The question.
        question: ClaimQuestion,
        /// Takes the answer; dropping it tells the asker that there is none.
        reply: oneshot::Sender<ClaimAnswer>,
    },
    /// A request under a key that this host issued.
    Forward {
        /// The host, by its certificate.
        host: HostId,
        /// The request.
        request: Box<ForwardedRequest>,
        /// Takes the answer; dropping it tells the asker that there is none.
        reply: oneshot::Sender<ForwardAnswer>,
    },
    /// A question for configuration changes.
    Changes {
        /// The host, by its certificate.
        host: HostId,
        /// The version that the asker has.
        have: ConfigVersion,
        /// Takes the answer; dropping it tells the asker that there is none.
        reply: oneshot::Sender<ChangeBatch>,
    },
}

/// Says what became of a request that was handed to another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardOutcome {
    /// No byte of it left this host.
    NotSent,
    /// It may have arrived; no answer came.
    Lost,
    /// The answer.
    Answer(ForwardAnswer),
}
