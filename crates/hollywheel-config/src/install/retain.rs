//! Retention of versions: which rows of old versions may be removed.
//!
//! The oldest retained version is a snapshot, so that every later version can be rebuilt from it.

use hollywheel_store::{StoreRequest, StoreRow, TableName};
use hollywheel_types::ConfigVersion;

use crate::install::rows::{
    CHANGE_PREFIX, PartRow, head_row_request, last_snapshot_version, parse_head, parse_row,
    snapshot_prefix,
};

/// The minimum number of versions that are retained.
pub const RETAINED_VERSIONS: u64 = 256;

/// The prefix of the keys of snapshot rows.
const SNAPSHOTS_PREFIX: &str = "snapshot/";

/// The maximum number of rows of one snapshot.
const MAX_SNAPSHOT_ROWS: u32 = 128;

/// The number of digits of a version in a key.
const VERSION_DIGITS: usize = 20;

/// Returns the request that reads the head row, which names the newest version.
pub fn head_request() -> StoreRequest {
    head_row_request()
}

/// Returns the newest version from the head row; none if the row is invalid.
pub fn parse_head_version(rows: &[StoreRow]) -> Option<ConfigVersion> {
    parse_head(rows).ok().map(|(head, _)| head.version)
}

/// Returns the version of the oldest retained snapshot; none if every version is retained.
pub fn oldest_retained_snapshot(head: ConfigVersion) -> Option<ConfigVersion> {
    let oldest = ConfigVersion(head.0.saturating_sub(RETAINED_VERSIONS));
    let snapshot = last_snapshot_version(oldest);
    (snapshot.0 > 0).then_some(snapshot)
}

/// Returns the request that reads the rows of a snapshot.
pub fn snapshot_request(version: ConfigVersion) -> StoreRequest {
    scan_request(snapshot_prefix(version), "", MAX_SNAPSHOT_ROWS)
}

/// Returns whether these are all rows of a snapshot.
pub fn is_complete_snapshot(rows: &[StoreRow]) -> bool {
    let parts = |row: &StoreRow| parse_row::<PartRow>(row).map_or(0, |part| part.parts);
    !rows.is_empty() && rows.iter().all(|row| parts(row) == rows.len())
}

/// Returns the request that reads change rows, oldest first.
pub fn changes_request(after: &str, limit: u32) -> StoreRequest {
    scan_request(CHANGE_PREFIX.to_owned(), after, limit)
}

/// Returns the request that reads snapshot rows, oldest first.
pub fn snapshots_request(after: &str, limit: u32) -> StoreRequest {
    scan_request(
        SNAPSHOTS_PREFIX.to_owned(),
        after,
        limit.min(MAX_SNAPSHOT_ROWS),
    )
}

/// Returns the version that the key of a change row or of a snapshot row belongs to.
pub fn version_of(key: &str) -> Option<ConfigVersion> {
    let rest = key.strip_prefix(SNAPSHOTS_PREFIX).unwrap_or(key);
    let digits = rest.get(..VERSION_DIGITS)?;
    digits.parse().ok().map(ConfigVersion)
}

fn scan_request(prefix: String, after: &str, limit: u32) -> StoreRequest {
    StoreRequest::Scan {
        table: TableName::ConfigChange,
        prefix,
        after: after.to_owned(),
        limit,
    }
}
