//! Requests to the table service and what becomes of them.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Names the tables that the system keeps.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableName {
    /// Claims of non-idempotent requests.
    Claim,
    /// Published changes, one row a version.
    ConfigChange,
    /// The row that names the newest version.
    ConfigHead,
    /// Leases with fencing numbers.
    Lease,
}

impl TableName {
    /// Returns the name of the table.
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
    /// The key.
    pub key: String,
    /// The content.
    pub value: Value,
    /// The revision, which rises with every change of the row.
    pub revision: u64,
}

/// Describes one operation of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "op")]
pub enum StoreOp {
    /// Adds a row; fails if the key is taken.
    Insert {
        /// The table.
        table: TableName,
        /// The key.
        key: String,
        /// The content.
        value: Value,
    },
    /// Sets a row; fails if a revision is given and differs.
    Put {
        /// The table.
        table: TableName,
        /// The key.
        key: String,
        /// The content.
        value: Value,
        /// The revision that the row must have, zero for no row; none sets it regardless.
        if_revision: Option<u64>,
    },
    /// Removes a row; fails if a revision is given and differs.
    Delete {
        /// The table.
        table: TableName,
        /// The key.
        key: String,
        /// The revision that the row must have; none removes it regardless.
        if_revision: Option<u64>,
    },
}

/// Says how the operations of a transaction depend on one another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TxnMode {
    /// Either all take effect or none.
    Atomic,
    /// Each succeeds or fails by itself; used for group commit.
    Independent,
}

/// Describes one call of the table service.
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
    /// Reads rows in the order of their keys.
    Scan {
        /// The table.
        table: TableName,
        /// The prefix that the keys must have.
        prefix: String,
        /// The key after which to begin; empty begins at the first.
        after: String,
        /// The largest number of rows.
        limit: u32,
    },
    /// Writes rows.
    Txn {
        /// How the operations depend on one another.
        mode: TxnMode,
        /// The operations.
        ops: Vec<StoreOp>,
    },
}

/// Says what became of one operation of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum RowOutcome {
    /// It took effect.
    Applied {
        /// The new revision of the row.
        revision: u64,
    },
    /// It failed, since the row is not as the operation asks.
    Conflict {
        /// The row as it is, if there is one.
        current: Option<StoreRow>,
    },
    /// It would have succeeded, but another operation of an atomic transaction failed.
    Skipped,
}

/// Holds the answer of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "reply")]
pub enum StoreReply {
    /// The rows that were found, in the order of their keys.
    Rows {
        /// The rows.
        rows: Vec<StoreRow>,
    },
    /// What became of each operation, in the order of the request.
    Txn {
        /// The outcomes.
        outcomes: Vec<RowOutcome>,
    },
}

/// Says why a call of the table service has no answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "failure")]
pub enum StoreFailure {
    /// The call surely had no effect: it was refused or never sent.
    Refused {
        /// When to call again.
        retry_after: Duration,
    },
    /// The call may have had its effect, now or later: the answer was lost or is late.
    Unknown,
}

impl fmt::Display for StoreFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { retry_after } => write!(
                f,
                "the table service refused the call; call again in {} ms",
                retry_after.as_millis()
            ),
            Self::Unknown => f.write_str("the answer of the table service is not known"),
        }
    }
}

impl std::error::Error for StoreFailure {}
