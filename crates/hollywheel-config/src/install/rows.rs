//! The rows in which versions are stored.

use hollywheel_store::{StoreOp, StoreRequest, StoreRow, TableName, TxnMode};
use hollywheel_types::{ConfigVersion, PublishId, WallTime};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::change::{ConfigChange, PublishedSet, SetDiff};
use crate::install::digest::SetDigest;
use crate::install::message::{InstallError, InstallFault};

/// The key of the head row.
const HEAD_KEY: &str = "head";

/// The prefix of every change row: versions have 20 digits.
pub(crate) const CHANGE_PREFIX: &str = "0";

/// A whole set is stored with every version that this number divides.
const SNAPSHOT_EVERY: u64 = 64;

/// The most bytes of text in one row.
const PART_BYTES: usize = 48 * 1024;

/// The most operations of one transaction.
const MAX_OPS: usize = 128;

/// The most lines of the summary of a change.
const MAX_SUMMARY: usize = 64;

/// Holds the head row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct HeadRow {
    /// The newest version.
    pub version: ConfigVersion,
    /// Its publication.
    pub publish_id: PublishId,
    /// The digest of its set.
    pub digest: SetDigest,
}

/// Holds the row of a change. The difference follows in rows of its own if it is large.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ChangeRow {
    /// The version that it was made on.
    pub base: ConfigVersion,
    /// The version that it makes.
    pub version: ConfigVersion,
    /// The publication.
    pub publish_id: PublishId,
    /// The operator.
    pub operator: String,
    /// When it was published.
    pub published_at: WallTime,
    /// One line an object.
    pub summary: Vec<String>,
    /// The number of objects that differ.
    pub changed: u32,
    /// The digest of the set that it makes.
    pub digest: SetDigest,
    /// The number of rows that hold the difference; zero if it is in this row.
    pub parts: usize,
    /// The difference.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub diff: Option<SetDiff>,
}

impl ChangeRow {
    /// Joins the row with its difference.
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

/// Holds a part of a text that is split over rows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct PartRow {
    /// The number of parts.
    pub parts: usize,
    /// The text.
    pub text: String,
}

/// Returns the key of the row of a change.
pub(crate) fn change_key(version: ConfigVersion) -> String {
    format!("{:020}", version.0)
}

fn diff_key(version: ConfigVersion, part: usize) -> String {
    format!("{:020}/diff-{part:04}", version.0)
}

/// Returns a text behind the keys of every row of a change.
pub(crate) fn after_change(version: ConfigVersion) -> String {
    format!("{:020}/~", version.0)
}

/// Returns the prefix of the keys of a whole set.
pub(crate) fn snapshot_prefix(version: ConfigVersion) -> String {
    format!("snapshot/{:020}/", version.0)
}

/// Returns the newest version, up to the given one, whose whole set is stored.
pub(crate) const fn snapshot_at(version: ConfigVersion) -> ConfigVersion {
    ConfigVersion(version.0 - version.0 % SNAPSHOT_EVERY)
}

/// Returns the request that reads the head row.
pub(crate) fn read_head() -> StoreRequest {
    StoreRequest::Read {
        table: TableName::ConfigHead,
        keys: vec![HEAD_KEY.to_owned()],
    }
}

/// Reads the head row and its revision; a head that does not exist is that of version zero.
pub(crate) fn parse_head(rows: &[StoreRow]) -> Result<(HeadRow, u64), InstallFault> {
    match rows.first() {
        None => Ok((HeadRow::default(), 0)),
        Some(row) => Ok((parse_row(row)?, row.revision)),
    }
}

/// Reads the content of a row.
pub(crate) fn parse_row<T: for<'a> Deserialize<'a>>(row: &StoreRow) -> Result<T, InstallFault> {
    T::deserialize(&row.value).map_err(|error| InstallFault::BadRow {
        key: row.key.clone(),
        message: error.to_string(),
    })
}

/// Reads a text that is split over rows.
pub(crate) fn parse_text<T: for<'a> Deserialize<'a>>(
    key: &str,
    text: &str,
) -> Result<T, InstallFault> {
    serde_json::from_str(text).map_err(|error| InstallFault::BadRow {
        key: key.to_owned(),
        message: error.to_string(),
    })
}

/// Builds the transaction that publishes a change and makes its set the newest.
///
/// # Errors
///
/// Returns an error if the rows don't fit into one transaction.
pub(crate) fn publish_txn(
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
    let diff_text = text_of(&change.diff);
    let diff_parts = if diff_text.len() <= PART_BYTES {
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
        summary: shorten(summary),
        digest,
        parts: diff_parts.len(),
        diff: diff_parts.is_empty().then(|| change.diff.clone()),
    };
    let mut ops = vec![
        StoreOp::Put {
            table: TableName::ConfigHead,
            key: HEAD_KEY.to_owned(),
            value: value_of(&head),
            if_revision: Some(head_revision),
        },
        insert(change_key(change.version), value_of(&row)),
    ];
    ops.extend(part_ops(diff_parts, |part| diff_key(change.version, part)));
    if snapshot_at(next.version) == next.version {
        let prefix = snapshot_prefix(next.version);
        let parts = split_text(&text_of(next));
        ops.extend(part_ops(parts, |part| format!("{prefix}{part:04}")));
    }
    if ops.len() > MAX_OPS {
        return Err(too_large(ops.len()));
    }
    Ok(StoreRequest::Txn {
        mode: TxnMode::Atomic,
        ops,
    })
}

fn too_large(ops: usize) -> InstallError {
    let bytes = |ops: usize| u64::try_from(ops * PART_BYTES).unwrap_or(u64::MAX);
    InstallError::TooLarge {
        given: bytes(ops),
        limit: bytes(MAX_OPS),
    }
}

fn insert(key: String, value: Value) -> StoreOp {
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
        .map(|(at, text)| insert(key(at), value_of(&PartRow { parts: count, text })))
        .collect()
}

fn value_of(row: &impl Serialize) -> Value {
    serde_json::to_value(row).expect("rows hold only writable fields")
}

fn text_of(content: &impl Serialize) -> String {
    serde_json::to_string(content).expect("objects hold only writable fields")
}

fn split_text(text: &str) -> Vec<String> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let mut end = rest.len().min(PART_BYTES);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, tail) = rest.split_at(end);
        parts.push(part.to_owned());
        rest = tail;
    }
    parts
}

fn shorten(mut summary: Vec<String>) -> Vec<String> {
    if summary.len() > MAX_SUMMARY {
        let more = summary.len() - (MAX_SUMMARY - 1);
        summary.truncate(MAX_SUMMARY - 1);
        summary.push(format!("and {more} more"));
    }
    summary
}
