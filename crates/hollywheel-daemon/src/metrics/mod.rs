//! Counters and histograms of the host.

mod book;
mod connections;
mod labels;
mod registry;
mod workspace;

pub use book::{ClassBook, StatusBook, WorkspaceBook};
pub use connections::ConnectionMetrics;
pub use registry::DaemonMetrics;
pub use workspace::{TRACKED_WORKSPACES, WorkspaceRank};
