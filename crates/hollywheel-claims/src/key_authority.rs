//! Which process may send requests under an idempotency key, and claims of issued keys.

use std::time::Duration;

use hollywheel_store::{StoreFailure, StoreReply};
use hollywheel_types::{
    ExecutionVerdict, HostId, IdempotencyKey, Incarnation, MonoTime, RequestId, WorkspaceId,
};

use crate::entry::{ClaimDenial, ClaimEntry, ClaimHolder, ClaimIdentity, ClaimPhase, ClaimRequest};
use crate::issued::{IssuedKeyTable, RecordedAnswer};
use crate::issued_key::IssuedKey;
use crate::message::ClaimKey;
use crate::output::ClaimOutput;
use crate::row::{ClaimRow, ClaimState};
use crate::table::ClaimTable;
use crate::wait::denied_output;
use crate::write::{NO_REVISION, WriteItem};

/// Authority that grants the claim of an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyAuthority {
    /// The key was chosen by the caller; the process that writes its claim row may send.
    ClaimRow,
    /// This process issued the key, so only it may send.
    ThisProcess,
    /// Another process, which is considered alive, issued the key.
    OtherProcess {
        /// Host of the issuer.
        host: HostId,
        /// Incarnation of the issuer.
        incarnation: Incarnation,
    },
    /// The process that issued the key is not considered alive.
    DeadIssuer,
}

impl ClaimTable {
    /// Issues an idempotency key to a workspace; `random` must be globally unique.
    ///
    /// # Errors
    ///
    /// Returns the delay after which to retry if the maximum number of keys is in memory.
    pub fn issue(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceId,
        random: u128,
    ) -> Result<IdempotencyKey, Duration> {
        self.issued.issue(now, &self.settings, workspace, random)
    }

    /// Returns how long an issued key can be used for a first request.
    pub const fn issued_ttl(&self) -> Duration {
        self.settings.issued_ttl
    }

    /// Returns the keys that this process issued, for status reports.
    pub const fn issued(&self) -> &IssuedKeyTable {
        &self.issued
    }

    /// Returns the authority that grants the claim of a key.
    pub fn authority_of(&self, key: &IdempotencyKey) -> KeyAuthority {
        IssuedKey::read(key).map_or(KeyAuthority::ClaimRow, |issued| self.issuer_status(&issued))
    }

    fn issuer_status(&self, key: &IssuedKey) -> KeyAuthority {
        let holder = ClaimHolder {
            host: key.host.clone(),
            incarnation: key.incarnation,
        };
        if self.is_self(&holder) {
            return KeyAuthority::ThisProcess;
        }
        if holder.host == self.settings.host || !self.peers.contains(&holder) {
            return KeyAuthority::DeadIssuer;
        }
        KeyAuthority::OtherProcess {
            host: holder.host,
            incarnation: holder.incarnation,
        }
    }

    /// Handles a claim of an issued key. Only the process that issued the key ever grants it.
    pub(crate) fn claim_issued(
        &mut self,
        now: MonoTime,
        key: &IssuedKey,
        claim: ClaimRequest,
        out: &mut Vec<ClaimOutput>,
    ) {
        if self.issuer_status(key) == KeyAuthority::ThisProcess {
            out.extend(self.issued.claim(now, key.issue_second, claim));
        } else if self.entries.contains_key(&claim.key) {
            self.join_entry(claim, out);
        } else if self.outage.refusal_delay(now, Duration::ZERO).is_some() {
            let denial = ClaimDenial::Taken(ExecutionVerdict::MayHaveRun);
            out.push(denied_output(claim.request, denial));
        } else {
            self.read_issued(now, claim, out);
        }
    }

    /// Reads the row that the issuer may have written during its graceful shutdown.
    fn read_issued(&mut self, now: MonoTime, claim: ClaimRequest, out: &mut Vec<ClaimOutput>) {
        let ClaimRequest { key, nonce, .. } = claim.clone();
        let identity = ClaimIdentity {
            request: claim.request,
            nonce,
            digest: claim.digest,
            claimed_at: claim.claimed_at,
        };
        let entry = ClaimEntry {
            identity,
            // Replaced by `reread_row` below.
            phase: ClaimPhase::Held {
                revision: NO_REVISION,
            },
            requests: vec![claim.request],
        };
        self.keys_by_request.insert(claim.request, key.clone());
        self.entries.insert(key.clone(), entry);
        self.reread_row(now, &key, nonce, out);
    }

    /// Handles the row of a key whose issuer is not alive. Without a settled row, a request may
    /// have run under the key.
    pub(crate) fn reread_issued(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        result: &Result<StoreReply, StoreFailure>,
        out: &mut Vec<ClaimOutput>,
    ) {
        let row = match result {
            Ok(StoreReply::Rows { rows }) => rows.first().and_then(ClaimRow::read),
            _ => None,
        };
        let settled = row.filter(|row| row.state == ClaimState::Settled);
        let digest = self.entries.get(key).map(|entry| entry.identity.digest);
        match settled {
            Some(row) if Some(row.digest) == digest => self.evaluate_settled(now, key, row, out),
            Some(_) => self.deny(now, key, ClaimDenial::Reused, out),
            None => self.deny_taken(now, key, out),
        }
    }

    pub(crate) fn settle_issued(
        &mut self,
        now: MonoTime,
        request: RequestId,
        verdict: ExecutionVerdict,
        output: Option<String>,
    ) -> Vec<ClaimOutput> {
        let key = self.issued.key_of(request);
        let outputs = self
            .issued
            .settle(now, &self.settings, request, verdict, output);
        let key = key.filter(|_| self.draining);
        if let Some((key, answer)) = key.and_then(|key| {
            let answer = self.issued.answer_under(&key)?;
            Some((key, answer))
        }) {
            self.queue_issued_answer(key, answer);
        }
        outputs
    }

    /// Returns whether the process may exit: nothing is left to write, or only answers under issued
    /// keys are left and the table service refuses calls for longer than a claim would wait.
    pub fn may_exit(&self, now: MonoTime) -> bool {
        let is_recorded_answer = |entry: &ClaimEntry| matches!(entry.phase, ClaimPhase::Settle { revision, .. } if revision == NO_REVISION);
        let only_recorded_answers =
            self.releases.is_empty() && self.entries.values().all(is_recorded_answer);
        let refused = self
            .outage
            .refusal_delay(now, self.settings.max_store_wait)
            .is_some();
        self.is_settled() || (only_recorded_answers && refused)
    }

    /// Queues the answer under an issued key to be written, because this process is shutting
    /// down.
    pub(crate) fn queue_issued_answer(&mut self, key: ClaimKey, answer: RecordedAnswer) {
        let output = answer.output.filter(|text| self.fits_unwritten_limit(text));
        self.unwritten_bytes += output.as_ref().map_or(0, |text| text.len() as u64);
        let nonce = answer.identity.nonce;
        let entry = ClaimEntry {
            identity: answer.identity,
            phase: ClaimPhase::Settle {
                revision: NO_REVISION,
                verdict: ExecutionVerdict::Ran,
                output,
            },
            requests: Vec::new(),
        };
        self.entries.insert(key.clone(), entry);
        self.queue_result(self.pending_results_since, WriteItem::Settle { key, nonce });
        self.enforce_unwritten_limit();
    }
}
