//! Issued keys, and requests that one host hands to the other.

use hollywheel_node::{
    CallTicket, CallerRequest, ForwardEnd, GrantedKey, NodeInput, Refusal, ReplyPart,
};
use hollywheel_types::{HostId, IdempotencyKey, Incarnation, RequestId};

use super::carry_out::ONE_WAY_US;
use super::queue::ProcessRef;
use super::run::FaultScene;
use crate::cell::CellScenario;
use crate::fixture;

/// Holds a request that a host was handed by the other one and has not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenForward {
    from: ProcessRef,
    ticket: CallTicket,
    to: ProcessRef,
    request: RequestId,
}

impl CellScenario {
    /// Returns the host that issues the key of the observed request, if one does.
    pub const fn issuer(self) -> Option<usize> {
        match self {
            Self::Issued => Some(0),
            Self::Forwarded => Some(1),
            Self::Lookup | Self::Question | Self::Payment | Self::Booking => None,
        }
    }
}

impl FaultScene {
    /// Lets the caller fetch its key.
    pub(super) fn fetch_key(&mut self, host: usize) {
        let ticket = CallTicket(0);
        let workspace = fixture::workspace();
        self.feed(host, NodeInput::IssueKey { ticket, workspace });
    }

    pub(super) fn key_issued(&mut self, result: Result<GrantedKey, Refusal>) {
        self.issued_key = result.ok().map(|granted| granted.key);
    }

    /// Returns the key of the observed request: the issued one, or else the caller's own.
    pub(super) fn caller_key(&self) -> Option<IdempotencyKey> {
        self.issued_key.clone().or_else(|| "k1".parse().ok())
    }

    pub(super) fn send_forward(
        &mut self,
        from: ProcessRef,
        ticket: CallTicket,
        host: &HostId,
        incarnation: Incarnation,
        request: CallerRequest,
    ) {
        let target = (0..2).find(|host_at| fixture::host_name(*host_at) == *host);
        let target = target.map(|host| ProcessRef { host, incarnation });
        // The edge does not send what has no time left.
        let in_time = request.timeout.is_some_and(|left| !left.is_zero());
        let reached = target.filter(|to| {
            in_time && self.hosts[to.host].runs(*to) && self.now >= self.armed.peers_cut
        });
        let at = self.after(ONE_WAY_US);
        let Some(to) = reached else {
            let end = ForwardEnd::NotSent;
            self.push_input(at, from, NodeInput::Forwarded { ticket, end });
            return;
        };
        self.forwards.push(OpenForward {
            from,
            ticket,
            to,
            request: request.request,
        });
        self.push_input(at, to, NodeInput::Request(request));
    }

    /// Takes a reply to a request that was handed over; returns whether it was one.
    pub(super) fn answer_forward(
        &mut self,
        from: ProcessRef,
        request: RequestId,
        part: &ReplyPart,
    ) -> bool {
        let mut forwards = self.forwards.iter();
        let at = forwards.position(|open| open.to == from && open.request == request);
        let Some(at) = at else {
            return false;
        };
        let end = match part {
            ReplyPart::Token { .. } => return true,
            _ if self.now < self.armed.peers_cut => ForwardEnd::Lost,
            ReplyPart::Complete {
                output,
                tokens,
                replayed,
            } => ForwardEnd::Complete {
                output: output.clone(),
                tokens: *tokens,
                replayed: *replayed,
            },
            ReplyPart::Refused(refusal) => ForwardEnd::Refused(refusal.clone()),
        };
        let open = self.forwards.remove(at);
        self.end_forward(open, end);
        true
    }

    /// Tells the other host that what it handed to this one is lost.
    pub(super) fn lose_forwards_to(&mut self, host: usize) {
        let forwards = std::mem::take(&mut self.forwards);
        let (lost, kept) = forwards
            .into_iter()
            .partition::<Vec<OpenForward>, _>(|open| open.to.host == host);
        self.forwards = kept;
        for open in lost {
            self.end_forward(open, ForwardEnd::Lost);
        }
    }

    /// Returns the process that handed a request to another one.
    pub(super) fn forwarder_of(&self, to: ProcessRef, request: RequestId) -> Option<ProcessRef> {
        let mut forwards = self.forwards.iter();
        let open = forwards.find(|open| open.to == to && open.request == request);
        open.map(|open| open.from)
    }

    fn end_forward(&mut self, open: OpenForward, end: ForwardEnd) {
        let at = self.after(ONE_WAY_US);
        let ticket = open.ticket;
        self.push_input(at, open.from, NodeInput::Forwarded { ticket, end });
    }
}
