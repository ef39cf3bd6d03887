//! The rows of the claim table and the operators' view of them.

use std::fmt;

use hollywheel_store::{StoreOp, StoreRequest, StoreRow, TableName, TxnMode};
use hollywheel_types::{
    AttemptNonce, BodyDigest, ExecutionVerdict, HostId, Incarnation, RequestId, WallTime,
};
use serde::{Deserialize, Serialize};

use crate::message::ClaimKey;

/// Bounds the rows that one scan returns.
const MAX_SCAN: u32 = 1000;

/// Names the state of a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The request may be sent by the host that made the claim, and by no other.
    Open,
    /// The request was never sent under this claim; any host may take the claim over.
    Released,
    /// The request ended and the verdict is final.
    Settled,
}

impl ClaimState {
    /// Returns the name used in rows and lists.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Released => "released",
            Self::Settled => "settled",
        }
    }
}

impl fmt::Display for ClaimState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Holds the content of a row of the table `claim`, whose key is `WORKSPACE/KEY`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRow {
    /// Tells this claim from every other claim of the same key.
    pub nonce: AttemptNonce,
    /// The host that made the claim.
    pub host: HostId,
    /// The start of that host's process.
    pub incarnation: Incarnation,
    /// The request that the claim was made for.
    pub request: RequestId,
    /// The digest of the request body and the pipeline.
    pub digest: BodyDigest,
    /// When the claim was made, for people to read.
    pub claimed_at: WallTime,
    /// The state.
    pub state: ClaimState,
    /// What is known of the execution.
    pub verdict: ExecutionVerdict,
    /// The complete answer of a request that ran, unless it was too large to keep.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub output: Option<String>,
}

impl ClaimRow {
    /// Reads the content of a row; none if it is not a claim.
    pub fn read(row: &StoreRow) -> Option<Self> {
        Self::deserialize(&row.value).ok()
    }

    /// Returns the row as JSON.
    pub fn to_value(&self) -> serde_json::Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}

/// Returns the call that lists claims in the order of their keys.
pub fn list_request(after: &str, limit: u32) -> StoreRequest {
    StoreRequest::Scan {
        table: TableName::Claim,
        prefix: String::new(),
        after: after.to_owned(),
        limit: limit.min(MAX_SCAN),
    }
}

/// Returns the call that reads one claim.
pub fn read_request(key: &ClaimKey) -> StoreRequest {
    StoreRequest::Read {
        table: TableName::Claim,
        keys: vec![key.to_string()],
    }
}

/// Reads the key of a row; none if it is not that of a claim.
pub fn parse_claim_key(key: &str) -> Option<ClaimKey> {
    let (workspace, key) = key.split_once('/')?;
    Some(ClaimKey {
        workspace: workspace.parse().ok()?,
        key: key.parse().ok()?,
    })
}

/// Says why a claim cannot be resolved by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResolveError {
    /// The row is not a claim.
    NotAClaim {
        /// The key of the row.
        key: String,
    },
    /// The claim is decided, so there is nothing to resolve.
    NotOpen {
        /// The key of the row.
        key: String,
        /// The state of the claim.
        state: ClaimState,
    },
    /// The verdict leaves the question open.
    NotDecided {
        /// The key of the row.
        key: String,
    },
}

impl fmt::Display for ResolveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAClaim { key } => write!(f, "claim {key}: the row is not a claim"),
            Self::NotOpen { key, state } => {
                write!(f, "claim {key}: is {state}; expected an undecided claim")
            }
            Self::NotDecided { key } => {
                write!(f, "claim {key}: verdict: expected not-run or ran")
            }
        }
    }
}

impl std::error::Error for ResolveError {}

/// Returns the call that settles an undecided claim as an operator found it out: `not-run` frees the
/// key, `ran` settles it without an answer.
///
/// The call changes the row only as it was read. It must not be used on a claim of a host
/// that is alive: that host may still send the request.
///
/// # Errors
///
/// Returns an error if the row is not a claim, is decided already, or the verdict is `may-have-run`.
pub fn resolve_request(
    row: &StoreRow,
    verdict: ExecutionVerdict,
) -> Result<StoreRequest, ResolveError> {
    let key = || row.key.clone();
    let mut claim = ClaimRow::read(row).ok_or_else(|| ResolveError::NotAClaim { key: key() })?;
    let undecided =
        claim.state == ClaimState::Settled && claim.verdict == ExecutionVerdict::MayHaveRun;
    if claim.state != ClaimState::Open && !undecided {
        return Err(ResolveError::NotOpen {
            key: key(),
            state: claim.state,
        });
    }
    claim.state = match verdict {
        ExecutionVerdict::NotRun => ClaimState::Released,
        ExecutionVerdict::Ran => ClaimState::Settled,
        ExecutionVerdict::MayHaveRun => return Err(ResolveError::NotDecided { key: key() }),
    };
    claim.verdict = verdict;
    Ok(StoreRequest::Txn {
        mode: TxnMode::Independent,
        ops: vec![StoreOp::Put {
            table: TableName::Claim,
            key: key(),
            value: claim.to_value(),
            if_revision: Some(row.revision),
        }],
    })
}
