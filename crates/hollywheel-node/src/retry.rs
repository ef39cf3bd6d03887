//! Retries, hedges and the replacement of slow attempts.

use std::time::Duration;

use hollywheel_policy::{AttemptKind, AttemptOutcome, PickDecision, RefuseReason};
use hollywheel_types::{AttemptNonce, ExecutionVerdict, MonoTime, RequestId};

use crate::machine::NodeMachine;
use crate::output::{NodeOutput, RefusalReason};

/// Bounds the attempts at one stage.
const MAX_TRIES: u32 = 4;

/// Describes an attempt that ended without an answer.
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
        let may_retry = now < run.deadline && run.work.tries < MAX_TRIES;
        if may_retry && self.policy.take_retry(now, &pool) {
            self.pick(now, id, AttemptKind::Retry, out);
            return;
        }
        let reason = match (now >= run.deadline, retry_after) {
            (true, _) => RefusalReason::DeadlinePassed,
            (false, Some(_)) => RefusalReason::Policy(RefuseReason::Overloaded),
            (false, None) => RefusalReason::BackendFailed,
        };
        self.refuse(now, id, reason, retry_after, out);
    }

    /// Sends a hedge beside a slow attempt if the policy has a server and a budget for it.
    pub(crate) fn hedge(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<NodeOutput>) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.work.hedge_at = None;
        let pool = run.stage().pool.clone();
        let alone = run.work.attempts.len() == 1 && run.stage().idempotent;
        self.runs.rearm(id);
        if !alone {
            return;
        }
        let Some(PickDecision::Send(server)) = self.ask_policy(now, id) else {
            return;
        };
        if self.policy.take_hedge(now, &pool) {
            self.dispatch(now, id, server, AttemptKind::Hedge, out);
        }
    }

    /// Gives up an attempt that is slower than the remaining time permits.
    pub(crate) fn replace_slow(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<NodeOutput>) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.work.replace_at = None;
        let pool = run.stage().pool.clone();
        let slow: Vec<AttemptNonce> = run.work.attempts.iter().map(|live| live.nonce).collect();
        self.runs.rearm(id);
        let Some(PickDecision::Send(server)) = self.ask_policy(now, id) else {
            return;
        };
        if !self.policy.take_retry(now, &pool) {
            return;
        }
        for nonce in slow {
            out.push(NodeOutput::Cancel { nonce });
            self.end_attempt(now, id, nonce, AttemptFailure::TOO_SLOW.outcome, out);
            if let Some(run) = self.runs.get_mut(id) {
                run.note_ended(AttemptFailure::TOO_SLOW.verdict);
            }
        }
        self.dispatch(now, id, server, AttemptKind::Retry, out);
    }
}
