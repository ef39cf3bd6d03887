//! Issued keys, and requests that a host forwards to the other one.

use hollywheel_node::{
    CallTicket, CallerRequest, ForwardEnd, GrantedKey, NodeInput, Refusal, ReplyPart,
};
use hollywheel_types::{HostId, IdempotencyKey, Incarnation, RequestId};

use super::execute::ONE_WAY_US;
use super::queue::ProcessRef;
use super::run::FaultScene;
use crate::cell::CellScenario;
use crate::fixture;

/// A forwarded request that has not been answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenForward {
    from: ProcessRef,
    ticket: CallTicket,
    to: ProcessRef,
    request: RequestId,
}

impl CellScenario {
    /// Returns the host that issues the key of the observed request; none if the caller generates it.
    pub const fn issuer(self) -> Option<usize> {
        match self {
            Self::Issued => Some(0),
            Self::Forwarded => Some(1),
            Self::Lookup | Self::Question | Self::Payment | Self::Booking => None,
        }
    }
}

impl FaultScene {
    /// Requests a key for the caller.
    pub(super) fn fetch_key(&mut self, host: usize) {
        let ticket = CallTicket(0);
        let workspace = fixture::workspace();
        self.pass_input(host, NodeInput::IssueKey { ticket, workspace });
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
        // A request whose deadline has passed is not forwarded.
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

    /// Handles a reply if it belongs to a forwarded request; returns whether it does.
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

    /// Notifies the other host that the requests that it forwarded to this one are lost.
    pub(super) fn drop_forwards_to(&mut self, host: usize) {
        let forwards = std::mem::take(&mut self.forwards);
        let (lost, kept) = forwards
            .into_iter()
            .partition::<Vec<OpenForward>, _>(|open| open.to.host == host);
        self.forwards = kept;
        for open in lost {
            self.end_forward(open, ForwardEnd::Lost);
        }
    }

    /// Returns the process that forwarded a request.
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
