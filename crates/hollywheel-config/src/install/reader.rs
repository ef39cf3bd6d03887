//! Reconstruction of a version from the rows of the table service.

use std::sync::Arc;

use hollywheel_store::{StoreRequest, StoreRow, TableName};
use hollywheel_types::ConfigVersion;

use crate::change::{ConfigChange, PublishedSet};
use crate::install::digest::SetDigest;
use crate::install::message::InstallFault;
use crate::install::rows::{
    CHANGE_PREFIX, ChangeRow, PartRow, change_key, change_rows_end, last_snapshot_version,
    parse_row, parse_text, snapshot_prefix,
};

/// The maximum number of rows that one call reads.
const PAGE_ROWS: u32 = 128;

/// The state of a reader after a page of rows.
#[derive(Debug)]
pub(crate) enum ReadProgress {
    /// The next page must be read.
    More,
    /// The version is complete. The changes are those that were read; they lead to the version from
    /// the start of the reader, or from the snapshot that was read first.
    Done(PublishedSet, Vec<ConfigChange>),
    /// A row is missing or invalid.
    Failed(InstallFault),
}

/// The rows that a reader requests next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadStage {
    /// The rows of the snapshot of a version.
    Snapshot(ConfigVersion),
    /// The rows of the changes that follow.
    Changes,
}

/// Reads the rows that lead to a version, from a known version or from a stored snapshot.
#[derive(Debug)]
pub(crate) struct VersionReader {
    /// The set as of the rows read so far.
    set: PublishedSet,
    target: ConfigVersion,
    stage: ReadStage,
    /// The key of the last row that was read.
    after: String,
    /// The text of the parts read so far of a snapshot or of a difference.
    text: String,
    /// The number of parts of the text that are still missing.
    missing_parts: usize,
    /// The change row whose difference follows in part rows.
    pending_row: Option<ChangeRow>,
    /// The digest stored with the version that `set` holds.
    digest: Option<SetDigest>,
    changes: Vec<ConfigChange>,
}

impl VersionReader {
    /// Creates a reader that starts with a known version, or with a stored snapshot if that is
    /// newer.
    pub fn new(start: Option<&Arc<PublishedSet>>, target: ConfigVersion) -> Self {
        let set = start
            .filter(|set| set.version <= target)
            .map(|set| PublishedSet::clone(set))
            .unwrap_or_default();
        let snapshot = last_snapshot_version(target);
        let stage = if snapshot > set.version {
            ReadStage::Snapshot(snapshot)
        } else {
            ReadStage::Changes
        };
        Self {
            after: match stage {
                ReadStage::Snapshot(_) => String::new(),
                ReadStage::Changes => change_rows_end(set.version),
            },
            set,
            target,
            stage,
            text: String::new(),
            missing_parts: 0,
            pending_row: None,
            digest: None,
            changes: Vec::new(),
        }
    }

    /// Returns the version to read.
    pub const fn target(&self) -> ConfigVersion {
        self.target
    }

    /// Returns the request for the next page.
    pub fn request(&self) -> StoreRequest {
        StoreRequest::Scan {
            table: TableName::ConfigChange,
            prefix: match self.stage {
                ReadStage::Snapshot(version) => snapshot_prefix(version),
                ReadStage::Changes => CHANGE_PREFIX.to_owned(),
            },
            after: self.after.clone(),
            limit: PAGE_ROWS,
        }
    }

    /// Processes a page of rows.
    pub fn add_page(&mut self, rows: &[StoreRow]) -> ReadProgress {
        let result = match self.stage {
            ReadStage::Snapshot(version) => self.add_snapshot_page(version, rows),
            ReadStage::Changes => self.add_change_page(rows),
        };
        match result {
            Ok(false) => ReadProgress::More,
            Ok(true) => self.finish(),
            Err(fault) => ReadProgress::Failed(fault),
        }
    }

    fn add_snapshot_page(
        &mut self,
        version: ConfigVersion,
        rows: &[StoreRow],
    ) -> Result<bool, InstallFault> {
        for row in rows {
            self.add_part_row(row)?;
        }
        if let Some(last) = rows.last() {
            self.after.clone_from(&last.key);
        }
        if self.missing_parts > 0 && !rows.is_empty() {
            return Ok(false);
        }
        if self.missing_parts > 0 {
            return Err(missing_row(&snapshot_prefix(version)));
        }
        if !self.text.is_empty() {
            self.set = parse_text(&snapshot_prefix(version), &self.text)?;
            self.text.clear();
        }
        // If the snapshot does not exist, the changes since the known version are read.
        self.stage = ReadStage::Changes;
        let previous = self.set.version.0.max(1) - 1;
        self.after = if self.set.version == self.target {
            // The change row of the version itself holds its digest.
            change_rows_end(ConfigVersion(previous))
        } else {
            change_rows_end(self.set.version)
        };
        Ok(false)
    }

    fn add_part_row(&mut self, row: &StoreRow) -> Result<(), InstallFault> {
        let part: PartRow = parse_row(row)?;
        if self.text.is_empty() {
            self.missing_parts = part.parts;
        }
        self.text.push_str(&part.text);
        self.missing_parts = self.missing_parts.saturating_sub(1);
        Ok(())
    }

    fn add_change_page(&mut self, rows: &[StoreRow]) -> Result<bool, InstallFault> {
        for row in rows {
            if self.is_complete() {
                return Ok(true);
            }
            self.after.clone_from(&row.key);
            self.add_change_row(row)?;
        }
        if self.is_complete() {
            return Ok(true);
        }
        if rows.is_empty() {
            let next_key = change_key(self.set.version.next());
            return Err(missing_row(&next_key));
        }
        Ok(false)
    }

    const fn is_complete(&self) -> bool {
        self.pending_row.is_none() && self.digest.is_some() && self.set.version.0 >= self.target.0
    }

    fn add_change_row(&mut self, row: &StoreRow) -> Result<(), InstallFault> {
        if self.pending_row.is_some() {
            self.add_part_row(row)?;
            return self.apply_if_complete(&row.key);
        }
        let mut header: ChangeRow = parse_row(row)?;
        if row.key != change_key(header.version) {
            return Err(InstallFault::BadRow {
                key: row.key.clone(),
                message: format!("contains version {}", header.version),
            });
        }
        if header.version == self.set.version {
            self.digest = Some(header.digest);
            return Ok(());
        }
        match header.diff.take() {
            Some(diff) => self.apply(header, diff),
            None => {
                self.text.clear();
                self.pending_row = Some(header);
                Ok(())
            }
        }
    }

    fn apply_if_complete(&mut self, key: &str) -> Result<(), InstallFault> {
        if self.missing_parts > 0 {
            return Ok(());
        }
        let Some(header) = self.pending_row.take() else {
            return Ok(());
        };
        let diff = parse_text(key, &self.text)?;
        self.text.clear();
        self.apply(header, diff)
    }

    fn apply(
        &mut self,
        header: ChangeRow,
        diff: crate::change::SetDiff,
    ) -> Result<(), InstallFault> {
        let digest = header.digest.clone();
        let change = header.into_change(diff);
        self.set
            .advance(&change)
            .map_err(|mismatch| InstallFault::BrokenChain {
                have: mismatch.version,
                base: mismatch.base,
            })?;
        self.digest = Some(digest);
        self.changes.push(change);
        Ok(())
    }

    fn finish(&mut self) -> ReadProgress {
        let set = std::mem::take(&mut self.set);
        if self.digest.as_ref() != Some(&SetDigest::of(&set.set)) {
            return ReadProgress::Failed(InstallFault::WrongDigest(set.version));
        }
        ReadProgress::Done(set, std::mem::take(&mut self.changes))
    }
}

fn missing_row(key: &str) -> InstallFault {
    InstallFault::BadRow {
        key: key.to_owned(),
        message: "is missing".to_owned(),
    }
}
