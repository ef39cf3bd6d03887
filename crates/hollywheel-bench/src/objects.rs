//! Published objects, as far as the checker needs them.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use crate::error::{BenchError, read_file};

/// A pipeline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct PipelineView {
    /// The name.
    pub name: String,
    /// The stages in order of execution.
    pub stages: Vec<String>,
}

/// A stage of a pipeline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct StageView {
    /// The name.
    pub name: String,
    /// The kind of work: `encode`, `retrieve`, `rerank`, `generate` or `call`.
    pub kind: String,
    /// Whether the stage may be executed more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// The model, if the stage generates tokens.
    #[serde(default)]
    pub model: String,
    /// The maximum number of tokens, if the stage generates tokens.
    #[serde(default)]
    pub max_tokens: u32,
}

const fn default_idempotent() -> bool {
    true
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct ServerView {
    /// The name.
    pub name: String,
    /// The address.
    pub address: SocketAddr,
    /// The failure domain.
    #[serde(default)]
    pub domain: String,
    /// The pool.
    #[serde(default)]
    pub pool: String,
}

#[derive(Clone, Debug, Deserialize)]
struct PoolView {
    name: String,
    #[serde(default)]
    servers: Vec<ServerView>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ObjectFileView {
    pipeline: Vec<PipelineView>,
    stage: Vec<StageView>,
    pool: Vec<PoolView>,
}

/// The pipelines, stages and servers of an object file; other fields are ignored.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ObjectView {
    /// The pipelines.
    pub pipelines: Vec<PipelineView>,
    /// The stages.
    pub stages: Vec<StageView>,
    /// The backend servers.
    pub servers: Vec<ServerView>,
}

impl ObjectView {
    /// Returns the stages of a pipeline; none if one of them is not defined.
    pub fn stages_of(&self, pipeline: &str) -> Option<Vec<&StageView>> {
        let pipeline = self.pipelines.iter().find(|p| p.name == pipeline)?;
        let stages = pipeline.stages.iter();
        stages
            .map(|name| self.stages.iter().find(|stage| stage.name == *name))
            .collect()
    }

    /// Parses the objects from TOML.
    ///
    /// # Errors
    ///
    /// Returns [`BenchError::Syntax`] with the invalid line and field.
    pub fn from_toml(path: &Path, text: &str) -> Result<Self, BenchError> {
        let file: ObjectFileView =
            toml::from_str(text).map_err(|error| BenchError::syntax(path, error))?;
        let servers = file.pool.into_iter().flat_map(|pool| {
            let name = pool.name;
            pool.servers.into_iter().map(move |server| ServerView {
                pool: name.clone(),
                ..server
            })
        });
        Ok(Self {
            servers: servers.collect(),
            pipelines: file.pipeline,
            stages: file.stage,
        })
    }
}

/// Reads an object file in the format that operators publish.
///
/// # Errors
///
/// Returns [`BenchError`] with the file, and the line and field at fault.
pub fn read_objects(path: &Path) -> Result<ObjectView, BenchError> {
    ObjectView::from_toml(path, &read_file(path)?)
}
