//! Messages and questions that arrive from other hosts.

use std::net::SocketAddr;

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_config::ChangeBatch;
use hollywheel_membership::MemberMessage;
use hollywheel_types::{ConfigVersion, HostId};
use hollywheel_wire::{ForwardAnswer, ForwardedRequest};
use tokio::sync::oneshot;

/// A message or question from another host.
#[derive(Debug)]
pub enum HostRequest {
    /// A membership message.
    Member {
        /// The address of the sender.
        from: SocketAddr,
        /// The sender according to its certificate.
        host: HostId,
        /// The message.
        message: MemberMessage,
    },
    /// A question about a claim.
    Claim {
        /// The sender according to its certificate.
        host: HostId,
        /// The question.
        question: ClaimQuestion,
        /// Sends the answer; dropping it tells the sender that there is no answer.
        reply: oneshot::Sender<ClaimAnswer>,
    },
    /// A forwarded request whose idempotency key the local host issued.
    Forward {
        /// The sender according to its certificate.
        host: HostId,
        /// The request.
        request: Box<ForwardedRequest>,
        /// Sends the answer; dropping it tells the sender that there is no answer.
        reply: oneshot::Sender<ForwardAnswer>,
    },
    /// A request for configuration changes.
    Changes {
        /// The sender according to its certificate.
        host: HostId,
        /// The configuration version that the sender has.
        have: ConfigVersion,
        /// Sends the answer; dropping it tells the sender that there is no answer.
        reply: oneshot::Sender<ChangeBatch>,
    },
}

/// The outcome of a request that was forwarded to another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardOutcome {
    /// No part of the request was sent.
    NotSent,
    /// The request may have arrived, but no answer was received.
    Lost,
    /// The other host answered.
    Answer(ForwardAnswer),
}
