//! The rows of the table service that store versions.

use hollywheel_store::{StoreOp, StoreRequest, StoreRow, TableName, TxnMode};
use hollywheel_types::{ConfigVersion, PublishId, WallTime};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::change::{ConfigChange, PublishedSet, SetDiff};
use crate::install::digest::SetDigest;
use crate::install::message::{InstallError, InstallFault};

/// The key of the head row, which names the newest version.
const HEAD_KEY: &str = "head";

/// The prefix of the keys of change rows: versions are written with 20 digits, so that they sort by
/// number and start with a zero.
pub(crate) const CHANGE_PREFIX: &str = "0";

/// The number of versions between stored snapshots.
const SNAPSHOT_INTERVAL: u64 = 64;

/// The maximum size of the text in one row, in bytes.
const MAX_PART_BYTES: usize = 48 * 1024;

/// The maximum number of operations of one transaction.
const MAX_OPS: usize = 128;

/// The maximum number of lines in the summary of a change.
const MAX_SUMMARY_LINES: usize = 64;

/// The content of the head row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HeadRow {
    /// The newest version.
    pub version: ConfigVersion,
    /// The ID of its publication.
    pub publish_id: PublishId,
    /// The digest of its set.
    pub digest: SetDigest,
}

/// The content of a change row. A large difference follows in rows of its own.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ChangeRow {
    /// The version that the change is based on.
    pub base: ConfigVersion,
    /// The version that the change creates.
    pub version: ConfigVersion,
    /// The ID of the publication.
    pub publish_id: PublishId,
    /// The operator.
    pub operator: String,
    /// The time of the publication.
    pub published_at: WallTime,
    /// One line for each object that differs.
    pub summary: Vec<String>,
    /// The number of objects that differ.
    pub changed: u32,
    /// The digest of the set that the change creates.
    pub digest: SetDigest,
    /// The number of rows that hold the difference; zero if this row holds it.
    pub parts: usize,
    /// The difference.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub diff: Option<SetDiff>,
}

impl ChangeRow {
    /// Combines the row with its difference.
    pub fn into_change(self, diff: SetDiff) -> ConfigChange {
        ConfigChange {
            base: self.base,
            version: self.version,
            publish_id: self.publish_id,
            operator: self.operator,
            published_at: self.published_at,
            diff,
        }
    }
}

/// The content of a row that holds one part of a text split across rows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct PartRow {
    /// The total number of parts of the text.
    pub parts: usize,
    /// The text of this part.
    pub text: String,
}

/// Returns the key of the change row of a version.
pub(crate) fn change_key(version: ConfigVersion) -> String {
    format!("{:020}", version.0)
}

fn diff_key(version: ConfigVersion, part: usize) -> String {
    format!("{:020}/diff-{part:04}", version.0)
}

/// Returns a string that sorts after the keys of all rows of a change, and before those of the
/// next.
pub(crate) fn change_rows_end(version: ConfigVersion) -> String {
    format!("{:020}/~", version.0)
}

/// Returns the prefix of the keys of the snapshot of a version.
pub(crate) fn snapshot_prefix(version: ConfigVersion) -> String {
    format!("snapshot/{:020}/", version.0)
}

/// Returns the newest version, up to the given one, that is stored as a snapshot.
pub(crate) const fn last_snapshot_version(version: ConfigVersion) -> ConfigVersion {
    ConfigVersion(version.0 - version.0 % SNAPSHOT_INTERVAL)
}

/// Returns the request that reads the head row.
pub(crate) fn head_row_request() -> StoreRequest {
    StoreRequest::Read {
        table: TableName::ConfigHead,
        keys: vec![HEAD_KEY.to_owned()],
    }
}

/// Parses the head row and returns it with its revision; a missing row stands for version zero.
pub(crate) fn parse_head(rows: &[StoreRow]) -> Result<(HeadRow, u64), InstallFault> {
    match rows.first() {
        None => Ok((HeadRow::default(), 0)),
        Some(row) => Ok((parse_row(row)?, row.revision)),
    }
}

/// Parses the content of a row.
pub(crate) fn parse_row<T: for<'a> Deserialize<'a>>(row: &StoreRow) -> Result<T, InstallFault> {
    T::deserialize(&row.value).map_err(|error| InstallFault::BadRow {
        key: row.key.clone(),
        message: error.to_string(),
    })
}

/// Parses a text that was split across rows.
pub(crate) fn parse_text<T: for<'a> Deserialize<'a>>(
    key: &str,
    text: &str,
) -> Result<T, InstallFault> {
    serde_json::from_str(text).map_err(|error| InstallFault::BadRow {
        key: key.to_owned(),
        message: error.to_string(),
    })
}

/// Builds the transaction that stores a change and makes its version the newest.
///
/// # Errors
///
/// Returns [`InstallError::TooLarge`] if the rows do not fit into one transaction.
pub(crate) fn build_publish_txn(
    head_revision: u64,
    change: &ConfigChange,
    summary: Vec<String>,
    next: &PublishedSet,
) -> Result<StoreRequest, InstallError> {
    let digest = SetDigest::of(&next.set);
    let head = HeadRow {
        version: next.version,
        publish_id: next.publish_id,
        digest: digest.clone(),
    };
    let diff_text = to_json_text(&change.diff);
    let diff_parts = if diff_text.len() <= MAX_PART_BYTES {
        Vec::new()
    } else {
        split_text(&diff_text)
    };
    let row = ChangeRow {
        base: change.base,
        version: change.version,
        publish_id: change.publish_id,
        operator: change.operator.clone(),
        published_at: change.published_at,
        changed: u32::try_from(summary.len()).unwrap_or(u32::MAX),
        summary: truncate_summary(summary),
        digest,
        parts: diff_parts.len(),
        diff: diff_parts.is_empty().then(|| change.diff.clone()),
    };
    let mut ops = vec![
        StoreOp::Put {
            table: TableName::ConfigHead,
            key: HEAD_KEY.to_owned(),
            value: to_json_value(&head),
            if_revision: Some(head_revision),
        },
        insert_op(change_key(change.version), to_json_value(&row)),
    ];
    ops.extend(part_ops(diff_parts, |part| diff_key(change.version, part)));
    if last_snapshot_version(next.version) == next.version {
        let prefix = snapshot_prefix(next.version);
        let parts = split_text(&to_json_text(next));
        ops.extend(part_ops(parts, |part| format!("{prefix}{part:04}")));
    }
    if ops.len() > MAX_OPS {
        return Err(too_large_error(ops.len()));
    }
    Ok(StoreRequest::Txn {
        mode: TxnMode::Atomic,
        ops,
    })
}

fn too_large_error(ops: usize) -> InstallError {
    let bytes = |ops: usize| u64::try_from(ops * MAX_PART_BYTES).unwrap_or(u64::MAX);
    InstallError::TooLarge {
        given: bytes(ops),
        limit: bytes(MAX_OPS),
    }
}

fn insert_op(key: String, value: Value) -> StoreOp {
    StoreOp::Insert {
        table: TableName::ConfigChange,
        key,
        value,
    }
}

fn part_ops(parts: Vec<String>, key: impl Fn(usize) -> String) -> Vec<StoreOp> {
    let count = parts.len();
    parts
        .into_iter()
        .enumerate()
        .map(|(index, text)| insert_op(key(index), to_json_value(&PartRow { parts: count, text })))
        .collect()
}

fn to_json_value(row: &impl Serialize) -> Value {
    serde_json::to_value(row).expect("every field of a row can be serialized")
}

fn to_json_text(content: &impl Serialize) -> String {
    serde_json::to_string(content).expect("every field of an object can be serialized")
}

fn split_text(text: &str) -> Vec<String> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let mut end = rest.len().min(MAX_PART_BYTES);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, tail) = rest.split_at(end);
        parts.push(part.to_owned());
        rest = tail;
    }
    parts
}

fn truncate_summary(mut summary: Vec<String>) -> Vec<String> {
    if summary.len() > MAX_SUMMARY_LINES {
        let more = summary.len() - (MAX_SUMMARY_LINES - 1);
        summary.truncate(MAX_SUMMARY_LINES - 1);
        summary.push(format!("and {more} more"));
    }
    summary
}
