//! The order in which requests are served when not all can be.

use crate::patience::CallerAttempt;

/// Ranks a request: callers that were turned away before the others, then by its workspace, then
/// by its pipeline. The least is the most urgent.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestRank {
    /// Whether the caller has come back. It has lost its objective, so that its rank decides
    /// only among late work.
    pub attempt: CallerAttempt,
    /// The rank of the workspace, or the pipeline's where the workspace has none.
    pub workspace: u8,
    /// The rank of the pipeline.
    pub pipeline: u8,
}

impl RequestRank {
    /// Ranks a request of a pipeline.
    pub fn new(workspace: Option<u8>, pipeline: u8) -> Self {
        Self {
            attempt: CallerAttempt::First,
            workspace: workspace.unwrap_or(pipeline),
            pipeline,
        }
    }
}
