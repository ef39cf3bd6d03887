//! Load plans.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::error::{BenchError, read_file};

/// Maximum number of requests of a load.
pub(crate) const MAX_REQUESTS: usize = 200_000;

/// Maximum duration of a load, in seconds.
const MAX_SECONDS: f64 = 600.0;

/// Maximum number of retries of a request.
const MAX_RETRIES: u32 = 20;

/// Burst, during which the rate is multiplied.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BurstPlan {
    /// The start, in milliseconds since the start of the load.
    pub at_ms: u64,
    /// The duration in milliseconds.
    pub for_ms: u64,
    /// The factor.
    pub factor: f64,
}

/// Workspace whose requests are sent.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkspacePlan {
    /// The name.
    pub name: String,
    /// The access key.
    pub key: String,
    /// The share of requests, relative to the other workspaces.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

/// Origin of the idempotency keys of requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum KeySource {
    /// The caller generates the keys.
    #[default]
    Own,
    /// The host issues the keys; a caller without one generates its own.
    Issued,
}

/// The requests to one pipeline.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PipelinePlan {
    /// The name.
    pub name: String,
    /// The request class in the summary.
    pub class: String,
    /// The share of requests, relative to the other pipelines.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The target time of the complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// The target time of the first token, in milliseconds.
    #[serde(default)]
    pub first_token_ms: Option<u64>,
    /// The target time between two tokens, in milliseconds.
    #[serde(default)]
    pub token_gap_ms: Option<u64>,
    /// Whether streams of tokens are requested.
    #[serde(default)]
    pub stream: bool,
    /// The requested maximum number of tokens.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether each request has an idempotency key.
    #[serde(default)]
    pub keyed: bool,
    /// The origin of the keys.
    #[serde(default)]
    pub keys: KeySource,
    /// The deadline that is sent as a header, in milliseconds.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// The workspaces that call the pipeline; empty for all.
    #[serde(default)]
    pub workspaces: Vec<String>,
    /// The number of prompt prefixes that requests share; zero for none.
    #[serde(default)]
    pub prefixes: u32,
    /// The minimum size of the input after the prefix, in bytes.
    #[serde(default)]
    pub input_bytes: u32,
}

/// Load plan.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// The seed of the arrivals.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The duration of the arrivals, in seconds.
    pub seconds: f64,
    /// The mean number of requests per second outside bursts.
    pub rate: f64,
    /// The addresses of the daemons.
    #[serde(default)]
    pub addresses: Vec<SocketAddr>,
    /// The time-out of a request at the caller, in milliseconds.
    #[serde(default = "default_give_up_ms")]
    pub give_up_ms: u64,
    /// The maximum number of requests in flight; further ones are not sent.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
    /// The maximum number of retries of a request without a complete answer.
    #[serde(default)]
    pub retries: u32,
    /// The minimum wait before a retry, in milliseconds.
    #[serde(default = "default_retry_ms")]
    pub retry_ms: u64,
    /// The bursts.
    #[serde(default, rename = "burst")]
    pub bursts: Vec<BurstPlan>,
    /// The workspaces.
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
    /// Returns the duration of the arrivals.
    pub fn span(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// Returns the rate at a time.
    pub fn rate_at(&self, at: Duration) -> f64 {
        let at_ms = at.as_millis();
        let active = |burst: &&BurstPlan| {
            let start = u128::from(burst.at_ms);
            (start..start + u128::from(burst.for_ms)).contains(&at_ms)
        };
        let factors = self.bursts.iter().filter(active).map(|burst| burst.factor);
        self.rate * factors.product::<f64>()
    }

    /// Returns an upper bound of the rate.
    pub(crate) fn peak_rate(&self) -> f64 {
        let factors = self.bursts.iter().map(|burst| burst.factor.max(1.0));
        self.rate * factors.product::<f64>()
    }

    /// Validates all fields that have a range.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError::Field`] for the first field that is out of range.
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
                let expected = format!("workspaces of the plan; {name:?} is not one of them");
                return Err(BenchError::field(field("workspaces"), expected));
            }
        }
        Ok(())
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

/// Reads and validates a load plan.
///
/// # Errors
///
/// Returns [`BenchError`] with the file and the invalid line or field.
pub fn read_plan(path: &Path) -> Result<LoadPlan, BenchError> {
    let text = read_file(path)?;
    let plan: LoadPlan = toml::from_str(&text).map_err(|error| BenchError::syntax(path, error))?;
    plan.check()?;
    Ok(plan)
}
