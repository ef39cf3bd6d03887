//! What the rows that were found mean for a claim.

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
    /// Takes the answer to a call of the table service. An answer that comes after its call was
    /// given up is ignored: the row is written or read again.
    pub fn store_answered(
        &mut self,
        now: MonoTime,
        ticket: ClaimTicket,
        result: &Result<StoreReply, StoreFailure>,
    ) -> Vec<ClaimOutput> {
        let mut out = Vec::new();
        if !self.wrote(now, ticket, result, &mut out) {
            self.reread(now, ticket, result, &mut out);
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
            self.note_late_claim(key, nonce, outcome);
            return;
        };
        let waiting = matches!(entry.phase, ClaimPhase::Insert { .. });
        if entry.words.nonce != nonce || !waiting {
            self.note_late_claim(key, nonce, outcome);
            return;
        }
        match outcome {
            RowOutcome::Applied { revision } => self.held(key, *revision, out),
            RowOutcome::Conflict { current: Some(row) } => self.judge(now, key, row, out),
            RowOutcome::Conflict { current: None } | RowOutcome::Skipped => {
                self.insert_again(now, key, None);
            }
        }
    }

    /// Notes the revision of a claim that was given up while it was written.
    fn note_late_claim(&mut self, key: &ClaimKey, nonce: AttemptNonce, outcome: &RowOutcome) {
        let Some(release) = self.releases.get_mut(&(key.clone(), nonce)) else {
            return;
        };
        if let RowOutcome::Applied { revision } = outcome {
            release.revision = Some(*revision);
        }
    }

    fn held(&mut self, key: &ClaimKey, revision: u64, out: &mut Vec<ClaimOutput>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.phase = ClaimPhase::Held { revision };
        if let Some(request) = entry.requests.first() {
            out.push(ClaimOutput::Granted { request: *request });
        }
    }

    /// Writes the claim again: where there is no row, or in place of the one with a revision.
    pub(crate) fn insert_again(&mut self, now: MonoTime, key: &ClaimKey, revision: Option<u64>) {
        let give_up = now + self.settings.patience;
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.phase = ClaimPhase::Insert {
            revision,
            give_up,
            writing: false,
            unknown: false,
        };
        self.urgent.push_back(WriteItem::Claim {
            key: key.clone(),
            nonce: entry.words.nonce,
        });
    }

    /// Decides by the row that is there.
    fn judge(&mut self, now: MonoTime, key: &ClaimKey, row: &StoreRow, out: &mut Vec<ClaimOutput>) {
        let Some(claim) = ClaimRow::read(row) else {
            self.deny_taken(now, key, out);
            return;
        };
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        if claim.digest != entry.words.digest {
            self.row_is_anothers(key);
            self.deny(now, key, ClaimDenial::Reused, out);
            return;
        }
        let own = claim.nonce == entry.words.nonce;
        match claim.state {
            ClaimState::Released => self.insert_again(now, key, Some(row.revision)),
            ClaimState::Settled => self.judge_settled(now, key, claim, out),
            ClaimState::Open if own => self.held(key, row.revision, out),
            ClaimState::Open => self.judge_open(now, key, &claim, row.revision, out),
        }
    }

    pub(crate) fn judge_settled(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        claim: ClaimRow,
        out: &mut Vec<ClaimOutput>,
    ) {
        self.row_is_anothers(key);
        let digest = claim.digest;
        let answer = claim.output.map(|output| StoredAnswer { digest, output });
        self.tell_ended(now, key, claim.verdict, answer, out);
    }

    fn judge_open(
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
            self.insert_again(now, key, Some(revision));
            return;
        }
        self.row_is_anothers(key);
        if self.is_self(&holder) || !self.peers.contains(&holder) {
            self.deny_taken(now, key, out);
            return;
        }
        self.ask(now, key, holder, claim.nonce, revision, out);
    }

    /// Notes that no write of this claim can take effect any more: another row is there.
    fn row_is_anothers(&mut self, key: &ClaimKey) {
        if let Some(entry) = self.entries.get_mut(key)
            && let ClaimPhase::Insert {
                writing, unknown, ..
            } = &mut entry.phase
        {
            *writing = false;
            *unknown = false;
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
        if entry.words.nonce != nonce {
            return;
        }
        match open_revision(outcome, nonce) {
            Some(current) => {
                *revision = current;
                self.push_closing(now, WriteItem::Settle { key, nonce });
            }
            None => self.drop_settled(&key),
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
                self.push_closing(now, WriteItem::Release { key, nonce });
            }
            None => {
                self.releases.remove(&id);
            }
        }
    }

    /// Takes the row that was read again after its host did not know the claim.
    fn reread(
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
                    nonce, ticket: own, ..
                } if own == ticket => Some((key.clone(), nonce)),
                _ => None,
            });
        let Some((key, before)) = found else {
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
            self.insert_again(now, &key, None);
            return;
        };
        let unchanged = ClaimRow::read(row)
            .is_some_and(|claim| claim.nonce == before && claim.state == ClaimState::Open);
        if unchanged {
            self.deny_taken(now, &key, out);
        } else {
            self.judge(now, &key, row, out);
        }
    }
}

/// Returns the revision of the row if it is still open under the nonce.
fn open_revision(outcome: &RowOutcome, nonce: AttemptNonce) -> Option<u64> {
    let RowOutcome::Conflict { current: Some(row) } = outcome else {
        return None;
    };
    let claim = ClaimRow::read(row)?;
    (claim.nonce == nonce && claim.state == ClaimState::Open).then_some(row.revision)
}
