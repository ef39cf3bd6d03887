//! The policy of one host behind one interface.

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

use crate::estimate::TimeTable;
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

/// A caller is told to come back after this time when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Times to come back are spread by up to this part, so that callers do not come together.
const RETRY_SPREAD: f64 = 0.25;
/// A request that found every server saturated asks again after this time.
const PICK_WAIT: Duration = Duration::from_millis(10);

/// Holds an attempt in progress.
#[derive(Clone, Debug)]
struct AttemptState {
    sent: SentAttempt,
    sent_at: MonoTime,
    due: MonoTime,
    trial: bool,
    progressed: bool,
}

/// Decides about routing, admission, limits, retries, health and cost for one host.
#[derive(Debug)]
pub struct PolicyEngine {
    settings: PolicySettings,
    set: Arc<ObjectSet>,
    random: StdRng,
    now: MonoTime,
    hosts: u32,
    host_names: Vec<HostId>,
    pools: SortedMap<PoolId, PoolState>,
    owners: SortedMap<ServerId, PoolId>,
    times: TimeTable,
    gate: AdmissionGate,
    quotas: QuotaTable,
    requests: SortedMap<RequestId, RequestState>,
    attempts: SortedMap<AttemptNonce, AttemptState>,
    ledger: CostLedger,
}

impl PolicyEngine {
    /// Creates a policy without objects.
    pub fn new(settings: PolicySettings) -> Self {
        let random = StdRng::seed_from_u64(settings.seed);
        Self {
            settings,
            set: Arc::default(),
            random,
            now: MonoTime::default(),
            hosts: 1,
            host_names: Vec::new(),
            pools: SortedMap::new(),
            owners: SortedMap::new(),
            times: TimeTable::default(),
            gate: AdmissionGate::default(),
            quotas: QuotaTable::default(),
            requests: SortedMap::new(),
            attempts: SortedMap::new(),
            ledger: CostLedger::default(),
        }
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &PolicySettings {
        &self.settings
    }

    /// Puts an object set in force. State of objects that stay is kept.
    pub fn install(&mut self, now: MonoTime, set: &Arc<ObjectSet>) {
        let now = self.advance(now);
        self.set = Arc::clone(set);
        self.quotas.install(now, &set.workspaces);
        self.times.retain(|stage| set.stage(stage).is_some());
        let mut owners = Vec::new();
        let mut pools = Vec::with_capacity(set.pools.len());
        for object in &set.pools {
            let kept = self.pools.remove(&object.name);
            let mut pool = kept.unwrap_or_else(|| PoolState::new(object));
            pool.install(now, object);
            pool.refresh_subset(&self.settings, &self.host_names);
            let servers = object.servers.iter();
            owners.extend(servers.map(|entry| (entry.name.clone(), object.name.clone())));
            pools.push((object.name.clone(), pool));
        }
        self.pools = pools.into_iter().collect();
        self.owners = owners.into_iter().collect();
    }

    /// Sets the number of hosts that share the limits of workspaces.
    pub fn set_hosts(&mut self, now: MonoTime, alive: u32) {
        let now = self.advance(now);
        self.hosts = alive.max(1);
        self.quotas.set_hosts(now, self.hosts);
    }

    /// Sets the names of the hosts alive, this one included, which makes the subsets of all
    /// hosts cover large pools evenly, and their number as [`PolicyEngine::set_hosts`] does.
    pub fn set_host_names(&mut self, now: MonoTime, hosts: &[HostId]) {
        let alive = u32::try_from(hosts.len()).unwrap_or(u32::MAX);
        self.set_hosts(now, alive);
        if self.host_names == hosts {
            return;
        }
        self.host_names = hosts.to_vec();
        for pool in self.pools.values_mut() {
            pool.refresh_subset(&self.settings, &self.host_names);
        }
    }

    /// Takes the demand for a workspace at all other hosts, in requests a second, which
    /// corrects this host's share of the workspace's rate.
    pub fn set_peer_demand(&mut self, now: MonoTime, workspace: &WorkspaceId, demand: f64) {
        let now = self.advance(now);
        self.quotas.set_peers(now, workspace, demand);
    }

    /// Returns the demand for a workspace at this host, in requests a second; zero for a
    /// workspace without a rate.
    pub fn workspace_demand(&self, workspace: &WorkspaceId) -> f64 {
        self.quotas.demand(self.now, workspace)
    }

    /// Decides whether a request may start.
    pub fn admit(&mut self, now: MonoTime, request: &AdmitRequest) -> AdmitDecision {
        let now = self.advance(now);
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
        let (gate, mut context) = self.split_gate();
        let decision = gate.admit(&mut context, request, max_queued);
        if matches!(decision, AdmitDecision::Refuse { .. }) {
            self.quotas.give_back(&request.workspace);
        }
        self.spread(decision)
    }

    /// Returns decisions about requests that waited; called after every other call and at
    /// [`PolicyEngine::next_wake`].
    pub fn poll(&mut self, now: MonoTime) -> Vec<AdmitNotice> {
        self.advance(now);
        let (gate, mut context) = self.split_gate();
        let mut notices = gate.poll(&mut context);
        for notice in &mut notices {
            notice.decision = self.spread(notice.decision);
        }
        notices
    }

    /// Returns the next point at which [`PolicyEngine::poll`] has something to decide.
    pub fn next_wake(&self) -> Option<MonoTime> {
        self.gate.next_wake(self.now)
    }

    /// Tells that a caller gave up while its request waited for admission.
    pub fn withdraw(&mut self, now: MonoTime, request: RequestId) {
        self.advance(now);
        let (gate, context) = self.split_gate();
        gate.withdraw(&context, request);
    }

    /// Returns the expected time of a pipeline's stages from a position on.
    pub fn expected_time(
        &self,
        pipeline: &PipelineId,
        class: RequestClass,
        from_stage: usize,
    ) -> Duration {
        let plan = plan_pipeline(
            self.now,
            &self.set,
            &self.times,
            pipeline,
            class,
            from_stage,
        );
        plan.expected
    }

    /// Chooses a backend server.
    pub fn pick(&mut self, now: MonoTime, request: &PickRequest<'_>) -> PickDecision {
        let now = self.advance(now);
        let min_ms = self
            .set
            .stage(request.stage)
            .map_or(0, |stage| stage.min_ms);
        let least = self.times.least(now, request.stage, request.class, min_ms);
        let needed = least + request.later_stages / 2;
        let remaining = request.deadline.since(now);
        if remaining.is_zero() || remaining < needed {
            let retry_after = needed.saturating_sub(remaining).max(MIN_RETRY_AFTER);
            return self.refuse_pick(RefuseReason::DeadlineTooShort, retry_after);
        }
        let Some(pool) = self.pools.get_mut(request.pool) else {
            return self.refuse_pick(RefuseReason::NoServer, RETRY_AFTER);
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
        match choose_server(now, pool, &query, &mut self.random) {
            RouteChoice::Server(server) => PickDecision::Send(server),
            RouteChoice::Saturated { full } => {
                if full {
                    pool.pressure.note_saturated(now);
                }
                self.wait_or_refuse(now, request.deadline - needed)
            }
            RouteChoice::NoServer => {
                let trial = pool.next_trial().map(|at| at.since(now));
                let retry_after = trial.unwrap_or(RETRY_AFTER).max(MIN_RETRY_AFTER);
                self.refuse_pick(RefuseReason::NoServer, retry_after)
            }
        }
    }

    fn wait_or_refuse(&mut self, now: MonoTime, latest: MonoTime) -> PickDecision {
        if latest <= now {
            return self.refuse_pick(RefuseReason::Overloaded, MIN_RETRY_AFTER);
        }
        PickDecision::Wait {
            until: latest.min(now + PICK_WAIT),
        }
    }

    /// Spends one retry from the budget of a pool if there is one.
    pub fn take_retry(&mut self, now: MonoTime, pool: &PoolId) -> bool {
        let now = self.advance(now);
        let Some(pool) = self.pools.get_mut(pool) else {
            return false;
        };
        let taken = pool.retries.take(now);
        pool.counters.retries_denied += u64::from(!taken);
        taken
    }

    /// Returns how long to wait for an attempt before a hedge, or none if the pool has no
    /// budget for hedges.
    pub fn hedge_after(
        &self,
        pool: &PoolId,
        stage: &StageId,
        class: RequestClass,
    ) -> Option<Duration> {
        if !self.pools.get(pool)?.hedges.is_allowed() {
            return None;
        }
        self.times.hedge_after(stage, class)
    }

    /// Spends one hedge from the budget of a pool if there is one.
    pub fn take_hedge(&mut self, now: MonoTime, pool: &PoolId) -> bool {
        let now = self.advance(now);
        let Some(pool) = self.pools.get_mut(pool) else {
            return false;
        };
        let taken = pool.hedges.take(now);
        pool.counters.hedges_denied += u64::from(!taken);
        taken
    }

    /// Lists the backend servers that this host uses, for collecting their reports.
    pub fn subset(&self) -> Vec<ServerId> {
        let pools = self.pools.values();
        pools.flat_map(|pool| pool.subset.iter().cloned()).collect()
    }

    fn advance(&mut self, now: MonoTime) -> MonoTime {
        self.now = self.now.max(now);
        self.now
    }

    fn split_gate(&mut self) -> (&mut AdmissionGate, GateContext<'_>) {
        let context = GateContext {
            now: self.now,
            hosts: self.hosts,
            set: &self.set,
            times: &self.times,
            pools: &mut self.pools,
            requests: &mut self.requests,
        };
        (&mut self.gate, context)
    }

    fn spread_time(&mut self, retry_after: Duration) -> Duration {
        retry_after.mul_f64(1.0 + RETRY_SPREAD * self.random.random::<f64>())
    }

    fn spread(&mut self, decision: AdmitDecision) -> AdmitDecision {
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
            retry_after: self.spread_time(retry_after),
        }
    }

    fn refuse_pick(&mut self, reason: RefuseReason, retry_after: Duration) -> PickDecision {
        PickDecision::Refuse {
            reason,
            retry_after: self.spread_time(retry_after),
        }
    }
}
