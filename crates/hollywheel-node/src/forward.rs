//! Issued idempotency keys, and forwarding of requests to the hosts that issued their keys.

use std::time::Duration;

use hollywheel_claims::KeyAuthority;
use hollywheel_policy::RefuseReason;
use hollywheel_types::{ExecutionVerdict, HostId, Incarnation, MonoTime, RequestId, WorkspaceId};

use crate::drain::{DrainState, OTHER_HOST_RETRY_AFTER};
use crate::input::{CallTicket, CallerRequest, ForwardEnd};
use crate::machine::NodeMachine;
use crate::output::{GrantedKey, NodeOutput, Refusal, RefusalReason};

/// Retry delay for callers whose key issuer could not be reached.
const ISSUER_RETRY_AFTER: Duration = Duration::from_millis(500);

impl NodeMachine {
    pub(crate) fn issue_key(
        &mut self,
        now: MonoTime,
        ticket: CallTicket,
        workspace: &WorkspaceId,
        out: &mut Vec<NodeOutput>,
    ) {
        let result = self.grant_key(now, workspace);
        out.push(NodeOutput::KeyIssued { ticket, result });
    }

    fn grant_key(&mut self, now: MonoTime, workspace: &WorkspaceId) -> Result<GrantedKey, Refusal> {
        if self.drain != DrainState::Serving {
            return Err(not_run(RefusalReason::Draining, OTHER_HOST_RETRY_AFTER));
        }
        if self.config.is_none() {
            return Err(not_run(RefusalReason::NotReady, OTHER_HOST_RETRY_AFTER));
        }
        let random = self.key_nonces.next().0;
        let issued = self.claims.issue(now, workspace, random);
        let expires = self.claims.issued_ttl();
        issued
            .map(|key| GrantedKey { key, expires })
            .map_err(|retry_after| {
                not_run(RefusalReason::Policy(RefuseReason::Overloaded), retry_after)
            })
    }

    /// Requests the claim of an idempotency key, or forwards the request to the host that issued
    /// the key.
    pub(crate) fn claim_or_forward(
        &mut self,
        now: MonoTime,
        id: RequestId,
        out: &mut Vec<NodeOutput>,
    ) {
        let key = self.runs.get(id).map(|run| &run.request.idempotency_key);
        let authority = key
            .and_then(|key| key.as_ref())
            .map(|key| self.claims.authority_of(key));
        match authority {
            Some(KeyAuthority::OtherProcess { host, incarnation }) => {
                self.forward(now, id, host, incarnation, out);
            }
            Some(KeyAuthority::ClaimRow | KeyAuthority::ThisProcess | KeyAuthority::DeadIssuer)
            | None => {
                self.request_claim(now, id);
            }
        }
    }

    fn forward(
        &mut self,
        now: MonoTime,
        id: RequestId,
        host: HostId,
        incarnation: Incarnation,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if run.deadline <= now {
            self.refuse(now, id, RefusalReason::DeadlinePassed, None, out);
            return;
        }
        self.next_forward += 1;
        let ticket = CallTicket(self.next_forward);
        run.forward_ticket = Some(ticket);
        let deadline = run.deadline;
        let request = Box::new(CallerRequest {
            timeout: Some(deadline.since(now)),
            stream: false,
            ..run.request.clone()
        });
        self.forwards.insert(ticket, id);
        out.push(NodeOutput::Forward {
            ticket,
            host,
            incarnation,
            request,
            deadline,
        });
    }

    /// Looks in the table service for an answer that the issuer may have written while draining.
    fn forward_not_sent(&mut self, now: MonoTime, id: RequestId) {
        if let Some(run) = self.runs.get_mut(id) {
            run.forward_ticket = None;
            run.issuer_unreached = true;
        }
        self.request_claim(now, id);
    }

    /// Returns the refusal for a request whose key issuer was not reached, or `None` if it was
    /// reached or no forward was tried.
    pub(crate) fn issuer_unreachable_refusal(&self, id: RequestId) -> Option<Refusal> {
        let issuer_unreached = self.runs.get(id).is_some_and(|run| run.issuer_unreached);
        issuer_unreached.then(|| not_run(RefusalReason::IssuerUnreachable, ISSUER_RETRY_AFTER))
    }

    pub(crate) fn forward_ended(
        &mut self,
        now: MonoTime,
        ticket: CallTicket,
        end: ForwardEnd,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(id) = self.forwards.remove(&ticket) else {
            return;
        };
        let is_pending = self.runs.get(id).and_then(|run| run.forward_ticket) == Some(ticket);
        if !is_pending {
            return;
        }
        match end {
            ForwardEnd::Complete {
                output,
                tokens,
                replayed,
            } => self.complete_with_answer(now, id, output, tokens, replayed, out),
            ForwardEnd::Refused(refusal) => self.refuse_with(now, id, refusal, out),
            ForwardEnd::NotSent => self.forward_not_sent(now, id),
            ForwardEnd::Lost => {
                let refusal = Refusal {
                    verdict: ExecutionVerdict::MayHaveRun,
                    reason: RefusalReason::IssuerUnreachable,
                    retry_after: Some(ISSUER_RETRY_AFTER),
                };
                self.refuse_with(now, id, refusal, out);
            }
        }
    }
}

const fn not_run(reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal {
        verdict: ExecutionVerdict::NotRun,
        reason,
        retry_after: Some(retry_after),
    }
}
