//! Timers of claims, and the answers to requests that wait for one.

use hollywheel_types::{ExecutionVerdict, MonoTime, RequestId};

use crate::entry::{ClaimDenial, ClaimPhase};
use crate::message::{ClaimKey, StoredAnswer};
use crate::output::ClaimOutput;
use crate::table::ClaimTable;

impl ClaimTable {
    /// Lets time pass.
    pub fn tick(&mut self, now: MonoTime) -> Vec<ClaimOutput> {
        let mut out = Vec::new();
        self.expire_writes(now, &mut out);
        self.expire_waits(now, &mut out);
        self.flush(now, &mut out);
        out
    }

    /// Returns the next point at which [`ClaimTable::tick`] is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let writes = self.writes.iter().map(|write| write.due);
        let waits = self.entries.values().filter_map(|entry| match entry.phase {
            ClaimPhase::Insert { give_up, .. } => Some(give_up),
            ClaimPhase::Ask { wake, .. } | ClaimPhase::Reread { wake, .. } => Some(wake),
            ClaimPhase::Held { .. } | ClaimPhase::Settle { .. } => None,
        });
        writes.chain(waits).chain(self.flush_due()).min()
    }

    fn expire_waits(&mut self, now: MonoTime, out: &mut Vec<ClaimOutput>) {
        let due: Vec<ClaimKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| match entry.phase {
                ClaimPhase::Insert { give_up, .. } => give_up <= now,
                ClaimPhase::Ask { wake, .. } | ClaimPhase::Reread { wake, .. } => wake <= now,
                ClaimPhase::Held { .. } | ClaimPhase::Settle { .. } => false,
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            match self.entries.get(&key).map(|entry| &entry.phase) {
                Some(ClaimPhase::Insert { .. }) => self.deny_unavailable(now, &key, out),
                Some(ClaimPhase::Ask { .. }) => self.ask_due(now, &key, out),
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

    /// Denies every request that waits for a claim and gives the claim up.
    pub(crate) fn deny(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        denial: ClaimDenial,
        out: &mut Vec<ClaimOutput>,
    ) {
        for request in self.take_waiting(key) {
            out.push(denied(request, denial));
        }
        self.abandon(now, key);
    }

    /// Tells every request that waits for a claim how the request that held it ended.
    pub(crate) fn tell_ended(
        &mut self,
        now: MonoTime,
        key: &ClaimKey,
        verdict: ExecutionVerdict,
        answer: Option<StoredAnswer>,
        out: &mut Vec<ClaimOutput>,
    ) {
        for request in self.take_waiting(key) {
            out.push(ended(request, verdict, answer.clone()));
        }
        self.abandon(now, key);
    }

    fn take_waiting(&mut self, key: &ClaimKey) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(key) else {
            return Vec::new();
        };
        let waiting = std::mem::take(&mut entry.requests);
        for request in &waiting {
            self.keys.remove(request);
        }
        waiting
    }
}

pub(crate) fn denied(request: RequestId, denial: ClaimDenial) -> ClaimOutput {
    ClaimOutput::Denied { request, denial }
}

pub(crate) fn ended(
    request: RequestId,
    verdict: ExecutionVerdict,
    answer: Option<StoredAnswer>,
) -> ClaimOutput {
    match (verdict, answer) {
        (ExecutionVerdict::Ran, Some(answer)) => ClaimOutput::Replayed { request, answer },
        _ => denied(request, ClaimDenial::Taken(verdict)),
    }
}
