//! The policy of one host behind one interface.

use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::ObjectSet;
use hollywheel_types::{
    AttemptNonce, MonoTime, PipelineId, PoolId, RequestClass, RequestId, ServerId, StageId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::message::{
    AdmitDecision, AdmitNotice, AdmitRequest, AttemptOutcome, PickDecision, PickRequest,
    RefuseReason, RequestEnd, SentAttempt, ServerReport,
};
use crate::settings::PolicySettings;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides about routing, admission, limits, retries, health and cost for one host.
#[derive(Debug)]
pub struct PolicyEngine {
    settings: PolicySettings,
    set: Arc<ObjectSet>,
    random: StdRng,
}

impl PolicyEngine {
    /// Creates a policy without objects.
    pub fn new(settings: PolicySettings) -> Self {
        let random = StdRng::seed_from_u64(settings.seed);
        Self {
            settings,
            set: Arc::default(),
            random,
        }
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &PolicySettings {
        &self.settings
    }

    /// Puts an object set in force. State of objects that stay is kept.
    pub fn install(&mut self, _now: MonoTime, set: &Arc<ObjectSet>) {
        self.set = Arc::clone(set);
    }

    /// Sets the number of hosts that share the limits of workspaces.
    pub fn set_hosts(&mut self, _now: MonoTime, _alive: u32) {}

    /// Decides whether a request may start.
    pub fn admit(&mut self, _now: MonoTime, _request: &AdmitRequest) -> AdmitDecision {
        AdmitDecision::Start
    }

    /// Returns decisions about requests that waited; called after every other call and at
    /// [`PolicyEngine::next_wake`].
    pub fn poll(&mut self, _now: MonoTime) -> Vec<AdmitNotice> {
        Vec::new()
    }

    /// Returns the next point at which [`PolicyEngine::poll`] has something to decide.
    pub fn next_wake(&self) -> Option<MonoTime> {
        None
    }

    /// Tells that a caller gave up while its request waited for admission.
    pub fn withdraw(&mut self, _now: MonoTime, _request: RequestId) {}

    /// Returns the expected time of a pipeline's stages from a position on.
    pub fn expected_time(
        &self,
        pipeline: &PipelineId,
        _class: RequestClass,
        from_stage: usize,
    ) -> Duration {
        let Some(object) = self.set.pipeline(pipeline) else {
            return Duration::ZERO;
        };
        let stages = object.stages.iter().skip(from_stage);
        let millis = stages
            .filter_map(|stage| self.set.stage(stage))
            .map(|stage| stage.min_ms)
            .sum();
        Duration::from_millis(millis)
    }

    /// Chooses a backend server.
    pub fn pick(&mut self, _now: MonoTime, request: &PickRequest<'_>) -> PickDecision {
        let servers: Vec<&ServerId> = self
            .set
            .pool(request.pool)
            .into_iter()
            .flat_map(|pool| &pool.servers)
            .map(|server| &server.name)
            .filter(|server| !request.exclude.contains(server))
            .collect();
        if servers.is_empty() {
            return PickDecision::Refuse {
                reason: RefuseReason::NoServer,
                retry_after: RETRY_AFTER,
            };
        }
        let at = self.random.random_range(0..servers.len());
        PickDecision::Send(servers[at].clone())
    }

    /// Spends one retry from the budget of a pool if there is one.
    pub fn take_retry(&mut self, _now: MonoTime, _pool: &PoolId) -> bool {
        true
    }

    /// Returns how long to wait for an attempt before a hedge, or none if the pool has no
    /// budget for hedges.
    pub fn hedge_after(
        &self,
        _pool: &PoolId,
        _stage: &StageId,
        _class: RequestClass,
    ) -> Option<Duration> {
        None
    }

    /// Spends one hedge from the budget of a pool if there is one.
    pub fn take_hedge(&mut self, _now: MonoTime, _pool: &PoolId) -> bool {
        false
    }

    /// Tells of an attempt that was sent.
    pub fn sent(&mut self, _now: MonoTime, _attempt: &SentAttempt) {}

    /// Tells of a token of an attempt.
    pub fn progressed(&mut self, _now: MonoTime, _nonce: AttemptNonce) {}

    /// Tells how an attempt ended.
    pub fn finished(&mut self, _now: MonoTime, _nonce: AttemptNonce, _outcome: AttemptOutcome) {}

    /// Tells how a request ended, which frees what it was admitted to.
    pub fn request_ended(&mut self, _now: MonoTime, _request: RequestId, _end: RequestEnd) {}

    /// Takes what a backend server says of its load; `age` is the time since it held.
    pub fn report(&mut self, _now: MonoTime, _report: &ServerReport, _age: Duration) {}

    /// Takes the news that a backend server is leaving, which holds for its incarnation.
    pub fn server_leaving(&mut self, _now: MonoTime, _server: &ServerId) {}

    /// Lists the backend servers that this host uses, for collecting their reports.
    pub fn subset(&self) -> Vec<ServerId> {
        self.set
            .pools
            .iter()
            .flat_map(|pool| &pool.servers)
            .map(|server| server.name.clone())
            .collect()
    }
}
