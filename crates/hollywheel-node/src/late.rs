//! Attempts that are still connected after the deadline of their request.

use hollywheel_policy::AttemptOutcome;
use hollywheel_types::{AttemptNonce, ExecutionVerdict, MonoTime, RequestId, SortedMap, StageId};

use crate::drain::DrainState;
use crate::input::{AnswerEcho, AttemptEvent};
use crate::machine::NodeMachine;
use crate::output::{NodeEvent, NodeOutput, RefusalReason};
use crate::run::RequestRun;

/// Holds an attempt whose request was refused at the deadline and whose claim is still held.
#[derive(Clone, Debug)]
struct LateAttempt {
    request: RequestId,
    stage: StageId,
    until: MonoTime,
}

/// Holds the attempts whose late answers may still settle a claim.
#[derive(Debug, Default)]
pub(crate) struct LateTable {
    attempts: SortedMap<AttemptNonce, LateAttempt>,
}

impl LateTable {
    pub(crate) fn next_wake(&self) -> Option<MonoTime> {
        self.attempts.values().map(|late| late.until).min()
    }

    fn due(&self, now: MonoTime) -> Vec<AttemptNonce> {
        self.attempts
            .iter()
            .filter(|(_, late)| late.until <= now)
            .map(|(nonce, _)| *nonce)
            .collect()
    }
}

impl NodeMachine {
    /// Keeps the attempt of a request that is refused at its deadline, if its answer can settle
    /// the claim. Returns whether the claim is left to it.
    ///
    /// Only the last stage counts: the answer of an earlier one is not that of the request.
    pub(crate) fn keep_late(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: RefusalReason,
        out: &mut Vec<NodeOutput>,
    ) -> bool {
        let Some(run) = self.runs.get(id) else {
            return false;
        };
        let full = self.late.attempts.len() >= self.settings.max_late;
        let serving = self.drain == DrainState::Serving;
        if reason != RefusalReason::DeadlinePassed || full || !serving || !can_settle(run) {
            return false;
        }
        let Some(nonce) = run.work.attempts.first().map(|live| live.nonce) else {
            return false;
        };
        let late = LateAttempt {
            request: id,
            stage: run.stage().name.clone(),
            until: now.max(run.deadline) + self.settings.late_grace,
        };
        self.late.attempts.insert(nonce, late);
        self.end_attempt(now, id, nonce, AttemptOutcome::TimedOut, out);
        if let Some(run) = self.runs.get_mut(id) {
            run.note_ended(ExecutionVerdict::MayHaveRun);
        }
        true
    }

    /// Takes the end of an attempt that was kept; returns whether it was one.
    pub(crate) fn late_event(
        &mut self,
        now: MonoTime,
        nonce: AttemptNonce,
        event: &AttemptEvent,
        out: &mut Vec<NodeOutput>,
    ) -> bool {
        let Some(late) = self.late.attempts.remove(&nonce) else {
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
            // The caller was told `may-have-run`; the claim says the same.
            AttemptEvent::NotSent | AttemptEvent::Refused { .. } | AttemptEvent::Broken => {
                (ExecutionVerdict::MayHaveRun, None)
            }
        };
        self.finish_late(now, late.request, verdict, output);
        true
    }

    /// Gives up the attempts whose time is over.
    pub(crate) fn end_late(&mut self, now: MonoTime, out: &mut Vec<NodeOutput>) {
        let due = self.late.due(now);
        self.cancel_late(now, &due, out);
    }

    /// Gives up every attempt that was kept.
    pub(crate) fn drain_late(&mut self, now: MonoTime, out: &mut Vec<NodeOutput>) {
        let all: Vec<AttemptNonce> = self.late.attempts.keys().copied().collect();
        self.cancel_late(now, &all, out);
    }

    fn cancel_late(&mut self, now: MonoTime, nonces: &[AttemptNonce], out: &mut Vec<NodeOutput>) {
        for nonce in nonces {
            let Some(late) = self.late.attempts.remove(nonce) else {
                continue;
            };
            out.push(NodeOutput::Cancel { nonce: *nonce });
            self.finish_late(now, late.request, ExecutionVerdict::MayHaveRun, None);
        }
    }

    fn finish_late(
        &mut self,
        now: MonoTime,
        request: RequestId,
        verdict: ExecutionVerdict,
        output: Option<String>,
    ) {
        let outputs = self.claims.finish(now, request, verdict, output);
        self.queue_claims(outputs);
    }
}

impl LateAttempt {
    fn matches(&self, nonce: AttemptNonce, echo: &AnswerEcho) -> bool {
        echo.nonce == nonce && echo.request == self.request && echo.stage == self.stage
    }
}

fn can_settle(run: &RequestRun) -> bool {
    let alone = run.work.attempts.len() == 1;
    let last = run.is_last_stage() && !run.generates();
    run.claimed && alone && last && !run.stage().idempotent
}
