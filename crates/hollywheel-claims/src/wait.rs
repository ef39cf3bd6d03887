//! Timers of claims, and the answers to requests that wait for a claim.

use hollywheel_types::{ExecutionVerdict, MonoTime, RequestId};

use crate::entry::{ClaimDenial, ClaimPhase};
use crate::message::{ClaimKey, StoredAnswer};
use crate::output::ClaimOutput;
use crate::table::ClaimTable;

impl ClaimTable {
    /// Handles the timers that are due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<ClaimOutput> {
        let mut out = Vec::new();
        self.expire_writes(now, &mut out);
        self.expire_waits(now, &mut out);
        self.flush(now, &mut out);
        out
    }

    /// Returns when the next [`ClaimTable::tick`] is due, if any timer is set.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let write_timeouts = self.writes_in_flight.iter().map(|write| write.due);
        let wait_timers = self.entries.values().filter_map(|entry| match entry.phase {
            ClaimPhase::Insert { give_up_at, .. } => Some(give_up_at),
            ClaimPhase::Asking { wake, .. } | ClaimPhase::Reread { wake, .. } => Some(wake),
            ClaimPhase::Held { .. } | ClaimPhase::Settle { .. } => None,
        });
        write_timeouts
            .chain(wait_timers)
            .chain(self.flush_due())
            .min()
    }

    fn expire_waits(&mut self, now: MonoTime, out: &mut Vec<ClaimOutput>) {
        let due_keys: Vec<ClaimKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| match entry.phase {
                ClaimPhase::Insert { give_up_at, .. } => give_up_at <= now,
                ClaimPhase::Asking { wake, .. } | ClaimPhase::Reread { wake, .. } => wake <= now,
                ClaimPhase::Held { .. } | ClaimPhase::Settle { .. } => false,
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in due_keys {
            match self.entries.get(&key).map(|entry| &entry.phase) {
                Some(ClaimPhase::Insert { .. }) => self.deny_unavailable(now, &key, out),
                Some(ClaimPhase::Asking { .. }) => self.ask_holder(now, &key, out),
                Some(ClaimPhase::Reread { .. }) => self.deny_taken(now, &key, out),
                _ => {}
            }
        }
    }

    pub(crate) fn deny_unavailable(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        out: &mut Vec<ClaimOutput>,
    ) {
        let retry_after = self.outage.retry_after(now);
        self.deny(now, key, ClaimDenial::StoreUnavailable { retry_after }, out);
    }

    pub(crate) fn deny_taken(&mut self, now: MonoTime, key: &ClaimKey, out: &mut Vec<ClaimOutput>) {
        let denial = ClaimDenial::Taken(ExecutionVerdict::MayHaveRun);
        self.deny(now, key, denial, out);
    }

    /// Denies all requests that wait for a claim and abandons the claim.
    pub(crate) fn deny(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        denial: ClaimDenial,
        out: &mut Vec<ClaimOutput>,
    ) {
        for request in self.take_waiting(key) {
            out.push(denied_output(request, denial));
        }
        self.abandon_claim(now, key);
    }

    /// Answers all requests that wait for a claim with the outcome of the request that held it.
    pub(crate) fn report_ended(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        verdict: ExecutionVerdict,
        answer: Option<StoredAnswer>,
        out: &mut Vec<ClaimOutput>,
    ) {
        for request in self.take_waiting(key) {
            out.push(ended_output(request, verdict, answer.clone()));
        }
        self.abandon_claim(now, key);
    }

    fn take_waiting(&mut self, key: &ClaimKey) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        let waiting = std::mem::take(&mut entry.requests);
        for request in &waiting {
            self.keys_by_request.remove(request);
        }
        waiting
    }
}

pub(crate) fn denied_output(request: RequestId, denial: ClaimDenial) -> ClaimOutput {
    ClaimOutput::Denied { request, denial }
}

/// Returns a replay if the request that held the claim ran and its answer is known, otherwise a
/// denial.
pub(crate) fn ended_output(
    request: RequestId,
    verdict: ExecutionVerdict,
    answer: Option<StoredAnswer>,
) -> ClaimOutput {
    match (verdict, answer) {
        (ExecutionVerdict::Ran, Some(answer)) => ClaimOutput::Replayed { request, answer },
        _ => denied_output(request, ClaimDenial::Taken(verdict)),
    }
}
