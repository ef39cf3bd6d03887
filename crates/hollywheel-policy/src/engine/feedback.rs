//! What the engine is told of attempts, requests and backend servers.

use std::time::Duration;

use hollywheel_types::{AttemptNonce, MonoTime, RequestId, ServerId};

use crate::engine::{AttemptState, PolicyEngine};
use crate::ledger::AttemptCost;
use crate::message::{AttemptOutcome, RequestEnd, SentAttempt, ServerReport};
use crate::pool::AttemptEnd;

/// The most attempts in progress that are tracked; further ones count nowhere.
const MAX_ATTEMPTS: usize = 16_384;

impl PolicyEngine {
    /// Tells of an attempt that was sent.
    pub fn attempt_sent(&mut self, now: MonoTime, attempt: &SentAttempt) {
        let now = self.advance(now);
        if self.attempts.len() >= MAX_ATTEMPTS || self.attempts.contains_key(&attempt.nonce) {
            return;
        }
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.pending.note_sent(attempt.kind);
        }
        let pool = self.pools.get_mut(&attempt.pool);
        let usual = self.times.hedge_after(&attempt.stage, attempt.class);
        let due = usual.map_or(MonoTime(u64::MAX), |usual| now + usual);
        let trial = pool.is_some_and(|pool| pool.note_sent(&attempt.server, attempt.kind, due));
        let state = AttemptState {
            sent: attempt.clone(),
            sent_at: now,
            due,
            trial,
            progressed: false,
        };
        self.attempts.insert(attempt.nonce, state);
    }

    /// Tells of a token of an attempt.
    pub fn attempt_progressed(&mut self, now: MonoTime, nonce: AttemptNonce) {
        self.advance(now);
        if let Some(attempt) = self.attempts.get_mut(&nonce) {
            attempt.progressed = true;
        }
    }

    /// Tells how an attempt ended.
    pub fn attempt_finished(
        &mut self,
        now: MonoTime,
        nonce: AttemptNonce,
        outcome: AttemptOutcome,
    ) {
        let now = self.advance(now);
        let Some(attempt) = self.attempts.remove(&nonce) else {
            return;
        };
        let sent = &attempt.sent;
        let took = now.since(attempt.sent_at);
        // A server that was still delivering when the time was over is slow, not failing.
        let judged = match outcome {
            AttemptOutcome::TimedOut if attempt.progressed => AttemptOutcome::Answered,
            other => other,
        };
        let estimate = self.times.get(&sent.stage, sent.class);
        let sample = estimate.and_then(|estimate| estimate.baseline().standardise(took));
        if let Some(pool) = self.pools.get_mut(&sent.pool) {
            let end = AttemptEnd {
                outcome: judged,
                sample,
                trial: attempt.trial,
                due: attempt.due,
            };
            pool.note_finished(now, &sent.server, end);
        }
        if judged == AttemptOutcome::Answered {
            self.times.record(now, &sent.stage, sent.class, took);
        }
        let cost = AttemptCost {
            stage: sent.stage.clone(),
            class: sent.class,
            workspace: sent.workspace.clone(),
            kind: sent.kind,
            took,
        };
        let request = self.requests.get_mut(&sent.request);
        let pending = request.map(|request| &mut request.pending);
        self.ledger.finish(cost, outcome, pending);
    }

    /// Tells how a request ended, which frees what it was admitted to.
    pub fn request_ended(&mut self, now: MonoTime, request: RequestId, end: RequestEnd) {
        self.advance(now);
        let Some(state) = self.requests.remove(&request) else {
            let (gate, context) = self.split_gate();
            gate.withdraw(&context, request);
            return;
        };
        for leg in &state.legs {
            if let Some(pool) = self.pools.get_mut(&leg.pool) {
                pool.admitted = (pool.admitted - leg.part).max(0.0);
            }
        }
        self.ledger.settle(state.pending, end);
    }

    /// Takes what a backend server says of its load; `age` is the time since it held.
    pub fn server_reported(&mut self, now: MonoTime, report: &ServerReport, age: Duration) {
        let now = self.advance(now);
        let Some(owner) = self.owners.get(&report.server) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(owner) else {
            return;
        };
        if pool.take_report(now, report, age) {
            pool.refresh_subset(&self.settings, &self.host_names);
        }
    }

    /// Takes the news that a backend server is leaving, which holds for its incarnation.
    pub fn server_leaving(&mut self, now: MonoTime, server: &ServerId) {
        self.advance(now);
        let Some(owner) = self.owners.get(server) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(owner) else {
            return;
        };
        let Some(state) = pool.servers.get_mut(server) else {
            return;
        };
        if !state.leaving {
            state.leaving = true;
            pool.refresh_subset(&self.settings, &self.host_names);
        }
    }
}
