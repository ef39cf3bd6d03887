//! The ends of requests.

use std::time::Duration;

use hollywheel_policy::{AttemptOutcome, RequestEnd};
use hollywheel_types::{ExecutionVerdict, MonoTime, RequestClass, RequestId, TokenCount};

use crate::input::CallerRequest;
use crate::machine::NodeMachine;
use crate::output::{NodeEvent, NodeOutput, Refusal, RefusalReason, ReplyPart, RequestSummary};
use crate::run::{RequestRun, RunPhase};

impl NodeMachine {
    /// Completes a request with the output of its last stage.
    pub(crate) fn complete(
        &mut self,
        now: MonoTime,
        id: RequestId,
        output: String,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        let tokens = TokenCount(match run.generates() {
            true => run.work.next_index.0,
            false => 0,
        });
        let part = ReplyPart::Complete {
            output: output.clone(),
            tokens,
            replayed: false,
        };
        push_reply(&run, part, out);
        if run.claimed {
            let settled = self
                .claims
                .finish(now, id, ExecutionVerdict::Ran, Some(output));
            self.queue_claims(settled);
        }
        self.close(now, &run, ExecutionVerdict::Ran, None, out);
    }

    /// Gives a request the answer of an earlier one with the same key.
    pub(crate) fn replay(
        &mut self,
        now: MonoTime,
        id: RequestId,
        output: String,
        out: &mut Vec<NodeOutput>,
    ) {
        self.answer_with(now, id, output, TokenCount(0), true, out);
    }

    /// Gives a request a complete answer that it did not come to itself.
    pub(crate) fn answer_with(
        &mut self,
        now: MonoTime,
        id: RequestId,
        output: String,
        tokens: TokenCount,
        replayed: bool,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        let part = ReplyPart::Complete {
            output,
            tokens,
            replayed,
        };
        push_reply(&run, part, out);
        self.close(now, &run, ExecutionVerdict::Ran, None, out);
    }

    /// Refuses a request with the verdict that its attempts allow.
    pub(crate) fn refuse(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        let waiting = self.claims.waiting_verdict(id);
        let refusal = Refusal {
            verdict: run.refusal_verdict().join(waiting),
            reason,
            retry_after,
        };
        self.refuse_with(now, id, refusal, out);
    }

    /// Refuses a request with a verdict that is known already.
    pub(crate) fn refuse_with(
        &mut self,
        now: MonoTime,
        id: RequestId,
        refusal: Refusal,
        out: &mut Vec<NodeOutput>,
    ) {
        let kept = self.keep_late(now, id, refusal.reason, out);
        self.cancel_attempts(now, id, cancel_outcome(refusal.reason), out);
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        push_reply(&run, ReplyPart::Refused(refusal.clone()), out);
        if !kept {
            self.give_up(now, &run);
        }
        self.close(now, &run, refusal.verdict, Some(refusal.reason), out);
    }

    /// Ends a request whose caller is gone. A non-idempotent attempt goes on until the deadline,
    /// so that its answer is recorded for a caller who asks again.
    pub(crate) fn caller_gone(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<NodeOutput>) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.has_caller = false;
        if run.claimed && run.effect_verdict() != ExecutionVerdict::NotRun {
            return;
        }
        self.cancel_attempts(now, id, AttemptOutcome::Cancelled, out);
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        self.give_up(now, &run);
        self.close(now, &run, run.refusal_verdict(), None, out);
    }

    /// Tells the claims and the queue of a request that ends without a complete answer.
    fn give_up(&mut self, now: MonoTime, run: &RequestRun) {
        let id = run.request.request;
        if run.phase == RunPhase::Queued {
            self.policy.withdraw(now, id);
        }
        let outputs = match run.claimed {
            true => self.claims.finish(now, id, run.effect_verdict(), None),
            false => self.claims.withdraw(now, id),
        };
        self.queue_claims(outputs);
    }

    fn close(
        &mut self,
        now: MonoTime,
        run: &RequestRun,
        verdict: ExecutionVerdict,
        reason: Option<RefusalReason>,
        out: &mut Vec<NodeOutput>,
    ) {
        let end = match verdict {
            ExecutionVerdict::Ran if reason.is_some() => RequestEnd::Failed,
            ExecutionVerdict::Ran if now > run.deadline => RequestEnd::Late,
            ExecutionVerdict::Ran => RequestEnd::Attained,
            ExecutionVerdict::MayHaveRun => RequestEnd::Failed,
            ExecutionVerdict::NotRun => RequestEnd::Refused,
        };
        if let Some(ticket) = run.forwarded {
            self.forwards.remove(&ticket);
        }
        if run.admitted {
            self.policy.request_ended(now, run.request.request, end);
        }
        let first_token = run.times.first_token.map(|at| at.since(run.received));
        out.push(NodeOutput::Event(NodeEvent::Ended(RequestSummary {
            request: run.request.request,
            workspace: run.request.workspace.clone(),
            pipeline: run.request.pipeline.clone(),
            class: run.class,
            end,
            verdict,
            reason,
            total: now.since(run.received),
            first_token,
            longest_gap: run.times.longest_gap,
            attempts: run.sent,
        })));
    }

    /// Does what is due for a request: the deadline before all else.
    pub(crate) fn run_due(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<NodeOutput>) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        if run.deadline <= now {
            self.refuse(now, id, RefusalReason::DeadlinePassed, None, out);
            return;
        }
        match run.phase {
            RunPhase::Picking { until, kind } if until <= now => self.pick(now, id, kind, out),
            _ if run.work.replace_at.is_some_and(|at| at <= now) => {
                self.replace_slow(now, id, out);
            }
            _ => self.hedge(now, id, out),
        }
    }
}

const fn cancel_outcome(reason: RefusalReason) -> AttemptOutcome {
    match reason {
        RefusalReason::DeadlinePassed => AttemptOutcome::TimedOut,
        _ => AttemptOutcome::Cancelled,
    }
}

fn push_reply(run: &RequestRun, part: ReplyPart, out: &mut Vec<NodeOutput>) {
    if run.has_caller {
        let request = run.request.request;
        out.push(NodeOutput::Reply { request, part });
    }
}

/// Refuses a request that was not taken up.
pub(crate) fn push_refusal(
    request: CallerRequest,
    class: RequestClass,
    refusal: Refusal,
    out: &mut Vec<NodeOutput>,
) {
    let summary = RequestSummary {
        request: request.request,
        workspace: request.workspace,
        pipeline: request.pipeline,
        class,
        end: RequestEnd::Refused,
        verdict: refusal.verdict,
        reason: Some(refusal.reason),
        total: Duration::ZERO,
        first_token: None,
        longest_gap: None,
        attempts: 0,
    };
    out.push(NodeOutput::Reply {
        request: request.request,
        part: ReplyPart::Refused(refusal),
    });
    out.push(NodeOutput::Event(NodeEvent::Ended(summary)));
}
