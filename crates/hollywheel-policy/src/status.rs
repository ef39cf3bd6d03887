//! What the policy says of its own state.

use std::time::Duration;

use hollywheel_types::{PoolId, RequestClass, ServerId, StageId, WorkspaceId};
use serde::Serialize;

use crate::message::AttemptOutcome;

/// Says whether a backend server takes work of this host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerCondition {
    /// It takes work.
    Serving,
    /// It takes none for a while.
    Ejected,
    /// It takes a single request that decides whether it serves again.
    Trial,
    /// It takes none and will go.
    Leaving,
}

/// Describes one backend server as this host sees it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ServerStatus {
    /// The pool.
    pub pool: PoolId,
    /// The server.
    pub server: ServerId,
    /// Whether it takes work.
    pub condition: ServerCondition,
    /// Whether it is part of the subset that this host uses.
    pub in_subset: bool,
    /// The requests of this host that it runs.
    pub in_flight: u32,
    /// The age of the last report.
    pub report_age: Option<Duration>,
}

/// Counts the attempts at a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct PoolCounters {
    /// First attempts.
    pub first: u64,
    /// Retries.
    pub retries: u64,
    /// Hedges.
    pub hedges: u64,
    /// Retries that the budget did not allow.
    pub retries_denied: u64,
    /// Hedges that the budget did not allow.
    pub hedges_denied: u64,
    /// Attempts answered.
    pub answered: u64,
    /// Attempts that the server refused.
    pub refused: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts without an answer in time.
    pub timed_out: u64,
    /// Attempts cancelled.
    pub cancelled: u64,
    /// Ejections of servers.
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

/// Describes one pool as this host sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolId,
    /// The counters since the pool was installed.
    pub counters: PoolCounters,
    /// The requests admitted, each as the part of its time that it spends in the pool.
    pub admitted: f64,
    /// The requests that this host may run at once in the pool.
    pub limit: f64,
}

/// Says how many requests of a class wait for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct QueueStatus {
    /// The class.
    pub class: RequestClass,
    /// The requests waiting.
    pub waiting: usize,
}

/// Splits backend time by what it was good for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CostSplit {
    /// Answers of requests that were complete in time.
    pub useful: Duration,
    /// Attempts that failed, were refused or timed out.
    pub retried: Duration,
    /// Attempts that lost against a hedge, or hedges that lost.
    pub hedged: Duration,
    /// Attempts cancelled since the caller left or the deadline passed.
    pub cancelled: Duration,
    /// Answers of requests that were complete too late or failed at a later stage.
    pub late: Duration,
}

impl CostSplit {
    /// Returns the whole backend time.
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

/// Gives the backend time of a stage for a class.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct StageCost {
    /// The stage.
    pub stage: StageId,
    /// The class.
    pub class: RequestClass,
    /// The backend time.
    pub split: CostSplit,
}

/// Gives the backend time of a workspace.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct WorkspaceCost {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The backend time.
    pub split: CostSplit,
}

/// Gives the backend time spent through this host since it started.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct CostReport {
    /// By stage and class.
    pub stages: Vec<StageCost>,
    /// By workspace, the busiest ones only.
    pub workspaces: Vec<WorkspaceCost>,
    /// The workspaces that are not listed, together.
    pub other_workspaces: CostSplit,
}
