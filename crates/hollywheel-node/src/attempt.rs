//! Events of attempts in flight.

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
        if self.handle_late_event(now, nonce, &event, out) {
            return;
        }
        let Some(id) = self.runs.find_by_attempt(nonce) else {
            report_unmatched(nonce, &event, out);
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
                self.answer_received(now, id, nonce, &echo, output, out);
            }
            AttemptEvent::Token {
                nonce: echoed,
                index,
                text,
            } if echoed == nonce => self.token_received(now, id, nonce, index, text, out),
            AttemptEvent::Token { .. } => self.reject_mismatched(now, id, nonce, out),
            AttemptEvent::StreamEnd { echo, tokens } => {
                self.stream_ended(now, id, nonce, &echo, tokens, out);
            }
        }
    }

    fn answer_received(
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
        if !echo_matches(run, nonce, echo) || run.generates() {
            self.reject_mismatched(now, id, nonce, out);
            return;
        }
        self.attempt_answered(now, id, nonce, out);
        self.stage_completed(now, id, output, out);
    }

    fn token_received(
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
            self.reject_mismatched(now, id, nonce, out);
            return;
        }
        if index < run.progress.next_index {
            // Duplicate of a token that was already delivered.
            return;
        }
        if index > run.progress.next_index {
            self.cancel_and_fail(now, id, nonce, AttemptFailure::BROKEN, out);
            return;
        }
        run.progress.next_index = index.next();
        run.progress.generated.push_str(&text);
        run.progress.replace_at = None;
        run.timings.record_token(now);
        if run.is_last_stage() && run.request.stream && run.has_caller {
            let part = ReplyPart::Token { index, text };
            out.push(NodeOutput::Reply { request: id, part });
        }
        self.runs.update_indexes(id);
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
        if !echo_matches(run, nonce, echo) || !run.generates() {
            self.reject_mismatched(now, id, nonce, out);
            return;
        }
        if tokens.0 != run.progress.next_index.0 {
            self.cancel_and_fail(now, id, nonce, AttemptFailure::BROKEN, out);
            return;
        }
        let output = run.progress.generated.clone();
        self.attempt_answered(now, id, nonce, out);
        self.stage_completed(now, id, output, out);
    }

    /// Drops an answer whose echoed identifiers do not match the attempt and fails the attempt,
    /// since no other answer can arrive on its connection.
    fn reject_mismatched(
        &mut self,
        now: MonoTime,
        id: RequestId,
        nonce: AttemptNonce,
        out: &mut Vec<NodeOutput>,
    ) {
        out.push(NodeOutput::Event(NodeEvent::Mismatched { nonce }));
        self.cancel_and_fail(now, id, nonce, AttemptFailure::BROKEN, out);
    }

    fn cancel_and_fail(
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

    /// Records the complete answer of an attempt and cancels the other attempts at the stage.
    fn attempt_answered(
        &mut self,
        now: MonoTime,
        id: RequestId,
        nonce: AttemptNonce,
        out: &mut Vec<NodeOutput>,
    ) {
        self.end_attempt(now, id, nonce, AttemptOutcome::Answered, out);
        if let Some(run) = self.runs.get_mut(id) {
            run.join_ended_verdict(ExecutionVerdict::Ran);
        }
        self.cancel_attempts(now, id, AttemptOutcome::Cancelled, out);
    }

    /// Cancels all attempts of a request that are in flight.
    pub(crate) fn cancel_attempts(
        &mut self,
        now: MonoTime,
        id: RequestId,
        outcome: AttemptOutcome,
        out: &mut Vec<NodeOutput>,
    ) {
        let live: Vec<AttemptNonce> = match self.runs.get(id) {
            Some(run) => run
                .progress
                .attempts
                .iter()
                .map(|live| live.nonce)
                .collect(),
            None => return,
        };
        for nonce in live {
            out.push(NodeOutput::Cancel { nonce });
            self.end_attempt(now, id, nonce, outcome, out);
            if let Some(run) = self.runs.get_mut(id) {
                run.join_ended_verdict(ExecutionVerdict::MayHaveRun);
            }
        }
    }

    /// Removes an attempt, reports its outcome to the policy and emits an event.
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
        let index = run
            .progress
            .attempts
            .iter()
            .position(|live| live.nonce == nonce);
        let Some(index) = index else {
            return;
        };
        let LiveAttempt {
            server,
            pool,
            sent_at,
            ..
        } = run.progress.attempts.remove(index);
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
        run.join_ended_verdict(failure.verdict);
        if !run.progress.attempts.is_empty() {
            return;
        }
        run.progress.hedge_at = None;
        run.progress.replace_at = None;
        let may_retry = run.stage().idempotent || failure.verdict.allows_retry();
        if !may_retry {
            self.refuse(now, id, RefusalReason::BackendFailed, None, out);
            return;
        }
        self.retry(now, id, failure.retry_after, out);
    }
}

fn echo_matches(run: &RequestRun, nonce: AttemptNonce, echo: &AnswerEcho) -> bool {
    echo.nonce == nonce && echo.request == run.request.request && echo.stage == run.stage().name
}

/// Emits a mismatch event for an answer to an attempt that is no longer in flight.
fn report_unmatched(nonce: AttemptNonce, event: &AttemptEvent, out: &mut Vec<NodeOutput>) {
    match event {
        AttemptEvent::Answer { .. }
        | AttemptEvent::Token { .. }
        | AttemptEvent::StreamEnd { .. } => {
            out.push(NodeOutput::Event(NodeEvent::Mismatched { nonce }));
        }
        AttemptEvent::NotSent | AttemptEvent::Refused { .. } | AttemptEvent::Broken => {}
    }
}
