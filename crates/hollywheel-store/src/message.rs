//! Requests to the table service, replies and failures.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Identifies a table of this project.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableName {
    /// Claims that keep non-idempotent requests from running twice.
    Claim,
    /// Published configuration changes, one row per version.
    ConfigChange,
    /// A single row that holds the number of the newest configuration version.
    ConfigHead,
    /// Leases with fencing tokens.
    Lease,
}

impl TableName {
    /// Returns the name of the table in the protocol.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Claim => "claim",
            Self::ConfigChange => "config-change",
            Self::ConfigHead => "config-head",
            Self::Lease => "lease",
        }
    }
}

impl fmt::Display for TableName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Holds one row as the table service returns it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreRow {
    /// The key of the row.
    pub key: String,
    /// The content of the row.
    pub value: Value,
    /// The revision, which increases with every change of the row.
    pub revision: u64,
}

/// Describes one operation of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "op")]
pub enum StoreOp {
    /// Adds a row; fails if the key already exists.
    Insert {
        /// The table.
        table: TableName,
        /// The key.
        key: String,
        /// The content.
        value: Value,
    },
    /// Writes a row; fails if a revision is given and does not match.
    Put {
        /// The table.
        table: TableName,
        /// The key.
        key: String,
        /// The content.
        value: Value,
        /// The revision that the row must have, zero if it must not exist; none writes it
        /// unconditionally.
        if_revision: Option<u64>,
    },
    /// Removes a row; fails if a revision is given and does not match.
    Delete {
        /// The table.
        table: TableName,
        /// The key.
        key: String,
        /// The revision that the row must have; none removes it unconditionally.
        if_revision: Option<u64>,
    },
}

/// Selects whether the operations of a transaction succeed or fail together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TxnMode {
    /// All operations take effect, or none does.
    Atomic,
    /// Each operation succeeds or fails on its own; used for group commit.
    Independent,
}

/// Describes one call to the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "call")]
pub enum StoreRequest {
    /// Reads rows by key.
    Read {
        /// The table.
        table: TableName,
        /// The keys.
        keys: Vec<String>,
    },
    /// Reads a range of rows in key order.
    Scan {
        /// The table.
        table: TableName,
        /// Only rows whose keys start with this prefix are returned.
        prefix: String,
        /// The key after which to start; empty starts at the first row.
        after: String,
        /// The maximum number of rows.
        limit: u32,
    },
    /// Writes rows in one transaction.
    Txn {
        /// Whether the operations succeed or fail together.
        mode: TxnMode,
        /// The operations.
        ops: Vec<StoreOp>,
    },
}

/// Holds the outcome of one operation of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum RowOutcome {
    /// The operation took effect.
    Applied {
        /// The new revision of the row.
        revision: u64,
    },
    /// The operation failed because the row does not meet its condition.
    Conflict {
        /// The current row; none if it does not exist.
        current: Option<StoreRow>,
    },
    /// The operation was not applied because another one of the same atomic transaction failed.
    Skipped,
}

/// Holds the reply of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum StoreReply {
    /// The rows that were found, in key order.
    Rows {
        /// The rows.
        rows: Vec<StoreRow>,
    },
    /// The outcome of each operation, in the order of the request.
    Txn {
        /// The outcomes, one per operation.
        outcomes: Vec<RowOutcome>,
    },
}

/// Describes why a call to the table service gave no reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "failure")]
pub enum StoreFailure {
    /// The call had no effect: it was rejected or never sent.
    Refused {
        /// How long to wait before the next call.
        retry_after: Duration,
    },
    /// The call may have taken effect or may still do so: the reply was lost or is late.
    Unknown,
}

impl fmt::Display for StoreFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { retry_after } => write!(
                f,
                "the table service rejected the call; retry in {} ms",
                retry_after.as_millis()
            ),
            Self::Unknown => f.write_str("no reply from the table service; outcome unknown"),
        }
    }
}

impl std::error::Error for StoreFailure {}
