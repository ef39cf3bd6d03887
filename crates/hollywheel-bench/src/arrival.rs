//! Arrivals, determined by the plan and its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::plan::{LoadPlan, MAX_REQUESTS, PipelinePlan, WorkspacePlan};

/// Length of a shared prompt prefix, in bytes.
const PREFIX_BYTES: usize = 64;

/// A request to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedRequest {
    /// The position in the load, starting at zero.
    pub number: u64,
    /// The intended time since the start of the load.
    pub at: Duration,
    /// The position of the pipeline in the plan.
    pub pipeline: usize,
    /// The position of the workspace in the plan.
    pub workspace: usize,
    /// The input.
    pub input: String,
    /// The idempotency key, empty for none.
    pub key: String,
}

/// Returns the requests of a load in the order of their times. Times, pipelines, workspaces and
/// prefixes depend only on the plan; the name of the run makes inputs and keys unique.
pub fn arrivals(plan: &LoadPlan, run: &str) -> Vec<PlannedRequest> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let mut requests = Vec::new();
    let mut at = Duration::ZERO;
    let peak = plan.peak_rate();
    while requests.len() < MAX_REQUESTS {
        at += exponential(&mut random, peak);
        if at >= plan.span() {
            break;
        }
        // Thinning: candidates arrive at the peak rate and are kept in proportion to the current rate.
        let kept = random.random::<f64>() * peak < plan.rate_at(at);
        if kept {
            let number = requests.len() as u64;
            requests.push(draw_request(plan, run, &mut random, number, at));
        }
    }
    requests
}

fn exponential(random: &mut StdRng, rate: f64) -> Duration {
    let uniform: f64 = 1.0 - random.random::<f64>();
    Duration::from_secs_f64(-uniform.ln() / rate)
}

fn draw_request(
    plan: &LoadPlan,
    run: &str,
    random: &mut StdRng,
    number: u64,
    at: Duration,
) -> PlannedRequest {
    let weights = plan.pipelines.iter().map(|pipeline| pipeline.weight);
    let pipeline = draw_weighted(random, weights);
    let object = &plan.pipelines[pipeline];
    let weights = plan.workspaces.iter().map(|one| weight_in(object, one));
    let workspace = draw_weighted(random, weights);
    let key = match object.keyed {
        true => format!("{run}-{number}"),
        false => String::new(),
    };
    PlannedRequest {
        number,
        at,
        pipeline,
        workspace,
        input: draw_input(object, run, random, number),
        key,
    }
}

fn weight_in(pipeline: &PipelinePlan, workspace: &WorkspacePlan) -> f64 {
    let allowed = &pipeline.workspaces;
    if allowed.is_empty() || allowed.contains(&workspace.name) {
        return workspace.weight;
    }
    0.0
}

fn draw_weighted(random: &mut StdRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut left = random.random::<f64>() * total;
    let mut chosen = 0;
    for (at, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        chosen = at;
        if left < weight {
            break;
        }
        left -= weight;
    }
    chosen
}

fn draw_input(pipeline: &PipelinePlan, run: &str, random: &mut StdRng, number: u64) -> String {
    let unique = format!("{run} request {number} ");
    let filler = (pipeline.input_bytes as usize).saturating_sub(unique.len());
    let body = format!("{unique}{}", "x".repeat(filler));
    if pipeline.prefixes == 0 {
        return body;
    }
    let prefix = random.random_range(0..pipeline.prefixes);
    let prefix = format!("{} shared prompt {prefix} ", pipeline.name);
    format!("{prefix:-<PREFIX_BYTES$}{body}")
}
