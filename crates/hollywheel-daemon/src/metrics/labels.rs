//! Label sets of the metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of a series per request class.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ClassLabels {
    /// Request class.
    pub class: &'static str,
}

/// Labels of a series per workspace.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct WorkspaceLabels {
    /// Workspace name, or `other` for the workspaces without a series of their own.
    pub workspace: String,
}

/// Labels of the counter of ended requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EndLabels {
    /// Request class.
    pub class: &'static str,
    /// How the request ended.
    pub end: &'static str,
    /// Execution verdict that the caller received.
    pub verdict: &'static str,
}

/// Labels of a series per kind, where the set of kinds is fixed.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct KindLabels {
    /// Name of the kind.
    pub kind: &'static str,
}

/// Labels of the cost of a stage.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CostLabels {
    /// Stage name.
    pub stage: String,
    /// Request class.
    pub class: &'static str,
    /// Purpose of the time spent, such as `useful` or `hedged`.
    pub spent: &'static str,
}
