//! The claims of one host.

use std::collections::VecDeque;

use hollywheel_types::{
    AttemptNonce, ExecutionVerdict, HostId, Incarnation, MonoTime, RequestId, SortedMap,
};

use crate::entry::{
    ClaimDenial, ClaimEntry, ClaimHolder, ClaimPhase, ClaimRequest, ClaimWords, ReleaseEntry,
};
use crate::issued::IssuedTable;
use crate::issued_key::IssuedKey;
use crate::message::{ClaimKey, StoredAnswer};
use crate::outage::StoreOutage;
use crate::output::{ClaimOutput, ClaimTicket};
use crate::settings::ClaimSettings;
use crate::wait::{denied, ended};
use crate::write::{PendingWrite, WriteItem};

/// Decides who may run a non-idempotent request.
///
/// A request runs only under a row of the table service that this host wrote for it. Every
/// method takes the time and returns its effects; the machine itself does no I/O.
#[derive(Debug)]
pub struct ClaimTable {
    pub(crate) settings: ClaimSettings,
    pub(crate) entries: SortedMap<ClaimKey, ClaimEntry>,
    pub(crate) keys: SortedMap<RequestId, ClaimKey>,
    pub(crate) releases: SortedMap<(ClaimKey, AttemptNonce), ReleaseEntry>,
    pub(crate) urgent: VecDeque<WriteItem>,
    pub(crate) closing: VecDeque<WriteItem>,
    pub(crate) closing_since: MonoTime,
    pub(crate) writes: Vec<PendingWrite>,
    pub(crate) last_write: Option<MonoTime>,
    pub(crate) outage: StoreOutage,
    pub(crate) peers: Vec<ClaimHolder>,
    pub(crate) draining: bool,
    pub(crate) issued: IssuedTable,
    pub(crate) unwritten_bytes: u64,
    forgotten: u64,
    next_ticket: u64,
}

impl ClaimTable {
    /// Creates an empty table.
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            entries: SortedMap::new(),
            keys: SortedMap::new(),
            releases: SortedMap::new(),
            urgent: VecDeque::new(),
            closing: VecDeque::new(),
            closing_since: MonoTime::default(),
            writes: Vec::new(),
            last_write: None,
            outage: StoreOutage::default(),
            peers: Vec::new(),
            draining: false,
            issued: IssuedTable::new(),
            unwritten_bytes: 0,
            forgotten: 0,
            next_ticket: 0,
        }
    }

    /// Replaces the list of the processes taken for alive.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = (HostId, Incarnation)>) {
        self.peers = peers
            .into_iter()
            .map(|(host, incarnation)| ClaimHolder { host, incarnation })
            .collect();
    }

    /// Writes results and releases without waiting for others to join them.
    pub fn begin_drain(&mut self) {
        self.draining = true;
        for (key, answer) in self.issued.ran() {
            self.record(key, answer);
        }
    }

    /// Says whether nothing is left to write and no request holds or awaits a claim.
    pub const fn is_settled(&self) -> bool {
        self.entries.is_empty() && self.releases.is_empty()
    }

    /// Returns the number of claims that are not settled.
    pub const fn open_claims(&self) -> usize {
        self.entries.len() + self.releases.len()
    }

    /// Returns the number of results and releases that were forgotten at the bound.
    pub const fn forgotten(&self) -> u64 {
        self.forgotten
    }

    /// Says whether the last call of the table service succeeded.
    pub const fn store_ok(&self) -> bool {
        self.outage.is_over()
    }

    /// Asks for the claim of a key. The request is granted the claim, replayed or denied now or
    /// later, exactly once unless it is withdrawn before.
    pub fn claim(&mut self, now: MonoTime, order: ClaimRequest) -> Vec<ClaimOutput> {
        let mut out = Vec::new();
        if let Some(issued) = IssuedKey::read(&order.key.key) {
            self.claim_issued(now, &issued, order, &mut out);
            return out;
        }
        if self.entries.contains_key(&order.key) {
            self.join(order, &mut out);
            return out;
        }
        if let Some(retry_after) = self.outage.refuses(now, self.settings.refused_patience) {
            let denial = ClaimDenial::StoreUnavailable { retry_after };
            out.push(denied(order.request, denial));
            return out;
        }
        self.add(now, order);
        self.flush(now, &mut out);
        out
    }

    fn add(&mut self, now: MonoTime, order: ClaimRequest) {
        let give_up = order.deadline.min(now + self.settings.patience);
        let entry = ClaimEntry {
            words: ClaimWords {
                request: order.request,
                nonce: order.nonce,
                digest: order.digest,
                claimed_at: order.claimed_at,
            },
            phase: ClaimPhase::Insert {
                revision: None,
                give_up,
                writing: false,
                unknown: false,
            },
            requests: vec![order.request],
        };
        self.keys.insert(order.request, order.key.clone());
        self.urgent.push_back(WriteItem::Claim {
            key: order.key.clone(),
            nonce: order.nonce,
        });
        self.entries.insert(order.key, entry);
    }

    pub(crate) fn join(&mut self, order: ClaimRequest, out: &mut Vec<ClaimOutput>) {
        let Some(entry) = self.entries.get_mut(&order.key) else {
            return;
        };
        if entry.words.digest != order.digest {
            out.push(denied(order.request, ClaimDenial::Reused));
            return;
        }
        if let ClaimPhase::Settle {
            verdict, output, ..
        } = &entry.phase
        {
            let answer = output.clone().map(|output| StoredAnswer {
                digest: order.digest,
                output,
            });
            out.push(ended(order.request, *verdict, answer));
            return;
        }
        entry.requests.push(order.request);
        self.keys.insert(order.request, order.key);
    }

    /// Tells that a request gave up without having sent anything under its claim.
    pub fn withdraw(&mut self, now: MonoTime, request: RequestId) -> Vec<ClaimOutput> {
        let mut out = Vec::new();
        if self.issued.knows(request) {
            out.extend(self.issued.leave(now, self.settings.issued_ttl, request));
            return out;
        }
        self.leave(now, request, &mut out);
        self.flush(now, &mut out);
        out
    }

    fn leave(&mut self, now: MonoTime, request: RequestId, out: &mut Vec<ClaimOutput>) {
        let Some(key) = self.keys.remove(&request) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let was_first = entry.requests.first() == Some(&request);
        entry.requests.retain(|waiting| *waiting != request);
        let held = matches!(entry.phase, ClaimPhase::Held { .. });
        match entry.requests.first() {
            // The claim was not used, so the next request with the key may run under it.
            Some(next) if was_first && held => out.push(ClaimOutput::Granted { request: *next }),
            Some(_) => {}
            None => self.abandon(now, &key),
        }
    }

    /// Removes a claim under which nothing was and nothing will be sent.
    pub(crate) fn abandon(&mut self, now: MonoTime, key: &ClaimKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        let (revision, takeover) = match entry.phase {
            ClaimPhase::Held { revision } => (Some(revision), None),
            ClaimPhase::Insert {
                revision,
                writing,
                unknown,
                ..
            } if writing || unknown => (None, revision),
            _ => return,
        };
        let nonce = entry.words.nonce;
        let release = ReleaseEntry {
            words: entry.words,
            revision,
            takeover,
        };
        self.releases.insert((key.clone(), nonce), release);
        self.push_closing(
            now,
            WriteItem::Release {
                key: key.clone(),
                nonce,
            },
        );
        self.bound_unwritten();
    }

    /// Tells how the request that holds a claim ended. `not-run` frees the claim; any other
    /// verdict settles it, with the complete answer of a request that ran.
    pub fn finish(
        &mut self,
        now: MonoTime,
        request: RequestId,
        verdict: ExecutionVerdict,
        output: Option<String>,
    ) -> Vec<ClaimOutput> {
        let mut out = Vec::new();
        if verdict == ExecutionVerdict::NotRun {
            return self.withdraw(now, request);
        } else if self.issued.knows(request) {
            out.extend(self.settle_issued(now, request, verdict, output));
            self.flush(now, &mut out);
            return out;
        } else {
            self.settle(now, request, verdict, output, &mut out);
        }
        self.flush(now, &mut out);
        out
    }

    fn settle(
        &mut self,
        now: MonoTime,
        request: RequestId,
        verdict: ExecutionVerdict,
        output: Option<String>,
        out: &mut Vec<ClaimOutput>,
    ) {
        let Some(key) = self.keys.remove(&request) else {
            return;
        };
        let kept = output.clone().filter(|text| self.may_keep(text));
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let ClaimPhase::Held { revision } = entry.phase else {
            return;
        };
        let answer = output.map(|output| StoredAnswer {
            digest: entry.words.digest,
            output,
        });
        let waiting = std::mem::take(&mut entry.requests);
        let nonce = entry.words.nonce;
        self.unwritten_bytes += kept.as_ref().map_or(0, |text| text.len() as u64);
        entry.phase = ClaimPhase::Settle {
            revision,
            verdict,
            output: kept,
        };
        for other in waiting.into_iter().filter(|other| *other != request) {
            self.keys.remove(&other);
            out.push(ended(other, verdict, answer.clone()));
        }
        self.push_closing(now, WriteItem::Settle { key, nonce });
        self.bound_unwritten();
    }

    pub(crate) fn may_keep(&self, text: &str) -> bool {
        let bytes = text.len() as u64;
        bytes <= self.settings.max_answer.0
            && self.unwritten_bytes + bytes <= self.settings.max_unwritten_bytes.0
    }

    /// Removes a claim whose result is written or will never be.
    pub(crate) fn drop_settled(&mut self, key: &ClaimKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        if let ClaimPhase::Settle {
            output: Some(text), ..
        } = entry.phase
        {
            self.unwritten_bytes = self.unwritten_bytes.saturating_sub(text.len() as u64);
        }
    }

    pub(crate) fn bound_unwritten(&mut self) {
        while self.closing.len() > self.settings.max_unwritten {
            let Some(item) = self.closing.pop_front() else {
                return;
            };
            self.forgotten += 1;
            match item {
                WriteItem::Release { key, nonce } => {
                    self.releases.remove(&(key, nonce));
                }
                WriteItem::Settle { key, .. } => self.drop_settled(&key),
                WriteItem::Claim { .. } => {}
            }
        }
    }

    /// Says what is known of the execution under the key of a request that waits for its
    /// claim: `may-have-run` if another request with the key may run or have run.
    pub fn waiting_verdict(&self, request: RequestId) -> ExecutionVerdict {
        if self.issued.waits(request) {
            return ExecutionVerdict::MayHaveRun;
        }
        let entry = self
            .keys
            .get(&request)
            .and_then(|key| self.entries.get(key));
        let Some(entry) = entry else {
            return ExecutionVerdict::NotRun;
        };
        let first = entry.requests.first() == Some(&request);
        match entry.phase {
            ClaimPhase::Ask { .. } | ClaimPhase::Reread { .. } => ExecutionVerdict::MayHaveRun,
            ClaimPhase::Held { .. } if !first => ExecutionVerdict::MayHaveRun,
            _ => ExecutionVerdict::NotRun,
        }
    }

    pub(crate) fn take_ticket(&mut self) -> ClaimTicket {
        self.next_ticket += 1;
        ClaimTicket(self.next_ticket)
    }
}
