//! Completion and refusal of requests.

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
            true => run.progress.next_index.0,
            false => 0,
        });
        let part = ReplyPart::Complete {
            output: output.clone(),
            tokens,
            replayed: false,
        };
        push_reply(&run, part, out);
        if run.claimed {
            let claim_outputs = self
                .claims
                .finish(now, id, ExecutionVerdict::Ran, Some(output));
            self.queue_claim_outputs(claim_outputs);
        }
        self.report_end(now, &run, ExecutionVerdict::Ran, None, out);
    }

    /// Completes a request with the recorded answer of an earlier request with the same key.
    pub(crate) fn replay_answer(
        &mut self,
        now: MonoTime,
        id: RequestId,
        output: String,
        out: &mut Vec<NodeOutput>,
    ) {
        self.complete_with_answer(now, id, output, TokenCount(0), true, out);
    }

    /// Completes a request with an answer that another request or host produced.
    pub(crate) fn complete_with_answer(
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
        self.report_end(now, &run, ExecutionVerdict::Ran, None, out);
    }

    /// Refuses a request, with the execution verdict derived from its attempts and its claim.
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
        let waiting_verdict = self.claims.waiting_verdict(id);
        let refusal = Refusal {
            verdict: run.refusal_verdict().join(waiting_verdict),
            reason,
            retry_after,
        };
        self.refuse_with(now, id, refusal, out);
    }

    /// Refuses a request with a given execution verdict.
    pub(crate) fn refuse_with(
        &mut self,
        now: MonoTime,
        id: RequestId,
        refusal: Refusal,
        out: &mut Vec<NodeOutput>,
    ) {
        let claim_retained = self.retain_late_attempt(now, id, refusal.reason, out);
        self.cancel_attempts(now, id, cancel_outcome(refusal.reason), out);
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        push_reply(&run, ReplyPart::Refused(refusal.clone()), out);
        if !claim_retained {
            self.abandon_run(now, &run);
        }
        self.report_end(now, &run, refusal.verdict, Some(refusal.reason), out);
    }

    /// Ends a request whose caller has disconnected. If a non-idempotent attempt may have run, the
    /// request continues until its deadline, so that the answer is recorded and can be replayed
    /// when the caller retries.
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
        self.abandon_run(now, &run);
        self.report_end(now, &run, run.refusal_verdict(), None, out);
    }

    /// Removes a request without a complete answer from the admission queue and ends its claim.
    fn abandon_run(&mut self, now: MonoTime, run: &RequestRun) {
        let id = run.request.request;
        if run.phase == RunPhase::Queued {
            self.policy.withdraw(now, id);
        }
        let claim_outputs = match run.claimed {
            true => self.claims.finish(now, id, run.effect_verdict(), None),
            false => self.claims.withdraw(now, id),
        };
        self.queue_claim_outputs(claim_outputs);
    }

    /// Reports the end of a request to the policy and emits its summary.
    fn report_end(
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
        if let Some(ticket) = run.forward_ticket {
            self.forwards.remove(&ticket);
        }
        if run.admitted {
            self.policy.request_ended(now, run.request.request, end);
        }
        let first_token = run.timings.first_token.map(|at| at.since(run.received));
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
            longest_gap: run.timings.longest_gap,
            attempts: run.attempts_sent,
        })));
    }

    /// Handles the due timer of a request. The deadline takes precedence over all other timers.
    pub(crate) fn handle_run_timer(
        &mut self,
        now: MonoTime,
        id: RequestId,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        if run.deadline <= now {
            self.refuse(now, id, RefusalReason::DeadlinePassed, None, out);
            return;
        }
        match run.phase {
            RunPhase::AwaitingServer { until, kind } if until <= now => {
                self.dispatch_or_wait(now, id, kind, out)
            }
            _ if run.progress.replace_at.is_some_and(|at| at <= now) => {
                self.replace_slow_attempts(now, id, out);
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

/// Refuses a request that was never added to the run table.
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
