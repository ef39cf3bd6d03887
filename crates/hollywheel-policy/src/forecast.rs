//! Predictions of how long requests wait for admission.

use std::time::Duration;

use hollywheel_types::{PipelineId, PoolId, RequestClass, RequestId};

use crate::gate::GateContext;
use crate::lanes::LaneTable;
use crate::plan::PipelinePlan;

/// The predicted wait is longer by this factor, for the starts guaranteed to lower classes and
/// for the requests that arrive later and go first.
const WAIT_FACTOR: f64 = 1.5;
/// The smallest share of a pool, in requests at once, that a wait is predicted with.
const MIN_SHARE: f64 = 0.1;
/// The longest wait predicted, in seconds.
const MAX_WAIT: f64 = 3600.0;

/// Predicts the wait of a request with a start tag.
pub(crate) fn predict_wait(
    lanes: &LaneTable,
    context: &GateContext<'_>,
    class: RequestClass,
    plan: &PipelinePlan,
    tag: f64,
) -> Duration {
    let mut longest = 0.0f64;
    for leg in &plan.legs {
        let work = work_ahead(lanes, context, class, &leg.pool, tag);
        longest = longest.max(work / context.share_of(&leg.pool).max(MIN_SHARE));
    }
    Duration::from_secs_f64((longest * WAIT_FACTOR).min(MAX_WAIT))
}

/// Returns the seconds of work in a pool that starts before a request with a start tag.
fn work_ahead(
    lanes: &LaneTable,
    context: &GateContext<'_>,
    class: RequestClass,
    pool: &PoolId,
    tag: f64,
) -> f64 {
    let mut work = 0.0;
    for (key, _) in lanes.lane_lengths() {
        if key.0 > class {
            continue;
        }
        let before = if key.0 < class { f64::INFINITY } else { tag };
        let ahead = lanes.count_before(key, before) as f64;
        let plan = context.plan(&key.1, key.0);
        let leg = plan.legs.iter().find(|leg| leg.pool == *pool);
        work += leg.map_or(0.0, |leg| leg.time.as_secs_f64() * ahead);
    }
    work
}

/// Lists the requests whose predicted wait ends after the point at which they give up.
pub(crate) fn find_hopeless(lanes: &LaneTable, context: &GateContext<'_>) -> Vec<RequestId> {
    let mut hopeless = Vec::new();
    for class in RequestClass::ALL {
        for pipeline in lanes.lanes_of(class) {
            find_hopeless_in(lanes, context, class, &pipeline, &mut hopeless);
        }
    }
    hopeless
}

fn find_hopeless_in(
    lanes: &LaneTable,
    context: &GateContext<'_>,
    class: RequestClass,
    pipeline: &PipelineId,
    hopeless: &mut Vec<RequestId>,
) {
    let plan = context.plan(pipeline, class);
    let entries = lanes.entries(&(class, pipeline.clone()));
    let Some(head) = entries.first() else { return };
    let step = step_of(context, &plan);
    // The prediction for the head counts the head itself.
    let mut wait = predict_wait(lanes, context, class, &plan, head.tag).saturating_sub(step);
    for entry in entries {
        if context.now + wait > entry.give_up {
            hopeless.push(entry.request);
        } else {
            wait += step;
        }
    }
}

/// Returns the time by which each request of a plan delays those behind it.
fn step_of(context: &GateContext<'_>, plan: &PipelinePlan) -> Duration {
    let step = |pool, time: Duration| time.as_secs_f64() / context.share_of(pool).max(MIN_SHARE);
    let legs = plan.legs.iter();
    let longest = legs
        .map(|leg| step(&leg.pool, leg.time))
        .fold(0.0, f64::max);
    Duration::from_secs_f64((longest * WAIT_FACTOR).min(MAX_WAIT))
}
