//! Policy engine of one host: the single entry point to all decisions of this crate.

mod feedback;
mod view;

use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::ObjectSet;
use hollywheel_types::{
    AttemptNonce, HostId, MonoTime, PipelineId, PoolId, RequestClass, RequestId, ServerId,
    SortedMap, StageId, WorkspaceId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::estimate::EstimateTable;
use crate::gate::{AdmissionGate, GateContext, RequestState};
use crate::ledger::CostLedger;
use crate::message::{
    AdmitDecision, AdmitNotice, AdmitRequest, PickDecision, PickRequest, RefuseReason, SentAttempt,
};
use crate::plan::plan_pipeline;
use crate::pool::PoolState;
use crate::quota::QuotaTable;
use crate::route::{RouteChoice, RouteQuery, choose_server};
use crate::settings::PolicySettings;

/// Retry-after hint when no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Lower bound of retry-after hints.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Largest fraction added at random to a retry-after hint, so that rejected callers do not retry
/// in synchrony.
const RETRY_JITTER: f64 = 0.25;
/// Delay before a request that found every backend server saturated picks again.
const PICK_RETRY_DELAY: Duration = Duration::from_millis(10);

/// State of an attempt in flight.
#[derive(Clone, Debug)]
struct AttemptState {
    attempt: SentAttempt,
    sent_at: MonoTime,
    /// The time after which the attempt counts as overdue.
    due: MonoTime,
    /// Whether it is the trial request of an ejected server.
    trial: bool,
    /// Whether part of the answer has arrived.
    progressed: bool,
}

/// Decides routing, admission, limits, retries, health and cost for one host, without I/O.
///
/// Times that are passed in may go backwards; the engine then keeps the latest one it has seen.
#[derive(Debug)]
pub struct PolicyEngine {
    settings: PolicySettings,
    objects: Arc<ObjectSet>,
    rng: StdRng,
    now: MonoTime,
    host_count: u32,
    host_names: Vec<HostId>,
    pools: SortedMap<PoolId, PoolState>,
    server_pools: SortedMap<ServerId, PoolId>,
    estimates: EstimateTable,
    gate: AdmissionGate,
    quotas: QuotaTable,
    requests: SortedMap<RequestId, RequestState>,
    attempts: SortedMap<AttemptNonce, AttemptState>,
    ledger: CostLedger,
}

impl PolicyEngine {
    /// Creates an engine with an empty object set.
    pub fn new(settings: PolicySettings) -> Self {
        let rng = StdRng::seed_from_u64(settings.seed);
        Self {
            settings,
            objects: Arc::default(),
            rng,
            now: MonoTime::default(),
            host_count: 1,
            host_names: Vec::new(),
            pools: SortedMap::new(),
            server_pools: SortedMap::new(),
            estimates: EstimateTable::default(),
            gate: AdmissionGate::default(),
            quotas: QuotaTable::default(),
            requests: SortedMap::new(),
            attempts: SortedMap::new(),
            ledger: CostLedger::default(),
        }
    }

    /// Returns the settings that the engine was created with.
    pub const fn settings(&self) -> &PolicySettings {
        &self.settings
    }

    /// Replaces the object set. Objects that exist in both sets keep their state.
    pub fn install(&mut self, now: MonoTime, objects: &Arc<ObjectSet>) {
        let now = self.advance_clock(now);
        self.objects = Arc::clone(objects);
        self.quotas.install(now, &objects.workspaces);
        self.estimates
            .retain(|stage| objects.stage(stage).is_some());
        let mut server_pools = Vec::new();
        let mut pools = Vec::with_capacity(objects.pools.len());
        for object in &objects.pools {
            let previous = self.pools.remove(&object.name);
            let mut pool = previous.unwrap_or_else(|| PoolState::new(object));
            pool.install(now, object);
            pool.refresh_subset(&self.settings, &self.host_names);
            let servers = object.servers.iter();
            server_pools.extend(servers.map(|entry| (entry.name.clone(), object.name.clone())));
            pools.push((object.name.clone(), pool));
        }
        self.pools = pools.into_iter().collect();
        self.server_pools = server_pools.into_iter().collect();
    }

    /// Sets the number of hosts alive, among which pool slots and workspace rates are divided.
    pub fn set_host_count(&mut self, now: MonoTime, alive: u32) {
        let now = self.advance_clock(now);
        self.host_count = alive.max(1);
        self.quotas.set_host_count(now, self.host_count);
    }

    /// Sets the names of the hosts alive, including this one, and their number as
    /// [`PolicyEngine::set_host_count`] does.
    ///
    /// The names let the subsets of all hosts cover a large pool evenly.
    pub fn set_host_names(&mut self, now: MonoTime, hosts: &[HostId]) {
        let alive = u32::try_from(hosts.len()).unwrap_or(u32::MAX);
        self.set_host_count(now, alive);
        if self.host_names == hosts {
            return;
        }
        self.host_names = hosts.to_vec();
        for pool in self.pools.values_mut() {
            pool.refresh_subset(&self.settings, &self.host_names);
        }
    }

    /// Updates the demand for a workspace at all other hosts, in requests per second, which
    /// adjusts this host's share of the workspace's rate limit.
    pub fn set_peer_demand(&mut self, now: MonoTime, workspace: &WorkspaceId, demand: f64) {
        let now = self.advance_clock(now);
        self.quotas.set_peer_demand(now, workspace, demand);
    }

    /// Returns the demand for a workspace at this host, in requests per second; zero for a
    /// workspace without a rate limit.
    pub fn workspace_demand(&self, workspace: &WorkspaceId) -> f64 {
        self.quotas.demand(self.now, workspace)
    }

    /// Decides whether a request starts now, is queued or is rejected.
    pub fn admit(&mut self, now: MonoTime, request: &AdmitRequest) -> AdmitDecision {
        let now = self.advance_clock(now);
        if self.requests.contains_key(&request.request) {
            return AdmitDecision::Start;
        }
        if self.gate.is_waiting(request.request) {
            return AdmitDecision::Wait;
        }
        let remaining = request.deadline.since(now);
        let expected = self.expected_time(&request.pipeline, request.class, 0);
        if remaining.is_zero() || remaining < expected {
            let retry_after = expected.saturating_sub(remaining).max(MIN_RETRY_AFTER);
            return self.refuse(RefuseReason::DeadlineTooShort, retry_after);
        }
        if let Err(retry_after) = self.quotas.take(now, &request.workspace) {
            return self.refuse(RefuseReason::RateLimited, retry_after);
        }
        let max_queued = self.settings.max_queued;
        let (gate, mut context) = self.gate_and_context();
        let decision = gate.admit(&mut context, request, max_queued);
        if matches!(decision, AdmitDecision::Refuse { .. }) {
            self.quotas.refund(&request.workspace);
        }
        self.jitter_decision(decision)
    }

    /// Returns decisions on queued requests.
    ///
    /// Must be called after every other call and at [`PolicyEngine::next_wake`].
    pub fn poll(&mut self, now: MonoTime) -> Vec<AdmitNotice> {
        self.advance_clock(now);
        let (gate, mut context) = self.gate_and_context();
        let mut notices = gate.poll(&mut context);
        for notice in &mut notices {
            notice.decision = self.jitter_decision(notice.decision);
        }
        notices
    }

    /// Returns the time of the next [`PolicyEngine::poll`], or `None` if no request is queued.
    pub fn next_wake(&self) -> Option<MonoTime> {
        self.gate.next_wake(self.now)
    }

    /// Removes a queued request whose caller has disconnected or timed out.
    pub fn withdraw(&mut self, now: MonoTime, request: RequestId) {
        self.advance_clock(now);
        let (gate, context) = self.gate_and_context();
        gate.withdraw(&context, request);
    }

    /// Returns the expected total latency of a pipeline's stages, starting with the stage at index
    /// `from_stage`.
    pub fn expected_time(
        &self,
        pipeline: &PipelineId,
        class: RequestClass,
        from_stage: usize,
    ) -> Duration {
        let plan = plan_pipeline(
            self.now,
            &self.objects,
            &self.estimates,
            pipeline,
            class,
            from_stage,
        );
        plan.expected
    }

    /// Chooses a backend server for an attempt.
    pub fn pick(&mut self, now: MonoTime, request: &PickRequest<'_>) -> PickDecision {
        let now = self.advance_clock(now);
        let min_ms = self
            .objects
            .stage(request.stage)
            .map_or(0, |stage| stage.min_ms);
        let optimistic = self
            .estimates
            .optimistic(now, request.stage, request.class, min_ms);
        let needed = optimistic + request.later_stages / 2;
        let remaining = request.deadline.since(now);
        if remaining.is_zero() || remaining < needed {
            let retry_after = needed.saturating_sub(remaining).max(MIN_RETRY_AFTER);
            return self.refuse_pick(RefuseReason::DeadlineTooShort, retry_after);
        }
        let Some(pool) = self.pools.get_mut(request.pool) else {
            return self.refuse_pick(RefuseReason::NoServer, DEFAULT_RETRY_AFTER);
        };
        if request.exclude.is_empty()
            && let Some(server) = pool.choose_trial(now, request.class, request.model)
        {
            return PickDecision::Send(server);
        }
        let query = RouteQuery {
            policy: self.settings.routing,
            domain: &self.settings.domain,
            class: request.class,
            model: request.model,
            prefix: request.prefix,
            exclude: request.exclude,
        };
        match choose_server(now, pool, &query, &mut self.rng) {
            RouteChoice::Server(server) => PickDecision::Send(server),
            RouteChoice::Saturated { full } => {
                if full {
                    pool.adaptive_limit.record_saturation(now);
                }
                self.wait_or_refuse(now, request.deadline - needed)
            }
            RouteChoice::NoServer => {
                let trial = pool.next_trial().map(|at| at.since(now));
                let retry_after = trial.unwrap_or(DEFAULT_RETRY_AFTER).max(MIN_RETRY_AFTER);
                self.refuse_pick(RefuseReason::NoServer, retry_after)
            }
        }
    }

    fn wait_or_refuse(&mut self, now: MonoTime, latest_start: MonoTime) -> PickDecision {
        if latest_start <= now {
            return self.refuse_pick(RefuseReason::Overloaded, MIN_RETRY_AFTER);
        }
        PickDecision::Wait {
            until: latest_start.min(now + PICK_RETRY_DELAY),
        }
    }

    /// Takes one retry from the retry budget of a pool and returns whether one was left.
    pub fn take_retry(&mut self, now: MonoTime, pool: &PoolId) -> bool {
        let now = self.advance_clock(now);
        let Some(pool) = self.pools.get_mut(pool) else {
            return false;
        };
        let granted = pool.retries.try_take(now);
        pool.counters.retries_denied += u64::from(!granted);
        granted
    }

    /// Returns how long to wait for the answer to an attempt before hedging it, or `None` if the
    /// pool has no hedge budget or the stage has too few latency samples.
    pub fn hedge_after(
        &self,
        pool: &PoolId,
        stage: &StageId,
        class: RequestClass,
    ) -> Option<Duration> {
        if !self.pools.get(pool)?.hedges.is_enabled() {
            return None;
        }
        self.estimates.hedge_after(stage, class)
    }

    /// Takes one hedge from the hedge budget of a pool and returns whether one was left.
    pub fn take_hedge(&mut self, now: MonoTime, pool: &PoolId) -> bool {
        let now = self.advance_clock(now);
        let Some(pool) = self.pools.get_mut(pool) else {
            return false;
        };
        let granted = pool.hedges.try_take(now);
        pool.counters.hedges_denied += u64::from(!granted);
        granted
    }

    /// Lists the backend servers in this host's subsets, whose load reports it must collect.
    pub fn subset(&self) -> Vec<ServerId> {
        let pools = self.pools.values();
        pools.flat_map(|pool| pool.subset.iter().cloned()).collect()
    }

    fn advance_clock(&mut self, now: MonoTime) -> MonoTime {
        self.now = self.now.max(now);
        self.now
    }

    fn gate_and_context(&mut self) -> (&mut AdmissionGate, GateContext<'_>) {
        let context = GateContext {
            now: self.now,
            host_count: self.host_count,
            objects: &self.objects,
            estimates: &self.estimates,
            pools: &mut self.pools,
            requests: &mut self.requests,
        };
        (&mut self.gate, context)
    }

    fn add_jitter(&mut self, retry_after: Duration) -> Duration {
        retry_after.mul_f64(1.0 + RETRY_JITTER * self.rng.random::<f64>())
    }

    fn jitter_decision(&mut self, decision: AdmitDecision) -> AdmitDecision {
        match decision {
            AdmitDecision::Refuse {
                reason,
                retry_after,
            } => self.refuse(reason, retry_after),
            other => other,
        }
    }

    fn refuse(&mut self, reason: RefuseReason, retry_after: Duration) -> AdmitDecision {
        AdmitDecision::Refuse {
            reason,
            retry_after: self.add_jitter(retry_after),
        }
    }

    fn refuse_pick(&mut self, reason: RefuseReason, retry_after: Duration) -> PickDecision {
        PickDecision::Refuse {
            reason,
            retry_after: self.add_jitter(retry_after),
        }
    }
}
