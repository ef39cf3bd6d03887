//! Feedback to the policy engine on attempts, requests and backend servers.

use std::time::Duration;

use hollywheel_types::{AttemptNonce, MonoTime, RequestId, ServerId};

use crate::engine::{AttemptState, PolicyEngine};
use crate::ledger::AttemptCost;
use crate::message::{AttemptOutcome, RequestEnd, SentAttempt, ServerReport};
use crate::pool::AttemptResult;

/// Bound on the attempts in flight that are tracked; attempts above it are ignored by limits,
/// estimates and cost accounting.
const MAX_ATTEMPTS: usize = 16_384;

impl PolicyEngine {
    /// Records that an attempt was sent.
    pub fn attempt_sent(&mut self, now: MonoTime, attempt: &SentAttempt) {
        let now = self.advance_clock(now);
        if self.attempts.len() >= MAX_ATTEMPTS || self.attempts.contains_key(&attempt.nonce) {
            return;
        }
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.pending.record_sent(attempt.kind);
        }
        let pool = self.pools.get_mut(&attempt.pool);
        let slow_after = self.estimates.hedge_after(&attempt.stage, attempt.class);
        let due = slow_after.map_or(MonoTime(u64::MAX), |slow_after| now + slow_after);
        let trial = pool.is_some_and(|pool| pool.record_sent(&attempt.server, attempt.kind, due));
        let state = AttemptState {
            attempt: attempt.clone(),
            sent_at: now,
            due,
            trial,
            progressed: false,
        };
        self.attempts.insert(attempt.nonce, state);
    }

    /// Records that part of the answer to an attempt, such as a token, has arrived.
    pub fn attempt_progressed(&mut self, now: MonoTime, nonce: AttemptNonce) {
        self.advance_clock(now);
        if let Some(attempt) = self.attempts.get_mut(&nonce) {
            attempt.progressed = true;
        }
    }

    /// Records how an attempt ended and updates health, latency estimates and cost.
    pub fn attempt_finished(
        &mut self,
        now: MonoTime,
        nonce: AttemptNonce,
        outcome: AttemptOutcome,
    ) {
        let now = self.advance_clock(now);
        let Some(state) = self.attempts.remove(&nonce) else {
            return;
        };
        let attempt = &state.attempt;
        let latency = now.since(state.sent_at);
        // A server that was still streaming its answer at the time-out is slow, not failing.
        let health_outcome = match outcome {
            AttemptOutcome::TimedOut if state.progressed => AttemptOutcome::Answered,
            other => other,
        };
        let estimate = self.estimates.get(&attempt.stage, attempt.class);
        let sample = estimate.and_then(|estimate| estimate.baseline().standardise(latency));
        if let Some(pool) = self.pools.get_mut(&attempt.pool) {
            let result = AttemptResult {
                outcome: health_outcome,
                sample,
                trial: state.trial,
                due: state.due,
            };
            pool.record_finished(now, &attempt.server, result);
        }
        if health_outcome == AttemptOutcome::Answered {
            self.estimates
                .record(now, &attempt.stage, attempt.class, latency);
        }
        let cost = AttemptCost {
            stage: attempt.stage.clone(),
            class: attempt.class,
            workspace: attempt.workspace.clone(),
            kind: attempt.kind,
            latency,
        };
        let request = self.requests.get_mut(&attempt.request);
        let pending = request.map(|request| &mut request.pending);
        self.ledger.record_attempt(cost, outcome, pending);
    }

    /// Records how a request ended and releases the capacity that it was admitted to.
    pub fn request_ended(&mut self, now: MonoTime, request: RequestId, end: RequestEnd) {
        self.advance_clock(now);
        let Some(state) = self.requests.remove(&request) else {
            let (gate, context) = self.gate_and_context();
            gate.withdraw(&context, request);
            return;
        };
        for visit in &state.visits {
            if let Some(pool) = self.pools.get_mut(&visit.pool) {
                pool.admitted = (pool.admitted - visit.fraction).max(0.0);
            }
        }
        self.ledger.record_request_end(state.pending, end);
    }

    /// Applies a load report of a backend server; `age` is the time since the server measured it.
    pub fn server_reported(&mut self, now: MonoTime, report: &ServerReport, age: Duration) {
        let now = self.advance_clock(now);
        let Some(pool_name) = self.server_pools.get(&report.server) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        if pool.apply_report(now, report, age) {
            pool.refresh_subset(&self.settings, &self.host_names);
        }
    }

    /// Marks a backend server as leaving until it reports a newer incarnation.
    pub fn server_leaving(&mut self, now: MonoTime, server: &ServerId) {
        self.advance_clock(now);
        let Some(pool_name) = self.server_pools.get(server) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(pool_name) else {
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
