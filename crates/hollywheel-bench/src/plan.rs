//! The description of a load.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::error::{BenchError, read_file};

/// Bounds the requests of one load.
pub(crate) const MAX_REQUESTS: usize = 200_000;

/// Bounds the span of one load, in seconds.
const MAX_SECONDS: f64 = 600.0;

/// Bounds the tries of one request beyond the first.
const MAX_RETRIES: u32 = 20;

/// Multiplies the rate for a while.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BurstPlan {
    /// The start, in milliseconds since the start of the load.
    pub at_ms: u64,
    /// The length in milliseconds.
    pub for_ms: u64,
    /// The factor.
    pub factor: f64,
}

/// Describes a caller.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkspacePlan {
    /// The name.
    pub name: String,
    /// The key that it authenticates with.
    pub key: String,
    /// The share of the requests, relative to the other workspaces.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

/// Says where the idempotency keys of requests come from.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum KeySource {
    /// The caller makes them.
    #[default]
    Own,
    /// The host issues them; a caller that gets none makes its own.
    Issued,
}

/// Describes the requests to one pipeline.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PipelinePlan {
    /// The name.
    pub name: String,
    /// The class, for the summary.
    pub class: String,
    /// The share of the requests, relative to the other pipelines.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The time for the complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// The time for the first token, in milliseconds.
    #[serde(default)]
    pub first_token_ms: Option<u64>,
    /// The time between tokens, in milliseconds.
    #[serde(default)]
    pub token_gap_ms: Option<u64>,
    /// Whether tokens are asked for one by one.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens asked for.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether each request has an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// Where the keys come from.
    #[serde(default)]
    pub keys: KeySource,
    /// The time that the caller allows, sent as a header, in milliseconds.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// The workspaces that call it; empty stands for all.
    #[serde(default)]
    pub workspaces: Vec<String>,
    /// The number of prompt prefixes that requests share; zero for no sharing.
    #[serde(default)]
    pub prefixes: u32,
    /// The bytes of input after the prefix, at least.
    #[serde(default)]
    pub input_bytes: u32,
}

/// Describes a load.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// The seed of the arrivals.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The span of the arrivals, in seconds.
    pub seconds: f64,
    /// The mean requests a second outside bursts.
    pub rate: f64,
    /// The addresses of the daemons.
    #[serde(default)]
    pub addresses: Vec<SocketAddr>,
    /// The time after which a caller gives a request up, in milliseconds.
    #[serde(default = "default_give_up_ms")]
    pub give_up_ms: u64,
    /// The requests that may wait for answers at once; further ones are not sent.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
    /// The tries of a request without a complete answer, beyond the first.
    #[serde(default)]
    pub retries: u32,
    /// The shortest wait before another try, in milliseconds.
    #[serde(default = "default_retry_ms")]
    pub retry_ms: u64,
    /// The bursts.
    #[serde(default, rename = "burst")]
    pub bursts: Vec<BurstPlan>,
    /// The callers.
    #[serde(rename = "workspace")]
    pub workspaces: Vec<WorkspacePlan>,
    /// The pipelines.
    #[serde(rename = "pipeline")]
    pub pipelines: Vec<PipelinePlan>,
}

const fn default_weight() -> f64 {
    1.0
}

const fn default_seed() -> u64 {
    1
}

const fn default_give_up_ms() -> u64 {
    30_000
}

const fn default_max_in_flight() -> u32 {
    4096
}

const fn default_retry_ms() -> u64 {
    200
}

impl LoadPlan {
    /// Returns the span of the arrivals.
    pub fn span(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// Returns the rate at a point.
    pub fn rate_at(&self, at: Duration) -> f64 {
        let at_ms = at.as_millis();
        let active = |burst: &&BurstPlan| {
            let start = u128::from(burst.at_ms);
            (start..start + u128::from(burst.for_ms)).contains(&at_ms)
        };
        let factors = self.bursts.iter().filter(active).map(|burst| burst.factor);
        self.rate * factors.product::<f64>()
    }

    /// Returns the highest rate of the plan, or more.
    pub(crate) fn peak_rate(&self) -> f64 {
        let factors = self.bursts.iter().map(|burst| burst.factor.max(1.0));
        self.rate * factors.product::<f64>()
    }

    /// Checks every field that has a range.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError::Field`] for the first field out of its range.
    pub fn check(&self) -> Result<(), BenchError> {
        if !is_positive(self.seconds) || self.seconds > MAX_SECONDS {
            let expected = format!("a number above 0, at most {MAX_SECONDS}");
            return Err(BenchError::field("seconds", expected));
        }
        let limit = MAX_REQUESTS as f64;
        if !is_positive(self.rate) || self.peak_rate() * self.seconds > limit {
            let expected = format!("above 0, and at most {limit} requests at the peak rate");
            return Err(BenchError::field("rate", expected));
        }
        if self.retries > MAX_RETRIES {
            let expected = format!("at most {MAX_RETRIES}");
            return Err(BenchError::field("retries", expected));
        }
        if self
            .bursts
            .iter()
            .any(|burst| !burst.factor.is_finite() || burst.factor < 0.0)
        {
            return Err(BenchError::field("burst.factor", "a number, zero or more"));
        }
        self.check_workspaces()?;
        self.check_pipelines()
    }

    fn check_workspaces(&self) -> Result<(), BenchError> {
        if self.workspaces.is_empty() {
            return Err(BenchError::field("workspace", "at least one"));
        }
        match self.workspaces.iter().find(|w| !is_positive(w.weight)) {
            Some(workspace) => {
                let field = format!("workspace {}: weight", workspace.name);
                Err(BenchError::field(field, "a number above 0"))
            }
            None => Ok(()),
        }
    }

    fn check_pipelines(&self) -> Result<(), BenchError> {
        if self.pipelines.is_empty() {
            return Err(BenchError::field("pipeline", "at least one"));
        }
        for pipeline in &self.pipelines {
            let field = |name| format!("pipeline {}: {name}", pipeline.name);
            if !is_positive(pipeline.weight) {
                return Err(BenchError::field(field("weight"), "a number above 0"));
            }
            if pipeline.deadline_ms == 0 {
                return Err(BenchError::field(field("deadline_ms"), "a number above 0"));
            }
            let known = |name: &String| self.workspaces.iter().any(|w| w.name == *name);
            if let Some(name) = pipeline.workspaces.iter().find(|name| !known(name)) {
                let expected = format!("workspaces of the plan; {name:?} is none");
                return Err(BenchError::field(field("workspaces"), expected));
            }
        }
        Ok(())
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

/// Reads and checks a load plan.
///
/// # Errors
///
/// Returns [`BenchError`] with the file, and the line or field at fault.
pub fn read_plan(path: &Path) -> Result<LoadPlan, BenchError> {
    let text = read_file(path)?;
    let plan: LoadPlan = toml::from_str(&text).map_err(|error| BenchError::syntax(path, error))?;
    plan.check()?;
    Ok(plan)
}
