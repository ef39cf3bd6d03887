//! Reading of a version from its rows.

use std::sync::Arc;

use hollywheel_store::{StoreRequest, StoreRow, TableName};
use hollywheel_types::ConfigVersion;

use crate::change::{ConfigChange, PublishedSet};
use crate::install::digest::SetDigest;
use crate::install::message::InstallFault;
use crate::install::rows::{
    CHANGE_PREFIX, ChangeRow, PartRow, after_change, change_key, parse_row, parse_text,
    snapshot_at, snapshot_prefix,
};

/// The most rows that one call reads.
const PAGE_ROWS: u32 = 128;

/// Says what a page of rows led to.
#[derive(Debug)]
pub(crate) enum ReadProgress {
    /// Another page must be read.
    More,
    /// The version is complete; the changes are those that led to it from the start, if that was
    /// not a whole set from the store.
    Done(PublishedSet, Vec<ConfigChange>),
    /// The rows can't be used.
    Failed(InstallFault),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadStage {
    Snapshot(ConfigVersion),
    Changes,
}

/// Reads the rows that lead from one version to a later one.
#[derive(Debug)]
pub(crate) struct VersionReader {
    set: PublishedSet,
    until: ConfigVersion,
    stage: ReadStage,
    after: String,
    text: String,
    parts: usize,
    header: Option<ChangeRow>,
    digest: Option<SetDigest>,
    changes: Vec<ConfigChange>,
}

impl VersionReader {
    /// Creates a reader that begins with a version at hand or with a whole set that is stored.
    pub fn new(start: Option<&Arc<PublishedSet>>, until: ConfigVersion) -> Self {
        let set = start
            .filter(|set| set.version <= until)
            .map(|set| PublishedSet::clone(set))
            .unwrap_or_default();
        let snapshot = snapshot_at(until);
        let stage = if snapshot > set.version {
            ReadStage::Snapshot(snapshot)
        } else {
            ReadStage::Changes
        };
        Self {
            after: match stage {
                ReadStage::Snapshot(_) => String::new(),
                ReadStage::Changes => after_change(set.version),
            },
            set,
            until,
            stage,
            text: String::new(),
            parts: 0,
            header: None,
            digest: None,
            changes: Vec::new(),
        }
    }

    /// Returns the version that is read.
    pub const fn until(&self) -> ConfigVersion {
        self.until
    }

    /// Returns the call that reads the next page.
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

    /// Takes a page of rows.
    pub fn take(&mut self, rows: &[StoreRow]) -> ReadProgress {
        let result = match self.stage {
            ReadStage::Snapshot(version) => self.take_snapshot(version, rows),
            ReadStage::Changes => self.take_changes(rows),
        };
        match result {
            Ok(false) => ReadProgress::More,
            Ok(true) => self.finish(),
            Err(fault) => ReadProgress::Failed(fault),
        }
    }

    fn take_snapshot(
        &mut self,
        version: ConfigVersion,
        rows: &[StoreRow],
    ) -> Result<bool, InstallFault> {
        for row in rows {
            self.take_part(row)?;
        }
        if let Some(last) = rows.last() {
            self.after.clone_from(&last.key);
        }
        if self.parts > 0 && !rows.is_empty() {
            return Ok(false);
        }
        if self.parts > 0 {
            return Err(missing(&snapshot_prefix(version)));
        }
        if !self.text.is_empty() {
            self.set = parse_text(&snapshot_prefix(version), &self.text)?;
            self.text.clear();
        }
        // Without a whole set the changes are read from the version at hand.
        self.stage = ReadStage::Changes;
        let next = self.set.version.0.max(1) - 1;
        self.after = if self.set.version == self.until {
            // The row of the version itself holds its digest.
            after_change(ConfigVersion(next))
        } else {
            after_change(self.set.version)
        };
        Ok(false)
    }

    fn take_part(&mut self, row: &StoreRow) -> Result<(), InstallFault> {
        let part: PartRow = parse_row(row)?;
        if self.text.is_empty() {
            self.parts = part.parts;
        }
        self.text.push_str(&part.text);
        self.parts = self.parts.saturating_sub(1);
        Ok(())
    }

    fn take_changes(&mut self, rows: &[StoreRow]) -> Result<bool, InstallFault> {
        for row in rows {
            if self.is_complete() {
                return Ok(true);
            }
            self.after.clone_from(&row.key);
            self.take_change_row(row)?;
        }
        if self.is_complete() {
            return Ok(true);
        }
        if rows.is_empty() {
            let next = change_key(self.set.version.next());
            return Err(missing(&next));
        }
        Ok(false)
    }

    const fn is_complete(&self) -> bool {
        self.header.is_none() && self.digest.is_some() && self.set.version.0 >= self.until.0
    }

    fn take_change_row(&mut self, row: &StoreRow) -> Result<(), InstallFault> {
        if self.header.is_some() {
            self.take_part(row)?;
            return self.apply_if_whole(&row.key);
        }
        let mut header: ChangeRow = parse_row(row)?;
        if row.key != change_key(header.version) {
            return Err(InstallFault::BadRow {
                key: row.key.clone(),
                message: format!("holds version {}", header.version),
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
                self.header = Some(header);
                Ok(())
            }
        }
    }

    fn apply_if_whole(&mut self, key: &str) -> Result<(), InstallFault> {
        if self.parts > 0 {
            return Ok(());
        }
        let Some(header) = self.header.take() else {
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

fn missing(key: &str) -> InstallFault {
    InstallFault::BadRow {
        key: key.to_owned(),
        message: "is missing".to_owned(),
    }
}
