//! Priority order of requests during overload.

use crate::retry_detector::CallerAttempt;

/// Ranks a request by attempt, then by workspace priority, then by pipeline priority. The lowest
/// rank is the most urgent.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestRank {
    /// Whether the request is a retry. Retries have missed their objective, so this decides only among
    /// late work of equal priority, where they precede first attempts.
    pub attempt: CallerAttempt,
    /// The priority of the workspace, or that of the pipeline if the workspace has none; zero is
    /// the most urgent.
    pub workspace: u8,
    /// The priority of the pipeline; zero is the most urgent.
    pub pipeline: u8,
}

impl RequestRank {
    /// Creates the rank of a first attempt.
    pub fn new(workspace: Option<u8>, pipeline: u8) -> Self {
        Self {
            attempt: CallerAttempt::First,
            workspace: workspace.unwrap_or(pipeline),
            pipeline,
        }
    }
}
