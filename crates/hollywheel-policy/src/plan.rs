//! What a pipeline is expected to take from each pool.

use std::time::Duration;

use hollywheel_config::ObjectSet;
use hollywheel_types::{MonoTime, PipelineId, PoolId, RequestClass};

use crate::estimate::TimeTable;

/// The shortest time that a stage is planned with.
const MIN_STAGE_TIME: Duration = Duration::from_millis(1);

/// Holds the time that a request spends in one pool.
#[derive(Clone, Debug)]
pub(crate) struct PlanLeg {
    pub(crate) pool: PoolId,
    pub(crate) time: Duration,
    /// The part of the whole time.
    pub(crate) part: f64,
}

/// Holds the times that a request spends in the pools of its pipeline.
#[derive(Clone, Debug, Default)]
pub(crate) struct PipelinePlan {
    pub(crate) expected: Duration,
    pub(crate) legs: Vec<PlanLeg>,
}

impl PipelinePlan {
    /// Returns the backend time in milliseconds, which fairness charges.
    pub(crate) fn cost(&self) -> f64 {
        let total: Duration = self.legs.iter().map(|leg| leg.time).sum();
        (total.as_secs_f64() * 1000.0).max(1.0)
    }

    /// Returns the last point at which the stages can begin to be complete in time.
    pub(crate) fn latest_start(&self, deadline: MonoTime) -> MonoTime {
        deadline - self.expected
    }
}

/// Plans the stages of a pipeline from a position on; an unknown pipeline has an empty plan.
pub(crate) fn plan_pipeline(
    now: MonoTime,
    set: &ObjectSet,
    times: &TimeTable,
    pipeline: &PipelineId,
    class: RequestClass,
    from_stage: usize,
) -> PipelinePlan {
    let mut plan = PipelinePlan::default();
    let stages = set.pipeline(pipeline).into_iter();
    let names = stages.flat_map(|object| object.stages.iter().skip(from_stage));
    for stage in names.filter_map(|name| set.stage(name)) {
        let time = times.expected(now, &stage.name, class, stage.min_ms);
        plan.expected += time;
        add_leg(&mut plan.legs, &stage.pool, time.max(MIN_STAGE_TIME));
    }
    let total: Duration = plan.legs.iter().map(|leg| leg.time).sum();
    for leg in &mut plan.legs {
        leg.part = leg.time.as_secs_f64() / total.as_secs_f64();
    }
    plan
}

fn add_leg(legs: &mut Vec<PlanLeg>, pool: &PoolId, time: Duration) {
    match legs.iter_mut().find(|leg| leg.pool == *pool) {
        Some(leg) => leg.time += time,
        None => legs.push(PlanLeg {
            pool: pool.clone(),
            time,
            part: 0.0,
        }),
    }
}
