//! Reads of the publication history and of older versions.

use std::sync::Arc;

use hollywheel_store::{StoreRequest, StoreRow, TableName};
use hollywheel_types::{ConfigVersion, MonoTime};

use crate::install::machine::{CallPurpose, InstallMachine};
use crate::install::message::{ChangeSummary, InstallError, InstallOutput, InstallTicket};
use crate::install::reader::{ReadProgress, VersionReader};
use crate::install::rows::{CHANGE_PREFIX, ChangeRow, change_rows_end, parse_row};

/// The maximum number of reads in progress.
const MAX_READS: usize = 16;

/// The maximum number of entries that one read of the history returns.
const MAX_ENTRIES: u32 = 200;

/// The maximum number of rows that one call reads.
const PAGE_ROWS: u32 = 400;

/// A read of the history or of a version that is in progress.
#[derive(Debug)]
pub(crate) struct PendingRead {
    ticket: InstallTicket,
    kind: ReadKind,
}

#[derive(Debug)]
enum ReadKind {
    History {
        /// The maximum number of entries to return.
        limit: usize,
        /// The key of the last row that was read.
        after: String,
        /// The entries that were read, oldest first.
        entries: Vec<ChangeSummary>,
    },
    Version(Box<VersionReader>),
}

impl InstallMachine {
    pub(crate) fn read_history(&mut self, now: MonoTime, ticket: InstallTicket, limit: u32) {
        let limit = limit.min(MAX_ENTRIES);
        let first = self.version().0.saturating_sub(u64::from(limit));
        self.start_read(
            now,
            PendingRead {
                ticket,
                kind: ReadKind::History {
                    limit: usize::try_from(limit).unwrap_or(usize::MAX),
                    after: change_rows_end(ConfigVersion(first)),
                    entries: Vec::new(),
                },
            },
        );
    }

    pub(crate) fn read_version(
        &mut self,
        now: MonoTime,
        ticket: InstallTicket,
        version: ConfigVersion,
    ) {
        let current = self.in_force.as_ref().filter(|set| set.version == version);
        if let Some(set) = current {
            let result = Ok(Arc::clone(set));
            self.outputs.push(InstallOutput::Version { ticket, result });
            return;
        }
        if version.0 == 0 || version > self.version() {
            let result = Err(InstallError::NoVersion(version));
            self.outputs.push(InstallOutput::Version { ticket, result });
            return;
        }
        let reader = VersionReader::new(None, version);
        self.start_read(
            now,
            PendingRead {
                ticket,
                kind: ReadKind::Version(Box::new(reader)),
            },
        );
    }

    fn start_read(&mut self, now: MonoTime, read: PendingRead) {
        if self.reads.len() >= MAX_READS {
            self.fail_read(read, Some(InstallError::Busy));
            return;
        }
        self.call_store(now, CallPurpose::Read(read.ticket), read.request());
        self.reads.push(read);
    }

    pub(crate) fn handle_read_rows(
        &mut self,
        now: MonoTime,
        ticket: InstallTicket,
        rows: Option<Vec<StoreRow>>,
    ) {
        let Some(index) = self.reads.iter().position(|read| read.ticket == ticket) else {
            return;
        };
        let mut read = self.reads.swap_remove(index);
        let Some(rows) = rows else {
            let retry_after = self.settings.min_poll_interval;
            self.fail_read(read, Some(InstallError::Refused { retry_after }));
            return;
        };
        match read.add_page(&rows) {
            ReadStep::More => {
                self.call_store(now, CallPurpose::Read(ticket), read.request());
                self.reads.push(read);
            }
            ReadStep::End(output) => self.outputs.push(output),
        }
    }

    fn fail_read(&mut self, read: PendingRead, error: Option<InstallError>) {
        let error = error.unwrap_or(InstallError::Busy);
        let ticket = read.ticket;
        self.outputs.push(match read.kind {
            ReadKind::History { .. } => InstallOutput::History {
                ticket,
                result: Err(error),
            },
            ReadKind::Version(_) => InstallOutput::Version {
                ticket,
                result: Err(error),
            },
        });
    }
}

/// The state of a read after a page of rows.
enum ReadStep {
    More,
    End(InstallOutput),
}

impl PendingRead {
    fn request(&self) -> StoreRequest {
        match &self.kind {
            ReadKind::Version(reader) => reader.request(),
            ReadKind::History { after, .. } => StoreRequest::Scan {
                table: TableName::ConfigChange,
                prefix: CHANGE_PREFIX.to_owned(),
                after: after.clone(),
                limit: PAGE_ROWS,
            },
        }
    }

    fn add_page(&mut self, rows: &[StoreRow]) -> ReadStep {
        let ticket = self.ticket;
        match &mut self.kind {
            ReadKind::Version(reader) => match reader.add_page(rows) {
                ReadProgress::More => ReadStep::More,
                ReadProgress::Done(set, _) => ReadStep::End(InstallOutput::Version {
                    ticket,
                    result: Ok(Arc::new(set)),
                }),
                ReadProgress::Failed(_) => ReadStep::End(InstallOutput::Version {
                    ticket,
                    result: Err(InstallError::NoVersion(reader.target())),
                }),
            },
            ReadKind::History {
                limit,
                after,
                entries,
            } => {
                entries.extend(rows.iter().filter_map(change_summary));
                if let Some(last) = rows.last() {
                    after.clone_from(&last.key);
                    return ReadStep::More;
                }
                let mut entries = std::mem::take(entries);
                entries.reverse();
                entries.truncate(*limit);
                ReadStep::End(InstallOutput::History {
                    ticket,
                    result: Ok(entries),
                })
            }
        }
    }
}

fn change_summary(row: &StoreRow) -> Option<ChangeSummary> {
    let change: ChangeRow = parse_row(row).ok()?;
    Some(ChangeSummary {
        version: change.version,
        operator: change.operator,
        published_at: change.published_at,
        changes: change.summary,
    })
}
