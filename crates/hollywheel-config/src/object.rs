//! The configuration objects that operators publish.

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

/// Identifies the kind of a configuration object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A sequence of stages under one target.
    Pipeline,
    /// Backend servers that do the same work.
    Pool,
    /// One step of a pipeline.
    Stage,
    /// A service-level target: a deadline and the share of requests that must meet it.
    Target,
    /// A customer with API keys and limits.
    Workspace,
}

impl ObjectKind {
    /// Lists every kind, sorted by name.
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

/// Identifies the kind of work that the servers of a pool do.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines that generate token streams.
    Engine,
    /// Servers that encode inputs into vectors.
    Encoder,
    /// Servers that retrieve documents.
    Retriever,
    /// Servers that rerank documents.
    Reranker,
    /// Other services, such as a database lookup.
    Service,
}

/// Identifies the kind of work that a stage does.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum StageKind {
    /// Encodes the input into a vector.
    Encode,
    /// Retrieves documents.
    Retrieve,
    /// Reranks documents.
    Rerank,
    /// Generates a token stream.
    Generate,
    /// Calls another service, such as a database lookup.
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
    /// The name, unique among pipelines.
    pub name: PipelineId,
    /// The stages in order of execution.
    pub stages: Vec<StageId>,
    /// The service-level target that requests must meet.
    pub target: TargetId,
    /// The workspaces that may call the pipeline; empty allows every workspace.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WorkspaceId>,
}

/// Defines how many servers of a pool should have a model loaded.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelPlacement {
    /// The model.
    pub model: ModelId,
    /// The number of servers that should have the model loaded.
    pub replicas: u32,
}

/// Describes one backend server of a pool.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// The name, unique among the servers of all pools.
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
    /// The name, unique among pools.
    pub name: PoolId,
    /// The kind of work that the servers do.
    pub kind: PoolKind,
    /// The number of requests that one server runs concurrently.
    pub slots: u32,
    /// Whether the servers reject orders that carry a stale fencing token.
    #[serde(default)]
    pub fencing: bool,
    /// The maximum share of servers that may be ejected at the same time.
    #[serde(default = "default_max_ejected")]
    pub max_ejected: Percent,
    /// The retry budget, as a share of first attempts.
    #[serde(default = "default_retry_budget")]
    pub retry_budget: Percent,
    /// The hedging budget, as a share of first attempts.
    #[serde(default)]
    pub hedge_budget: Percent,
    /// The models that servers of the pool should have loaded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<ModelPlacement>,
    /// The backend servers of the pool.
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
    /// The name, unique among stages.
    pub name: StageId,
    /// The kind of work.
    pub kind: StageKind,
    /// The pool that does the work.
    pub pool: PoolId,
    /// Whether running the stage twice has the same effect as running it once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// The minimum execution time, in milliseconds.
    #[serde(default)]
    pub min_ms: u64,
    /// The model; required for a stage that generates, not allowed for any other.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelId>,
    /// The maximum number of generated tokens; required for a stage that generates.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<TokenCount>,
}

const fn default_idempotent() -> bool {
    true
}

/// Describes the service-level target of the requests of a pipeline.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetObject {
    /// The name, unique among targets.
    pub name: TargetId,
    /// The service class, which determines the priority.
    pub class: RequestClass,
    /// The time allowed for the complete response, in milliseconds.
    pub deadline_ms: u64,
    /// The time allowed for the first token, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<u64>,
    /// The time allowed between two tokens, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_gap_ms: Option<u64>,
    /// The share of requests that must meet the deadline.
    #[serde(default = "default_attainment")]
    pub attainment: Percent,
}

impl TargetObject {
    /// Returns the time allowed for the complete response.
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

const fn default_attainment() -> Percent {
    Percent::new(99)
}

/// Describes a workspace: a customer with API keys, a capacity share and a rate limit.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceObject {
    /// The name, unique among workspaces.
    pub name: WorkspaceId,
    /// The SHA-256 of each accepted API key.
    pub key_hashes: Vec<KeyHash>,
    /// The weight of the workspace when workspaces compete for capacity.
    #[serde(default = "default_share")]
    pub share: u32,
    /// The rate limit over all hosts, in requests per second; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<RequestRate>,
    /// The number of requests accepted in a burst above the rate, over all hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
}

const fn default_share() -> u32 {
    1
}

/// Holds a configuration object of any kind.
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
