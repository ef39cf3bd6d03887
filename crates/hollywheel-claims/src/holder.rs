//! Who may send under a key.

use std::time::Duration;

use hollywheel_store::{StoreFailure, StoreReply};
use hollywheel_types::{
    ExecutionVerdict, HostId, IdempotencyKey, Incarnation, MonoTime, RequestId, WorkspaceId,
};

use crate::entry::{ClaimDenial, ClaimEntry, ClaimHolder, ClaimPhase, ClaimRequest, ClaimWords};
use crate::issued::{IssuedTable, RanAnswer};
use crate::issued_key::IssuedKey;
use crate::message::ClaimKey;
use crate::output::ClaimOutput;
use crate::row::{ClaimRow, ClaimState};
use crate::table::ClaimTable;
use crate::wait::denied;
use crate::write::{NO_ROW, WriteItem};

/// Says who may send under a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyAuthority {
    /// Whoever writes the row of the key.
    Row,
    /// This process, which issued it.
    This,
    /// Another process taken for alive, which issued it.
    Other {
        /// The host.
        host: HostId,
        /// The start of its process.
        incarnation: Incarnation,
    },
    /// A process that issued it and is not taken for alive.
    Gone,
}

impl ClaimTable {
    /// Issues a key to a workspace; the number must be one that nobody else has.
    ///
    /// # Errors
    ///
    /// Returns when to ask again if too many keys are remembered.
    pub fn issue(
        &mut self,
        now: MonoTime,
        workspace: &WorkspaceId,
        random: u128,
    ) -> Result<IdempotencyKey, Duration> {
        self.issued.issue(now, &self.settings, workspace, random)
    }

    /// Returns the time in which an issued key must be used.
    pub const fn issued_ttl(&self) -> Duration {
        self.settings.issued_ttl
    }

    /// Returns the keys that this process issued, for showing their number.
    pub const fn issued(&self) -> &IssuedTable {
        &self.issued
    }

    /// Says who may send under a key.
    pub fn holder_of(&self, key: &IdempotencyKey) -> KeyAuthority {
        IssuedKey::read(key).map_or(KeyAuthority::Row, |issued| self.issuer(&issued))
    }

    fn issuer(&self, key: &IssuedKey) -> KeyAuthority {
        let holder = ClaimHolder {
            host: key.host.clone(),
            incarnation: key.incarnation,
        };
        if self.is_self(&holder) {
            return KeyAuthority::This;
        }
        if holder.host == self.settings.host || !self.peers.contains(&holder) {
            return KeyAuthority::Gone;
        }
        KeyAuthority::Other {
            host: holder.host,
            incarnation: holder.incarnation,
        }
    }

    /// Decides about a request whose key was issued; only its issuer ever grants it.
    pub(crate) fn claim_issued(
        &mut self,
        now: MonoTime,
        key: &IssuedKey,
        order: ClaimRequest,
        out: &mut Vec<ClaimOutput>,
    ) {
        if self.issuer(key) == KeyAuthority::This {
            out.extend(self.issued.claim(now, key.second, order));
        } else if self.entries.contains_key(&order.key) {
            self.join(order, out);
        } else if self.outage.refuses(now, Duration::ZERO).is_some() {
            let denial = ClaimDenial::Taken(ExecutionVerdict::MayHaveRun);
            out.push(denied(order.request, denial));
        } else {
            self.read_issued(now, order, out);
        }
    }

    /// Looks for the row that the issuer may have written when it was shut down.
    fn read_issued(&mut self, now: MonoTime, order: ClaimRequest, out: &mut Vec<ClaimOutput>) {
        let ClaimRequest { key, nonce, .. } = order.clone();
        let words = ClaimWords {
            request: order.request,
            nonce,
            digest: order.digest,
            claimed_at: order.claimed_at,
        };
        let entry = ClaimEntry {
            words,
            // Replaced at once by the call that reads.
            phase: ClaimPhase::Held { revision: NO_ROW },
            requests: vec![order.request],
        };
        self.keys.insert(order.request, key.clone());
        self.entries.insert(key.clone(), entry);
        self.read_again(now, &key, nonce, out);
    }

    /// Takes the row of a key whose issuer is gone. Without a result the key may have run.
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
        let digest = self.entries.get(key).map(|entry| entry.words.digest);
        match settled {
            Some(row) if Some(row.digest) == digest => self.judge_settled(now, key, row, out),
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
        let told = self
            .issued
            .settle(now, &self.settings, request, verdict, output);
        let key = key.filter(|_| self.draining);
        if let Some((key, answer)) = key.and_then(|key| {
            let answer = self.issued.ran_under(&key)?;
            Some((key, answer))
        }) {
            self.record(key, answer);
        }
        told
    }

    /// Says whether a process may end: nothing is left to write, or only answers under issued
    /// keys while the table service refuses calls for longer than a claim would wait.
    pub fn may_exit(&self, now: MonoTime) -> bool {
        let records = |entry: &ClaimEntry| matches!(entry.phase, ClaimPhase::Settle { revision, .. } if revision == NO_ROW);
        let only_records = self.releases.is_empty() && self.entries.values().all(records);
        let refused = self.outage.refuses(now, self.settings.patience).is_some();
        self.is_settled() || (only_records && refused)
    }

    /// Lets the answer under an issued key be written, since this process is about to end.
    pub(crate) fn record(&mut self, key: ClaimKey, answer: RanAnswer) {
        let output = answer.output.filter(|text| self.may_keep(text));
        self.unwritten_bytes += output.as_ref().map_or(0, |text| text.len() as u64);
        let nonce = answer.words.nonce;
        let entry = ClaimEntry {
            words: answer.words,
            phase: ClaimPhase::Settle {
                revision: NO_ROW,
                verdict: ExecutionVerdict::Ran,
                output,
            },
            requests: Vec::new(),
        };
        self.entries.insert(key.clone(), entry);
        self.push_closing(self.closing_since, WriteItem::Settle { key, nonce });
        self.bound_unwritten();
    }
}
