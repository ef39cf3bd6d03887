//! Attempts that stay connected after the deadline of their request, to settle its claim.

use hollywheel_policy::AttemptOutcome;
use hollywheel_types::{AttemptNonce, ExecutionVerdict, MonoTime, RequestId, SortedMap, StageId};

use crate::drain::DrainState;
use crate::input::{AnswerEcho, AttemptEvent};
use crate::machine::NodeMachine;
use crate::output::{NodeEvent, NodeOutput, RefusalReason};
use crate::run::RequestRun;

/// Attempt whose request was refused at the deadline and whose claim is still held.
#[derive(Clone, Debug)]
struct LateAttempt {
    request: RequestId,
    stage: StageId,
    give_up_at: MonoTime,
}

/// Attempts whose late answers can still settle a claim, by nonce.
#[derive(Debug, Default)]
pub(crate) struct LateAttemptTable {
    by_nonce: SortedMap<AttemptNonce, LateAttempt>,
}

impl LateAttemptTable {
    pub(crate) fn next_wake(&self) -> Option<MonoTime> {
        self.by_nonce.values().map(|late| late.give_up_at).min()
    }

    fn due(&self, now: MonoTime) -> Vec<AttemptNonce> {
        self.by_nonce
            .iter()
            .filter(|(_, late)| late.give_up_at <= now)
            .map(|(nonce, _)| *nonce)
            .collect()
    }
}

impl NodeMachine {
    /// Keeps the attempt of a request that is refused at its deadline connected if its answer can
    /// settle the claim. Returns whether the attempt was kept and its claim stays held.
    ///
    /// Only attempts at the last stage qualify, since the answer of an earlier stage is not the
    /// answer of the request.
    pub(crate) fn retain_late_attempt(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: RefusalReason,
        out: &mut Vec<NodeOutput>,
    ) -> bool {
        let Some(run) = self.runs.get(id) else {
            return false;
        };
        let table_full = self.late_attempts.by_nonce.len() >= self.settings.max_late_attempts;
        let serving = self.drain == DrainState::Serving;
        if reason != RefusalReason::DeadlinePassed
            || table_full
            || !serving
            || !can_settle_claim(run)
        {
            return false;
        }
        let Some(nonce) = run.progress.attempts.first().map(|live| live.nonce) else {
            return false;
        };
        let late = LateAttempt {
            request: id,
            stage: run.stage().name.clone(),
            give_up_at: now.max(run.deadline) + self.settings.late_grace,
        };
        self.late_attempts.by_nonce.insert(nonce, late);
        self.end_attempt(now, id, nonce, AttemptOutcome::TimedOut, out);
        if let Some(run) = self.runs.get_mut(id) {
            run.join_ended_verdict(ExecutionVerdict::MayHaveRun);
        }
        true
    }

    /// Handles an event of a late attempt. Returns `false` if the nonce is not that of a late
    /// attempt.
    pub(crate) fn handle_late_event(
        &mut self,
        now: MonoTime,
        nonce: AttemptNonce,
        event: &AttemptEvent,
        out: &mut Vec<NodeOutput>,
    ) -> bool {
        let Some(late) = self.late_attempts.by_nonce.remove(&nonce) else {
            return false;
        };
        let (verdict, output) = match event {
            AttemptEvent::Answer { echo, output } if late.matches(nonce, echo) => {
                (ExecutionVerdict::Ran, Some(output.clone()))
            }
            AttemptEvent::Answer { .. }
            | AttemptEvent::Token { .. }
            | AttemptEvent::StreamEnd { .. } => {
                out.push(NodeOutput::Event(NodeEvent::Mismatched { nonce }));
                out.push(NodeOutput::Cancel { nonce });
                (ExecutionVerdict::MayHaveRun, None)
            }
            // Record the same verdict that the caller was given at the deadline, even if the
            // request never left this host.
            AttemptEvent::NotSent | AttemptEvent::Refused { .. } | AttemptEvent::Broken => {
                (ExecutionVerdict::MayHaveRun, None)
            }
        };
        self.settle_late_claim(now, late.request, verdict, output);
        true
    }

    /// Cancels the late attempts whose grace period is over.
    pub(crate) fn expire_late_attempts(&mut self, now: MonoTime, out: &mut Vec<NodeOutput>) {
        let due_nonces = self.late_attempts.due(now);
        self.cancel_late_attempts(now, &due_nonces, out);
    }

    /// Cancels all late attempts.
    pub(crate) fn cancel_all_late_attempts(&mut self, now: MonoTime, out: &mut Vec<NodeOutput>) {
        let all_nonces: Vec<AttemptNonce> = self.late_attempts.by_nonce.keys().copied().collect();
        self.cancel_late_attempts(now, &all_nonces, out);
    }

    fn cancel_late_attempts(
        &mut self,
        now: MonoTime,
        nonces: &[AttemptNonce],
        out: &mut Vec<NodeOutput>,
    ) {
        for nonce in nonces {
            let Some(late) = self.late_attempts.by_nonce.remove(nonce) else {
                continue;
            };
            out.push(NodeOutput::Cancel { nonce: *nonce });
            self.settle_late_claim(now, late.request, ExecutionVerdict::MayHaveRun, None);
        }
    }

    fn settle_late_claim(
        &mut self,
        now: MonoTime,
        request: RequestId,
        verdict: ExecutionVerdict,
        output: Option<String>,
    ) {
        let claim_outputs = self.claims.finish(now, request, verdict, output);
        self.queue_claim_outputs(claim_outputs);
    }
}

impl LateAttempt {
    fn matches(&self, nonce: AttemptNonce, echo: &AnswerEcho) -> bool {
        echo.nonce == nonce && echo.request == self.request && echo.stage == self.stage
    }
}

fn can_settle_claim(run: &RequestRun) -> bool {
    let single_attempt = run.progress.attempts.len() == 1;
    let answers_request = run.is_last_stage() && !run.generates();
    run.claimed && single_attempt && answers_request && !run.stage().idempotent
}
