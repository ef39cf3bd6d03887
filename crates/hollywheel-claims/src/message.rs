//! Questions between hosts about claims.

use std::fmt;

use hollywheel_types::{AttemptNonce, BodyDigest, ExecutionVerdict, IdempotencyKey, WorkspaceId};
use serde::{Deserialize, Serialize};

/// Identifies a claim.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The key within the workspace.
    pub key: IdempotencyKey,
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.key)
    }
}

/// Holds the complete answer of a request that ran, for callers who ask again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The digest of the request that was answered.
    pub digest: BodyDigest,
    /// The output of the last stage.
    pub output: String,
}

/// Asks the host that made a claim what became of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimQuestion {
    /// The claim.
    pub key: ClaimKey,
    /// The nonce that the row holds.
    pub nonce: AttemptNonce,
    /// The digest of the request that asks.
    pub digest: BodyDigest,
}

/// Tells what became of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimAnswer {
    /// The host never sent the request and never will; the asker may take the claim over.
    Released,
    /// The request is in progress; ask again.
    Running,
    /// The request ended.
    Ended {
        /// Whether it ran.
        verdict: ExecutionVerdict,
        /// The complete answer if it ran.
        answer: Option<StoredAnswer>,
    },
    /// The host knows nothing of the claim.
    Unknown,
}
