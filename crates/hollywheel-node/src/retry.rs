//! Retries, hedging and replacement of slow attempts.

use std::time::Duration;

use hollywheel_policy::{AttemptKind, AttemptOutcome, PickDecision, RefuseReason};
use hollywheel_types::{AttemptNonce, ExecutionVerdict, MonoTime, RequestId};

use crate::machine::NodeMachine;
use crate::output::{NodeOutput, RefusalReason};

/// Number of attempts at one stage, hedges included, after which no retry is made.
const MAX_STAGE_ATTEMPTS: u32 = 4;

/// Outcome of an attempt that ended without an answer.
pub(crate) struct AttemptFailure {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) verdict: ExecutionVerdict,
    pub(crate) retry_after: Option<Duration>,
}

impl AttemptFailure {
    pub(crate) const BROKEN: Self = Self {
        outcome: AttemptOutcome::Failed,
        verdict: ExecutionVerdict::MayHaveRun,
        retry_after: None,
    };
    pub(crate) const NOT_SENT: Self = Self {
        outcome: AttemptOutcome::Failed,
        verdict: ExecutionVerdict::NotRun,
        retry_after: None,
    };
    pub(crate) const TOO_SLOW: Self = Self {
        outcome: AttemptOutcome::TimedOut,
        verdict: ExecutionVerdict::MayHaveRun,
        retry_after: None,
    };

    pub(crate) const fn refused(retry_after: Duration) -> Self {
        Self {
            outcome: AttemptOutcome::Refused,
            verdict: ExecutionVerdict::NotRun,
            retry_after: Some(retry_after),
        }
    }
}

impl NodeMachine {
    pub(crate) fn retry(
        &mut self,
        now: MonoTime,
        id: RequestId,
        retry_after: Option<Duration>,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        let pool = run.stage().pool.clone();
        let may_retry = now < run.deadline && run.progress.attempt_count < MAX_STAGE_ATTEMPTS;
        if may_retry && self.policy.take_retry(now, &pool) {
            self.dispatch_or_wait(now, id, AttemptKind::Retry, out);
            return;
        }
        let reason = match (now >= run.deadline, retry_after) {
            (true, _) => RefusalReason::DeadlinePassed,
            (false, Some(_)) => RefusalReason::Policy(RefuseReason::Overloaded),
            (false, None) => RefusalReason::BackendFailed,
        };
        self.refuse(now, id, reason, retry_after, out);
    }

    /// Sends a hedge for a slow attempt if the policy has a server and hedge budget for it.
    pub(crate) fn hedge(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<NodeOutput>) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.progress.hedge_at = None;
        let pool = run.stage().pool.clone();
        let may_hedge = run.progress.attempts.len() == 1 && run.stage().idempotent;
        self.runs.update_indexes(id);
        if !may_hedge {
            return;
        }
        let Some(PickDecision::Send(server)) = self.pick_server(now, id) else {
            return;
        };
        if self.policy.take_hedge(now, &pool) {
            self.dispatch(now, id, server, AttemptKind::Hedge, out);
        }
    }

    /// Cancels attempts too slow to meet the deadline and dispatches to another server, if the
    /// policy has a server and retry budget for it.
    pub(crate) fn replace_slow_attempts(
        &mut self,
        now: MonoTime,
        id: RequestId,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.progress.replace_at = None;
        let pool = run.stage().pool.clone();
        let slow_nonces: Vec<AttemptNonce> = run
            .progress
            .attempts
            .iter()
            .map(|live| live.nonce)
            .collect();
        self.runs.update_indexes(id);
        let Some(PickDecision::Send(server)) = self.pick_server(now, id) else {
            return;
        };
        if !self.policy.take_retry(now, &pool) {
            return;
        }
        for nonce in slow_nonces {
            out.push(NodeOutput::Cancel { nonce });
            self.end_attempt(now, id, nonce, AttemptFailure::TOO_SLOW.outcome, out);
            if let Some(run) = self.runs.get_mut(id) {
                run.join_ended_verdict(AttemptFailure::TOO_SLOW.verdict);
            }
        }
        self.dispatch(now, id, server, AttemptKind::Retry, out);
    }
}
