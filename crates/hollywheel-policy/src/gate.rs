//! Admission control: which requests start, are queued or are rejected.

use std::time::Duration;

use hollywheel_config::ObjectSet;
use hollywheel_types::{
    MonoTime, PipelineId, PoolId, RequestClass, RequestId, SortedMap, WorkspaceId,
};

use crate::class_scheduler::ClassScheduler;
use crate::estimate::EstimateTable;
use crate::fairness::VirtualClock;
use crate::forecast::{find_infeasible, predict_wait};
use crate::lanes::{LaneTable, WaitingRequest};
use crate::ledger::PendingCost;
use crate::message::{AdmitDecision, AdmitNotice, AdmitRequest, RefuseReason};
use crate::plan::{PipelinePlan, PoolVisit, plan_pipeline};
use crate::pool::PoolState;

/// Factor on a pool's limit up to which requests of a class are admitted, indexed by class.
const CLASS_LIMIT_FACTORS: [f64; 4] = [1.25, 1.1, 1.0, 0.9];
/// Longest predicted wait of a queued request, as a fraction of the time that its stages leave
/// until the deadline. A longer queue serves no more requests and takes longer to drain.
const MAX_WAIT_FRACTION: f64 = 0.35;
/// Bound on the requests that are in progress or queued at this host.
const MAX_REQUESTS: usize = 16_384;
/// Lower bound of retry-after hints.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Interval at which queued requests are checked for free capacity.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// State of an admitted request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestState {
    pub(crate) visits: Vec<PoolVisit>,
    pub(crate) pending: PendingCost,
}

/// State of the engine that admission decisions depend on.
pub(crate) struct GateContext<'a> {
    pub(crate) now: MonoTime,
    pub(crate) host_count: u32,
    pub(crate) objects: &'a ObjectSet,
    pub(crate) estimates: &'a EstimateTable,
    pub(crate) pools: &'a mut SortedMap<PoolId, PoolState>,
    pub(crate) requests: &'a mut SortedMap<RequestId, RequestState>,
}

impl GateContext<'_> {
    /// Plans all stages of a pipeline.
    pub(crate) fn plan(&self, pipeline: &PipelineId, class: RequestClass) -> PipelinePlan {
        plan_pipeline(self.now, self.objects, self.estimates, pipeline, class, 0)
    }

    /// Returns the limit of a pool for a class; a class with scheduling credit counts as urgent.
    fn limit(&self, pool: &PoolId, class: RequestClass, has_credit: bool) -> f64 {
        let Some(pool) = self.pools.get(pool) else {
            return f64::INFINITY;
        };
        match (has_credit, class) {
            (true, _) => pool.urgent_limit(self.now, self.host_count) * CLASS_LIMIT_FACTORS[0],
            (false, RequestClass::Transaction | RequestClass::Lookup) => {
                pool.urgent_limit(self.now, self.host_count) * CLASS_LIMIT_FACTORS[class.index()]
            }
            (false, RequestClass::Interactive | RequestClass::Batch) => {
                pool.limit(self.now, self.host_count) * CLASS_LIMIT_FACTORS[class.index()]
            }
        }
    }

    /// Returns the number of requests that run concurrently in this host's share of a pool.
    pub(crate) fn pool_share(&self, pool: &PoolId) -> f64 {
        let pool = self.pools.get(pool);
        pool.map_or(f64::INFINITY, |pool| pool.share(self.now, self.host_count))
    }

    /// Returns the first pool of a plan that has no room for the request.
    fn find_full_pool<'a>(
        &self,
        plan: &'a PipelinePlan,
        class: RequestClass,
        has_credit: bool,
    ) -> Option<&'a PoolId> {
        let is_full = |visit: &&PoolVisit| {
            let admitted = self
                .pools
                .get(&visit.pool)
                .map_or(0.0, |pool| pool.admitted);
            let is_alone = admitted + visit.fraction <= 1.0;
            !is_alone && admitted + visit.fraction > self.limit(&visit.pool, class, has_credit)
        };
        plan.visits.iter().find(is_full).map(|visit| &visit.pool)
    }

    /// Starts a request and counts it in the pools of its plan.
    fn start(&mut self, request: RequestId, plan: PipelinePlan) {
        for visit in &plan.visits {
            if let Some(pool) = self.pools.get_mut(&visit.pool) {
                pool.admitted += visit.fraction;
            }
        }
        let state = RequestState {
            visits: plan.visits,
            pending: PendingCost::default(),
        };
        self.requests.insert(request, state);
    }

    fn workspace_share(&self, workspace: &WorkspaceId) -> u32 {
        self.objects
            .workspace(workspace)
            .map_or(1, |object| object.share)
    }
}

/// Admission controller with a queue for requests that find no capacity.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionGate {
    lanes: LaneTable,
    virtual_clock: VirtualClock,
    class_scheduler: ClassScheduler,
    notices: Vec<AdmitNotice>,
    last_shed: MonoTime,
}

impl AdmissionGate {
    pub(crate) fn admit(
        &mut self,
        context: &mut GateContext<'_>,
        request: &AdmitRequest,
        max_queued: usize,
    ) -> AdmitDecision {
        let plan = context.plan(&request.pipeline, request.class);
        let share = context.workspace_share(&request.workspace);
        let cost_ms = plan.cost_ms();
        let start_tag =
            self.virtual_clock
                .assign_tag(request.class, &request.workspace, cost_ms, share);
        let contended = self.is_contended(context, request.class, &plan);
        if !contended
            && context
                .find_full_pool(&plan, request.class, false)
                .is_none()
        {
            self.virtual_clock.advance(request.class, start_tag);
            context.start(request.request, plan);
            return AdmitDecision::Start;
        }
        let refusal = self.check_wait(context, request, &plan, start_tag);
        let refusal =
            refusal.or_else(|| self.evict_or_refuse(context, request, start_tag, max_queued));
        if let Some(retry_after) = refusal {
            self.virtual_clock
                .refund(request.class, &request.workspace, cost_ms, share);
            return AdmitDecision::Refuse {
                reason: RefuseReason::Overloaded,
                retry_after,
            };
        }
        self.lanes.insert(WaitingRequest {
            request: request.request,
            workspace: request.workspace.clone(),
            pipeline: request.pipeline.clone(),
            class: request.class,
            start_tag,
            cost_ms,
            expires_at: plan.latest_start(request.deadline),
        });
        AdmitDecision::Wait
    }

    pub(crate) fn is_waiting(&self, request: RequestId) -> bool {
        self.lanes.contains(request)
    }

    /// Returns whether requests of the same or a higher class are queued for a pool of the plan.
    fn is_contended(
        &self,
        context: &GateContext<'_>,
        class: RequestClass,
        plan: &PipelinePlan,
    ) -> bool {
        self.lanes.lane_lengths().any(|((lane, pipeline), _)| {
            *lane <= class && shares_pool(&context.plan(pipeline, *lane), plan)
        })
    }

    /// Returns a retry-after hint if the request would wait longer than its deadline allows, or
    /// `None` if it may be queued.
    fn check_wait(
        &self,
        context: &GateContext<'_>,
        request: &AdmitRequest,
        plan: &PipelinePlan,
        start_tag: f64,
    ) -> Option<Duration> {
        let wait = predict_wait(&self.lanes, context, request.class, plan, start_tag);
        let slack = plan.latest_start(request.deadline).since(context.now);
        let limit = slack.mul_f64(MAX_WAIT_FRACTION);
        if wait <= limit {
            return None;
        }
        Some((wait - limit).max(MIN_RETRY_AFTER))
    }

    /// Evicts a request that is served after the new one if the queue is full. Returns a
    /// retry-after hint if there is none to evict, so that the new one must be rejected.
    fn evict_or_refuse(
        &mut self,
        context: &GateContext<'_>,
        request: &AdmitRequest,
        start_tag: f64,
        max_queued: usize,
    ) -> Option<Duration> {
        let total = self.lanes.len() + context.requests.len();
        if self.lanes.len() < max_queued && total < MAX_REQUESTS {
            return None;
        }
        let Some(evicted) = self.lanes.evict_for(request.class, start_tag) else {
            return Some(POLL_INTERVAL.max(MIN_RETRY_AFTER));
        };
        self.refuse_waiting(context, &evicted);
        None
    }

    /// Rejects a request that was removed from the queue.
    fn refuse_waiting(&mut self, context: &GateContext<'_>, waiting: &WaitingRequest) {
        let share = context.workspace_share(&waiting.workspace);
        self.virtual_clock
            .refund(waiting.class, &waiting.workspace, waiting.cost_ms, share);
        let plan = context.plan(&waiting.pipeline, waiting.class);
        let wait = predict_wait(
            &self.lanes,
            context,
            waiting.class,
            &plan,
            waiting.start_tag,
        );
        self.notices.push(AdmitNotice {
            request: waiting.request,
            decision: AdmitDecision::Refuse {
                reason: RefuseReason::Overloaded,
                retry_after: wait.max(MIN_RETRY_AFTER),
            },
        });
    }

    /// Rejects queued requests that have expired and starts those that have room.
    pub(crate) fn poll(&mut self, context: &mut GateContext<'_>) -> Vec<AdmitNotice> {
        for expired in self.lanes.expire(context.now) {
            self.refuse_waiting(context, &expired);
        }
        self.shed_infeasible(context);
        while let Some(started) = self.start_next(context) {
            self.notices.push(AdmitNotice {
                request: started,
                decision: AdmitDecision::Start,
            });
        }
        std::mem::take(&mut self.notices)
    }

    /// Rejects queued requests that can no longer start in time, so that their callers learn of it
    /// early.
    fn shed_infeasible(&mut self, context: &GateContext<'_>) {
        if self.lanes.len() == 0 || context.now.since(self.last_shed) < POLL_INTERVAL {
            return;
        }
        self.last_shed = context.now;
        for request in find_infeasible(&self.lanes, context) {
            if let Some(waiting) = self.lanes.remove(request) {
                self.refuse_waiting(context, &waiting);
            }
        }
    }

    /// Starts the next queued request that has room and returns it.
    ///
    /// A full pool blocks the requests of the same and lower classes that need it, so that they
    /// cannot overtake the blocked request.
    fn start_next(&mut self, context: &mut GateContext<'_>) -> Option<RequestId> {
        if self.lanes.len() == 0 {
            return None;
        }
        let mut full_pools: Vec<(RequestClass, PoolId)> = Vec::new();
        for class in self.class_scheduler.service_order() {
            let has_credit = self.class_scheduler.has_credit(class);
            for pipeline in self.lanes.pipelines_by_tag(class) {
                let plan = context.plan(&pipeline, class);
                let is_blocked = |(above, pool): &(RequestClass, PoolId)| {
                    *above <= class && plan.visits.iter().any(|visit| visit.pool == *pool)
                };
                if full_pools.iter().any(is_blocked) {
                    continue;
                }
                if let Some(pool) = context.find_full_pool(&plan, class, has_credit) {
                    full_pools.push((class, pool.clone()));
                    continue;
                }
                return self.start_lane_head(context, class, pipeline, plan);
            }
        }
        None
    }

    fn start_lane_head(
        &mut self,
        context: &mut GateContext<'_>,
        class: RequestClass,
        pipeline: PipelineId,
        plan: PipelinePlan,
    ) -> Option<RequestId> {
        let waiting = self.lanes.class_lengths().map(|length| length > 0);
        let head = self.lanes.pop(&(class, pipeline))?;
        self.class_scheduler.record_start(class, waiting);
        self.virtual_clock.advance(class, head.start_tag);
        context.start(head.request, plan);
        Some(head.request)
    }

    /// Removes a queued request whose caller has disconnected or timed out.
    pub(crate) fn withdraw(&mut self, context: &GateContext<'_>, request: RequestId) {
        self.notices.retain(|notice| notice.request != request);
        if let Some(waiting) = self.lanes.remove(request) {
            let share = context.workspace_share(&waiting.workspace);
            self.virtual_clock
                .refund(waiting.class, &waiting.workspace, waiting.cost_ms, share);
        }
    }

    pub(crate) fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        if !self.notices.is_empty() {
            return Some(now);
        }
        let expiry = self.lanes.next_expiry()?;
        Some(expiry.min(now + POLL_INTERVAL))
    }

    pub(crate) fn class_lengths(&self) -> [usize; 4] {
        self.lanes.class_lengths()
    }
}

fn shares_pool(left: &PipelinePlan, right: &PipelinePlan) -> bool {
    let visits = &right.visits;
    let shared = |visit: &PoolVisit| visits.iter().any(|other| other.pool == visit.pool);
    left.visits.iter().any(shared)
}
