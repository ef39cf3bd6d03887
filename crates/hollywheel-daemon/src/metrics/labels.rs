//! Labels of the metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels a series with a class.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ClassLabels {
    /// The class.
    pub class: &'static str,
}

/// Labels a series with a workspace, or `other`.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct WorkspaceLabels {
    /// The workspace.
    pub workspace: String,
}

/// Labels the end of a request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EndLabels {
    /// The class.
    pub class: &'static str,
    /// How it ended.
    pub end: &'static str,
    /// What the caller was told.
    pub verdict: &'static str,
}

/// Labels a series with one name out of a closed set.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct KindLabels {
    /// The name.
    pub kind: &'static str,
}

/// Labels what a stage spent.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CostLabels {
    /// The stage.
    pub stage: String,
    /// The class.
    pub class: &'static str,
    /// What the time was spent for.
    pub spent: &'static str,
}
