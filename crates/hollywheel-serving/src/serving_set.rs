//! The serving configuration of a host: pipelines, pools, access keys and limits.

use std::fmt;
use std::time::Duration;

use hollywheel_types::{ConfigVersion, PipelineId, PoolId, RequestRate, SortedMap, WorkspaceId};

use crate::stage_graph::stage_order;

/// Describes whether a request whose outcome is unknown may be repeated, and how it is answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// The request may be executed more than once.
    Idempotent,
    /// The request is executed at most once.
    NonIdempotent,
    /// The request is answered by a stream of numbered events.
    Streaming,
}

/// Describes one stage before the final call of a pipeline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageStep {
    /// The pool that executes the stage.
    pub pool: PoolId,
    /// The positions of the stages whose results this stage needs.
    pub after: Vec<usize>,
    /// The expected size of one result, in bytes.
    pub result_bytes: u64,
}

/// Assigns a pool its share of a pipeline's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolWeight {
    /// The pool.
    pub pool: PoolId,
    /// The share of the pool relative to the weights of the other pools.
    pub weight: u32,
}

/// Describes a pipeline: which requests belong to it and how they are served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PipelineRoute {
    /// The name of the pipeline.
    pub name: PipelineId,
    /// The host name in the requests of the pipeline, in lower case.
    pub host: String,
    /// The path prefix of the requests of the pipeline.
    pub prefix: String,
    /// Whether requests may be repeated, and how they are answered.
    pub kind: RequestKind,
    /// The time after which a request times out.
    pub timeout: Duration,
    /// The latency objective: the time within which an answer counts fully.
    pub objective: Duration,
    /// The longest pause between two events of a stream with which the stream counts fully.
    pub pause_objective: Option<Duration>,
    /// The priority of the requests; zero is the most urgent.
    pub priority: u8,
    /// The pools that serve the final call.
    pub pools: Vec<PoolWeight>,
    /// The maximum number of backend servers to which one request of a caller is sent.
    pub max_attempts: u32,
    /// The stages before the final call.
    pub stages: Vec<StageStep>,
    /// Whether requests without an access key are allowed.
    pub allow_anonymous: bool,
    /// Whether requests share prompt parts that backend servers cache, so that placement prefers the
    /// server with the cached part.
    pub prompt_affinity: bool,
    /// Whether a broken stream may be resumed on another backend server.
    pub resumable: bool,
}

/// Callers wait for the first and for each further event of a stream for the longest of this time,
/// [`EVENT_TIMEOUT_OBJECTIVES`] times the objective and [`EVENT_TIMEOUT_PAUSES`] times the pause
/// objective, as defined in the platform's protocol for requests.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
const EVENT_TIMEOUT_OBJECTIVES: u32 = 4;
const EVENT_TIMEOUT_PAUSES: u32 = 8;

impl PipelineRoute {
    /// Returns how long callers wait for the first and for each further event of a stream; none if
    /// the answer is not a stream.
    pub fn stream_event_timeout(&self) -> Option<Duration> {
        let pause = self.pause_objective.unwrap_or_default() * EVENT_TIMEOUT_PAUSES;
        let timeout = (self.objective * EVENT_TIMEOUT_OBJECTIVES).max(pause);
        matches!(self.kind, RequestKind::Streaming).then(|| timeout.max(MIN_EVENT_TIMEOUT))
    }

    /// Returns whether a request that may have been executed is sent again.
    pub const fn may_repeat(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.resumable,
        }
    }

    /// Chooses the pool of the final call by weight from a hash of the request; none if every weight
    /// is zero.
    pub fn pool_for(&self, hash: u64) -> Option<&PoolId> {
        let total: u64 = self.pools.iter().map(|entry| u64::from(entry.weight)).sum();
        let mut point = hash.checked_rem(total)?;
        for entry in &self.pools {
            let weight = u64::from(entry.weight);
            if point < weight {
                return Some(&entry.pool);
            }
            point -= weight;
        }
        None
    }
}

/// Holds the limits of each backend server in a pool that generates token streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelPool {
    /// The number of requests that a server executes at once.
    pub slots: u32,
    /// The number of tokens that a server keeps in its cache.
    pub cache_tokens: u64,
}

/// Holds the limits of each backend server in a pool that executes pieces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PiecePool {
    /// The number of calls that a server executes at once.
    pub slots: u32,
    /// The maximum number of pieces in one call.
    pub batch: usize,
    /// The fixed time of a call, independent of its pieces.
    pub call_time: Duration,
    /// The additional time of each piece in a call.
    pub piece_time: Duration,
    /// The memory for results, in bytes.
    pub room_bytes: u64,
    /// The time after which a result that was not freed expires.
    pub result_lifetime: Duration,
}

/// Describes the kind of work that the backend servers of a pool do, with its limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PoolWork {
    /// The servers answer plain requests.
    Plain,
    /// The servers generate token streams.
    Model(ModelPool),
    /// The servers execute pieces of stages.
    Pieces(PiecePool),
}

/// Describes a pool of backend servers, which join and leave at run time.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// The name of the pool.
    pub name: PoolId,
    /// The number of connections that one server accepts from all hosts together.
    pub max_connections: u32,
    /// The kind of work, with its limits.
    pub work: PoolWork,
    /// What a server tolerates while it is cold; none if servers of the pool have no such limit.
    pub cold: Option<ColdLimit>,
}

/// Holds what a server of a pool tolerates directly after its start, while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// The time for which a server stays cold after its start.
    pub start: Duration,
    /// The requests that a cold server tolerates from all hosts together.
    pub rate: RequestRate,
}

/// Holds the limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The time-out for receiving a request head.
    pub head_time: Duration,
    /// The idle time-out of a connection between two requests.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Describes to which workspace an access key belongs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHolder {
    /// The workspace that owns the key.
    pub workspace: WorkspaceId,
    /// The priority of requests with the key, which replaces that of the pipeline.
    pub priority: Option<u8>,
}

/// Describes why a serving set is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServingSetError {
    /// A pipeline refers to a pool that is not in the set; add the pool or correct the name.
    UnknownPool {
        /// The pipeline.
        pipeline: PipelineId,
        /// The name of the missing pool.
        pool: PoolId,
    },
    /// A stage depends on a stage that does not precede it; reorder the stages.
    StageOrder {
        /// The pipeline.
        pipeline: PipelineId,
        /// The zero-based position of the dependent stage.
        stage: usize,
    },
    /// A stage refers to a pool that does not execute pieces; add piece settings to the pool.
    NotPieces {
        /// The pipeline.
        pipeline: PipelineId,
        /// The pool.
        pool: PoolId,
    },
    /// A pipeline has no pool with a weight above zero; set the weight of at least one pool.
    NoPool {
        /// The pipeline.
        pipeline: PipelineId,
    },
}

impl fmt::Display for ServingSetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownPool { pipeline, pool } => {
                write!(f, "pipeline {pipeline}: pool {pool} is not in the set")
            }
            Self::StageOrder { pipeline, stage } => write!(
                f,
                "pipeline {pipeline}: stage {stage} needs itself or a stage that does not exist"
            ),
            Self::NotPieces { pipeline, pool } => write!(
                f,
                "pipeline {pipeline}: pool {pool} of a stage has no piece settings"
            ),
            Self::NoPool { pipeline } => {
                write!(f, "pipeline {pipeline}: no pool has a weight above zero")
            }
        }
    }
}

impl std::error::Error for ServingSetError {}

/// Holds one version of the serving configuration of a host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingSet {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The pipelines, sorted by host name and then by length of the path prefix, longest first.
    pub pipelines: Vec<PipelineRoute>,
    /// The pools by name.
    pub pools: SortedMap<PoolId, PoolSettings>,
    /// The workspaces by access key; none if callers need no key.
    pub keys: Option<SortedMap<String, KeyHolder>>,
    /// The limits on the requests and connections of callers.
    pub limits: CallerLimits,
}

impl ServingSet {
    /// Sorts the pipelines for [`ServingSet::find_pipeline`] and validates the whole set.
    ///
    /// # Errors
    ///
    /// Returns the first error that was found.
    pub fn check(mut self) -> Result<Self, ServingSetError> {
        self.pipelines.sort_by(|left, right| {
            let by_prefix = right.prefix.len().cmp(&left.prefix.len());
            left.host.cmp(&right.host).then(by_prefix)
        });
        for pipeline in &self.pipelines {
            self.check_pipeline(pipeline)?;
        }
        Ok(self)
    }

    fn check_pipeline(&self, pipeline: &PipelineRoute) -> Result<(), ServingSetError> {
        let name = || pipeline.name.clone();
        if pipeline.pools.iter().all(|entry| entry.weight == 0) {
            return Err(ServingSetError::NoPool { pipeline: name() });
        }
        let final_pools = pipeline.pools.iter().map(|entry| &entry.pool);
        let stages = pipeline.stages.iter().map(|stage| &stage.pool);
        if let Some(pool) = final_pools
            .chain(stages)
            .find(|pool| !self.pools.contains_key(*pool))
        {
            return Err(ServingSetError::UnknownPool {
                pipeline: name(),
                pool: pool.clone(),
            });
        }
        stage_order(&pipeline.stages).map_err(|stage| ServingSetError::StageOrder {
            pipeline: name(),
            stage,
        })?;
        for stage in &pipeline.stages {
            if self.piece_pool(&stage.pool).is_none() {
                return Err(ServingSetError::NotPieces {
                    pipeline: name(),
                    pool: stage.pool.clone(),
                });
            }
        }
        Ok(())
    }

    /// Returns the pipeline of a request: among the pipelines of its host name, the one with the
    /// longest matching path prefix.
    pub fn find_pipeline(&self, host: &str, path: &str) -> Option<&PipelineRoute> {
        let first = self
            .pipelines
            .partition_point(|pipeline| pipeline.host.as_str() < host);
        self.pipelines[first..]
            .iter()
            .take_while(|pipeline| pipeline.host == host)
            .find(|pipeline| path.starts_with(&pipeline.prefix))
    }

    /// Returns the limits of a pool that executes pieces; none if it does not.
    pub fn piece_pool(&self, pool: &PoolId) -> Option<&PiecePool> {
        match &self.pools.get(pool)?.work {
            PoolWork::Pieces(pieces) => Some(pieces),
            PoolWork::Plain | PoolWork::Model(_) => None,
        }
    }

    /// Returns the limits of a pool that generates token streams; none if it does not.
    pub fn model_pool(&self, pool: &PoolId) -> Option<&ModelPool> {
        match &self.pools.get(pool)?.work {
            PoolWork::Model(model) => Some(model),
            PoolWork::Plain | PoolWork::Pieces(_) => None,
        }
    }
}
