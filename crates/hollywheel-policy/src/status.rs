//! Status and cost reports of the policy engine.

use std::time::Duration;

use hollywheel_types::{PoolId, RequestClass, ServerId, StageId, WorkspaceId};
use serde::Serialize;

use crate::message::AttemptOutcome;

/// Condition of a backend server as seen by this host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerCondition {
    /// It accepts work.
    Serving,
    /// It is ejected after failures or slow answers and gets no work for a while.
    Ejected,
    /// It gets a single trial request, whose outcome decides whether it serves again.
    Trial,
    /// It is shutting down and gets no work.
    Leaving,
}

/// Status of one backend server as seen by this host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServerStatus {
    /// The pool of the server.
    pub pool: PoolId,
    /// The backend server.
    pub server: ServerId,
    /// Whether it accepts work, and if not, why.
    pub condition: ServerCondition,
    /// Whether it belongs to the subset that this host uses.
    pub in_subset: bool,
    /// The number of attempts of this host in flight.
    pub in_flight: u32,
    /// The age of its latest load report, if any.
    pub report_age: Option<Duration>,
}

/// Counters of the attempts at a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct PoolCounters {
    /// First attempts at a stage.
    pub first: u64,
    /// Retries of failed attempts.
    pub retries: u64,
    /// Hedges of slow attempts.
    pub hedges: u64,
    /// Retries denied by the retry budget.
    pub retries_denied: u64,
    /// Hedges denied by the hedge budget.
    pub hedges_denied: u64,
    /// Attempts with a complete answer.
    pub answered: u64,
    /// Attempts rejected by the server.
    pub refused: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
    /// Attempts cancelled by this host.
    pub cancelled: u64,
    /// Ejections of backend servers.
    pub ejections: u64,
}

impl PoolCounters {
    pub(crate) const fn count(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Answered => self.answered += 1,
            AttemptOutcome::Refused => self.refused += 1,
            AttemptOutcome::Failed => self.failed += 1,
            AttemptOutcome::TimedOut => self.timed_out += 1,
            AttemptOutcome::Cancelled => self.cancelled += 1,
        }
    }
}

/// Status of one pool as seen by this host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolStatus {
    /// The pool itself.
    pub pool: PoolId,
    /// The counters since the pool was installed.
    pub counters: PoolCounters,
    /// The requests in progress, each counted as the fraction of its expected time spent in the
    /// pool.
    pub admitted: f64,
    /// The number of requests that this host may run concurrently in the pool.
    pub limit: f64,
}

/// Length of the admission queue of one class.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct QueueStatus {
    /// The request class.
    pub class: RequestClass,
    /// The number of queued requests.
    pub waiting: usize,
}

/// Backend time, split by what became of its result.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CostSplit {
    /// Answers of requests that completed within their deadline.
    pub useful: Duration,
    /// Attempts that failed, were rejected or timed out.
    pub retried: Duration,
    /// Attempts cancelled because the other side of a hedge answered first.
    pub hedged: Duration,
    /// Attempts cancelled because the caller disconnected or the deadline passed.
    pub cancelled: Duration,
    /// Answers of requests that completed after their deadline or failed at a later stage.
    pub late: Duration,
}

impl CostSplit {
    /// Returns the sum of all parts.
    pub fn total(&self) -> Duration {
        self.useful + self.retried + self.hedged + self.cancelled + self.late
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.useful += other.useful;
        self.retried += other.retried;
        self.hedged += other.hedged;
        self.cancelled += other.cancelled;
        self.late += other.late;
    }
}

/// Backend time of one stage in one request class.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StageCost {
    /// The stage that ran.
    pub stage: StageId,
    /// The request class.
    pub class: RequestClass,
    /// The backend time, split by use.
    pub split: CostSplit,
}

/// Backend time of one workspace.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct WorkspaceCost {
    /// The workspace that is charged.
    pub workspace: WorkspaceId,
    /// The backend time, split by use.
    pub split: CostSplit,
}

/// Backend time spent on requests of this host since it started.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CostReport {
    /// Backend time by stage and class.
    pub stages: Vec<StageCost>,
    /// Backend time by workspace, for the workspaces with the most time.
    pub workspaces: Vec<WorkspaceCost>,
    /// Backend time of all workspaces that are not listed.
    pub other_workspaces: CostSplit,
}
