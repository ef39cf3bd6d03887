//! Prediction of how long requests stay queued for admission.

use std::time::Duration;

use hollywheel_types::{PipelineId, PoolId, RequestClass, RequestId};

use crate::gate::GateContext;
use crate::lanes::LaneTable;
use crate::plan::PipelinePlan;

/// Factor on predicted waits that allows for the starts guaranteed to lower classes and for later
/// arrivals that are served first.
const WAIT_MARGIN_FACTOR: f64 = 1.5;
/// Lower bound on the share of a pool, in concurrent requests, used in a prediction.
const MIN_SHARE: f64 = 0.1;
/// Upper bound on a predicted wait, in seconds.
const MAX_WAIT_SECS: f64 = 3600.0;

/// Predicts the wait of a request with the given start tag: the longest over all pools of its plan.
pub(crate) fn predict_wait(
    lanes: &LaneTable,
    context: &GateContext<'_>,
    class: RequestClass,
    plan: &PipelinePlan,
    start_tag: f64,
) -> Duration {
    let mut longest = 0.0f64;
    for visit in &plan.visits {
        let work = work_ahead(lanes, context, class, &visit.pool, start_tag);
        longest = longest.max(work / context.pool_share(&visit.pool).max(MIN_SHARE));
    }
    Duration::from_secs_f64((longest * WAIT_MARGIN_FACTOR).min(MAX_WAIT_SECS))
}

/// Returns the work in a pool, in seconds, that is served before a request with the given start
/// tag.
fn work_ahead(
    lanes: &LaneTable,
    context: &GateContext<'_>,
    class: RequestClass,
    pool: &PoolId,
    start_tag: f64,
) -> f64 {
    let mut work = 0.0;
    for (key, _) in lanes.lane_lengths() {
        if key.0 > class {
            continue;
        }
        let tag_bound = if key.0 < class {
            f64::INFINITY
        } else {
            start_tag
        };
        let ahead = lanes.count_before(key, tag_bound) as f64;
        let plan = context.plan(&key.1, key.0);
        let visit = plan.visits.iter().find(|visit| visit.pool == *pool);
        work += visit.map_or(0.0, |visit| visit.time.as_secs_f64() * ahead);
    }
    work
}

/// Lists the requests whose predicted start is after their expiry.
pub(crate) fn find_infeasible(lanes: &LaneTable, context: &GateContext<'_>) -> Vec<RequestId> {
    let mut infeasible = Vec::new();
    for class in RequestClass::ALL {
        for pipeline in lanes.pipelines_by_tag(class) {
            find_infeasible_in_lane(lanes, context, class, &pipeline, &mut infeasible);
        }
    }
    infeasible
}

fn find_infeasible_in_lane(
    lanes: &LaneTable,
    context: &GateContext<'_>,
    class: RequestClass,
    pipeline: &PipelineId,
    infeasible: &mut Vec<RequestId>,
) {
    let plan = context.plan(pipeline, class);
    let entries = lanes.entries(&(class, pipeline.clone()));
    let Some(head) = entries.first() else { return };
    let delay = delay_per_request(context, &plan);
    // The predicted wait of the head of the lane includes its own work.
    let mut wait = predict_wait(lanes, context, class, &plan, head.start_tag).saturating_sub(delay);
    for entry in entries {
        if context.now + wait > entry.expires_at {
            infeasible.push(entry.request);
        } else {
            wait += delay;
        }
    }
}

/// Returns the time by which each request with this plan delays the requests behind it.
fn delay_per_request(context: &GateContext<'_>, plan: &PipelinePlan) -> Duration {
    let delay = |pool, time: Duration| time.as_secs_f64() / context.pool_share(pool).max(MIN_SHARE);
    let visits = plan.visits.iter();
    let longest = visits
        .map(|visit| delay(&visit.pool, visit.time))
        .fold(0.0, f64::max);
    Duration::from_secs_f64((longest * WAIT_MARGIN_FACTOR).min(MAX_WAIT_SECS))
}
