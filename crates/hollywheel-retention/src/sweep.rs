//! The steps of a sweep, each of which is one call of the table service.

use hollywheel_claims::list_request;
use hollywheel_config::retain;
use hollywheel_store::{StoreOp, StoreRequest, StoreRow, TableName, TxnMode};
use hollywheel_types::ConfigVersion;
use serde_json::json;

/// The key of the row that says how far the claims are read.
const CURSOR_KEY: &str = "retention/claims";

/// The most operations of one transaction.
pub(crate) const MAX_OPS: usize = 128;

/// Names the next call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum SweepStep {
    /// Reads the newest configuration version.
    Head,
    /// Reads the whole set that replaces the rows before it.
    WholeSet(ConfigVersion),
    /// Reads changes before a version.
    Changes {
        before: ConfigVersion,
        after: String,
    },
    /// Reads whole sets before a version.
    Sets {
        before: ConfigVersion,
        after: String,
    },
    /// Reads how far the claims were read.
    Cursor,
    /// Reads claims.
    Claims { after: String },
    /// Writes how far the claims are read.
    Save { after: String },
}

impl SweepStep {
    /// Returns the call.
    pub fn request(&self, page_rows: u32) -> StoreRequest {
        match self {
            Self::Head => retain::head_request(),
            Self::WholeSet(version) => retain::snapshot_request(*version),
            Self::Changes { after, .. } => retain::changes_request(after, page_rows),
            Self::Sets { after, .. } => retain::snapshots_request(after, page_rows),
            Self::Cursor => StoreRequest::Read {
                table: TableName::Lease,
                keys: vec![CURSOR_KEY.to_owned()],
            },
            Self::Claims { after } => list_request(after, page_rows),
            Self::Save { after } => StoreRequest::Txn {
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

/// Returns the key after which the claims are to be read.
pub(crate) fn read_cursor(rows: &[StoreRow]) -> String {
    let after = rows.first().and_then(|row| row.value["after"].as_str());
    after.unwrap_or_default().to_owned()
}

/// Names a row to remove, as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct OldRow {
    pub table: TableName,
    pub key: String,
    pub revision: u64,
}

impl OldRow {
    /// Notes a row.
    pub fn new(table: TableName, row: &StoreRow) -> Self {
        Self {
            table,
            key: row.key.clone(),
            revision: row.revision,
        }
    }

    /// Returns the operation that removes the row unless it has changed.
    pub fn delete(&self) -> StoreOp {
        StoreOp::Delete {
            table: self.table,
            key: self.key.clone(),
            if_revision: Some(self.revision),
        }
    }
}
