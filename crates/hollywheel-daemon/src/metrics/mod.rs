//! Metrics of the host.

mod connections;
mod labels;
mod registry;
mod status_counters;
mod workspace;

pub use connections::ConnectionMetrics;
pub use registry::DaemonMetrics;
pub use status_counters::{ClassCounters, StatusCounters, WorkspaceCounters};
pub use workspace::{TRACKED_WORKSPACES, WorkspaceRank};
