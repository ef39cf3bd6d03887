//! Messages between hosts about claims.

use std::fmt;

use hollywheel_types::{AttemptNonce, BodyDigest, ExecutionVerdict, IdempotencyKey, WorkspaceId};
use serde::{Deserialize, Serialize};

/// Identifier of a claim.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Idempotency key, unique within the workspace.
    pub key: IdempotencyKey,
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.key)
    }
}

/// Complete answer of a request that ran, replayed to callers that retry with the same key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// Digest of the request that was answered.
    pub digest: BodyDigest,
    /// Output of the last stage.
    pub output: String,
}

/// Question to the host that holds a claim about its state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimQuestion {
    /// Claim that the question is about.
    pub key: ClaimKey,
    /// Nonce in the claim row.
    pub nonce: AttemptNonce,
    /// Digest of the request that waits for the claim.
    pub digest: BodyDigest,
}

/// State of a claim as its holder knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimAnswer {
    /// The holder never sent the request and never will; the asking host may take over the claim.
    Released,
    /// The request is in progress; the asking host should ask again later.
    Running,
    /// The request ended.
    Ended {
        /// What is known of the execution.
        verdict: ExecutionVerdict,
        /// Complete answer, if the request ran and the answer was kept.
        answer: Option<StoredAnswer>,
    },
    /// The host has no record of the claim.
    Unknown,
}
