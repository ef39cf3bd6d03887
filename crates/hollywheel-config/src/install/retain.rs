//! Which rows of old versions may be removed.
//!
//! What is kept begins with a whole set, so that every kept version can be read from it.

use hollywheel_store::{StoreRequest, StoreRow, TableName};
use hollywheel_types::ConfigVersion;

use crate::install::rows::{
    CHANGE_PREFIX, PartRow, parse_head, parse_row, read_head, snapshot_at, snapshot_prefix,
};

/// The least number of newest versions that are kept.
pub const RETAINED_VERSIONS: u64 = 256;

/// The prefix of the rows of whole sets.
const SETS_PREFIX: &str = "snapshot/";

/// The most rows of one whole set.
const SET_ROWS: u32 = 128;

/// The digits of a version in a key.
const VERSION_DIGITS: usize = 20;

/// Returns the call that reads the newest version.
pub fn head_request() -> StoreRequest {
    read_head()
}

/// Returns the newest version; none if the row cannot be read.
pub fn parse_head_version(rows: &[StoreRow]) -> Option<ConfigVersion> {
    parse_head(rows).ok().map(|(head, _)| head.version)
}

/// Returns the version whose whole set begins what is kept; none while everything is.
pub fn oldest_retained_snapshot(head: ConfigVersion) -> Option<ConfigVersion> {
    let oldest = ConfigVersion(head.0.saturating_sub(RETAINED_VERSIONS));
    let from = snapshot_at(oldest);
    (from.0 > 0).then_some(from)
}

/// Returns the call that reads the rows of a whole set.
pub fn snapshot_request(version: ConfigVersion) -> StoreRequest {
    scan(snapshot_prefix(version), "", SET_ROWS)
}

/// Says whether the rows of a whole set are complete.
pub fn is_complete_snapshot(rows: &[StoreRow]) -> bool {
    let parts = |row: &StoreRow| parse_row::<PartRow>(row).map_or(0, |part| part.parts);
    !rows.is_empty() && rows.iter().all(|row| parts(row) == rows.len())
}

/// Returns the call that reads changes, oldest first.
pub fn changes_request(after: &str, limit: u32) -> StoreRequest {
    scan(CHANGE_PREFIX.to_owned(), after, limit)
}

/// Returns the call that reads whole sets, oldest first.
pub fn snapshots_request(after: &str, limit: u32) -> StoreRequest {
    scan(SETS_PREFIX.to_owned(), after, limit.min(SET_ROWS))
}

/// Returns the version that a row of a change or of a whole set belongs to.
pub fn version_of(key: &str) -> Option<ConfigVersion> {
    let rest = key.strip_prefix(SETS_PREFIX).unwrap_or(key);
    let digits = rest.get(..VERSION_DIGITS)?;
    digits.parse().ok().map(ConfigVersion)
}

fn scan(prefix: String, after: &str, limit: u32) -> StoreRequest {
    StoreRequest::Scan {
        table: TableName::ConfigChange,
        prefix,
        after: after.to_owned(),
        limit,
    }
}
