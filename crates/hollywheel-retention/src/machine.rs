//! The machine that sweeps.

use std::time::Duration;

use hollywheel_config::retain;
use hollywheel_store::{
    RowOutcome, StoreFailure, StoreReply, StoreRequest, StoreRow, TableName, TxnMode,
};
use hollywheel_types::{ConfigVersion, MonoTime, WallTime};

use crate::duty::is_duty_of;
use crate::expiry::is_expired;
use crate::message::{RetentionInput, RetentionOutput, RetentionTicket};
use crate::settings::RetentionSettings;
use crate::sweep::{MAX_OPS, OldRow, SweepStep, read_cursor};

/// The least rows of a page; pages shrink when a call fails, since its answer may be too large.
const LEAST_PAGE: u32 = 32;

/// The pages between two writes of how far the claims are read.
const SAVE_PAGES: u32 = 64;

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    ticket: RetentionTicket,
    due: MonoTime,
    /// The number of rows that the call removes; none for the call of a step.
    removes: Option<usize>,
}

/// Removes old rows while this host is the one that sweeps, one call at a time.
#[derive(Debug)]
pub struct RetentionMachine {
    settings: RetentionSettings,
    on_duty: bool,
    wall: WallTime,
    step: SweepStep,
    call: Option<PendingCall>,
    next_call: MonoTime,
    last_ticket: u64,
    page_rows: u32,
    pages: u32,
    read: u64,
    old: Vec<OldRow>,
    outputs: Vec<RetentionOutput>,
}

impl RetentionMachine {
    /// Creates a machine that does not sweep until it is told of the hosts and the time.
    pub const fn new(settings: RetentionSettings) -> Self {
        Self {
            page_rows: settings.page_rows,
            settings,
            on_duty: false,
            wall: WallTime(0),
            step: SweepStep::Head,
            call: None,
            next_call: MonoTime(0),
            last_ticket: 0,
            pages: 0,
            read: 0,
            old: Vec::new(),
            outputs: Vec::new(),
        }
    }

    /// Takes an input and returns what follows from it.
    pub fn handle(&mut self, now: MonoTime, input: RetentionInput) -> Vec<RetentionOutput> {
        match input {
            RetentionInput::Hosts(alive) => {
                let known = alive.contains(&self.settings.host);
                self.set_duty(now, known && is_duty_of(&self.settings.host, &alive));
            }
            RetentionInput::Tick(wall) => self.wall = wall,
            RetentionInput::Store { ticket, result } => self.take_answer(now, ticket, result),
        }
        self.run_due(now);
        std::mem::take(&mut self.outputs)
    }

    /// Returns the point at which [`RetentionInput::Tick`] is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let due = self.call.map_or(self.next_call, |call| call.due);
        self.on_duty.then_some(due)
    }

    /// Says whether this host sweeps.
    pub const fn is_on_duty(&self) -> bool {
        self.on_duty
    }

    fn set_duty(&mut self, now: MonoTime, on_duty: bool) {
        if self.on_duty == on_duty {
            return;
        }
        self.on_duty = on_duty;
        self.next_call = now + self.settings.start_delay;
        self.step = SweepStep::Head;
        self.call = None;
        self.old.clear();
        self.pages = 0;
        self.read = 0;
    }

    fn run_due(&mut self, now: MonoTime) {
        if self.call.is_some_and(|call| call.due <= now) {
            self.call = None;
            self.failed(now, &StoreFailure::Unknown);
        }
        // Without the time nothing is known to be old.
        let ready = self.on_duty && self.call.is_none() && self.wall.0 > 0;
        if ready && self.next_call <= now {
            self.next_call = now + self.settings.call_interval;
            self.make_call(now);
        }
    }

    fn make_call(&mut self, now: MonoTime) {
        let whole = self.old.len() >= MAX_OPS;
        let last = !self.old.is_empty() && !matches!(self.step, SweepStep::Claims { .. });
        let removes = (whole || last).then(|| self.old.len().min(MAX_OPS));
        let request = match removes {
            Some(count) => self.remove_request(count),
            None => self.step.request(self.page_rows),
        };
        self.last_ticket += 1;
        let ticket = RetentionTicket(self.last_ticket);
        self.call = Some(PendingCall {
            ticket,
            due: now + self.settings.call_timeout,
            removes,
        });
        self.outputs
            .push(RetentionOutput::Store { ticket, request });
    }

    fn remove_request(&self, count: usize) -> StoreRequest {
        StoreRequest::Txn {
            mode: TxnMode::Independent,
            ops: self.old[..count].iter().map(OldRow::delete).collect(),
        }
    }

    fn take_answer(
        &mut self,
        now: MonoTime,
        ticket: RetentionTicket,
        result: Result<StoreReply, StoreFailure>,
    ) {
        // An answer after its time is of no use: the call is made again.
        let Some(call) = self.call.filter(|call| call.ticket == ticket) else {
            return;
        };
        self.call = None;
        match (result, call.removes) {
            (Err(failure), _) => self.failed(now, &failure),
            (Ok(StoreReply::Txn { outcomes }), Some(count)) => self.removed(count, &outcomes),
            (Ok(StoreReply::Txn { .. }), None) => self.saved(now),
            (Ok(StoreReply::Rows { rows }), None) => self.take_rows(&rows),
            (Ok(StoreReply::Rows { .. }), Some(_)) => self.failed(now, &StoreFailure::Unknown),
        }
    }

    /// Plans the same call again. Rows are removed by revision, so that a delete that took
    /// effect unseen, or does so late, changes nothing more.
    fn failed(&mut self, now: MonoTime, failure: &StoreFailure) {
        let wait = match failure {
            StoreFailure::Refused { retry_after } => *retry_after,
            StoreFailure::Unknown => Duration::ZERO,
        };
        self.page_rows = (self.page_rows / 2).max(LEAST_PAGE.min(self.settings.page_rows));
        let retry = now + wait.max(self.settings.retry_delay);
        self.next_call = self.next_call.max(retry);
    }

    fn removed(&mut self, count: usize, outcomes: &[RowOutcome]) {
        let (mut claims, mut config_rows) = (0, 0);
        // A row that has changed, or is gone, is left to the next pass.
        for (row, outcome) in self.old.drain(..count).zip(outcomes) {
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

    fn saved(&mut self, now: MonoTime) {
        let SweepStep::Save { after } = self.step.clone() else {
            return;
        };
        if after.is_empty() {
            self.step = SweepStep::Head;
            self.next_call = self.next_call.max(now + self.settings.pass_interval);
        } else {
            self.step = SweepStep::Claims { after };
        }
    }

    fn take_rows(&mut self, rows: &[StoreRow]) {
        self.page_rows = (self.page_rows * 2).min(self.settings.page_rows);
        match self.step.clone() {
            SweepStep::Head => self.step = self.after_head(rows),
            SweepStep::WholeSet(version) => self.step = self.after_set(version, rows),
            SweepStep::Changes { before, .. } => {
                let next = self.note_config(before, rows);
                self.step = match next {
                    Some(after) => SweepStep::Changes { before, after },
                    None => SweepStep::Sets {
                        before,
                        after: String::new(),
                    },
                };
            }
            SweepStep::Sets { before, .. } => {
                let next = self.note_config(before, rows);
                self.step = match next {
                    Some(after) => SweepStep::Sets { before, after },
                    None => SweepStep::Cursor,
                };
            }
            SweepStep::Cursor => {
                self.step = SweepStep::Claims {
                    after: read_cursor(rows),
                };
            }
            SweepStep::Claims { .. } => self.note_claims(rows),
            SweepStep::Save { .. } => {}
        }
    }

    fn after_head(&self, rows: &[StoreRow]) -> SweepStep {
        let head = retain::head_version(rows);
        match head.and_then(retain::kept_from) {
            Some(before) => SweepStep::WholeSet(before),
            None => SweepStep::Cursor,
        }
    }

    fn after_set(&mut self, before: ConfigVersion, rows: &[StoreRow]) -> SweepStep {
        if retain::is_whole(rows) {
            return SweepStep::Changes {
                before,
                after: String::new(),
            };
        }
        self.outputs.push(RetentionOutput::ConfigKept(before));
        SweepStep::Cursor
    }

    /// Notes the rows before a version and returns the key to go on after, if there may be more.
    fn note_config(&mut self, before: ConfigVersion, rows: &[StoreRow]) -> Option<String> {
        let is_old = |row: &&StoreRow| retain::version_of(&row.key).is_some_and(|v| v < before);
        let old = rows.iter().filter(is_old);
        self.old
            .extend(old.map(|row| OldRow::new(TableName::ConfigChange, row)));
        // Keys rise with their versions.
        let last = rows.last()?;
        is_old(&last).then(|| last.key.clone())
    }

    fn note_claims(&mut self, rows: &[StoreRow]) {
        let (wall, keep) = (self.wall, self.settings.claim_retention);
        let old = rows.iter().filter(|row| is_expired(row, wall, keep));
        self.old
            .extend(old.map(|row| OldRow::new(TableName::Claim, row)));
        self.read += rows.len() as u64;
        self.pages += 1;
        let Some(last) = rows.last() else {
            self.end_pass();
            return;
        };
        let after = last.key.clone();
        self.step = if self.pages.is_multiple_of(SAVE_PAGES) {
            SweepStep::Save { after }
        } else {
            SweepStep::Claims { after }
        };
    }

    fn end_pass(&mut self) {
        self.outputs
            .push(RetentionOutput::PassEnded { read: self.read });
        self.read = 0;
        self.pages = 0;
        self.step = SweepStep::Save {
            after: String::new(),
        };
    }
}
