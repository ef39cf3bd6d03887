//! What attempts report.

use hollywheel_policy::AttemptOutcome;
use hollywheel_types::{
    AttemptNonce, ExecutionVerdict, MonoTime, RequestId, TokenCount, TokenIndex,
};

use crate::input::{AnswerEcho, AttemptEvent};
use crate::machine::NodeMachine;
use crate::output::{NodeEvent, NodeOutput, RefusalReason, ReplyPart};
use crate::retry::AttemptFailure;
use crate::run::{LiveAttempt, RequestRun};

impl NodeMachine {
    pub(crate) fn attempt_event(
        &mut self,
        now: MonoTime,
        nonce: AttemptNonce,
        event: AttemptEvent,
        out: &mut Vec<NodeOutput>,
    ) {
        if self.late_event(now, nonce, &event, out) {
            return;
        }
        let Some(id) = self.runs.by_attempt(nonce) else {
            note_stray(nonce, &event, out);
            return;
        };
        match event {
            AttemptEvent::NotSent => {
                self.attempt_failed(now, id, nonce, AttemptFailure::NOT_SENT, out);
            }
            AttemptEvent::Refused { retry_after } => {
                let failure = AttemptFailure::refused(retry_after);
                self.attempt_failed(now, id, nonce, failure, out);
            }
            AttemptEvent::Broken => {
                self.attempt_failed(now, id, nonce, AttemptFailure::BROKEN, out);
            }
            AttemptEvent::Answer { echo, output } => {
                self.answered(now, id, nonce, &echo, output, out);
            }
            AttemptEvent::Token {
                nonce: echoed,
                index,
                text,
            } if echoed == nonce => self.token(now, id, nonce, index, text, out),
            AttemptEvent::Token { .. } => self.mismatched(now, id, nonce, out),
            AttemptEvent::StreamEnd { echo, tokens } => {
                self.stream_ended(now, id, nonce, &echo, tokens, out);
            }
        }
    }

    fn answered(
        &mut self,
        now: MonoTime,
        id: RequestId,
        nonce: AttemptNonce,
        echo: &AnswerEcho,
        output: String,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        if !is_own(run, nonce, echo) || run.generates() {
            self.mismatched(now, id, nonce, out);
            return;
        }
        self.attempt_won(now, id, nonce, out);
        self.stage_done(now, id, output, out);
    }

    fn token(
        &mut self,
        now: MonoTime,
        id: RequestId,
        nonce: AttemptNonce,
        index: TokenIndex,
        text: String,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if !run.generates() {
            self.mismatched(now, id, nonce, out);
            return;
        }
        if index < run.work.next_index {
            return;
        }
        if index > run.work.next_index {
            self.break_attempt(now, id, nonce, AttemptFailure::BROKEN, out);
            return;
        }
        run.work.next_index = index.next();
        run.work.generated.push_str(&text);
        run.work.replace_at = None;
        run.times.note_token(now);
        if run.is_last_stage() && run.request.stream && run.has_caller {
            let part = ReplyPart::Token { index, text };
            out.push(NodeOutput::Reply { request: id, part });
        }
        self.runs.rearm(id);
        self.policy.attempt_progressed(now, nonce);
    }

    fn stream_ended(
        &mut self,
        now: MonoTime,
        id: RequestId,
        nonce: AttemptNonce,
        echo: &AnswerEcho,
        tokens: TokenCount,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        if !is_own(run, nonce, echo) || !run.generates() {
            self.mismatched(now, id, nonce, out);
            return;
        }
        if tokens.0 != run.work.next_index.0 {
            self.break_attempt(now, id, nonce, AttemptFailure::BROKEN, out);
            return;
        }
        let output = run.work.generated.clone();
        self.attempt_won(now, id, nonce, out);
        self.stage_done(now, id, output, out);
    }

    /// Drops an answer that is not the attempt's own; the attempt will get no other.
    fn mismatched(
        &mut self,
        now: MonoTime,
        id: RequestId,
        nonce: AttemptNonce,
        out: &mut Vec<NodeOutput>,
    ) {
        out.push(NodeOutput::Event(NodeEvent::Mismatched { nonce }));
        self.break_attempt(now, id, nonce, AttemptFailure::BROKEN, out);
    }

    fn break_attempt(
        &mut self,
        now: MonoTime,
        id: RequestId,
        nonce: AttemptNonce,
        failure: AttemptFailure,
        out: &mut Vec<NodeOutput>,
    ) {
        out.push(NodeOutput::Cancel { nonce });
        self.attempt_failed(now, id, nonce, failure, out);
    }

    /// Notes the complete answer of an attempt and cancels the others at the stage.
    fn attempt_won(
        &mut self,
        now: MonoTime,
        id: RequestId,
        nonce: AttemptNonce,
        out: &mut Vec<NodeOutput>,
    ) {
        self.end_attempt(now, id, nonce, AttemptOutcome::Answered, out);
        if let Some(run) = self.runs.get_mut(id) {
            run.note_ended(ExecutionVerdict::Ran);
        }
        self.cancel_attempts(now, id, AttemptOutcome::Cancelled, out);
    }

    /// Cancels every live attempt of a request.
    pub(crate) fn cancel_attempts(
        &mut self,
        now: MonoTime,
        id: RequestId,
        outcome: AttemptOutcome,
        out: &mut Vec<NodeOutput>,
    ) {
        let live: Vec<AttemptNonce> = match self.runs.get(id) {
            Some(run) => run.work.attempts.iter().map(|live| live.nonce).collect(),
            None => return,
        };
        for nonce in live {
            out.push(NodeOutput::Cancel { nonce });
            self.end_attempt(now, id, nonce, outcome, out);
            if let Some(run) = self.runs.get_mut(id) {
                run.note_ended(ExecutionVerdict::MayHaveRun);
            }
        }
    }

    /// Removes an attempt and tells the policy and the logs.
    pub(crate) fn end_attempt(
        &mut self,
        now: MonoTime,
        id: RequestId,
        nonce: AttemptNonce,
        outcome: AttemptOutcome,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let at = run
            .work
            .attempts
            .iter()
            .position(|live| live.nonce == nonce);
        let Some(at) = at else {
            return;
        };
        let LiveAttempt {
            server,
            pool,
            sent_at,
            ..
        } = run.work.attempts.remove(at);
        let stage = run.stage().name.clone();
        self.runs.remove_attempt(nonce);
        self.policy.attempt_finished(now, nonce, outcome);
        if !self.freed_pools.contains(&pool) {
            self.freed_pools.push(pool);
        }
        out.push(NodeOutput::Event(NodeEvent::AttemptEnded {
            request: id,
            nonce,
            stage,
            server,
            outcome,
            took: now.since(sent_at),
        }));
    }

    fn attempt_failed(
        &mut self,
        now: MonoTime,
        id: RequestId,
        nonce: AttemptNonce,
        failure: AttemptFailure,
        out: &mut Vec<NodeOutput>,
    ) {
        self.end_attempt(now, id, nonce, failure.outcome, out);
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.note_ended(failure.verdict);
        if !run.work.attempts.is_empty() {
            return;
        }
        run.work.hedge_at = None;
        run.work.replace_at = None;
        let may_repeat = run.stage().idempotent || failure.verdict.allows_retry();
        if !may_repeat {
            self.refuse(now, id, RefusalReason::BackendFailed, None, out);
            return;
        }
        self.retry(now, id, failure.retry_after, out);
    }
}

fn is_own(run: &RequestRun, nonce: AttemptNonce, echo: &AnswerEcho) -> bool {
    echo.nonce == nonce && echo.request == run.request.request && echo.stage == run.stage().name
}

/// Counts an answer to an attempt that is not live.
fn note_stray(nonce: AttemptNonce, event: &AttemptEvent, out: &mut Vec<NodeOutput>) {
    match event {
        AttemptEvent::Answer { .. }
        | AttemptEvent::Token { .. }
        | AttemptEvent::StreamEnd { .. } => {
            out.push(NodeOutput::Event(NodeEvent::Mismatched { nonce }));
        }
        AttemptEvent::NotSent | AttemptEvent::Refused { .. } | AttemptEvent::Broken => {}
    }
}
