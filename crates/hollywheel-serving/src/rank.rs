//! The order in which requests are served when not all can be.

/// Ranks a request: by its workspace, then by its pipeline. The least is the most urgent.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestRank {
    /// The rank of the workspace, or the pipeline's where the workspace has none.
    pub workspace: u8,
    /// The rank of the pipeline.
    pub pipeline: u8,
}

impl RequestRank {
    /// Ranks a request of a pipeline.
    pub fn new(workspace: Option<u8>, pipeline: u8) -> Self {
        Self {
            workspace: workspace.unwrap_or(pipeline),
            pipeline,
        }
    }
}
