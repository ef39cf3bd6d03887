//! Evaluation of the rows and write outcomes that the table service returns.

use hollywheel_store::{RowOutcome, StoreFailure, StoreReply, StoreRow};
use hollywheel_types::{AttemptNonce, MonoTime};

use crate::entry::{ClaimDenial, ClaimHolder, ClaimPhase};
use crate::issued_key::IssuedKey;
use crate::message::{ClaimKey, StoredAnswer};
use crate::output::{ClaimOutput, ClaimTicket};
use crate::row::{ClaimRow, ClaimState};
use crate::table::ClaimTable;
use crate::write::WriteItem;

impl ClaimTable {
    /// Handles the answer to a call of the table service. An answer that arrives after its call
    /// timed out is ignored, since the row is written or read again.
    pub fn store_answered(
        &mut self,
        now: MonoTime,
        ticket: ClaimTicket,
        result: &Result<StoreReply, StoreFailure>,
    ) -> Vec<ClaimOutput> {
        let mut out = Vec::new();
        if !self.handle_write_reply(now, ticket, result, &mut out) {
            self.handle_reread(now, ticket, result, &mut out);
        }
        self.flush(now, &mut out);
        out
    }

    pub(crate) fn claim_written(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        nonce: AttemptNonce,
        outcome: &RowOutcome,
        out: &mut Vec<ClaimOutput>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            self.record_late_claim_write(key, nonce, outcome);
            return;
        };
        let inserting = matches!(entry.phase, ClaimPhase::Insert { .. });
        if entry.identity.nonce != nonce || !inserting {
            self.record_late_claim_write(key, nonce, outcome);
            return;
        }
        match outcome {
            RowOutcome::Applied { revision } => self.claim_held(key, *revision, out),
            RowOutcome::Conflict { current: Some(row) } => self.evaluate_row(now, key, row, out),
            RowOutcome::Conflict { current: None } | RowOutcome::Skipped => {
                self.retry_insert(now, key, None);
            }
        }
    }

    /// Records the revision of a claim row that was written after its claim was abandoned.
    fn record_late_claim_write(
        &mut self,
        key: &ClaimKey,
        nonce: AttemptNonce,
        outcome: &RowOutcome,
    ) {
        let Some(release) = self.releases.get_mut(&(key.clone(), nonce)) else {
            return;
        };
        if let RowOutcome::Applied { revision } = outcome {
            release.revision = Some(*revision);
        }
    }

    fn claim_held(&mut self, key: &ClaimKey, revision: u64, out: &mut Vec<ClaimOutput>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.phase = ClaimPhase::Held { revision };
        if let Some(request) = entry.requests.first() {
            out.push(ClaimOutput::Granted { request: *request });
        }
    }

    /// Queues another write of the claim row: an insert, or a replacement of the row with the
    /// given revision.
    pub(crate) fn retry_insert(&mut self, now: MonoTime, key: &ClaimKey, revision: Option<u64>) {
        let give_up_at = now + self.settings.max_store_wait;
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.phase = ClaimPhase::Insert {
            revision,
            give_up_at,
            write_in_flight: false,
            outcome_unknown: false,
        };
        self.pending_claims.push_back(WriteItem::Claim {
            key: key.clone(),
            nonce: entry.identity.nonce,
        });
    }

    /// Decides how to proceed with a claim whose key already has a row.
    fn evaluate_row(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        row: &StoreRow,
        out: &mut Vec<ClaimOutput>,
    ) {
        let Some(claim) = ClaimRow::read(row) else {
            self.deny_taken(now, key, out);
            return;
        };
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        if claim.digest != entry.identity.digest {
            self.clear_write_state(key);
            self.deny(now, key, ClaimDenial::Reused, out);
            return;
        }
        let is_own = claim.nonce == entry.identity.nonce;
        match claim.state {
            ClaimState::Released => self.retry_insert(now, key, Some(row.revision)),
            ClaimState::Settled => self.evaluate_settled(now, key, claim, out),
            ClaimState::Open if is_own => self.claim_held(key, row.revision, out),
            ClaimState::Open => self.evaluate_open(now, key, &claim, row.revision, out),
        }
    }

    /// Answers the requests that wait for a claim with the result in a settled row.
    pub(crate) fn evaluate_settled(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        claim: ClaimRow,
        out: &mut Vec<ClaimOutput>,
    ) {
        self.clear_write_state(key);
        let digest = claim.digest;
        let answer = claim.output.map(|output| StoredAnswer { digest, output });
        self.report_ended(now, key, claim.verdict, answer, out);
    }

    /// Takes over, asks about or denies a claim whose key has an open row of another claim.
    fn evaluate_open(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        claim: &ClaimRow,
        revision: u64,
        out: &mut Vec<ClaimOutput>,
    ) {
        let holder = ClaimHolder {
            host: claim.host.clone(),
            incarnation: claim.incarnation,
        };
        let released_here = self.releases.contains_key(&(key.clone(), claim.nonce));
        if self.is_self(&holder) && released_here {
            self.retry_insert(now, key, Some(revision));
            return;
        }
        self.clear_write_state(key);
        if self.is_self(&holder) || !self.peers.contains(&holder) {
            self.deny_taken(now, key, out);
            return;
        }
        self.start_asking(now, key, holder, claim.nonce, revision, out);
    }

    /// Clears the write state of a claim. Its writes can no longer be applied, since another row
    /// exists for the key.
    fn clear_write_state(&mut self, key: &ClaimKey) {
        if let Some(entry) = self.entries.get_mut(key)
            && let ClaimPhase::Insert {
                write_in_flight,
                outcome_unknown,
                ..
            } = &mut entry.phase
        {
            *write_in_flight = false;
            *outcome_unknown = false;
        }
    }

    pub(crate) fn is_self(&self, holder: &ClaimHolder) -> bool {
        holder.host == self.settings.host && holder.incarnation == self.settings.incarnation
    }

    pub(crate) fn settle_written(
        &mut self,
        now: MonoTime,
        key: ClaimKey,
        nonce: AttemptNonce,
        outcome: &RowOutcome,
    ) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let ClaimPhase::Settle { revision, .. } = &mut entry.phase else {
            return;
        };
        if entry.identity.nonce != nonce {
            return;
        }
        match open_revision(outcome, nonce) {
            Some(current) => {
                *revision = current;
                self.queue_result(now, WriteItem::Settle { key, nonce });
            }
            None => self.remove_settled(&key),
        }
    }

    pub(crate) fn release_written(
        &mut self,
        now: MonoTime,
        key: ClaimKey,
        nonce: AttemptNonce,
        outcome: &RowOutcome,
    ) {
        let id = (key, nonce);
        let Some(release) = self.releases.get_mut(&id) else {
            return;
        };
        match open_revision(outcome, nonce) {
            Some(current) => {
                release.revision = Some(current);
                let (key, nonce) = id;
                self.queue_result(now, WriteItem::Release { key, nonce });
            }
            None => {
                self.releases.remove(&id);
            }
        }
    }

    /// Handles the row that was read in the phase [`ClaimPhase::Reread`].
    fn handle_reread(
        &mut self,
        now: MonoTime,
        ticket: ClaimTicket,
        result: &Result<StoreReply, StoreFailure>,
        out: &mut Vec<ClaimOutput>,
    ) {
        let found = self
            .entries
            .iter()
            .find_map(|(key, entry)| match entry.phase {
                ClaimPhase::Reread {
                    nonce,
                    ticket: own_ticket,
                    ..
                } if own_ticket == ticket => Some((key.clone(), nonce)),
                _ => None,
            });
        let Some((key, asked_nonce)) = found else {
            return;
        };
        if IssuedKey::read(&key.key).is_some() {
            self.reread_issued(now, &key, result, out);
            return;
        }
        let Ok(StoreReply::Rows { rows }) = result else {
            self.deny_taken(now, &key, out);
            return;
        };
        let Some(row) = rows.first() else {
            self.retry_insert(now, &key, None);
            return;
        };
        let unchanged = ClaimRow::read(row)
            .is_some_and(|claim| claim.nonce == asked_nonce && claim.state == ClaimState::Open);
        if unchanged {
            self.deny_taken(now, &key, out);
        } else {
            self.evaluate_row(now, &key, row, out);
        }
    }
}

/// Returns the revision of a conflicting row if it is the open row of the claim itself.
fn open_revision(outcome: &RowOutcome, nonce: AttemptNonce) -> Option<u64> {
    let RowOutcome::Conflict { current: Some(row) } = outcome else {
        return None;
    };
    let claim = ClaimRow::read(row)?;
    (claim.nonce == nonce && claim.state == ClaimState::Open).then_some(row.revision)
}
