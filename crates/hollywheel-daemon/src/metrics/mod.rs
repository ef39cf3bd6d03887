//! Counters and histograms of the host.

mod labels;
mod registry;
mod workspace;

pub use registry::DaemonMetrics;
pub use workspace::{TRACKED_WORKSPACES, WorkspaceRank};
