//! The steps of a sweep; each step is one call of the table service.

use hollywheel_claims::list_request;
use hollywheel_config::retain;
use hollywheel_store::{StoreOp, StoreRequest, StoreRow, TableName, TxnMode};
use hollywheel_types::ConfigVersion;
use serde_json::json;

/// The key of the row that stores the cursor of the pass over the claims.
const CURSOR_KEY: &str = "retention/claims";

/// Maximum number of operations per transaction.
pub(crate) const MAX_OPS: usize = 128;

/// The next call of a sweep.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum SweepStep {
    /// Reads the newest configuration version.
    Head,
    /// Reads the snapshot that replaces all earlier rows.
    Snapshot(ConfigVersion),
    /// Reads a page of the changes before a version.
    Changes {
        before: ConfigVersion,
        after: String,
    },
    /// Reads a page of the snapshots before a version.
    Snapshots {
        before: ConfigVersion,
        after: String,
    },
    /// Reads the stored cursor.
    Cursor,
    /// Reads a page of claims.
    Claims { after: String },
    /// Stores the cursor.
    SaveCursor { after: String },
}

impl SweepStep {
    /// Returns the request of the step.
    pub fn request(&self, page_rows: u32) -> StoreRequest {
        match self {
            Self::Head => retain::head_request(),
            Self::Snapshot(version) => retain::snapshot_request(*version),
            Self::Changes { after, .. } => retain::changes_request(after, page_rows),
            Self::Snapshots { after, .. } => retain::snapshots_request(after, page_rows),
            Self::Cursor => StoreRequest::Read {
                table: TableName::Lease,
                keys: vec![CURSOR_KEY.to_owned()],
            },
            Self::Claims { after } => list_request(after, page_rows),
            Self::SaveCursor { after } => StoreRequest::Txn {
                mode: TxnMode::Independent,
                ops: vec![StoreOp::Put {
                    table: TableName::Lease,
                    key: CURSOR_KEY.to_owned(),
                    value: json!({ "after": after }),
                    if_revision: None,
                }],
            },
        }
    }
}

/// Returns the claim key stored in the cursor row, or an empty key to start from the beginning.
pub(crate) fn read_cursor(rows: &[StoreRow]) -> String {
    let after = rows.first().and_then(|row| row.value["after"].as_str());
    after.unwrap_or_default().to_owned()
}

/// A row to remove, at the revision that was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ExpiredRow {
    pub table: TableName,
    pub key: String,
    pub revision: u64,
}

impl ExpiredRow {
    /// Creates an entry for a row that was read.
    pub fn new(table: TableName, row: &StoreRow) -> Self {
        Self {
            table,
            key: row.key.clone(),
            revision: row.revision,
        }
    }

    /// Returns the operation that removes the row unless it has changed since.
    pub fn delete(&self) -> StoreOp {
        StoreOp::Delete {
            table: self.table,
            key: self.key.clone(),
            if_revision: Some(self.revision),
        }
    }
}
