//! Dispatch of a request through the stages of its pipeline.

use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_policy::{AttemptKind, PickDecision, PickRequest, RefuseReason};
use hollywheel_types::{MonoTime, PoolId, RequestId, ServerId};

use crate::call::{attempt_call, sent_attempt};
use crate::machine::NodeMachine;
use crate::output::{NodeEvent, NodeOutput, RefusalReason};
use crate::run::{LiveAttempt, RunPhase, StageProgress};

/// Delay before servers that already failed for a request become eligible again.
const SECOND_ROUND_DELAY: Duration = Duration::from_millis(20);

/// Minimum wait for a server; without it a wait time in the past would loop without end.
const MIN_SERVER_WAIT: Duration = Duration::from_millis(1);

/// Maximum number of waiting requests that are offered the capacity freed by one attempt.
const MAX_WAITING_REPICKS: usize = 8;

/// Length in bytes of the prompt prefix that servers cache and report.
const PREFIX_BYTES: usize = 64;

impl NodeMachine {
    /// Starts the current stage with a first attempt.
    pub(crate) fn begin_stage(&mut self, now: MonoTime, id: RequestId, out: &mut Vec<NodeOutput>) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        run.progress = StageProgress::default();
        self.dispatch_or_wait(now, id, AttemptKind::First, out);
    }

    /// Advances to the next stage, or completes the request after the last one.
    pub(crate) fn stage_completed(
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
        run.previous_output = output;
        run.stage_index += 1;
        self.begin_stage(now, id, out);
    }

    /// Sends an attempt at the current stage, waits for a server or refuses the request, as the
    /// policy decides.
    pub(crate) fn dispatch_or_wait(
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
        match self.pick_server(now, id) {
            Some(PickDecision::Send(server)) => self.dispatch(now, id, server, kind, out),
            Some(PickDecision::Wait { until }) => self.wait_for_server(now, id, until, kind),
            Some(PickDecision::Refuse {
                reason,
                retry_after,
            }) => self.server_unavailable(now, id, reason, retry_after, kind, out),
            None => {}
        }
    }

    pub(crate) fn pick_server(&mut self, now: MonoTime, id: RequestId) -> Option<PickDecision> {
        let run = self.runs.get(id)?;
        let pipeline = &run.request.pipeline;
        let later_stages = self
            .policy
            .expected_time(pipeline, run.class, run.stage_index + 1);
        let stage = run.stage();
        let request = PickRequest {
            pool: &stage.pool,
            stage: &stage.name,
            class: run.class,
            model: stage.model.as_ref(),
            prefix: run.generates().then(|| prefix_of(&run.request.input)),
            exclude: &run.progress.tried_servers,
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
        let until = until.max(now + MIN_SERVER_WAIT);
        run.phase = RunPhase::AwaitingServer { until, kind };
        self.runs.update_indexes(id);
    }

    fn server_unavailable(
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
        let retry_at = now + SECOND_ROUND_DELAY;
        if reason == RefuseReason::NoServer
            && !run.progress.tried_servers.is_empty()
            && retry_at < run.deadline
        {
            run.progress.tried_servers.clear();
            self.wait_for_server(now, id, retry_at, kind);
            return;
        }
        let reason = RefusalReason::Policy(reason);
        self.refuse(now, id, reason, Some(retry_after), out);
    }

    /// Picks a server again for requests that wait for a pool in which an attempt ended.
    pub(crate) fn repick_waiting(
        &mut self,
        now: MonoTime,
        pool: &PoolId,
        out: &mut Vec<NodeOutput>,
    ) {
        for id in self.runs.waiting_for(pool, MAX_WAITING_REPICKS) {
            if let Some(RunPhase::AwaitingServer { kind, .. }) =
                self.runs.get(id).map(|run| run.phase)
            {
                self.dispatch_or_wait(now, id, kind, out);
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
        run.attempts_sent += 1;
        run.progress.attempt_count += 1;
        run.progress.tried_servers.push(server.clone());
        run.progress.attempts.push(LiveAttempt {
            nonce,
            server: server.clone(),
            pool: run.stage().pool.clone(),
            sent_at: now,
        });
        run.progress.hedge_at = timers.hedge_at.filter(|_| kind != AttemptKind::Hedge);
        run.progress.replace_at = timers.replace_at.filter(|_| kind == AttemptKind::First);
        let sent = sent_attempt(run, nonce, &server, kind);
        let call = attempt_call(run, nonce, server, address);
        self.runs.add_attempt(nonce, id);
        self.runs.update_indexes(id);
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

    /// Looks up the address of a server in the current configuration, then in the one that was
    /// in force when the request was received.
    fn address_of(&self, id: RequestId, server: &ServerId) -> Option<SocketAddr> {
        let run = self.runs.get(id)?;
        let pool = &run.stage().pool;
        self.config
            .iter()
            .chain([&run.objects])
            .filter_map(|set| set.pool(pool))
            .flat_map(|pool| &pool.servers)
            .find(|server_entry| server_entry.name == *server)
            .map(|server_entry| server_entry.address)
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
        let remaining_time = self
            .policy
            .expected_time(pipeline, run.class, run.stage_index);
        let later_time = self
            .policy
            .expected_time(pipeline, run.class, run.stage_index + 1);
        let expected = remaining_time.saturating_sub(later_time);
        // The latest time at which a new attempt still meets the deadline if the remaining stages
        // take twice as long as expected. Not used if the running attempt would have had less
        // than twice its own expected time by then.
        let replace_at = run.deadline - remaining_time * 2;
        let replaceable = replace_at > now + expected * 2 && !expected.is_zero();
        let hedge_after = match run.generates() {
            true => None,
            false => self.policy.hedge_after(&stage.pool, &stage.name, run.class),
        };
        AttemptTimers {
            hedge_at: hedge_after.map(|delay| now + delay),
            replace_at: replaceable.then_some(replace_at),
        }
    }
}

/// Times at which a slow attempt is hedged or replaced.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptTimers {
    hedge_at: Option<MonoTime>,
    replace_at: Option<MonoTime>,
}

/// Returns the hash that identifies the prefix of a prompt in server reports.
fn prefix_of(input: &str) -> u64 {
    let bytes = input.as_bytes();
    xxhash_rust::xxh3::xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}
