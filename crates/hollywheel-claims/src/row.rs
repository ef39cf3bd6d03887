//! Rows of the claim table in the table service, and the calls by which operators list and
//! resolve them.

use std::fmt;

use hollywheel_store::{StoreOp, StoreRequest, StoreRow, TableName, TxnMode};
use hollywheel_types::{
    AttemptNonce, BodyDigest, ExecutionVerdict, HostId, Incarnation, RequestId, WallTime,
};
use serde::{Deserialize, Serialize};

use crate::message::ClaimKey;

/// Maximum number of rows returned by one scan.
const MAX_SCAN: u32 = 1000;

/// State of a claim row.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The request may be in progress; only the host that made the claim may send it.
    Open,
    /// Nothing was sent under this claim; any host may take it over.
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

/// Content of a row of the table `claim`, whose key is `WORKSPACE/KEY`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRow {
    /// Nonce that distinguishes this claim from other claims of the same key.
    pub nonce: AttemptNonce,
    /// Host that made the claim.
    pub host: HostId,
    /// Incarnation of the process that made the claim.
    pub incarnation: Incarnation,
    /// Request for which the claim was made.
    pub request: RequestId,
    /// Digest of the request body and the pipeline.
    pub digest: BodyDigest,
    /// Wall-clock time of the claim, for operators and for the retention of rows; the claim table
    /// itself does not use it.
    pub claimed_at: WallTime,
    /// State of the claim.
    pub state: ClaimState,
    /// What is known of the execution.
    pub verdict: ExecutionVerdict,
    /// Complete answer of a request that ran, absent if it was too large to keep.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub output: Option<String>,
}

impl ClaimRow {
    /// Parses the content of a row. Returns `None` if it is not a claim.
    pub fn read(row: &StoreRow) -> Option<Self> {
        Self::deserialize(&row.value).ok()
    }

    /// Returns the row as JSON.
    pub fn to_value(&self) -> serde_json::Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}

/// Returns the request that lists the claims after a key, in key order.
pub fn list_request(after: &str, limit: u32) -> StoreRequest {
    StoreRequest::Scan {
        table: TableName::Claim,
        prefix: String::new(),
        after: after.to_owned(),
        limit: limit.min(MAX_SCAN),
    }
}

/// Returns the request that reads one claim.
pub fn read_request(key: &ClaimKey) -> StoreRequest {
    StoreRequest::Read {
        table: TableName::Claim,
        keys: vec![key.to_string()],
    }
}

/// Parses the key of a row. Returns `None` if it is not the key of a claim.
pub fn parse_claim_key(key: &str) -> Option<ClaimKey> {
    let (workspace, key) = key.split_once('/')?;
    Some(ClaimKey {
        workspace: workspace.parse().ok()?,
        key: key.parse().ok()?,
    })
}

/// Reason for which an operator cannot resolve a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResolveError {
    /// The row is not a claim.
    NotAClaim {
        /// Key of the row.
        key: String,
    },
    /// The claim is released or has a final verdict, so there is nothing to resolve.
    NotOpen {
        /// Key of the row.
        key: String,
        /// State of the claim.
        state: ClaimState,
    },
    /// The given verdict is `may-have-run`, which decides nothing.
    NotDecided {
        /// Key of the row.
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

/// Returns the request that resolves an undecided claim with the verdict that an operator has
/// established: `not-run` releases the claim, `ran` settles it without an answer.
///
/// The request changes the row only if it still has the revision that was read. It must not be
/// used on a claim of a host that is alive, since that host may still send the request.
///
/// # Errors
///
/// Returns an error if the row is not a claim, the claim is already decided or the verdict is
/// `may-have-run`.
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
