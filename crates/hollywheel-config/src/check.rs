//! Validation of a complete object set.

use std::fmt;

use hollywheel_types::{ServerId, SortedMap};
use serde::{Deserialize, Serialize};

use crate::object::{
    ObjectKey, ObjectKind, PipelineObject, PoolObject, StageKind, StageObject, TargetObject,
    WorkspaceObject,
};
use crate::set::ObjectSet;

/// The maximum number of stages of a pipeline.
const MAX_STAGES: usize = 16;

/// Describes one fault of an object set.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CheckFault {
    /// The object at fault.
    pub object: ObjectKey,
    /// The field at fault.
    pub field: String,
    /// The problem and the expected value.
    pub message: String,
}

impl fmt::Display for CheckFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.object, self.field, self.message)
    }
}

/// Lists every fault of an object set.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CheckReport {
    /// The faults, sorted by object and field.
    pub faults: Vec<CheckFault>,
}

impl CheckReport {
    /// Returns whether the set has no faults.
    pub const fn is_clean(&self) -> bool {
        self.faults.is_empty()
    }

    fn add(&mut self, kind: ObjectKind, name: &str, field: &str, message: String) {
        self.faults.push(CheckFault {
            object: ObjectKey {
                kind,
                name: name.to_owned(),
            },
            field: field.to_owned(),
            message,
        });
    }
}

/// Validates a complete object set and reports every fault in one pass.
pub fn check_set(set: &ObjectSet) -> CheckReport {
    let mut report = CheckReport::default();
    check_duplicates(set, &mut report);
    set.workspaces
        .iter()
        .for_each(|workspace| check_workspace(workspace, &mut report));
    set.targets
        .iter()
        .for_each(|target| check_target(target, &mut report));
    set.pools
        .iter()
        .for_each(|pool| check_pool(pool, &mut report));
    check_servers(set, &mut report);
    set.stages
        .iter()
        .for_each(|stage| check_stage(set, stage, &mut report));
    set.pipelines
        .iter()
        .for_each(|pipeline| check_pipeline(set, pipeline, &mut report));
    report.faults.sort();
    report
}

fn check_duplicates(set: &ObjectSet, report: &mut CheckReport) {
    let objects = set.objects();
    for pair in objects.windows(2) {
        let key = pair[0].key();
        if key == pair[1].key() {
            report.add(
                key.kind,
                &key.name,
                "name",
                "is used by two objects of this kind; names must be unique".to_owned(),
            );
        }
    }
}

fn check_workspace(workspace: &WorkspaceObject, report: &mut CheckReport) {
    let name = workspace.name.as_str();
    if workspace.key_hashes.is_empty() {
        report.add(
            ObjectKind::Workspace,
            name,
            "key_hashes",
            "is empty; expected at least one SHA-256 of a key".to_owned(),
        );
    }
    if workspace.share == 0 {
        report.add(
            ObjectKind::Workspace,
            name,
            "share",
            "is 0; expected 1 or more".to_owned(),
        );
    }
    if workspace.rate.is_some_and(|rate| rate.get() == 0.0) {
        report.add(
            ObjectKind::Workspace,
            name,
            "rate",
            "is 0; leave it out for no limit".to_owned(),
        );
    }
}

fn check_target(target: &TargetObject, report: &mut CheckReport) {
    let name = target.name.as_str();
    if target.deadline_ms == 0 {
        report.add(
            ObjectKind::Target,
            name,
            "deadline_ms",
            "is 0; expected 1 or more milliseconds".to_owned(),
        );
    }
    if let Some(first_token_ms) = target.first_token_ms
        && first_token_ms > target.deadline_ms
    {
        report.add(
            ObjectKind::Target,
            name,
            "first_token_ms",
            format!(
                "is {first_token_ms}; expected at most deadline_ms, which is {}",
                target.deadline_ms
            ),
        );
    }
    if target.attainment.get() == 0 {
        report.add(
            ObjectKind::Target,
            name,
            "attainment",
            "is 0; expected 1 to 100 percent".to_owned(),
        );
    }
}

fn check_pool(pool: &PoolObject, report: &mut CheckReport) {
    let name = pool.name.as_str();
    if pool.slots == 0 {
        report.add(
            ObjectKind::Pool,
            name,
            "slots",
            "is 0; expected 1 or more".to_owned(),
        );
    }
    if pool.max_ejected.get() == 100 {
        report.add(
            ObjectKind::Pool,
            name,
            "max_ejected",
            "is 100; expected less than 100, so that some servers always stay available".to_owned(),
        );
    }
    let servers = u32::try_from(pool.servers.len()).unwrap_or(u32::MAX);
    for placement in &pool.models {
        if placement.replicas > servers {
            report.add(
                ObjectKind::Pool,
                name,
                "models",
                format!(
                    "requires {} replicas of {} but the pool has {servers} servers",
                    placement.replicas, placement.model
                ),
            );
        }
    }
}

fn check_servers(set: &ObjectSet, report: &mut CheckReport) {
    let mut pools_by_server: SortedMap<ServerId, &PoolObject> = SortedMap::new();
    for pool in &set.pools {
        for server in &pool.servers {
            let Some(other_pool) = pools_by_server.insert(server.name.clone(), pool) else {
                continue;
            };
            report.add(
                ObjectKind::Pool,
                pool.name.as_str(),
                "servers",
                format!(
                    "names {}, which pool/{} already contains; server names must be unique",
                    server.name, other_pool.name
                ),
            );
        }
    }
}

fn check_stage(set: &ObjectSet, stage: &StageObject, report: &mut CheckReport) {
    let name = stage.name.as_str();
    let Some(pool) = set.pool(&stage.pool) else {
        report.add(
            ObjectKind::Stage,
            name,
            "pool",
            format!("names pool/{}, which is not in the set", stage.pool),
        );
        return;
    };
    if pool.kind != stage.kind.pool_kind() {
        report.add(
            ObjectKind::Stage,
            name,
            "pool",
            format!(
                "names pool/{}, whose servers do not do work of kind {}",
                stage.pool, stage.kind
            ),
        );
    }
    check_generate_fields(pool, stage, report);
}

fn check_generate_fields(pool: &PoolObject, stage: &StageObject, report: &mut CheckReport) {
    let name = stage.name.as_str();
    match (&stage.model, stage.kind) {
        (None, StageKind::Generate) => report.add(
            ObjectKind::Stage,
            name,
            "model",
            "is missing; a stage of kind generate requires one".to_owned(),
        ),
        (Some(model), StageKind::Generate) => {
            if !pool
                .models
                .iter()
                .any(|placement| placement.model == *model)
            {
                report.add(
                    ObjectKind::Stage,
                    name,
                    "model",
                    format!("names {model}, which is not a model of pool/{}", pool.name),
                );
            }
        }
        (Some(_), _) => report.add(
            ObjectKind::Stage,
            name,
            "model",
            format!("is set; a stage of kind {} takes no model", stage.kind),
        ),
        (None, _) => {}
    }
    if stage.kind == StageKind::Generate
        && stage.max_tokens.is_none_or(|max_tokens| max_tokens.0 == 0)
    {
        report.add(
            ObjectKind::Stage,
            name,
            "max_tokens",
            "is missing or 0; a stage of kind generate requires 1 or more".to_owned(),
        );
    }
}

fn check_pipeline(set: &ObjectSet, pipeline: &PipelineObject, report: &mut CheckReport) {
    let name = pipeline.name.as_str();
    let mut add = |field: &str, message: String| {
        report.add(ObjectKind::Pipeline, name, field, message);
    };
    if pipeline.stages.is_empty() || pipeline.stages.len() > MAX_STAGES {
        add(
            "stages",
            format!(
                "has {} entries; expected 1 to {MAX_STAGES}",
                pipeline.stages.len()
            ),
        );
    }
    let mut min_ms: u64 = 0;
    for (index, stage) in pipeline.stages.iter().enumerate() {
        if pipeline.stages[..index].contains(stage) {
            add(
                "stages",
                format!("names stage/{stage} twice; a pipeline runs each stage once"),
            );
        }
        match set.stage(stage) {
            Some(object) => min_ms = min_ms.saturating_add(object.min_ms),
            None => add(
                "stages",
                format!("names stage/{stage}, which is not in the set"),
            ),
        }
    }
    match set.target(&pipeline.target) {
        None => add(
            "target",
            format!("names target/{}, which is not in the set", pipeline.target),
        ),
        Some(target) if min_ms > target.deadline_ms => add(
            "target",
            format!(
                "names target/{} with deadline_ms {}, but the stages take at least {min_ms} ms",
                pipeline.target, target.deadline_ms
            ),
        ),
        Some(_) => {}
    }
    for workspace in &pipeline.workspaces {
        if set.workspace(workspace).is_none() {
            add(
                "workspaces",
                format!("names workspace/{workspace}, which is not in the set"),
            );
        }
    }
}
