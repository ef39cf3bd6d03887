//! Questions to the policy and its decisions.

use std::fmt;
use std::time::Duration;

use hollywheel_types::{
    AttemptNonce, Incarnation, ModelId, MonoTime, PipelineId, PoolId, RequestClass, RequestId,
    ServerId, StageId, WorkspaceId,
};
use serde::{Deserialize, Serialize};

/// Asks whether a request may start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmitRequest {
    /// The request.
    pub request: RequestId,
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The pipeline.
    pub pipeline: PipelineId,
    /// The class.
    pub class: RequestClass,
    /// The point by which the complete answer is due.
    pub deadline: MonoTime,
}

/// Says why the policy refuses a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefuseReason {
    /// The remaining time is shorter than the remaining stages are expected to take.
    DeadlineTooShort,
    /// No backend server of a pool can take work.
    NoServer,
    /// The capacity is used by requests with a higher claim to it.
    Overloaded,
    /// The workspace is above its rate.
    RateLimited,
}

impl RefuseReason {
    /// Returns the name used in answers and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::DeadlineTooShort => "deadline-too-short",
            Self::NoServer => "no-server",
            Self::Overloaded => "overloaded",
            Self::RateLimited => "rate-limited",
        }
    }
}

impl fmt::Display for RefuseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Says whether a request may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// It may start now.
    Start,
    /// It waits; a later [`AdmitNotice`] decides.
    Wait,
    /// It is refused.
    Refuse {
        /// Why.
        reason: RefuseReason,
        /// When the caller should ask again.
        retry_after: Duration,
    },
}

/// Decides about a request that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmitNotice {
    /// The request.
    pub request: RequestId,
    /// The decision, never [`AdmitDecision::Wait`].
    pub decision: AdmitDecision,
}

/// Says why an attempt is made.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptKind {
    /// The first attempt at a stage.
    First,
    /// An attempt after another one failed.
    Retry,
    /// An attempt beside another one that is slow.
    Hedge,
}

/// Asks for a backend server.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The stage.
    pub stage: &'a StageId,
    /// The class.
    pub class: RequestClass,
    /// The model that the server must hold.
    pub model: Option<&'a ModelId>,
    /// The hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Servers that this request has tried at this stage.
    pub exclude: &'a [ServerId],
    /// The point by which the complete answer is due.
    pub deadline: MonoTime,
    /// The expected time of the stages after this one.
    pub later_stages: Duration,
}

/// Says which backend server takes an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PickDecision {
    /// This server.
    Send(ServerId),
    /// None now; ask again at that point or when an attempt at the pool ends.
    Wait {
        /// The point.
        until: MonoTime,
    },
    /// None in time.
    Refuse {
        /// Why.
        reason: RefuseReason,
        /// When the caller should ask again.
        retry_after: Duration,
    },
}

/// Tells of an attempt that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentAttempt {
    /// The attempt.
    pub nonce: AttemptNonce,
    /// The request.
    pub request: RequestId,
    /// The server.
    pub server: ServerId,
    /// The pool.
    pub pool: PoolId,
    /// The stage.
    pub stage: StageId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The class.
    pub class: RequestClass,
    /// Why it was made.
    pub kind: AttemptKind,
}

/// Says how an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// With the complete answer.
    Answered,
    /// The server refused it before any processing.
    Refused,
    /// The connection or the answer broke.
    Failed,
    /// No answer came in time.
    TimedOut,
    /// It was cancelled, since another attempt won or the caller left.
    Cancelled,
}

/// Says how a request ended, which decides whether its cost was useful.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// Complete and in time.
    Attained,
    /// Complete, but after the deadline.
    Late,
    /// Refused before anything was sent.
    Refused,
    /// Failed after something was sent.
    Failed,
}

/// Holds what a backend server says of its load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerReport {
    /// The server.
    pub server: ServerId,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// The models that it holds.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Hashes of prompt prefixes that it holds.
    #[serde(default)]
    pub prefixes: Vec<u64>,
}
