//! Admission: which requests start, wait or are refused.

use std::time::Duration;

use hollywheel_config::ObjectSet;
use hollywheel_types::{
    MonoTime, PipelineId, PoolId, RequestClass, RequestId, SortedMap, WorkspaceId,
};

use crate::estimate::TimeTable;
use crate::fairness::FairClock;
use crate::forecast::{find_hopeless, predict_wait};
use crate::lanes::{LaneTable, WaitingRequest};
use crate::ledger::PendingCost;
use crate::message::{AdmitDecision, AdmitNotice, AdmitRequest, RefuseReason};
use crate::plan::{PipelinePlan, PlanLeg, plan_pipeline};
use crate::pool::PoolState;
use crate::turns::ClassTurns;

/// The part of a pool's limit up to which requests of a class start.
const LIMIT_PART: [f64; 4] = [1.25, 1.1, 1.0, 0.9];
/// The part of the time left over by the stages that a request may be predicted to wait. A
/// longer queue serves no more requests and takes longer to drain.
const MAX_WAIT: f64 = 0.35;
/// The most requests that are in progress or wait at this host.
const MAX_REQUESTS: usize = 16_384;
/// The shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// While requests wait, room is looked for again after this time.
const POLL_SPAN: Duration = Duration::from_millis(50);

/// Holds a request that was admitted.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestState {
    pub(crate) legs: Vec<PlanLeg>,
    pub(crate) pending: PendingCost,
}

/// Holds what admission decides with.
pub(crate) struct GateContext<'a> {
    pub(crate) now: MonoTime,
    pub(crate) hosts: u32,
    pub(crate) set: &'a ObjectSet,
    pub(crate) times: &'a TimeTable,
    pub(crate) pools: &'a mut SortedMap<PoolId, PoolState>,
    pub(crate) requests: &'a mut SortedMap<RequestId, RequestState>,
}

impl GateContext<'_> {
    pub(crate) fn plan(&self, pipeline: &PipelineId, class: RequestClass) -> PipelinePlan {
        plan_pipeline(self.now, self.set, self.times, pipeline, class, 0)
    }

    /// Returns the limit of a pool for a class; a class that is owed a start is urgent.
    fn limit(&self, pool: &PoolId, class: RequestClass, owed: bool) -> f64 {
        let Some(pool) = self.pools.get(pool) else {
            return f64::INFINITY;
        };
        match (owed, class) {
            (true, _) => pool.urgent_limit(self.now, self.hosts) * LIMIT_PART[0],
            (false, RequestClass::Transaction | RequestClass::Lookup) => {
                pool.urgent_limit(self.now, self.hosts) * LIMIT_PART[class.index()]
            }
            (false, RequestClass::Interactive | RequestClass::Batch) => {
                pool.limit(self.now, self.hosts) * LIMIT_PART[class.index()]
            }
        }
    }

    /// Returns the requests that this host's share of a pool runs at once.
    pub(crate) fn share_of(&self, pool: &PoolId) -> f64 {
        let pool = self.pools.get(pool);
        pool.map_or(f64::INFINITY, |pool| pool.share(self.now, self.hosts))
    }

    /// Finds the pool of a plan that has no room for it.
    fn full_pool<'a>(
        &self,
        plan: &'a PipelinePlan,
        class: RequestClass,
        owed: bool,
    ) -> Option<&'a PoolId> {
        let is_full = |leg: &&PlanLeg| {
            let admitted = self.pools.get(&leg.pool).map_or(0.0, |pool| pool.admitted);
            let sole = admitted + leg.part <= 1.0;
            !sole && admitted + leg.part > self.limit(&leg.pool, class, owed)
        };
        plan.legs.iter().find(is_full).map(|leg| &leg.pool)
    }

    fn start(&mut self, request: RequestId, plan: PipelinePlan) {
        for leg in &plan.legs {
            if let Some(pool) = self.pools.get_mut(&leg.pool) {
                pool.admitted += leg.part;
            }
        }
        let state = RequestState {
            legs: plan.legs,
            pending: PendingCost::default(),
        };
        self.requests.insert(request, state);
    }

    fn share(&self, workspace: &WorkspaceId) -> u32 {
        self.set
            .workspace(workspace)
            .map_or(1, |object| object.share)
    }
}

/// Decides about admission.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionGate {
    lanes: LaneTable,
    clock: FairClock,
    turns: ClassTurns,
    notices: Vec<AdmitNotice>,
    shed_at: MonoTime,
}

impl AdmissionGate {
    pub(crate) fn admit(
        &mut self,
        context: &mut GateContext<'_>,
        request: &AdmitRequest,
        max_queued: usize,
    ) -> AdmitDecision {
        let plan = context.plan(&request.pipeline, request.class);
        let share = context.share(&request.workspace);
        let cost = plan.cost();
        let tag = self
            .clock
            .tag(request.class, &request.workspace, cost, share);
        let contended = self.is_contended(context, request.class, &plan);
        if !contended && context.full_pool(&plan, request.class, false).is_none() {
            self.clock.start(request.class, tag);
            context.start(request.request, plan);
            return AdmitDecision::Start;
        }
        let refusal = self.check_wait(context, request, &plan, tag);
        let refusal = refusal.or_else(|| self.make_space(context, request, tag, max_queued));
        if let Some(retry_after) = refusal {
            self.clock
                .give_back(request.class, &request.workspace, cost, share);
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
            tag,
            cost,
            give_up: plan.latest_start(request.deadline),
        });
        AdmitDecision::Wait
    }

    pub(crate) fn is_waiting(&self, request: RequestId) -> bool {
        self.lanes.contains(request)
    }

    /// Says whether requests of the class or a higher one wait for a pool of the plan.
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

    /// Refuses a request that would wait longer than its deadline allows.
    fn check_wait(
        &self,
        context: &GateContext<'_>,
        request: &AdmitRequest,
        plan: &PipelinePlan,
        tag: f64,
    ) -> Option<Duration> {
        let wait = predict_wait(&self.lanes, context, request.class, plan, tag);
        let slack = plan.latest_start(request.deadline).since(context.now);
        let limit = slack.mul_f64(MAX_WAIT);
        if wait <= limit {
            return None;
        }
        Some((wait - limit).max(MIN_RETRY_AFTER))
    }

    /// Evicts a request of lower claim when the queue is full, or refuses the newcomer.
    fn make_space(
        &mut self,
        context: &GateContext<'_>,
        request: &AdmitRequest,
        tag: f64,
        max_queued: usize,
    ) -> Option<Duration> {
        let total = self.lanes.len() + context.requests.len();
        if self.lanes.len() < max_queued && total < MAX_REQUESTS {
            return None;
        }
        let Some(evicted) = self.lanes.evict_for(request.class, tag) else {
            return Some(POLL_SPAN.max(MIN_RETRY_AFTER));
        };
        self.refuse_waiting(context, &evicted);
        None
    }

    fn refuse_waiting(&mut self, context: &GateContext<'_>, waiting: &WaitingRequest) {
        let share = context.share(&waiting.workspace);
        self.clock
            .give_back(waiting.class, &waiting.workspace, waiting.cost, share);
        let plan = context.plan(&waiting.pipeline, waiting.class);
        let wait = predict_wait(&self.lanes, context, waiting.class, &plan, waiting.tag);
        self.notices.push(AdmitNotice {
            request: waiting.request,
            decision: AdmitDecision::Refuse {
                reason: RefuseReason::Overloaded,
                retry_after: wait.max(MIN_RETRY_AFTER),
            },
        });
    }

    /// Refuses what waited too long and starts what has room.
    pub(crate) fn poll(&mut self, context: &mut GateContext<'_>) -> Vec<AdmitNotice> {
        for expired in self.lanes.expire(context.now) {
            self.refuse_waiting(context, &expired);
        }
        self.shed(context);
        while let Some(started) = self.start_next(context) {
            self.notices.push(AdmitNotice {
                request: started,
                decision: AdmitDecision::Start,
            });
        }
        std::mem::take(&mut self.notices)
    }

    /// Refuses requests that can no longer start in time, so that their callers know at once.
    fn shed(&mut self, context: &GateContext<'_>) {
        if self.lanes.len() == 0 || context.now.since(self.shed_at) < POLL_SPAN {
            return;
        }
        self.shed_at = context.now;
        for request in find_hopeless(&self.lanes, context) {
            if let Some(waiting) = self.lanes.remove(request) {
                self.refuse_waiting(context, &waiting);
            }
        }
    }

    fn start_next(&mut self, context: &mut GateContext<'_>) -> Option<RequestId> {
        if self.lanes.len() == 0 {
            return None;
        }
        let mut full: Vec<(RequestClass, PoolId)> = Vec::new();
        for class in self.turns.order() {
            let owed = self.turns.is_owed(class);
            for pipeline in self.lanes.lanes_of(class) {
                let plan = context.plan(&pipeline, class);
                let barred = |(above, pool): &(RequestClass, PoolId)| {
                    *above <= class && plan.legs.iter().any(|leg| leg.pool == *pool)
                };
                if full.iter().any(barred) {
                    continue;
                }
                if let Some(pool) = context.full_pool(&plan, class, owed) {
                    full.push((class, pool.clone()));
                    continue;
                }
                return self.start_lane(context, class, pipeline, plan);
            }
        }
        None
    }

    fn start_lane(
        &mut self,
        context: &mut GateContext<'_>,
        class: RequestClass,
        pipeline: PipelineId,
        plan: PipelinePlan,
    ) -> Option<RequestId> {
        let waiting = self.lanes.class_lengths().map(|length| length > 0);
        let first = self.lanes.pop(&(class, pipeline))?;
        self.turns.serve(class, waiting);
        self.clock.start(class, first.tag);
        context.start(first.request, plan);
        Some(first.request)
    }

    /// Forgets a request whose caller gave up.
    pub(crate) fn withdraw(&mut self, context: &GateContext<'_>, request: RequestId) {
        self.notices.retain(|notice| notice.request != request);
        if let Some(waiting) = self.lanes.remove(request) {
            let share = context.share(&waiting.workspace);
            self.clock
                .give_back(waiting.class, &waiting.workspace, waiting.cost, share);
        }
    }

    pub(crate) fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        if !self.notices.is_empty() {
            return Some(now);
        }
        let expiry = self.lanes.next_expiry()?;
        Some(expiry.min(now + POLL_SPAN))
    }

    pub(crate) fn class_lengths(&self) -> [usize; 4] {
        self.lanes.class_lengths()
    }
}

fn shares_pool(left: &PipelinePlan, right: &PipelinePlan) -> bool {
    let legs = &right.legs;
    let shared = |leg: &PlanLeg| legs.iter().any(|other| other.pool == leg.pool);
    left.legs.iter().any(shared)
}
