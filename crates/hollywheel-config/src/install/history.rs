//! Reads of the history and of older versions.

use std::sync::Arc;

use hollywheel_store::{StoreRequest, StoreRow, TableName};
use hollywheel_types::{ConfigVersion, MonoTime};

use crate::install::machine::{CallPurpose, InstallMachine};
use crate::install::message::{ChangeSummary, InstallError, InstallOutput, InstallTicket};
use crate::install::reader::{ReadProgress, VersionReader};
use crate::install::rows::{CHANGE_PREFIX, ChangeRow, after_change, parse_row};

/// The most reads in progress.
const MAX_READS: usize = 16;

/// The most entries of one read of the history.
const MAX_ENTRIES: u32 = 200;

/// The most rows that one call reads.
const PAGE_ROWS: u32 = 400;

/// Holds a read in progress.
#[derive(Debug)]
pub(crate) struct HistoryRead {
    ticket: InstallTicket,
    kind: ReadKind,
}

#[derive(Debug)]
enum ReadKind {
    History {
        limit: usize,
        after: String,
        entries: Vec<ChangeSummary>,
    },
    Version(Box<VersionReader>),
}

impl InstallMachine {
    pub(crate) fn read_history(&mut self, now: MonoTime, ticket: InstallTicket, limit: u32) {
        let limit = limit.min(MAX_ENTRIES);
        let first = self.version().0.saturating_sub(u64::from(limit));
        self.begin_read(
            now,
            HistoryRead {
                ticket,
                kind: ReadKind::History {
                    limit: usize::try_from(limit).unwrap_or(usize::MAX),
                    after: after_change(ConfigVersion(first)),
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
        self.begin_read(
            now,
            HistoryRead {
                ticket,
                kind: ReadKind::Version(Box::new(reader)),
            },
        );
    }

    fn begin_read(&mut self, now: MonoTime, read: HistoryRead) {
        if self.reads.len() >= MAX_READS {
            self.end_read(read, Some(InstallError::Busy));
            return;
        }
        self.call_store(now, CallPurpose::Read(read.ticket), read.request());
        self.reads.push(read);
    }

    pub(crate) fn take_read(
        &mut self,
        now: MonoTime,
        ticket: InstallTicket,
        rows: Option<Vec<StoreRow>>,
    ) {
        let Some(at) = self.reads.iter().position(|read| read.ticket == ticket) else {
            return;
        };
        let mut read = self.reads.swap_remove(at);
        let Some(rows) = rows else {
            let retry_after = self.settings.min_poll_interval;
            self.end_read(read, Some(InstallError::Refused { retry_after }));
            return;
        };
        match read.take(&rows) {
            ReadStep::More => {
                self.call_store(now, CallPurpose::Read(ticket), read.request());
                self.reads.push(read);
            }
            ReadStep::End(output) => self.outputs.push(output),
        }
    }

    fn end_read(&mut self, read: HistoryRead, error: Option<InstallError>) {
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

enum ReadStep {
    More,
    End(InstallOutput),
}

impl HistoryRead {
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

    fn take(&mut self, rows: &[StoreRow]) -> ReadStep {
        let ticket = self.ticket;
        match &mut self.kind {
            ReadKind::Version(reader) => match reader.take(rows) {
                ReadProgress::More => ReadStep::More,
                ReadProgress::Done(set, _) => ReadStep::End(InstallOutput::Version {
                    ticket,
                    result: Ok(Arc::new(set)),
                }),
                ReadProgress::Failed(_) => ReadStep::End(InstallOutput::Version {
                    ticket,
                    result: Err(InstallError::NoVersion(reader.until())),
                }),
            },
            ReadKind::History {
                limit,
                after,
                entries,
            } => {
                entries.extend(rows.iter().filter_map(summary_of));
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

fn summary_of(row: &StoreRow) -> Option<ChangeSummary> {
    let change: ChangeRow = parse_row(row).ok()?;
    Some(ChangeSummary {
        version: change.version,
        operator: change.operator,
        published_at: change.published_at,
        changes: change.summary,
    })
}
