//! Experiment files.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_json::Value;

use crate::error::{BenchError, read_file};
use crate::objects::{ObjectView, ServerView, read_objects};
use crate::plan::{BurstPlan, LoadPlan};

/// Maximum number of runs of an experiment.
const MAX_RUNS: usize = 500;

/// Maximum total duration of all loads of an experiment, in seconds.
const MAX_TOTAL_SECONDS: f64 = 7200.0;

/// A policy and the daemons that use it. A fleet record provides daemons, platform and objects.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PolicyPlan {
    /// The name.
    pub name: String,
    /// The addresses of its daemons.
    #[serde(default)]
    pub addresses: Vec<SocketAddr>,
    /// The record of its fleet, relative to the experiment file.
    #[serde(default)]
    pub fleet: Option<PathBuf>,
    /// The object file, relative to the experiment file; by default that of the experiment.
    #[serde(default)]
    pub objects: Option<PathBuf>,
    /// The platform; by default that of the experiment.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct FleetHostView {
    callers: SocketAddr,
}

/// The part of a fleet record that experiments use.
#[derive(Deserialize)]
struct FleetView {
    platform: SocketAddr,
    objects: PathBuf,
    hosts: Vec<FleetHostView>,
}

/// A policy with its daemons, platform and objects.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyTarget {
    /// The name.
    pub name: String,
    /// The addresses of its daemons.
    pub addresses: Vec<SocketAddr>,
    /// The platform, if faults are injected there.
    pub platform: Option<SocketAddr>,
    /// The objects, with the addresses of the stand-ins.
    pub view: ObjectView,
}

/// Fault to inject at a time of the load. A server is selected if it matches all fields that are
/// given.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// The time since the start of the load, in milliseconds.
    pub at_ms: u64,
    /// The names of the servers; empty for all.
    #[serde(default)]
    pub servers: Vec<String>,
    /// The pool of the servers.
    #[serde(default)]
    pub pool: Option<String>,
    /// The failure domain of the servers.
    #[serde(default)]
    pub domain: Option<String>,
    /// The maximum number of selected servers.
    #[serde(default)]
    pub limit: Option<usize>,
    /// Whether the platform is selected instead of servers.
    #[serde(default)]
    pub platform: bool,
    /// The fault order; an empty one clears the faults.
    pub order: Value,
}

impl FaultPlan {
    /// Returns the addresses of the selected stand-ins.
    pub fn targets(&self, target: &PolicyTarget) -> Vec<SocketAddr> {
        if self.platform {
            return target.platform.into_iter().collect();
        }
        let matches = |server: &&ServerView| {
            let named = self.servers.is_empty() || self.servers.contains(&server.name);
            let in_pool = self.pool.as_ref().is_none_or(|pool| *pool == server.pool);
            let near = self
                .domain
                .as_ref()
                .is_none_or(|domain| *domain == server.domain);
            named && in_pool && near
        };
        let limit = self.limit.unwrap_or(usize::MAX);
        let servers = target.view.servers.iter().filter(matches).take(limit);
        servers.map(|server| server.address).collect()
    }
}

/// A scenario. Fields that are absent are taken from the load of the experiment.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ScenarioPlan {
    /// The name.
    pub name: String,
    /// The factor by which the rate of the load is multiplied.
    #[serde(default = "default_factor")]
    pub rate_factor: f64,
    /// The duration in seconds.
    #[serde(default)]
    pub seconds: Option<f64>,
    /// The bursts.
    #[serde(default, rename = "burst")]
    pub bursts: Vec<BurstPlan>,
    /// The faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultPlan>,
}

const fn default_factor() -> f64 {
    1.0
}

/// An experiment, which runs every scenario with every policy a number of times.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ExperimentPlan {
    /// The name.
    pub name: String,
    /// The number of runs of each scenario with each policy.
    #[serde(default = "default_repeats")]
    pub repeats: u32,
    /// The seed of the first repetition; each further one adds one.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The wait after each run, before its ledgers are read, in milliseconds.
    #[serde(default = "default_settle_ms")]
    pub settle_ms: u64,
    /// The object file, relative to the experiment file.
    #[serde(default)]
    pub objects: Option<PathBuf>,
    /// The platform, if faults are injected there.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// The policies.
    #[serde(rename = "policy")]
    pub policies: Vec<PolicyPlan>,
    /// The load.
    pub load: LoadPlan,
    /// The scenarios.
    #[serde(rename = "scenario")]
    pub scenarios: Vec<ScenarioPlan>,
}

const fn default_repeats() -> u32 {
    3
}

const fn default_seed() -> u64 {
    1
}

const fn default_settle_ms() -> u64 {
    2000
}

impl ExperimentPlan {
    /// Returns the load of one run.
    pub fn load_of(&self, scenario: &ScenarioPlan, policy: &PolicyTarget, repeat: u32) -> LoadPlan {
        LoadPlan {
            seed: self.seed + u64::from(repeat),
            seconds: scenario.seconds.unwrap_or(self.load.seconds),
            rate: self.load.rate * scenario.rate_factor,
            addresses: policy.addresses.clone(),
            bursts: scenario.bursts.clone(),
            ..self.load.clone()
        }
    }

    /// Validates sizes, names and loads.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError::Field`] for the first field that is out of range.
    pub fn check(&self, targets: &[PolicyTarget]) -> Result<(), BenchError> {
        let runs = self.scenarios.len() * targets.len() * self.repeats as usize;
        if runs == 0 || runs > MAX_RUNS {
            let expected = format!("1 to {MAX_RUNS} runs in all, not {runs}");
            return Err(BenchError::field("scenario, policy, repeats", expected));
        }
        let mut seconds = 0.0;
        for target in targets {
            for scenario in &self.scenarios {
                let load = self.load_of(scenario, target, 0);
                load.check()?;
                seconds += load.seconds * f64::from(self.repeats);
            }
            self.check_pipelines(target)?;
            self.check_faults(target)?;
        }
        if seconds > MAX_TOTAL_SECONDS {
            let expected = format!("at most {MAX_TOTAL_SECONDS} s over all runs, not {seconds}");
            return Err(BenchError::field("seconds", expected));
        }
        Ok(())
    }

    fn check_pipelines(&self, target: &PolicyTarget) -> Result<(), BenchError> {
        let mut pipelines = self.load.pipelines.iter();
        match pipelines.find(|pipeline| target.view.stages_of(&pipeline.name).is_none()) {
            Some(pipeline) => Err(BenchError::field(
                format!("load.pipeline {}", pipeline.name),
                "a pipeline of the object file with all its stages",
            )),
            None => Ok(()),
        }
    }

    fn check_faults(&self, target: &PolicyTarget) -> Result<(), BenchError> {
        for scenario in &self.scenarios {
            let mut faults = scenario.faults.iter();
            if faults.any(|fault| fault.targets(target).is_empty()) {
                return Err(BenchError::field(
                    format!("scenario {}: fault", scenario.name),
                    "servers of the object file, or the platform's address",
                ));
            }
        }
        Ok(())
    }

    fn target(&self, folder: &Path, policy: &PolicyPlan) -> Result<PolicyTarget, BenchError> {
        if let Some(path) = &policy.fleet {
            return fleet_target(policy, &folder.join(path));
        }
        let Some(objects) = policy.objects.as_ref().or(self.objects.as_ref()) else {
            let field = format!("policy {}", policy.name);
            return Err(BenchError::field(field, "fleet, or objects and addresses"));
        };
        Ok(PolicyTarget {
            name: policy.name.clone(),
            addresses: policy.addresses.clone(),
            platform: policy.platform.or(self.platform),
            view: read_objects(&folder.join(objects))?,
        })
    }
}

fn fleet_target(policy: &PolicyPlan, path: &Path) -> Result<PolicyTarget, BenchError> {
    let text = read_file(path)?;
    let fleet: FleetView =
        serde_json::from_str(&text).map_err(|error| BenchError::syntax(path, error))?;
    let hosts = fleet.hosts.iter().map(|host| host.callers);
    Ok(PolicyTarget {
        name: policy.name.clone(),
        addresses: hosts.collect(),
        platform: Some(fleet.platform),
        view: read_objects(&fleet.objects)?,
    })
}

/// Reads and validates an experiment file and the files that it refers to.
///
/// # Errors
///
/// Returns [`BenchError`] with the file and the invalid line or field.
pub fn read_experiment(path: &Path) -> Result<(ExperimentPlan, Vec<PolicyTarget>), BenchError> {
    let text = read_file(path)?;
    let plan: ExperimentPlan =
        toml::from_str(&text).map_err(|error| BenchError::syntax(path, error))?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let policies = plan.policies.iter();
    let targets = policies.map(|policy| plan.target(folder, policy));
    let targets = targets.collect::<Result<Vec<_>, BenchError>>()?;
    plan.check(&targets)?;
    Ok((plan, targets))
}
