//! A set of objects that refer to one another.

use hollywheel_types::{PipelineId, PoolId, StageId, TargetId, WorkspaceId};
use serde::{Deserialize, Serialize};

use crate::object::{
    ConfigObject, ObjectKey, ObjectKind, PipelineObject, PoolObject, StageObject, TargetObject,
    WorkspaceObject,
};

/// Holds objects sorted by name within each kind.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ObjectSet {
    /// The pipelines.
    pub pipelines: Vec<PipelineObject>,
    /// The pools.
    pub pools: Vec<PoolObject>,
    /// The stages.
    pub stages: Vec<StageObject>,
    /// The targets.
    pub targets: Vec<TargetObject>,
    /// The workspaces.
    pub workspaces: Vec<WorkspaceObject>,
}

macro_rules! find_by_name {
    ($(#[$doc:meta])* $method:ident, $field:ident, $id:ty, $object:ty) => {
        $(#[$doc])*
        pub fn $method(&self, name: &$id) -> Option<&$object> {
            let index = self
                .$field
                .binary_search_by(|object| object.name.cmp(name))
                .ok()?;
            Some(&self.$field[index])
        }
    };
}

macro_rules! put_by_name {
    ($list:expr, $object:expr) => {
        match $list.binary_search_by(|entry| entry.name.cmp(&$object.name)) {
            Ok(index) => $list[index] = $object,
            Err(index) => $list.insert(index, $object),
        }
    };
}

impl ObjectSet {
    find_by_name!(
        /// Returns the pipeline with a name.
        pipeline, pipelines, PipelineId, PipelineObject
    );
    find_by_name!(
        /// Returns the pool with a name.
        pool, pools, PoolId, PoolObject
    );
    find_by_name!(
        /// Returns the stage with a name.
        stage, stages, StageId, StageObject
    );
    find_by_name!(
        /// Returns the target with a name.
        target, targets, TargetId, TargetObject
    );
    find_by_name!(
        /// Returns the workspace with a name.
        workspace, workspaces, WorkspaceId, WorkspaceObject
    );

    /// Sorts the objects of each kind by name. Lookups by name rely on this order.
    pub fn sort(&mut self) {
        self.pipelines.sort_by(|a, b| a.name.cmp(&b.name));
        self.pools.sort_by(|a, b| a.name.cmp(&b.name));
        self.stages.sort_by(|a, b| a.name.cmp(&b.name));
        self.targets.sort_by(|a, b| a.name.cmp(&b.name));
        self.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Adds an object, or replaces the one with the same key.
    pub fn put(&mut self, object: ConfigObject) {
        match object {
            ConfigObject::Pipeline(object) => put_by_name!(self.pipelines, object),
            ConfigObject::Pool(object) => put_by_name!(self.pools, object),
            ConfigObject::Stage(object) => put_by_name!(self.stages, object),
            ConfigObject::Target(object) => put_by_name!(self.targets, object),
            ConfigObject::Workspace(object) => put_by_name!(self.workspaces, object),
        }
    }

    /// Removes the object with a key, if there is one.
    pub fn remove(&mut self, key: &ObjectKey) {
        let name = key.name.as_str();
        match key.kind {
            ObjectKind::Pipeline => self.pipelines.retain(|object| object.name.as_str() != name),
            ObjectKind::Pool => self.pools.retain(|object| object.name.as_str() != name),
            ObjectKind::Stage => self.stages.retain(|object| object.name.as_str() != name),
            ObjectKind::Target => self.targets.retain(|object| object.name.as_str() != name),
            ObjectKind::Workspace => self
                .workspaces
                .retain(|object| object.name.as_str() != name),
        }
    }

    /// Returns every object, sorted by key.
    pub fn objects(&self) -> Vec<ConfigObject> {
        let pipelines = self.pipelines.iter().cloned().map(ConfigObject::Pipeline);
        let pools = self.pools.iter().cloned().map(ConfigObject::Pool);
        let stages = self.stages.iter().cloned().map(ConfigObject::Stage);
        let targets = self.targets.iter().cloned().map(ConfigObject::Target);
        let workspaces = self.workspaces.iter().cloned().map(ConfigObject::Workspace);
        pipelines
            .chain(pools)
            .chain(stages)
            .chain(targets)
            .chain(workspaces)
            .collect()
    }
}
