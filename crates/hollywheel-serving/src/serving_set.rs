//! The set of pipelines, pools and workspaces that a host serves.

use std::fmt;
use std::time::Duration;

use hollywheel_types::{ConfigVersion, PipelineId, PoolId, SortedMap, WorkspaceId};

/// Says what may be done with a request whose fate is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// It is answered by a stream of numbered events.
    Streaming,
}

/// Describes one stage before the final call of a pipeline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageStep {
    /// The pool that does the work.
    pub pool: PoolId,
    /// The positions of the stages whose results it needs.
    pub after: Vec<usize>,
    /// The expected size of one result, in bytes.
    pub result_bytes: u64,
}

/// Gives a pool its share of a pipeline's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolWeight {
    /// The pool.
    pub pool: PoolId,
    /// The share, relative to the other weights.
    pub weight: u32,
}

/// Describes a pipeline: which requests belong to it and how they are served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PipelineRoute {
    /// The name.
    pub name: PipelineId,
    /// The host name of the requests that belong to it, in lower case.
    pub host: String,
    /// The path prefix of the requests that belong to it.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer counts fully.
    pub objective: Duration,
    /// The longest pause between events of a stream that counts fully.
    pub pause_objective: Option<Duration>,
    /// The rank; zero is the most urgent.
    pub priority: u8,
    /// The pools of the final call.
    pub pools: Vec<PoolWeight>,
    /// The most backend servers that one caller attempt is sent to.
    pub max_attempts: u32,
    /// The stages before the final call.
    pub stages: Vec<StageStep>,
    /// Whether a request without a key is allowed.
    pub allow_anonymous: bool,
    /// Whether requests share prompt parts that backend servers cache.
    pub prompt_affinity: bool,
    /// Whether a stream may continue at another backend server.
    pub resumable: bool,
}

/// Callers wait for an event of a stream, also the first, for the longest of this time,
/// [`PATIENCE_OBJECTIVES`] times the objective and [`PATIENCE_PAUSES`] times the pause objective
/// (the platform's protocol, on requests).
const MIN_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_OBJECTIVES: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;

impl PipelineRoute {
    /// Returns how long callers wait for the first event of a stream and for each next one; none
    /// for other answers.
    pub fn stream_event_timeout(&self) -> Option<Duration> {
        let pause = self.pause_objective.unwrap_or_default() * PATIENCE_PAUSES;
        let patience = (self.objective * PATIENCE_OBJECTIVES).max(pause);
        matches!(self.kind, RequestKind::Streaming).then(|| patience.max(MIN_PATIENCE))
    }

    /// Says whether a request that may have run is sent again.
    pub const fn may_repeat(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.resumable,
        }
    }

    /// Chooses the pool of the final call from a hash of the request.
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

/// Holds the limits of a pool whose backend servers generate token streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelPool {
    /// The requests that one server runs at once.
    pub slots: u32,
    /// The tokens that one server keeps in memory.
    pub cache_tokens: u64,
}

/// Holds the limits of a pool whose backend servers produce pieces; each is for one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PiecePool {
    /// Calls in progress at once.
    pub slots: u32,
    /// The most pieces of one call.
    pub batch: usize,
    /// The fixed time of a call.
    pub call_time: Duration,
    /// The additional time of a piece.
    pub piece_time: Duration,
    /// The room for results, in bytes.
    pub room_bytes: u64,
    /// How long a result that nobody frees is kept.
    pub result_lifetime: Duration,
}

/// Says what the backend servers of a pool do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PoolWork {
    /// They answer plain requests.
    Plain,
    /// They generate token streams.
    Model(ModelPool),
    /// They produce pieces.
    Pieces(PiecePool),
}

/// Describes a pool of backend servers, which join and leave at run time.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// The name.
    pub name: PoolId,
    /// The connections that one server accepts from all hosts.
    pub max_connections: u32,
    /// The work.
    pub work: PoolWork,
}

/// Holds the limits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time to send a head.
    pub head_time: Duration,
    /// The longest time between requests on a connection.
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

/// Says to whom an access key belongs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyHolder {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The rank of its requests, which replaces the pipeline's.
    pub priority: Option<u8>,
}

/// Says what is wrong with a set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SetFault {
    /// A pipeline names a pool that the set does not hold; add the pool or correct the name.
    UnknownPool {
        /// The pipeline.
        pipeline: PipelineId,
        /// The name that is not a pool.
        pool: PoolId,
    },
    /// A stage needs a stage that does not stand before it; reorder the stages.
    StageOrder {
        /// The pipeline.
        pipeline: PipelineId,
        /// The position of the stage.
        stage: usize,
    },
    /// A stage names a pool that does not produce pieces; give the pool its piece settings.
    NotPieces {
        /// The pipeline.
        pipeline: PipelineId,
        /// The pool.
        pool: PoolId,
    },
    /// A pipeline has no pool with a weight above zero; give one a weight.
    NoPool {
        /// The pipeline.
        pipeline: PipelineId,
    },
}

impl fmt::Display for SetFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownPool { pipeline, pool } => {
                write!(f, "pipeline {pipeline}: pool {pool} is not in the set")
            }
            Self::StageOrder { pipeline, stage } => write!(
                f,
                "pipeline {pipeline}: stage {stage} needs a stage that does not stand before it"
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

impl std::error::Error for SetFault {}

/// Holds one version of everything that a host serves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServingSet {
    /// The version.
    pub version: ConfigVersion,
    /// The pipelines; those of a host name stand together, the longest prefix first.
    pub pipelines: Vec<PipelineRoute>,
    /// The pools.
    pub pools: SortedMap<PoolId, PoolSettings>,
    /// The access keys; none if callers need no key.
    pub keys: Option<SortedMap<String, KeyHolder>>,
    /// The limits on what callers send.
    pub limits: CallerLimits,
}

impl ServingSet {
    /// Sorts the pipelines for [`ServingSet::find_pipeline`] and checks the whole set.
    ///
    /// # Errors
    ///
    /// Returns the first fault that was found.
    pub fn check(mut self) -> Result<Self, SetFault> {
        self.pipelines.sort_by(|left, right| {
            let by_prefix = right.prefix.len().cmp(&left.prefix.len());
            left.host.cmp(&right.host).then(by_prefix)
        });
        for pipeline in &self.pipelines {
            self.check_pipeline(pipeline)?;
        }
        Ok(self)
    }

    fn check_pipeline(&self, pipeline: &PipelineRoute) -> Result<(), SetFault> {
        let name = || pipeline.name.clone();
        if pipeline.pools.iter().all(|entry| entry.weight == 0) {
            return Err(SetFault::NoPool { pipeline: name() });
        }
        let finals = pipeline.pools.iter().map(|entry| &entry.pool);
        let stages = pipeline.stages.iter().map(|stage| &stage.pool);
        if let Some(pool) = finals
            .chain(stages)
            .find(|pool| !self.pools.contains_key(*pool))
        {
            return Err(SetFault::UnknownPool {
                pipeline: name(),
                pool: pool.clone(),
            });
        }
        for (position, stage) in pipeline.stages.iter().enumerate() {
            if stage.after.iter().any(|needed| *needed >= position) {
                return Err(SetFault::StageOrder {
                    pipeline: name(),
                    stage: position,
                });
            }
            if self.piece_pool(&stage.pool).is_none() {
                return Err(SetFault::NotPieces {
                    pipeline: name(),
                    pool: stage.pool.clone(),
                });
            }
        }
        Ok(())
    }

    /// Finds the pipeline of a request: of those of its host name, the one with the longest
    /// prefix of its path.
    pub fn find_pipeline(&self, host: &str, path: &str) -> Option<&PipelineRoute> {
        let first = self
            .pipelines
            .partition_point(|pipeline| pipeline.host.as_str() < host);
        self.pipelines[first..]
            .iter()
            .take_while(|pipeline| pipeline.host == host)
            .find(|pipeline| path.starts_with(&pipeline.prefix))
    }

    /// Returns the settings of a pool that produces pieces.
    pub fn piece_pool(&self, pool: &PoolId) -> Option<&PiecePool> {
        match &self.pools.get(pool)?.work {
            PoolWork::Pieces(pieces) => Some(pieces),
            PoolWork::Plain | PoolWork::Model(_) => None,
        }
    }

    /// Returns the settings of a pool that generates token streams.
    pub fn model_pool(&self, pool: &PoolId) -> Option<&ModelPool> {
        match &self.pools.get(pool)?.work {
            PoolWork::Model(model) => Some(model),
            PoolWork::Plain | PoolWork::Pieces(_) => None,
        }
    }
}
