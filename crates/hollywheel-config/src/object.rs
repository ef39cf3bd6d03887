//! The objects that operators name and publish.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use hollywheel_types::{
    DomainId, IdError, KeyHash, ModelId, Percent, PipelineId, PoolId, RequestClass, RequestRate,
    ServerId, StageId, TargetId, TokenCount, WorkspaceId,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Names the kinds of object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A sequence of stages under one target.
    Pipeline,
    /// Backend servers that do the same work.
    Pool,
    /// One step of a pipeline.
    Stage,
    /// A deadline and the share of requests that must meet it.
    Target,
    /// A caller with keys and limits.
    Workspace,
}

impl ObjectKind {
    /// Lists every kind.
    pub const ALL: [Self; 5] = [
        Self::Pipeline,
        Self::Pool,
        Self::Stage,
        Self::Target,
        Self::Workspace,
    ];

    /// Returns the name used in files and messages.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Pipeline => "pipeline",
            Self::Pool => "pool",
            Self::Stage => "stage",
            Self::Target => "target",
            Self::Workspace => "workspace",
        }
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for ObjectKind {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.name() == text)
            .ok_or_else(|| IdError::UnknownName {
                kind: "object kind",
                given: text.to_owned(),
                expected: "pipeline, pool, stage, target or workspace",
            })
    }
}

/// Identifies an object by kind and name, written `kind/name`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ObjectKey {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The name of the object within its kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for ObjectKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let Some((kind, name)) = text.split_once('/') else {
            return Err(IdError::UnknownName {
                kind: "object key",
                given: text.to_owned(),
                expected: "KIND/NAME",
            });
        };
        Ok(Self {
            kind: kind.parse()?,
            name: name.to_owned(),
        })
    }
}

/// Names the work that a pool does.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines that generate token streams.
    Engine,
    /// Encoders.
    Encoder,
    /// Retrievers.
    Retriever,
    /// Rerankers.
    Reranker,
    /// Plain services.
    Service,
}

/// Names the work of a stage.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum StageKind {
    /// Turns the input into a vector.
    Encode,
    /// Finds documents.
    Retrieve,
    /// Orders documents.
    Rerank,
    /// Generates a token stream.
    Generate,
    /// Calls a plain service.
    Call,
}

impl StageKind {
    /// Returns the name used in objects, metrics and calls to backend servers.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Encode => "encode",
            Self::Retrieve => "retrieve",
            Self::Rerank => "rerank",
            Self::Generate => "generate",
            Self::Call => "call",
        }
    }

    /// Returns the kind of pool that does the work.
    pub const fn pool_kind(self) -> PoolKind {
        match self {
            Self::Encode => PoolKind::Encoder,
            Self::Retrieve => PoolKind::Retriever,
            Self::Rerank => PoolKind::Reranker,
            Self::Generate => PoolKind::Engine,
            Self::Call => PoolKind::Service,
        }
    }
}

impl fmt::Display for StageKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Describes a pipeline.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineObject {
    /// The name.
    pub name: PipelineId,
    /// The stages in order of execution.
    pub stages: Vec<StageId>,
    /// The target that requests are held to.
    pub target: TargetId,
    /// The workspaces that may call it; empty allows every workspace.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WorkspaceId>,
}

/// Says how many servers of a pool should hold a model.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelPlacement {
    /// The model.
    pub model: ModelId,
    /// The number of servers that should hold it.
    pub replicas: u32,
}

/// Describes one backend server of a pool.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// The name, unique in the whole set.
    pub name: ServerId,
    /// The address and port, as `IP:PORT`.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: DomainId,
}

/// Describes a pool of backend servers.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolObject {
    /// The name.
    pub name: PoolId,
    /// The work that the pool does.
    pub kind: PoolKind,
    /// The number of requests that one server runs at once.
    pub slots: u32,
    /// Whether the servers refuse an order with an old fencing number.
    #[serde(default)]
    pub fencing: bool,
    /// The largest share of servers that may be ejected at once.
    #[serde(default = "default_max_ejected")]
    pub max_ejected: Percent,
    /// The retries allowed, as a share of first attempts.
    #[serde(default = "default_retry_budget")]
    pub retry_budget: Percent,
    /// The hedges allowed, as a share of first attempts.
    #[serde(default)]
    pub hedge_budget: Percent,
    /// The models that the pool should hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelPlacement>,
    /// The servers.
    #[serde(default)]
    pub servers: Vec<ServerEntry>,
}

const fn default_max_ejected() -> Percent {
    Percent::new(34)
}

const fn default_retry_budget() -> Percent {
    Percent::new(10)
}

/// Describes one step of a pipeline.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StageObject {
    /// The name.
    pub name: StageId,
    /// The work.
    pub kind: StageKind,
    /// The pool that does the work.
    pub pool: PoolId,
    /// Whether running it twice has the effect of running it once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// The shortest time that the work takes, in milliseconds.
    #[serde(default)]
    pub min_ms: u64,
    /// The model, for a stage that generates.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// The most tokens generated, for a stage that generates.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<TokenCount>,
}

const fn default_idempotent() -> bool {
    true
}

/// Describes the promise made for a class of requests.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetObject {
    /// The name.
    pub name: TargetId,
    /// The class, which gives the priority.
    pub class: RequestClass,
    /// The time for the complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// The time for the first token, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<u64>,
    /// The time between tokens, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_gap_ms: Option<u64>,
    /// The share of requests that must meet the deadline.
    #[serde(default = "default_attainment")]
    pub attainment: Percent,
}

impl TargetObject {
    /// Returns the time for the complete answer.
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

const fn default_attainment() -> Percent {
    Percent::new(99)
}

/// Describes a caller.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceObject {
    /// The name.
    pub name: WorkspaceId,
    /// The SHA-256 of each key that is accepted.
    pub key_hashes: Vec<KeyHash>,
    /// The weight of the workspace when capacity is scarce.
    #[serde(default = "default_share")]
    pub share: u32,
    /// The requests a second that are accepted over all hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<RequestRate>,
    /// The requests accepted at once above the rate over all hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
}

const fn default_share() -> u32 {
    1
}

/// Holds an object of any kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "object")]
pub enum ConfigObject {
    /// A pipeline.
    Pipeline(PipelineObject),
    /// A pool.
    Pool(PoolObject),
    /// A stage.
    Stage(StageObject),
    /// A target.
    Target(TargetObject),
    /// A workspace.
    Workspace(WorkspaceObject),
}

impl ConfigObject {
    /// Returns the key of the object.
    pub fn key(&self) -> ObjectKey {
        let (kind, name) = match self {
            Self::Pipeline(object) => (ObjectKind::Pipeline, object.name.as_str()),
            Self::Pool(object) => (ObjectKind::Pool, object.name.as_str()),
            Self::Stage(object) => (ObjectKind::Stage, object.name.as_str()),
            Self::Target(object) => (ObjectKind::Target, object.name.as_str()),
            Self::Workspace(object) => (ObjectKind::Workspace, object.name.as_str()),
        };
        ObjectKey {
            kind,
            name: name.to_owned(),
        }
    }
}
