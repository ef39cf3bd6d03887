//! Claims of the idempotency keys of requests with non-idempotent stages.

use hollywheel_claims::{
    ClaimAnswer, ClaimDenial, ClaimKey, ClaimOutput, ClaimQuestion, ClaimRequest, ClaimTicket,
};
use hollywheel_store::{StoreFailure, StoreReply};
use hollywheel_types::{BodyDigest, ExecutionVerdict, MonoTime, RequestId};

use crate::input::CallTicket;
use crate::machine::NodeMachine;
use crate::output::{NodeEvent, NodeOutput, Refusal, RefusalReason};
use crate::run::RequestRun;

impl NodeMachine {
    /// Requests the claim of a request's idempotency key from the claim table.
    pub(crate) fn request_claim(&mut self, now: MonoTime, id: RequestId) {
        let nonce = self.nonces.next();
        let Some(run) = self.runs.get(id) else {
            return;
        };
        let Some(key) = claim_key_of(run) else {
            return;
        };
        let claim_request = ClaimRequest {
            request: id,
            key,
            digest: digest_of(run),
            nonce,
            claimed_at: run.request.received_at,
            deadline: run.deadline,
        };
        let claim_outputs = self.claims.claim(now, claim_request);
        self.queue_claim_outputs(claim_outputs);
    }

    /// Queues outputs of the claim table for processing and updates its wake-up time.
    pub(crate) fn queue_claim_outputs(&mut self, claim_outputs: Vec<ClaimOutput>) {
        self.pending_claim_outputs.extend(claim_outputs);
        self.claim_wake = self.claims.next_wake();
    }

    pub(crate) fn tick_claims(&mut self, now: MonoTime) {
        let claim_outputs = self.claims.tick(now);
        self.queue_claim_outputs(claim_outputs);
    }

    pub(crate) fn store_answered(
        &mut self,
        now: MonoTime,
        ticket: CallTicket,
        result: &Result<StoreReply, StoreFailure>,
    ) {
        let claim_outputs = self
            .claims
            .store_answered(now, ClaimTicket(ticket.0), result);
        self.queue_claim_outputs(claim_outputs);
    }

    pub(crate) fn host_asks(
        &self,
        ticket: CallTicket,
        question: &ClaimQuestion,
        out: &mut Vec<NodeOutput>,
    ) {
        let answer = self.claims.host_asks(question);
        out.push(NodeOutput::AnswerHost { ticket, answer });
    }

    pub(crate) fn host_answered(
        &mut self,
        now: MonoTime,
        ticket: CallTicket,
        answer: Option<ClaimAnswer>,
    ) {
        let claim_outputs = self
            .claims
            .host_answered(now, ClaimTicket(ticket.0), answer);
        self.queue_claim_outputs(claim_outputs);
    }

    pub(crate) fn process_claim_outputs(&mut self, now: MonoTime, out: &mut Vec<NodeOutput>) {
        while let Some(output) = self.pending_claim_outputs.pop_front() {
            match output {
                ClaimOutput::Store { ticket, request } => out.push(NodeOutput::Store {
                    ticket: CallTicket(ticket.0),
                    request,
                }),
                ClaimOutput::AskHost {
                    ticket,
                    host,
                    incarnation,
                    question,
                } => out.push(NodeOutput::AskHost {
                    ticket: CallTicket(ticket.0),
                    host,
                    incarnation,
                    question,
                }),
                ClaimOutput::Granted { request } => self.claim_granted(now, request, out),
                ClaimOutput::Replayed { request, answer } => {
                    self.replay_answer(now, request, answer.output, out);
                }
                ClaimOutput::Denied { request, denial } => self.deny_run(now, request, denial, out),
            }
        }
    }

    fn claim_granted(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<NodeOutput>) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.claimed = true;
        out.push(NodeOutput::Event(NodeEvent::Claimed { request: id }));
        self.begin_stage(now, id, out);
    }

    fn deny_run(
        &mut self,
        now: MonoTime,
        id: RequestId,
        denial: ClaimDenial,
        out: &mut Vec<NodeOutput>,
    ) {
        let refusal = match denial {
            ClaimDenial::Reused => Refusal {
                verdict: ExecutionVerdict::NotRun,
                reason: RefusalReason::KeyReused,
                retry_after: None,
            },
            ClaimDenial::Expired => Refusal {
                verdict: ExecutionVerdict::NotRun,
                reason: RefusalReason::KeyExpired,
                retry_after: None,
            },
            ClaimDenial::Taken(verdict) => {
                let unreachable_refusal = self.issuer_unreachable_refusal(id);
                let unreachable_refusal =
                    unreachable_refusal.filter(|_| verdict == ExecutionVerdict::MayHaveRun);
                unreachable_refusal.unwrap_or(Refusal {
                    verdict,
                    reason: RefusalReason::KeyTaken,
                    retry_after: None,
                })
            }
            ClaimDenial::StoreUnavailable { retry_after } => Refusal {
                verdict: ExecutionVerdict::NotRun,
                reason: RefusalReason::StoreUnavailable,
                retry_after: Some(retry_after),
            },
        };
        self.refuse_with(now, id, refusal, out);
    }
}

fn claim_key_of(run: &RequestRun) -> Option<ClaimKey> {
    Some(ClaimKey {
        workspace: run.request.workspace.clone(),
        key: run.request.idempotency_key.clone()?,
    })
}

fn digest_of(run: &RequestRun) -> BodyDigest {
    BodyDigest::of(run.request.pipeline.as_str(), run.request.input.as_bytes())
}
