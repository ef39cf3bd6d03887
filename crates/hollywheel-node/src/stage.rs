//! The steps of a request through its stages.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_policy::{AttemptKind, PickDecision, PickRequest, RefuseReason};
use hollywheel_types::{MonoTime, PoolId, RequestId, ServerId};

use crate::call::{attempt_call, sent_attempt};
use crate::machine::NodeMachine;
use crate::output::{NodeEvent, NodeOutput, RefusalReason};
use crate::run::{LiveAttempt, RunPhase, StageWork};

/// The pause before servers that failed are tried once more.
const SECOND_ROUND_PAUSE: Duration = Duration::from_millis(20);

/// The shortest wait for a server, so that a wait that is over already cannot spin.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Bounds the waiting requests that are asked about when one attempt ends.
const MAX_WAITING_ASKED: usize = 8;

/// The number of bytes of the input that servers cache as a prefix.
const PREFIX_BYTES: usize = 64;

impl NodeMachine {
    /// Begins the current stage.
    pub(crate) fn begin_stage(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<NodeOutput>) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.work = StageWork::default();
        self.pick(now, id, AttemptKind::First, out);
    }

    /// Goes on with the next stage, or completes the request.
    pub(crate) fn stage_done(
        &mut self,
        now: MonoTime,
        id: RequestId,
        output: String,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if run.is_last_stage() {
            self.complete(now, id, output, out);
            return;
        }
        run.previous = output;
        run.stage += 1;
        self.begin_stage(now, id, out);
    }

    /// Sends an attempt at the current stage if a server can take it.
    pub(crate) fn pick(
        &mut self,
        now: MonoTime,
        id: RequestId,
        kind: AttemptKind,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get(id) else {
            return;
        };
        if now >= run.deadline {
            self.refuse(now, id, RefusalReason::DeadlinePassed, None, out);
            return;
        }
        match self.ask_policy(now, id) {
            Some(PickDecision::Send(server)) => self.dispatch(now, id, server, kind, out),
            Some(PickDecision::Wait { until }) => self.wait_for_server(now, id, until, kind),
            Some(PickDecision::Refuse {
                reason,
                retry_after,
            }) => self.no_server(now, id, reason, retry_after, kind, out),
            None => {}
        }
    }

    pub(crate) fn ask_policy(&mut self, now: MonoTime, id: RequestId) -> Option<PickDecision> {
        let run = self.runs.get(id)?;
        let pipeline = &run.request.pipeline;
        let later_stages = self
            .policy
            .expected_time(pipeline, run.class, run.stage + 1);
        let stage = run.stage();
        let request = PickRequest {
            pool: &stage.pool,
            stage: &stage.name,
            class: run.class,
            model: stage.model.as_ref(),
            prefix: run.generates().then(|| prefix_of(&run.request.input)),
            exclude: &run.work.tried,
            deadline: run.deadline,
            later_stages,
        };
        Some(self.policy.pick(now, &request))
    }

    fn wait_for_server(
        &mut self,
        now: MonoTime,
        id: RequestId,
        until: MonoTime,
        kind: AttemptKind,
    ) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let until = until.max(now + MIN_WAIT);
        run.phase = RunPhase::Picking { until, kind };
        self.runs.rearm(id);
    }

    fn no_server(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: RefuseReason,
        retry_after: Duration,
        kind: AttemptKind,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        let again = now + SECOND_ROUND_PAUSE;
        if reason == RefuseReason::NoServer && !run.work.tried.is_empty() && again < run.deadline {
            run.work.tried.clear();
            self.wait_for_server(now, id, again, kind);
            return;
        }
        let reason = RefusalReason::Policy(reason);
        self.refuse(now, id, reason, Some(retry_after), out);
    }

    /// Asks again for requests that wait for a server of a pool at which an attempt ended.
    pub(crate) fn pick_waiting(&mut self, now: MonoTime, pool: &PoolId, out: &mut Vec<NodeOutput>) {
        for id in self.runs.waiting_for(pool, MAX_WAITING_ASKED) {
            if let Some(RunPhase::Picking { kind, .. }) = self.runs.get(id).map(|run| run.phase) {
                self.pick(now, id, kind, out);
            }
        }
    }

    pub(crate) fn dispatch(
        &mut self,
        now: MonoTime,
        id: RequestId,
        server: ServerId,
        kind: AttemptKind,
        out: &mut Vec<NodeOutput>,
    ) {
        let Some(address) = self.address_of(id, &server) else {
            let reason = RefusalReason::Policy(RefuseReason::NoServer);
            self.refuse(now, id, reason, None, out);
            return;
        };
        let nonce = self.nonces.next();
        let timers = self.attempt_timers(now, id);
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.phase = RunPhase::Running;
        run.sent += 1;
        run.work.tries += 1;
        run.work.tried.push(server.clone());
        run.work.attempts.push(LiveAttempt {
            nonce,
            server: server.clone(),
            pool: run.stage().pool.clone(),
            sent_at: now,
        });
        run.work.hedge_at = timers.hedge_at.filter(|_| kind != AttemptKind::Hedge);
        run.work.replace_at = timers.replace_at.filter(|_| kind == AttemptKind::First);
        let sent = sent_attempt(run, nonce, &server, kind);
        let call = attempt_call(run, nonce, server, address);
        self.runs.add_attempt(nonce, id);
        self.runs.rearm(id);
        self.policy.attempt_sent(now, &sent);
        out.push(NodeOutput::Event(NodeEvent::Sent {
            request: id,
            nonce,
            stage: call.stage.clone(),
            server: call.server.clone(),
            kind,
        }));
        out.push(NodeOutput::Dispatch(Box::new(call)));
    }

    /// Finds the address of a server: as it is configured now, or as it was when the request was
    /// received.
    fn address_of(&self, id: RequestId, server: &ServerId) -> Option<SocketAddr> {
        let run = self.runs.get(id)?;
        let pool = &run.stage().pool;
        self.config
            .iter()
            .chain([&run.set])
            .filter_map(|set| set.pool(pool))
            .flat_map(|pool| &pool.servers)
            .find(|entry| entry.name == *server)
            .map(|entry| entry.address)
    }

    fn attempt_timers(&self, now: MonoTime, id: RequestId) -> AttemptTimers {
        let Some(run) = self.runs.get(id) else {
            return AttemptTimers::default();
        };
        let stage = run.stage();
        if !stage.idempotent {
            return AttemptTimers::default();
        }
        let pipeline = &run.request.pipeline;
        let from_here = self.policy.expected_time(pipeline, run.class, run.stage);
        let later = self
            .policy
            .expected_time(pipeline, run.class, run.stage + 1);
        let expected = from_here.saturating_sub(later);
        // A point from which another attempt ends in time even if all takes twice as long as
        // expected, unless this one has not even had twice its expected time by then.
        let replace_at = run.deadline - from_here * 2;
        let patient = replace_at > now + expected * 2 && !expected.is_zero();
        let hedge_after = match run.generates() {
            true => None,
            false => self.policy.hedge_after(&stage.pool, &stage.name, run.class),
        };
        AttemptTimers {
            hedge_at: hedge_after.map(|span| now + span),
            replace_at: patient.then_some(replace_at),
        }
    }
}

/// Holds the points at which a slow attempt is helped.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptTimers {
    hedge_at: Option<MonoTime>,
    replace_at: Option<MonoTime>,
}

/// Returns the hash by which servers name the prefix of a prompt.
fn prefix_of(input: &str) -> u64 {
    let bytes = input.as_bytes();
    xxhash_rust::xxh3::xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}
