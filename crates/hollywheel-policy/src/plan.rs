//! Expected time of a pipeline in each pool.

use std::time::Duration;

use hollywheel_config::ObjectSet;
use hollywheel_types::{MonoTime, PipelineId, PoolId, RequestClass};

use crate::estimate::EstimateTable;

/// Lower bound on the planned time of a stage.
const MIN_STAGE_TIME: Duration = Duration::from_millis(1);

/// Expected time that a request spends in one pool, over all its stages there.
#[derive(Clone, Debug)]
pub(crate) struct PoolVisit {
    pub(crate) pool: PoolId,
    pub(crate) time: Duration,
    /// The fraction of the total time in all pools.
    pub(crate) fraction: f64,
}

/// Expected times of a request in its pipeline.
#[derive(Clone, Debug, Default)]
pub(crate) struct PipelinePlan {
    /// The expected total latency of the stages.
    pub(crate) expected: Duration,
    pub(crate) visits: Vec<PoolVisit>,
}

impl PipelinePlan {
    /// Returns the backend time in milliseconds, which fair queueing charges to the workspace.
    pub(crate) fn cost_ms(&self) -> f64 {
        let total: Duration = self.visits.iter().map(|visit| visit.time).sum();
        (total.as_secs_f64() * 1000.0).max(1.0)
    }

    /// Returns the latest start at which the stages are expected to complete by the deadline.
    pub(crate) fn latest_start(&self, deadline: MonoTime) -> MonoTime {
        deadline - self.expected
    }
}

/// Plans the stages of a pipeline, starting with the one at index `from_stage`. An unknown pipeline
/// has an empty plan.
pub(crate) fn plan_pipeline(
    now: MonoTime,
    objects: &ObjectSet,
    estimates: &EstimateTable,
    pipeline: &PipelineId,
    class: RequestClass,
    from_stage: usize,
) -> PipelinePlan {
    let mut plan = PipelinePlan::default();
    let stages = objects.pipeline(pipeline).into_iter();
    let names = stages.flat_map(|object| object.stages.iter().skip(from_stage));
    for stage in names.filter_map(|name| objects.stage(name)) {
        let time = estimates.expected(now, &stage.name, class, stage.min_ms);
        plan.expected += time;
        add_visit(&mut plan.visits, &stage.pool, time.max(MIN_STAGE_TIME));
    }
    let total: Duration = plan.visits.iter().map(|visit| visit.time).sum();
    for visit in &mut plan.visits {
        visit.fraction = visit.time.as_secs_f64() / total.as_secs_f64();
    }
    plan
}

fn add_visit(visits: &mut Vec<PoolVisit>, pool: &PoolId, time: Duration) {
    match visits.iter_mut().find(|visit| visit.pool == *pool) {
        Some(visit) => visit.time += time,
        None => visits.push(PoolVisit {
            pool: pool.clone(),
            time,
            fraction: 0.0,
        }),
    }
}
