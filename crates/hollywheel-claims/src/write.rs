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

/// Row to write. Its content is taken from the claim when the batch is sent.
#[derive(Clone, Debug)]
pub(crate) enum WriteItem {
    Claim { key: ClaimKey, nonce: AttemptNonce },
    Settle { key: ClaimKey, nonce: AttemptNonce },
    Release { key: ClaimKey, nonce: AttemptNonce },
}

/// Placeholder revision of a claim that has no row yet.
pub(crate) const NO_REVISION: u64 = 0;

/// Batch write that is not answered yet.
#[derive(Debug)]
pub(crate) struct InFlightWrite {
    pub(crate) ticket: ClaimTicket,
    /// When the write times out.
    pub(crate) due: MonoTime,
    pub(crate) items: Vec<WriteItem>,
}

impl ClaimTable {
    /// Queues a result or a release to be written.
    pub(crate) fn queue_result(&mut self, now: MonoTime, item: WriteItem) {
        if self.pending_results.is_empty() {
            self.pending_results_since = now;
        }
        self.pending_results.push_back(item);
    }

    /// Returns when the next batch should be written, or `None` if there is nothing to write or
    /// the maximum number of writes is in flight.
    pub(crate) fn flush_due(&self) -> Option<MonoTime> {
        if self.writes_in_flight.len() >= self.settings.max_writes {
            return None;
        }
        let requested_at = match (
            self.pending_claims.is_empty(),
            self.pending_results.is_empty(),
        ) {
            (false, _) => MonoTime::default(),
            (true, false) if self.draining => MonoTime::default(),
            (true, false) => self.pending_results_since + self.settings.settle_linger,
            (true, true) => return None,
        };
        let earliest = match self.last_write {
            Some(last) => last + self.settings.linger,
            None => MonoTime::default(),
        };
        Some(requested_at.max(earliest).max(self.outage.blocked_until()))
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
            let next = self
                .pending_claims
                .pop_front()
                .or_else(|| self.pending_results.pop_front());
            let Some(item) = next else {
                break;
            };
            if let Some(op) = self.write_op(&item) {
                items.push(item);
                ops.push(op);
            }
        }
        self.pending_results_since = now;
        if ops.is_empty() {
            return;
        }
        let ticket = self.allocate_ticket();
        self.last_write = Some(now);
        self.writes_in_flight.push(InFlightWrite {
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
            revision,
            write_in_flight,
            ..
        } = &mut entry.phase
        else {
            return None;
        };
        if entry.identity.nonce != nonce || *write_in_flight {
            return None;
        }
        *write_in_flight = true;
        let row = entry.identity.row(
            &self.settings,
            ClaimState::Open,
            ExecutionVerdict::MayHaveRun,
            None,
        );
        Some(row_op(key, row.to_value(), *revision))
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
        if entry.identity.nonce != nonce {
            return None;
        }
        let state = ClaimState::Settled;
        let row = entry
            .identity
            .row(&self.settings, state, *verdict, output.clone());
        let replaced_revision = Some(*revision).filter(|revision| *revision != NO_REVISION);
        Some(row_op(key, row.to_value(), replaced_revision))
    }

    /// Handles the answer to a batch write. Returns `false` if the ticket is not that of a write.
    pub(crate) fn handle_write_reply(
        &mut self,
        now: MonoTime,
        ticket: ClaimTicket,
        result: &Result<StoreReply, StoreFailure>,
        out: &mut Vec<ClaimOutput>,
    ) -> bool {
        let Some(index) = self
            .writes_in_flight
            .iter()
            .position(|write| write.ticket == ticket)
        else {
            return false;
        };
        let items = self.writes_in_flight.swap_remove(index).items;
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
        while let Some(index) = self
            .writes_in_flight
            .iter()
            .position(|write| write.due <= now)
        {
            let items = self.writes_in_flight.remove(index).items;
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
                result_item => self.queue_result(now, result_item),
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
            give_up_at,
            write_in_flight,
            outcome_unknown,
            ..
        } = &mut entry.phase
        else {
            return;
        };
        if entry.identity.nonce != nonce {
            return;
        }
        *write_in_flight = false;
        *outcome_unknown |= lost;
        let max_wait = self.settings.max_refused_wait;
        let refused_too_long = !lost && self.outage.blocked_until() > now + max_wait;
        if refused_too_long || now >= *give_up_at || self.outage.blocked_until() >= *give_up_at {
            self.deny_unavailable(now, key, out);
            return;
        }
        let key = key.clone();
        self.pending_claims
            .push_front(WriteItem::Claim { key, nonce });
    }
}

/// Returns the operation that inserts a row, or replaces the row with the given revision.
fn row_op(key: &ClaimKey, value: serde_json::Value, revision: Option<u64>) -> StoreOp {
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

/// Returns the operation that writes a released row. If the claim row may not be written yet, the
/// released row takes its place, so that a late write of the claim row fails with a conflict.
fn release_op(settings: &ClaimSettings, key: &ClaimKey, release: &ReleaseEntry) -> StoreOp {
    let row = release.identity.row(
        settings,
        ClaimState::Released,
        ExecutionVerdict::NotRun,
        None,
    );
    row_op(
        key,
        row.to_value(),
        release.revision.or(release.takeover_revision),
    )
}
