//! What the machine keeps about one request in progress.

use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::{ObjectSet, StageKind, StageObject};
use hollywheel_policy::AttemptKind;
use hollywheel_types::{
    AttemptNonce, ExecutionVerdict, MonoTime, PoolId, RequestClass, ServerId, TokenCount,
    TokenIndex,
};

use crate::input::{CallTicket, CallerRequest};

/// Says what a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunPhase {
    /// The decision of the policy whether it may start.
    Queued,
    /// Nothing any more: the policy has decided against it.
    NotAdmitted,
    /// The claim of its key.
    Claiming,
    /// A backend server.
    Picking { until: MonoTime, kind: AttemptKind },
    /// An attempt.
    Running,
}

/// Holds an attempt that was sent and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct LiveAttempt {
    pub(crate) nonce: AttemptNonce,
    pub(crate) server: ServerId,
    pub(crate) pool: PoolId,
    pub(crate) sent_at: MonoTime,
}

/// Holds the state of the stage that a request is in.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageWork {
    pub(crate) attempts: Vec<LiveAttempt>,
    pub(crate) tried: Vec<ServerId>,
    pub(crate) tries: u32,
    pub(crate) hedge_at: Option<MonoTime>,
    pub(crate) replace_at: Option<MonoTime>,
    pub(crate) generated: String,
    pub(crate) next_index: TokenIndex,
}

/// Measures what the caller sees.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunTimes {
    pub(crate) first_token: Option<MonoTime>,
    pub(crate) last_token: Option<MonoTime>,
    pub(crate) longest_gap: Option<Duration>,
}

impl RunTimes {
    pub(crate) fn note_token(&mut self, now: MonoTime) {
        self.first_token.get_or_insert(now);
        if let Some(last) = self.last_token {
            let gap = now.since(last);
            self.longest_gap = Some(self.longest_gap.map_or(gap, |longest| longest.max(gap)));
        }
        self.last_token = Some(now);
    }
}

/// Holds a request in progress.
#[derive(Clone, Debug)]
pub(crate) struct RequestRun {
    pub(crate) request: CallerRequest,
    /// The objects that were in force when the request was received.
    pub(crate) set: Arc<ObjectSet>,
    pub(crate) stages: Vec<StageObject>,
    pub(crate) class: RequestClass,
    pub(crate) received: MonoTime,
    pub(crate) deadline: MonoTime,
    pub(crate) phase: RunPhase,
    /// Whether the policy admitted it.
    pub(crate) admitted: bool,
    /// Whether it holds the claim of its key.
    pub(crate) claimed: bool,
    /// The question by which it was handed to the issuer of its key.
    pub(crate) forwarded: Option<CallTicket>,
    /// Whether the issuer of its key was not reached.
    pub(crate) unreached: bool,
    /// Whether the caller still waits.
    pub(crate) has_caller: bool,
    pub(crate) stage: usize,
    pub(crate) previous: String,
    pub(crate) work: StageWork,
    /// The joined verdicts of the attempts that ended.
    pub(crate) ended: ExecutionVerdict,
    /// The joined verdicts of the attempts at non-idempotent stages that ended.
    pub(crate) ended_effects: ExecutionVerdict,
    pub(crate) sent: u32,
    pub(crate) times: RunTimes,
}

impl RequestRun {
    /// Says whether the pipeline has a stage that may run only once.
    pub(crate) fn needs_claim(&self) -> bool {
        self.stages.iter().any(|stage| !stage.idempotent)
    }

    pub(crate) fn stage(&self) -> &StageObject {
        &self.stages[self.stage]
    }

    pub(crate) fn is_last_stage(&self) -> bool {
        self.stage + 1 == self.stages.len()
    }

    pub(crate) fn generates(&self) -> bool {
        self.stage().kind == StageKind::Generate
    }

    /// Returns the verdict that a refusal now carries. No complete answer is known then, so
    /// what ran before counts as `may-have-run`.
    pub(crate) fn refusal_verdict(&self) -> ExecutionVerdict {
        let sent = !self.work.attempts.is_empty() || self.forwarded.is_some();
        verdict_of(sent || self.ended != ExecutionVerdict::NotRun)
    }

    /// Returns the verdict about the non-idempotent stages without a complete answer.
    pub(crate) fn effect_verdict(&self) -> ExecutionVerdict {
        let sent = !self.work.attempts.is_empty() && !self.stage().idempotent;
        verdict_of(sent || self.ended_effects != ExecutionVerdict::NotRun)
    }

    /// Joins the verdict of an attempt at the current stage that ended.
    pub(crate) fn note_ended(&mut self, verdict: ExecutionVerdict) {
        self.ended = self.ended.join(verdict);
        if !self.stage().idempotent {
            self.ended_effects = self.ended_effects.join(verdict);
        }
    }

    pub(crate) fn max_tokens(&self) -> TokenCount {
        let allowed = self.stage().max_tokens.unwrap_or_default();
        match self.request.max_tokens {
            Some(wanted) => wanted.min(allowed),
            None => allowed,
        }
    }

    /// Returns the next point at which something is due.
    pub(crate) fn wake(&self) -> MonoTime {
        let pick = match self.phase {
            RunPhase::Picking { until, .. } => Some(until),
            RunPhase::Queued | RunPhase::NotAdmitted | RunPhase::Claiming | RunPhase::Running => {
                None
            }
        };
        [pick, self.work.hedge_at, self.work.replace_at]
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
