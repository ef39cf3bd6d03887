//! Requests to the policy engine, its decisions and the feedback that it takes.

use std::fmt;
use std::time::Duration;

use hollywheel_types::{
    AttemptNonce, Incarnation, ModelId, MonoTime, PipelineId, PoolId, RequestClass, RequestId,
    ServerId, StageId, WorkspaceId,
};
use serde::{Deserialize, Serialize};

/// Asks for the admission of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmitRequest {
    /// The request to admit.
    pub request: RequestId,
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The pipeline that the request runs.
    pub pipeline: PipelineId,
    /// The request class of the pipeline's target.
    pub class: RequestClass,
    /// The time by which the complete answer is due.
    pub deadline: MonoTime,
}

/// Reason why the policy engine rejects a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefuseReason {
    /// The time left until the deadline is shorter than the remaining stages are expected to take.
    DeadlineTooShort,
    /// No backend server of the pool accepts work.
    NoServer,
    /// Requests that are served first leave no capacity for it in time.
    Overloaded,
    /// The workspace exceeds its rate limit.
    RateLimited,
}

impl RefuseReason {
    /// Returns the name used in responses and metrics.
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

/// Decision on the admission of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// The request may start now.
    Start,
    /// The request is queued; a later [`AdmitNotice`] carries the final decision.
    Wait,
    /// The request is rejected.
    Refuse {
        /// Why it is rejected.
        reason: RefuseReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Final decision on a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmitNotice {
    /// The queued request.
    pub request: RequestId,
    /// The decision, never [`AdmitDecision::Wait`].
    pub decision: AdmitDecision,
}

/// Reason why an attempt is made.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptKind {
    /// The first attempt at a stage.
    First,
    /// An attempt that repeats a failed one.
    Retry,
    /// An attempt in parallel to a slow one.
    Hedge,
}

/// Asks for a backend server that takes an attempt.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// The pool that serves the stage.
    pub pool: &'a PoolId,
    /// The stage to run.
    pub stage: &'a StageId,
    /// The request class.
    pub class: RequestClass,
    /// The model that the server must have loaded, if any.
    pub model: Option<&'a ModelId>,
    /// The hash of the prompt prefix, for prefix-affinity routing.
    pub prefix: Option<u64>,
    /// The servers that this request has already tried for this stage.
    pub exclude: &'a [ServerId],
    /// The time by which the complete answer is due.
    pub deadline: MonoTime,
    /// The expected total latency of the stages after this one.
    pub later_stages: Duration,
}

/// Decision on the backend server that takes an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PickDecision {
    /// Send the attempt to this server.
    Send(ServerId),
    /// No server has room now; pick again at `until` or when an attempt at the pool ends.
    Wait {
        /// Time of the next try.
        until: MonoTime,
    },
    /// No server can answer in time.
    Refuse {
        /// Why it is rejected.
        reason: RefuseReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Describes an attempt that was sent to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SentAttempt {
    /// Identifies the attempt.
    pub nonce: AttemptNonce,
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The backend server that it was sent to.
    pub server: ServerId,
    /// The pool of the server.
    pub pool: PoolId,
    /// The stage that it runs.
    pub stage: StageId,
    /// The workspace that is charged for it.
    pub workspace: WorkspaceId,
    /// The request class.
    pub class: RequestClass,
    /// Why the attempt is made.
    pub kind: AttemptKind,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The complete answer arrived.
    Answered,
    /// The server rejected it before any processing.
    Refused,
    /// The connection failed or the answer was invalid or incomplete.
    Failed,
    /// No complete answer arrived in time.
    TimedOut,
    /// It was cancelled because another attempt answered first or the caller disconnected.
    Cancelled,
}

/// Outcome of a request, which decides whether its backend time counts as useful.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// Completed within its deadline.
    Attained,
    /// Completed after its deadline.
    Late,
    /// Rejected before any attempt was sent.
    Refused,
    /// Failed after an attempt was sent.
    Failed,
}

/// Load report of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerReport {
    /// The backend server.
    pub server: ServerId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Number of requests that it is running.
    pub running: u32,
    /// Number of requests in its queue.
    pub queued: u32,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new work.
    pub leaving: bool,
    /// The models that it has loaded.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Hashes of the prompt prefixes in its cache.
    #[serde(default)]
    pub prefixes: Vec<u64>,
}
