//! Group commit of claims, results and releases.

use hollywheel_store::{
    RowOutcome, StoreFailure, StoreOp, StoreReply, StoreRequest, TableName, TxnMode,
};
use hollywheel_types::{AttemptNonce, ExecutionVerdict, MonoTime};

use crate::entry::{ClaimPhase, ReleaseEntry};
use crate::message::ClaimKey;
use crate::output::{ClaimOutput, ClaimTicket};
use crate::row::ClaimState;
use crate::settings::ClaimSettings;
use crate::table::ClaimTable;

/// Names a row to write; what is written is decided when it is sent.
#[derive(Clone, Debug)]
pub(crate) enum WriteItem {
    Claim { key: ClaimKey, nonce: AttemptNonce },
    Settle { key: ClaimKey, nonce: AttemptNonce },
    Release { key: ClaimKey, nonce: AttemptNonce },
}

/// Stands for the revision of a row that is not there yet.
pub(crate) const NO_ROW: u64 = 0;

/// Holds a write whose answer is due.
#[derive(Debug)]
pub(crate) struct PendingWrite {
    pub(crate) ticket: ClaimTicket,
    pub(crate) due: MonoTime,
    pub(crate) items: Vec<WriteItem>,
}

impl ClaimTable {
    pub(crate) fn push_closing(&mut self, now: MonoTime, item: WriteItem) {
        if self.closing.is_empty() {
            self.closing_since = now;
        }
        self.closing.push_back(item);
    }

    /// Returns the point at which the next write is due.
    pub(crate) fn flush_due(&self) -> Option<MonoTime> {
        if self.writes.len() >= self.settings.max_writes {
            return None;
        }
        let wanted = match (self.urgent.is_empty(), self.closing.is_empty()) {
            (false, _) => MonoTime::default(),
            (true, false) if self.draining => MonoTime::default(),
            (true, false) => self.closing_since + self.settings.settle_linger,
            (true, true) => return None,
        };
        let spaced = match self.last_write {
            Some(last) => last + self.settings.linger,
            None => MonoTime::default(),
        };
        Some(wanted.max(spaced).max(self.outage.until()))
    }

    pub(crate) fn flush(&mut self, now: MonoTime, out: &mut Vec<ClaimOutput>) {
        while self.flush_due().is_some_and(|due| due <= now) {
            self.write_batch(now, out);
        }
    }

    fn write_batch(&mut self, now: MonoTime, out: &mut Vec<ClaimOutput>) {
        let mut items = Vec::new();
        let mut ops = Vec::new();
        while ops.len() < self.settings.batch.max(1) {
            let next = self.urgent.pop_front().or_else(|| self.closing.pop_front());
            let Some(item) = next else {
                break;
            };
            if let Some(op) = self.write_op(&item) {
                items.push(item);
                ops.push(op);
            }
        }
        self.closing_since = now;
        if ops.is_empty() {
            return;
        }
        let ticket = self.take_ticket();
        self.last_write = Some(now);
        self.writes.push(PendingWrite {
            ticket,
            due: now + self.settings.store_timeout,
            items,
        });
        let mode = TxnMode::Independent;
        let request = StoreRequest::Txn { mode, ops };
        out.push(ClaimOutput::Store { ticket, request });
    }

    fn write_op(&mut self, item: &WriteItem) -> Option<StoreOp> {
        match item {
            WriteItem::Claim { key, nonce } => self.claim_op(key, *nonce),
            WriteItem::Settle { key, nonce } => self.settle_op(key, *nonce),
            WriteItem::Release { key, nonce } => {
                let release = self.releases.get(&(key.clone(), *nonce))?;
                Some(release_op(&self.settings, key, release))
            }
        }
    }

    fn claim_op(&mut self, key: &ClaimKey, nonce: AttemptNonce) -> Option<StoreOp> {
        let entry = self.entries.get_mut(key)?;
        let ClaimPhase::Insert {
            revision, writing, ..
        } = &mut entry.phase
        else {
            return None;
        };
        if entry.words.nonce != nonce || *writing {
            return None;
        }
        *writing = true;
        let row = entry.words.row(
            &self.settings,
            ClaimState::Open,
            ExecutionVerdict::MayHaveRun,
            None,
        );
        Some(write_row(key, row.to_value(), *revision))
    }

    fn settle_op(&self, key: &ClaimKey, nonce: AttemptNonce) -> Option<StoreOp> {
        let entry = self.entries.get(key)?;
        let ClaimPhase::Settle {
            revision,
            verdict,
            output,
        } = &entry.phase
        else {
            return None;
        };
        if entry.words.nonce != nonce {
            return None;
        }
        let state = ClaimState::Settled;
        let row = entry
            .words
            .row(&self.settings, state, *verdict, output.clone());
        let replaces = Some(*revision).filter(|revision| *revision != NO_ROW);
        Some(write_row(key, row.to_value(), replaces))
    }

    /// Takes the answer of a write; returns whether the call was one.
    pub(crate) fn wrote(
        &mut self,
        now: MonoTime,
        ticket: ClaimTicket,
        result: &Result<StoreReply, StoreFailure>,
        out: &mut Vec<ClaimOutput>,
    ) -> bool {
        let Some(at) = self.writes.iter().position(|write| write.ticket == ticket) else {
            return false;
        };
        let items = self.writes.swap_remove(at).items;
        match result {
            Ok(StoreReply::Txn { outcomes }) if outcomes.len() == items.len() => {
                self.outage.succeeded();
                for (item, outcome) in items.into_iter().zip(outcomes) {
                    self.row_written(now, item, outcome, out);
                }
            }
            Ok(_) => self.write_failed(now, items, &StoreFailure::Unknown, out),
            Err(failure) => self.write_failed(now, items, failure, out),
        }
        true
    }

    fn row_written(
        &mut self,
        now: MonoTime,
        item: WriteItem,
        outcome: &RowOutcome,
        out: &mut Vec<ClaimOutput>,
    ) {
        match item {
            WriteItem::Claim { key, nonce } => self.claim_written(now, &key, nonce, outcome, out),
            WriteItem::Settle { key, nonce } => self.settle_written(now, key, nonce, outcome),
            WriteItem::Release { key, nonce } => self.release_written(now, key, nonce, outcome),
        }
    }

    pub(crate) fn expire_writes(&mut self, now: MonoTime, out: &mut Vec<ClaimOutput>) {
        while let Some(at) = self.writes.iter().position(|write| write.due <= now) {
            let items = self.writes.remove(at).items;
            self.write_failed(now, items, &StoreFailure::Unknown, out);
        }
    }

    fn write_failed(
        &mut self,
        now: MonoTime,
        items: Vec<WriteItem>,
        failure: &StoreFailure,
        out: &mut Vec<ClaimOutput>,
    ) {
        self.outage.failed(now, failure);
        let lost = *failure == StoreFailure::Unknown;
        for item in items {
            match item {
                WriteItem::Claim { key, nonce } => self.claim_failed(now, &key, nonce, lost, out),
                closing => self.push_closing(now, closing),
            }
        }
    }

    fn claim_failed(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        nonce: AttemptNonce,
        lost: bool,
        out: &mut Vec<ClaimOutput>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let ClaimPhase::Insert {
            give_up,
            writing,
            unknown,
            ..
        } = &mut entry.phase
        else {
            return;
        };
        if entry.words.nonce != nonce {
            return;
        }
        *writing = false;
        *unknown |= lost;
        let patience = self.settings.refused_patience;
        let refused = !lost && self.outage.until() > now + patience;
        if refused || now >= *give_up || self.outage.until() >= *give_up {
            self.deny_unavailable(now, key, out);
            return;
        }
        let key = key.clone();
        self.urgent.push_front(WriteItem::Claim { key, nonce });
    }
}

/// Writes a row where there is none, or in place of the one with a revision.
fn write_row(key: &ClaimKey, value: serde_json::Value, revision: Option<u64>) -> StoreOp {
    let table = TableName::Claim;
    let key = key.to_string();
    match revision {
        None => StoreOp::Insert { table, key, value },
        Some(_) => StoreOp::Put {
            table,
            key,
            value,
            if_revision: revision,
        },
    }
}

/// Writes a released row. Where the claim may not be written yet this takes its place, so that a
/// late effect of the claim fails.
fn release_op(settings: &ClaimSettings, key: &ClaimKey, release: &ReleaseEntry) -> StoreOp {
    let row = release.words.row(
        settings,
        ClaimState::Released,
        ExecutionVerdict::NotRun,
        None,
    );
    write_row(key, row.to_value(), release.revision.or(release.takeover))
}
