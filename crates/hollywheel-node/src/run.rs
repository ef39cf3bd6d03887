//! State of one request in progress.

use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::{ObjectSet, StageKind, StageObject};
use hollywheel_policy::AttemptKind;
use hollywheel_types::{
    AttemptNonce, ExecutionVerdict, MonoTime, PoolId, RequestClass, ServerId, TokenCount,
    TokenIndex,
};

use crate::input::{CallTicket, CallerRequest};

/// What a request is waiting for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunPhase {
    /// The admission decision of the policy.
    Queued,
    /// Nothing; admission was denied and the request is being refused.
    NotAdmitted,
    /// The claim of its idempotency key, or the answer of the host that issued the key.
    AwaitingClaim,
    /// A backend server with free capacity; it is picked again at `until` at the latest.
    AwaitingServer { until: MonoTime, kind: AttemptKind },
    /// The outcome of the attempts at the current stage.
    Running,
}

/// Attempt that was sent and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct LiveAttempt {
    pub(crate) nonce: AttemptNonce,
    pub(crate) server: ServerId,
    pub(crate) pool: PoolId,
    pub(crate) sent_at: MonoTime,
}

/// Progress of a request within its current stage.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageProgress {
    pub(crate) attempts: Vec<LiveAttempt>,
    /// Servers to exclude from the next pick.
    pub(crate) tried_servers: Vec<ServerId>,
    /// Number of attempts sent at the stage.
    pub(crate) attempt_count: u32,
    /// When to send a hedge beside the running attempt.
    pub(crate) hedge_at: Option<MonoTime>,
    /// When to cancel the running attempt and try another server.
    pub(crate) replace_at: Option<MonoTime>,
    /// Text of all tokens received so far, from every attempt at the stage.
    pub(crate) generated: String,
    /// Position of the next token expected.
    pub(crate) next_index: TokenIndex,
}

/// Token latencies of a request as its caller sees them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunTimings {
    pub(crate) first_token: Option<MonoTime>,
    pub(crate) last_token: Option<MonoTime>,
    pub(crate) longest_gap: Option<Duration>,
}

impl RunTimings {
    pub(crate) fn record_token(&mut self, now: MonoTime) {
        self.first_token.get_or_insert(now);
        if let Some(last) = self.last_token {
            let gap = now.since(last);
            self.longest_gap = Some(self.longest_gap.map_or(gap, |longest| longest.max(gap)));
        }
        self.last_token = Some(now);
    }
}

/// Request in progress.
#[derive(Clone, Debug)]
pub(crate) struct RequestRun {
    pub(crate) request: CallerRequest,
    /// Configuration that was in force when the request was received.
    pub(crate) objects: Arc<ObjectSet>,
    /// Stages of the pipeline, in order.
    pub(crate) stages: Vec<StageObject>,
    pub(crate) class: RequestClass,
    pub(crate) received: MonoTime,
    pub(crate) deadline: MonoTime,
    pub(crate) phase: RunPhase,
    /// Whether the policy admitted the request.
    pub(crate) admitted: bool,
    /// Whether the request holds the claim of its idempotency key.
    pub(crate) claimed: bool,
    /// Ticket of the forward to the host that issued the idempotency key, while one is pending.
    pub(crate) forward_ticket: Option<CallTicket>,
    /// Whether a forward to the issuer of the idempotency key could not be sent.
    pub(crate) issuer_unreached: bool,
    /// Whether the caller is still connected.
    pub(crate) has_caller: bool,
    /// Index of the current stage in `stages`.
    pub(crate) stage_index: usize,
    /// Output of the stage before the current one; empty for the first stage.
    pub(crate) previous_output: String,
    pub(crate) progress: StageProgress,
    /// Joined verdict of all attempts that ended.
    pub(crate) ended_verdict: ExecutionVerdict,
    /// Joined verdict of the ended attempts at non-idempotent stages.
    pub(crate) ended_effect_verdict: ExecutionVerdict,
    /// Number of attempts sent at all stages.
    pub(crate) attempts_sent: u32,
    pub(crate) timings: RunTimings,
}

impl RequestRun {
    /// Returns whether the pipeline has a non-idempotent stage.
    pub(crate) fn needs_claim(&self) -> bool {
        self.stages.iter().any(|stage| !stage.idempotent)
    }

    pub(crate) fn stage(&self) -> &StageObject {
        &self.stages[self.stage_index]
    }

    pub(crate) fn is_last_stage(&self) -> bool {
        self.stage_index + 1 == self.stages.len()
    }

    pub(crate) fn generates(&self) -> bool {
        self.stage().kind == StageKind::Generate
    }

    /// Returns the execution verdict for a refusal at this point. A refused request has no
    /// complete answer, so stages that did run count as `may-have-run`.
    pub(crate) fn refusal_verdict(&self) -> ExecutionVerdict {
        let sent = !self.progress.attempts.is_empty() || self.forward_ticket.is_some();
        verdict_of(sent || self.ended_verdict != ExecutionVerdict::NotRun)
    }

    /// Returns the execution verdict on the non-idempotent stages, assuming that no complete
    /// answer arrives.
    pub(crate) fn effect_verdict(&self) -> ExecutionVerdict {
        let sent = !self.progress.attempts.is_empty() && !self.stage().idempotent;
        verdict_of(sent || self.ended_effect_verdict != ExecutionVerdict::NotRun)
    }

    /// Merges in the verdict of an attempt that ended at the current stage.
    pub(crate) fn join_ended_verdict(&mut self, verdict: ExecutionVerdict) {
        self.ended_verdict = self.ended_verdict.join(verdict);
        if !self.stage().idempotent {
            self.ended_effect_verdict = self.ended_effect_verdict.join(verdict);
        }
    }

    pub(crate) fn max_tokens(&self) -> TokenCount {
        let allowed = self.stage().max_tokens.unwrap_or_default();
        match self.request.max_tokens {
            Some(wanted) => wanted.min(allowed),
            None => allowed,
        }
    }

    /// Returns when the next timer of the request is due; the deadline at the latest.
    pub(crate) fn next_wake(&self) -> MonoTime {
        let pick_until = match self.phase {
            RunPhase::AwaitingServer { until, .. } => Some(until),
            RunPhase::Queued
            | RunPhase::NotAdmitted
            | RunPhase::AwaitingClaim
            | RunPhase::Running => None,
        };
        [pick_until, self.progress.hedge_at, self.progress.replace_at]
            .into_iter()
            .flatten()
            .fold(self.deadline, MonoTime::min)
    }
}

const fn verdict_of(may_have_run: bool) -> ExecutionVerdict {
    match may_have_run {
        true => ExecutionVerdict::MayHaveRun,
        false => ExecutionVerdict::NotRun,
    }
}
