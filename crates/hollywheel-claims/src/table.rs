//! Claim table of one host.

use std::collections::VecDeque;

use hollywheel_types::{
    AttemptNonce, ExecutionVerdict, HostId, Incarnation, MonoTime, RequestId, SortedMap,
};

use crate::entry::{
    ClaimDenial, ClaimEntry, ClaimHolder, ClaimIdentity, ClaimPhase, ClaimRequest, ReleaseEntry,
};
use crate::issued::IssuedKeyTable;
use crate::issued_key::IssuedKey;
use crate::message::{ClaimKey, StoredAnswer};
use crate::outage::StoreOutage;
use crate::output::{ClaimOutput, ClaimTicket};
use crate::settings::ClaimSettings;
use crate::wait::{denied_output, ended_output};
use crate::write::{InFlightWrite, WriteItem};

/// Grants and settles the claims of the non-idempotent requests of one host.
///
/// A request with a key chosen by the caller is granted its claim only after this host has written
/// the claim row to the table service. Every method takes the current time and returns its
/// effects; the table itself does no I/O.
#[derive(Debug)]
pub struct ClaimTable {
    pub(crate) settings: ClaimSettings,
    /// Claims that requests of this host wait for or hold, or whose results are unwritten.
    pub(crate) entries: SortedMap<ClaimKey, ClaimEntry>,
    /// Keys of the requests that wait for or hold a claim.
    pub(crate) keys_by_request: SortedMap<RequestId, ClaimKey>,
    /// Abandoned claims whose released rows are not written yet.
    pub(crate) releases: SortedMap<(ClaimKey, AttemptNonce), ReleaseEntry>,
    /// Claim rows to write. They take precedence over `pending_results`.
    pub(crate) pending_claims: VecDeque<WriteItem>,
    /// Results and releases to write.
    pub(crate) pending_results: VecDeque<WriteItem>,
    /// When `pending_results` last became non-empty or a batch was last written, whichever is
    /// later; `settle_linger` counts from here.
    pub(crate) pending_results_since: MonoTime,
    pub(crate) writes_in_flight: Vec<InFlightWrite>,
    pub(crate) last_write: Option<MonoTime>,
    pub(crate) outage: StoreOutage,
    /// Processes considered alive, including this one.
    pub(crate) peers: Vec<ClaimHolder>,
    pub(crate) draining: bool,
    pub(crate) issued: IssuedKeyTable,
    /// Total size of the answers that wait to be written.
    pub(crate) unwritten_bytes: u64,
    evicted_results: u64,
    next_ticket: u64,
}

impl ClaimTable {
    /// Creates an empty table.
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            entries: SortedMap::new(),
            keys_by_request: SortedMap::new(),
            releases: SortedMap::new(),
            pending_claims: VecDeque::new(),
            pending_results: VecDeque::new(),
            pending_results_since: MonoTime::default(),
            writes_in_flight: Vec::new(),
            last_write: None,
            outage: StoreOutage::default(),
            peers: Vec::new(),
            draining: false,
            issued: IssuedKeyTable::new(),
            unwritten_bytes: 0,
            evicted_results: 0,
            next_ticket: 0,
        }
    }

    /// Replaces the list of processes that are considered alive.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = (HostId, Incarnation)>) {
        self.peers = peers
            .into_iter()
            .map(|(host, incarnation)| ClaimHolder { host, incarnation })
            .collect();
    }

    /// Starts the graceful shutdown: results and releases are written without lingering, and the
    /// answers under issued keys are queued to be written.
    pub fn begin_drain(&mut self) {
        self.draining = true;
        for (key, answer) in self.issued.answered_keys() {
            self.queue_issued_answer(key, answer);
        }
    }

    /// Returns whether nothing is left to write and no request holds or awaits a claim.
    pub const fn is_settled(&self) -> bool {
        self.entries.is_empty() && self.releases.is_empty()
    }

    /// Returns the number of claims that are waited for, held or not fully written.
    pub const fn open_claims(&self) -> usize {
        self.entries.len() + self.releases.len()
    }

    /// Returns the number of results and releases dropped because too many were unwritten.
    pub const fn evicted_results(&self) -> u64 {
        self.evicted_results
    }

    /// Returns whether the last write to the table service succeeded.
    pub const fn store_ok(&self) -> bool {
        self.outage.is_over()
    }

    /// Requests the claim of a key. The request is granted the claim, replayed an answer or denied
    /// exactly once, now or by a later call, unless it is withdrawn first.
    pub fn claim(&mut self, now: MonoTime, claim: ClaimRequest) -> Vec<ClaimOutput> {
        let mut out = Vec::new();
        if let Some(issued) = IssuedKey::read(&claim.key.key) {
            self.claim_issued(now, &issued, claim, &mut out);
            return out;
        }
        if self.entries.contains_key(&claim.key) {
            self.join_entry(claim, &mut out);
            return out;
        }
        if let Some(retry_after) = self
            .outage
            .refusal_delay(now, self.settings.max_refused_wait)
        {
            let denial = ClaimDenial::StoreUnavailable { retry_after };
            out.push(denied_output(claim.request, denial));
            return out;
        }
        self.add_entry(now, claim);
        self.flush(now, &mut out);
        out
    }

    fn add_entry(&mut self, now: MonoTime, claim: ClaimRequest) {
        let give_up_at = claim.deadline.min(now + self.settings.max_store_wait);
        let entry = ClaimEntry {
            identity: ClaimIdentity {
                request: claim.request,
                nonce: claim.nonce,
                digest: claim.digest,
                claimed_at: claim.claimed_at,
            },
            phase: ClaimPhase::Insert {
                revision: None,
                give_up_at,
                write_in_flight: false,
                outcome_unknown: false,
            },
            requests: vec![claim.request],
        };
        self.keys_by_request
            .insert(claim.request, claim.key.clone());
        self.pending_claims.push_back(WriteItem::Claim {
            key: claim.key.clone(),
            nonce: claim.nonce,
        });
        self.entries.insert(claim.key, entry);
    }

    /// Adds a request to an existing claim of its key, or answers it if the claim is settled.
    pub(crate) fn join_entry(&mut self, claim: ClaimRequest, out: &mut Vec<ClaimOutput>) {
        let Some(entry) = self.entries.get_mut(&claim.key) else {
            return;
        };
        if entry.identity.digest != claim.digest {
            out.push(denied_output(claim.request, ClaimDenial::Reused));
            return;
        }
        if let ClaimPhase::Settle {
            verdict, output, ..
        } = &entry.phase
        {
            let answer = output.clone().map(|output| StoredAnswer {
                digest: claim.digest,
                output,
            });
            out.push(ended_output(claim.request, *verdict, answer));
            return;
        }
        entry.requests.push(claim.request);
        self.keys_by_request.insert(claim.request, claim.key);
    }

    /// Withdraws a request that sent nothing under its claim or still waits for it.
    pub fn withdraw(&mut self, now: MonoTime, request: RequestId) -> Vec<ClaimOutput> {
        let mut out = Vec::new();
        if self.issued.contains_request(request) {
            out.extend(self.issued.withdraw(now, self.settings.issued_ttl, request));
            return out;
        }
        self.remove_request(now, request, &mut out);
        self.flush(now, &mut out);
        out
    }

    fn remove_request(&mut self, now: MonoTime, request: RequestId, out: &mut Vec<ClaimOutput>) {
        let Some(key) = self.keys_by_request.remove(&request) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let was_first = entry.requests.first() == Some(&request);
        entry.requests.retain(|waiting| *waiting != request);
        let is_held = matches!(entry.phase, ClaimPhase::Held { .. });
        match entry.requests.first() {
            // Nothing was sent under the claim, so it passes to the next request with the key.
            Some(next) if was_first && is_held => out.push(ClaimOutput::Granted { request: *next }),
            Some(_) => {}
            None => self.abandon_claim(now, &key),
        }
    }

    /// Removes a claim under which nothing was or will be sent. If its row may exist, a released
    /// row is queued to be written.
    pub(crate) fn abandon_claim(&mut self, now: MonoTime, key: &ClaimKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        let (revision, takeover_revision) = match entry.phase {
            ClaimPhase::Held { revision } => (Some(revision), None),
            ClaimPhase::Insert {
                revision,
                write_in_flight,
                outcome_unknown,
                ..
            } if write_in_flight || outcome_unknown => (None, revision),
            _ => return,
        };
        let nonce = entry.identity.nonce;
        let release = ReleaseEntry {
            identity: entry.identity,
            revision,
            takeover_revision,
        };
        self.releases.insert((key.clone(), nonce), release);
        self.queue_result(
            now,
            WriteItem::Release {
                key: key.clone(),
                nonce,
            },
        );
        self.enforce_unwritten_limit();
    }

    /// Ends the request that holds a claim. The verdict `not-run` releases the claim; any other
    /// verdict settles it, with the complete answer if the request ran.
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
        } else if self.issued.contains_request(request) {
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
        let Some(key) = self.keys_by_request.remove(&request) else {
            return;
        };
        let kept_output = output
            .clone()
            .filter(|text| self.fits_unwritten_limit(text));
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let ClaimPhase::Held { revision } = entry.phase else {
            return;
        };
        let answer = output.map(|output| StoredAnswer {
            digest: entry.identity.digest,
            output,
        });
        let waiting = std::mem::take(&mut entry.requests);
        let nonce = entry.identity.nonce;
        self.unwritten_bytes += kept_output.as_ref().map_or(0, |text| text.len() as u64);
        entry.phase = ClaimPhase::Settle {
            revision,
            verdict,
            output: kept_output,
        };
        for other in waiting.into_iter().filter(|other| *other != request) {
            self.keys_by_request.remove(&other);
            out.push(ended_output(other, verdict, answer.clone()));
        }
        self.queue_result(now, WriteItem::Settle { key, nonce });
        self.enforce_unwritten_limit();
    }

    /// Returns whether an answer is small enough to be kept until its result is written.
    pub(crate) fn fits_unwritten_limit(&self, text: &str) -> bool {
        let bytes = text.len() as u64;
        bytes <= self.settings.max_answer_size.0
            && self.unwritten_bytes + bytes <= self.settings.max_unwritten_bytes.0
    }

    /// Removes a claim whose result was written or dropped.
    pub(crate) fn remove_settled(&mut self, key: &ClaimKey) {
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

    /// Drops the oldest unwritten results and releases beyond the limit.
    pub(crate) fn enforce_unwritten_limit(&mut self) {
        while self.pending_results.len() > self.settings.max_unwritten {
            let Some(item) = self.pending_results.pop_front() else {
                return;
            };
            self.evicted_results += 1;
            match item {
                WriteItem::Release { key, nonce } => {
                    self.releases.remove(&(key, nonce));
                }
                WriteItem::Settle { key, .. } => self.remove_settled(&key),
                WriteItem::Claim { .. } => {}
            }
        }
    }

    /// Returns the execution verdict for a request that is refused while it waits for its claim:
    /// `may-have-run` if another request with the key may run or may have run.
    pub fn waiting_verdict(&self, request: RequestId) -> ExecutionVerdict {
        if self.issued.is_waiting(request) {
            return ExecutionVerdict::MayHaveRun;
        }
        let entry = self
            .keys_by_request
            .get(&request)
            .and_then(|key| self.entries.get(key));
        let Some(entry) = entry else {
            return ExecutionVerdict::NotRun;
        };
        let first = entry.requests.first() == Some(&request);
        match entry.phase {
            ClaimPhase::Asking { .. } | ClaimPhase::Reread { .. } => ExecutionVerdict::MayHaveRun,
            ClaimPhase::Held { .. } if !first => ExecutionVerdict::MayHaveRun,
            _ => ExecutionVerdict::NotRun,
        }
    }

    pub(crate) fn allocate_ticket(&mut self) -> ClaimTicket {
        self.next_ticket += 1;
        ClaimTicket(self.next_ticket)
    }
}
