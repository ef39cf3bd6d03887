//! The retention state machine.

use std::time::Duration;

use hollywheel_config::retain;
use hollywheel_store::{
    RowOutcome, StoreFailure, StoreReply, StoreRequest, StoreRow, TableName, TxnMode,
};
use hollywheel_types::{ConfigVersion, MonoTime, WallTime};

use crate::expiry::is_expired;
use crate::message::{RetentionInput, RetentionOutput, RetentionTicket};
use crate::settings::RetentionSettings;
use crate::sweep::{ExpiredRow, MAX_OPS, SweepStep, read_cursor};
use crate::sweeper::is_sweeper;

/// Minimum rows per page. Pages shrink when a call fails, since its answer may have been too
/// large.
const MIN_PAGE_ROWS: u32 = 32;

/// Number of pages between two writes of the cursor.
const PAGES_PER_CURSOR_SAVE: u32 = 64;

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    ticket: RetentionTicket,
    due: MonoTime,
    /// The number of rows that the call deletes; `None` if it is the call of the current step.
    delete_count: Option<usize>,
}

/// Removes expired rows while the local host is the one that sweeps, one call at a time.
#[derive(Debug)]
pub struct RetentionMachine {
    settings: RetentionSettings,
    sweeping: bool,
    wall: WallTime,
    step: SweepStep,
    call: Option<PendingCall>,
    next_call: MonoTime,
    last_ticket: u64,
    page_rows: u32,
    pages_read: u32,
    rows_read: u64,
    expired: Vec<ExpiredRow>,
    outputs: Vec<RetentionOutput>,
}

impl RetentionMachine {
    /// Creates a state machine that does not sweep until it knows the alive hosts and the time.
    pub const fn new(settings: RetentionSettings) -> Self {
        Self {
            page_rows: settings.page_rows,
            settings,
            sweeping: false,
            wall: WallTime(0),
            step: SweepStep::Head,
            call: None,
            next_call: MonoTime(0),
            last_ticket: 0,
            pages_read: 0,
            rows_read: 0,
            expired: Vec::new(),
            outputs: Vec::new(),
        }
    }

    /// Processes an input and returns the resulting outputs.
    pub fn handle(&mut self, now: MonoTime, input: RetentionInput) -> Vec<RetentionOutput> {
        match input {
            RetentionInput::Hosts(alive) => {
                let known = alive.contains(&self.settings.host);
                self.set_sweeping(now, known && is_sweeper(&self.settings.host, &alive));
            }
            RetentionInput::Tick(wall) => self.wall = wall,
            RetentionInput::Store { ticket, result } => self.handle_answer(now, ticket, result),
        }
        self.run_due(now);
        std::mem::take(&mut self.outputs)
    }

    /// Returns the time at which [`RetentionInput::Tick`] is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let due = self.call.map_or(self.next_call, |call| call.due);
        self.sweeping.then_some(due)
    }

    /// Returns whether the local host is the one that sweeps.
    pub const fn is_sweeping(&self) -> bool {
        self.sweeping
    }

    fn set_sweeping(&mut self, now: MonoTime, sweeping: bool) {
        if self.sweeping == sweeping {
            return;
        }
        self.sweeping = sweeping;
        self.next_call = now + self.settings.start_delay;
        self.step = SweepStep::Head;
        self.call = None;
        self.expired.clear();
        self.pages_read = 0;
        self.rows_read = 0;
    }

    fn run_due(&mut self, now: MonoTime) {
        if self.call.is_some_and(|call| call.due <= now) {
            self.call = None;
            self.handle_failure(now, &StoreFailure::Unknown);
        }
        // Without the wall-clock time no claim can be known to have expired.
        let ready = self.sweeping && self.call.is_none() && self.wall.0 > 0;
        if ready && self.next_call <= now {
            self.next_call = now + self.settings.call_interval;
            self.send_call(now);
        }
    }

    fn send_call(&mut self, now: MonoTime) {
        let batch_full = self.expired.len() >= MAX_OPS;
        let remainder = !self.expired.is_empty() && !matches!(self.step, SweepStep::Claims { .. });
        let delete_count = (batch_full || remainder).then(|| self.expired.len().min(MAX_OPS));
        let request = match delete_count {
            Some(count) => self.delete_request(count),
            None => self.step.request(self.page_rows),
        };
        self.last_ticket += 1;
        let ticket = RetentionTicket(self.last_ticket);
        self.call = Some(PendingCall {
            ticket,
            due: now + self.settings.call_timeout,
            delete_count,
        });
        self.outputs
            .push(RetentionOutput::Store { ticket, request });
    }

    fn delete_request(&self, count: usize) -> StoreRequest {
        StoreRequest::Txn {
            mode: TxnMode::Independent,
            ops: self.expired[..count]
                .iter()
                .map(ExpiredRow::delete)
                .collect(),
        }
    }

    fn handle_answer(
        &mut self,
        now: MonoTime,
        ticket: RetentionTicket,
        result: Result<StoreReply, StoreFailure>,
    ) {
        // A late answer is ignored, since the call is made again.
        let Some(call) = self.call.filter(|call| call.ticket == ticket) else {
            return;
        };
        self.call = None;
        match (result, call.delete_count) {
            (Err(failure), _) => self.handle_failure(now, &failure),
            (Ok(StoreReply::Txn { outcomes }), Some(count)) => {
                self.handle_deleted(count, &outcomes)
            }
            (Ok(StoreReply::Txn { .. }), None) => self.handle_cursor_saved(now),
            (Ok(StoreReply::Rows { rows }), None) => self.handle_rows(&rows),
            (Ok(StoreReply::Rows { .. }), Some(_)) => {
                self.handle_failure(now, &StoreFailure::Unknown)
            }
        }
    }

    /// Schedules a retry of the same call. Deletes are conditional on the revision, so one that
    /// took effect without an answer, or takes effect late, does no further harm.
    fn handle_failure(&mut self, now: MonoTime, failure: &StoreFailure) {
        let wait = match failure {
            StoreFailure::Refused { retry_after } => *retry_after,
            StoreFailure::Unknown => Duration::ZERO,
        };
        self.page_rows = (self.page_rows / 2).max(MIN_PAGE_ROWS.min(self.settings.page_rows));
        let retry = now + wait.max(self.settings.retry_delay);
        self.next_call = self.next_call.max(retry);
    }

    fn handle_deleted(&mut self, count: usize, outcomes: &[RowOutcome]) {
        let (mut claims, mut config_rows) = (0, 0);
        // Rows that have changed or are gone are left to the next pass.
        for (row, outcome) in self.expired.drain(..count).zip(outcomes) {
            match outcome {
                RowOutcome::Applied { .. } if row.table == TableName::Claim => claims += 1,
                RowOutcome::Applied { .. } => config_rows += 1,
                RowOutcome::Conflict { .. } | RowOutcome::Skipped => {}
            }
        }
        self.outputs.push(RetentionOutput::Removed {
            claims,
            config_rows,
        });
    }

    fn handle_cursor_saved(&mut self, now: MonoTime) {
        let SweepStep::SaveCursor { after } = self.step.clone() else {
            return;
        };
        if after.is_empty() {
            self.step = SweepStep::Head;
            self.next_call = self.next_call.max(now + self.settings.pass_interval);
        } else {
            self.step = SweepStep::Claims { after };
        }
    }

    fn handle_rows(&mut self, rows: &[StoreRow]) {
        self.page_rows = (self.page_rows * 2).min(self.settings.page_rows);
        match self.step.clone() {
            SweepStep::Head => self.step = self.step_after_head(rows),
            SweepStep::Snapshot(version) => self.step = self.step_after_snapshot(version, rows),
            SweepStep::Changes { before, .. } => {
                let next = self.collect_config_rows(before, rows);
                self.step = match next {
                    Some(after) => SweepStep::Changes { before, after },
                    None => SweepStep::Snapshots {
                        before,
                        after: String::new(),
                    },
                };
            }
            SweepStep::Snapshots { before, .. } => {
                let next = self.collect_config_rows(before, rows);
                self.step = match next {
                    Some(after) => SweepStep::Snapshots { before, after },
                    None => SweepStep::Cursor,
                };
            }
            SweepStep::Cursor => {
                self.step = SweepStep::Claims {
                    after: read_cursor(rows),
                };
            }
            SweepStep::Claims { .. } => self.collect_claims(rows),
            SweepStep::SaveCursor { .. } => {}
        }
    }

    fn step_after_head(&self, rows: &[StoreRow]) -> SweepStep {
        let head = retain::parse_head_version(rows);
        match head.and_then(retain::oldest_retained_snapshot) {
            Some(before) => SweepStep::Snapshot(before),
            None => SweepStep::Cursor,
        }
    }

    fn step_after_snapshot(&mut self, before: ConfigVersion, rows: &[StoreRow]) -> SweepStep {
        if retain::is_complete_snapshot(rows) {
            return SweepStep::Changes {
                before,
                after: String::new(),
            };
        }
        self.outputs.push(RetentionOutput::ConfigKept(before));
        SweepStep::Cursor
    }

    /// Collects the rows before a version and returns the key of the last row if there may be more
    /// such rows after it.
    fn collect_config_rows(&mut self, before: ConfigVersion, rows: &[StoreRow]) -> Option<String> {
        let is_old = |row: &&StoreRow| retain::version_of(&row.key).is_some_and(|v| v < before);
        let expired = rows.iter().filter(is_old);
        self.expired
            .extend(expired.map(|row| ExpiredRow::new(TableName::ConfigChange, row)));
        // Keys sort by version, so a later row ends the range.
        let last = rows.last()?;
        is_old(&last).then(|| last.key.clone())
    }

    fn collect_claims(&mut self, rows: &[StoreRow]) {
        let (wall, retention) = (self.wall, self.settings.claim_retention);
        let expired = rows.iter().filter(|row| is_expired(row, wall, retention));
        self.expired
            .extend(expired.map(|row| ExpiredRow::new(TableName::Claim, row)));
        self.rows_read += rows.len() as u64;
        self.pages_read += 1;
        let Some(last) = rows.last() else {
            self.end_pass();
            return;
        };
        let after = last.key.clone();
        self.step = if self.pages_read.is_multiple_of(PAGES_PER_CURSOR_SAVE) {
            SweepStep::SaveCursor { after }
        } else {
            SweepStep::Claims { after }
        };
    }

    fn end_pass(&mut self) {
        self.outputs.push(RetentionOutput::PassEnded {
            read: self.rows_read,
        });
        self.rows_read = 0;
        self.pages_read = 0;
        self.step = SweepStep::SaveCursor {
            after: String::new(),
        };
    }
}
