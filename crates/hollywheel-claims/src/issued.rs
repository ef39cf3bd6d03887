//! Idempotency keys that this process issued.

use std::collections::VecDeque;
use std::time::Duration;

use hollywheel_types::{
    ExecutionVerdict, IdempotencyKey, MonoTime, RequestId, SortedMap, WorkspaceId,
};

use crate::entry::{ClaimDenial, ClaimIdentity, ClaimRequest};
use crate::issued_key::IssuedKey;
use crate::message::{ClaimKey, StoredAnswer};
use crate::output::ClaimOutput;
use crate::settings::ClaimSettings;
use crate::wait::{denied_output, ended_output};

/// Retry delay for callers while the maximum number of keys is in memory.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Phase of an issued key.
#[derive(Clone, Debug)]
enum IssuedPhase {
    /// Nothing was sent under the key, and no request holds it.
    Unused { expires: MonoTime },
    /// The first of the requests may run; the others wait for its outcome.
    Held {
        identity: ClaimIdentity,
        requests: Vec<RequestId>,
    },
    /// The request that held the key ended after something was sent.
    Ended {
        identity: ClaimIdentity,
        verdict: ExecutionVerdict,
        output: Option<String>,
    },
}

/// Outcome of a request that ran under an issued key, as it is written to the table service.
#[derive(Clone, Debug)]
pub(crate) struct RecordedAnswer {
    pub(crate) identity: ClaimIdentity,
    pub(crate) output: Option<String>,
}

impl RecordedAnswer {
    fn of(phase: &IssuedPhase) -> Option<Self> {
        match phase {
            IssuedPhase::Ended {
                identity,
                verdict: ExecutionVerdict::Ran,
                output,
            } => Some(Self {
                identity: identity.clone(),
                output: output.clone(),
            }),
            _ => None,
        }
    }
}

#[derive(Clone, Debug)]
struct IssuedEntry {
    /// Second of issue, counted from the start of the process.
    issue_second: u32,
    phase: IssuedPhase,
}

/// Grants and settles claims of the keys that this process issued, without writing claim rows.
///
/// Only this process ever sends requests under such a key, so its memory is authoritative. A key
/// that is not in the table was never issued or expired unused, unless it is as old as a key that
/// was evicted after its request had ended.
#[derive(Debug)]
pub struct IssuedKeyTable {
    entries: SortedMap<ClaimKey, IssuedEntry>,
    keys_by_request: SortedMap<RequestId, ClaimKey>,
    /// Unused keys in order of expiry. Keys used since they were queued are skipped.
    unused_queue: VecDeque<(MonoTime, ClaimKey)>,
    /// Keys whose request ended, in order of eviction.
    ended_queue: VecDeque<(MonoTime, ClaimKey)>,
    /// Total size of the answers kept.
    answer_bytes: u64,
    /// Latest second of issue among the keys evicted after their request had ended.
    newest_evicted_second: Option<u32>,
}

impl IssuedKeyTable {
    pub(crate) const fn new() -> Self {
        Self {
            entries: SortedMap::new(),
            keys_by_request: SortedMap::new(),
            unused_queue: VecDeque::new(),
            ended_queue: VecDeque::new(),
            answer_bytes: 0,
            newest_evicted_second: None,
        }
    }

    /// Returns the number of keys in the table.
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a request holds an issued key or waits for one.
    pub(crate) fn contains_request(&self, request: RequestId) -> bool {
        self.keys_by_request.contains_key(&request)
    }

    pub(crate) fn issue(
        &mut self,
        now: MonoTime,
        settings: &ClaimSettings,
        workspace: &WorkspaceId,
        random: u128,
    ) -> Result<IdempotencyKey, Duration> {
        self.evict_expired(now);
        if self.entries.len() >= settings.max_issued_keys {
            return Err(FULL_RETRY_AFTER);
        }
        let issue_second = seconds_since_start(now);
        let key = IssuedKey {
            host: settings.host.clone(),
            incarnation: settings.incarnation,
            issue_second,
            random,
        }
        .key();
        let claim_key = ClaimKey {
            workspace: workspace.clone(),
            key: key.clone(),
        };
        let expires = now + settings.issued_ttl;
        let phase = IssuedPhase::Unused { expires };
        self.unused_queue.push_back((expires, claim_key.clone()));
        self.entries.insert(
            claim_key,
            IssuedEntry {
                issue_second,
                phase,
            },
        );
        Ok(key)
    }

    /// Evicts unused keys that expired and ended keys whose retention time is over.
    fn evict_expired(&mut self, now: MonoTime) {
        while let Some((_, key)) = self.unused_queue.pop_front_if(|(at, _)| *at <= now) {
            let expired = self.entries.get(&key).is_some_and(
                |entry| matches!(entry.phase, IssuedPhase::Unused { expires } if expires <= now),
            );
            if expired {
                self.entries.remove(&key);
            }
        }
        while let Some((_, key)) = self.ended_queue.pop_front_if(|(at, _)| *at <= now) {
            let Some(entry) = self.entries.remove(&key) else {
                continue;
            };
            self.newest_evicted_second = self.newest_evicted_second.max(Some(entry.issue_second));
            if let IssuedPhase::Ended {
                output: Some(text), ..
            } = entry.phase
            {
                self.answer_bytes = self.answer_bytes.saturating_sub(text.len() as u64);
            }
        }
    }

    pub(crate) fn claim(
        &mut self,
        now: MonoTime,
        issue_second: u32,
        claim: ClaimRequest,
    ) -> Option<ClaimOutput> {
        self.evict_expired(now);
        let request = claim.request;
        let Some(entry) = self.entries.get_mut(&claim.key) else {
            let may_have_been_evicted = self
                .newest_evicted_second
                .is_some_and(|newest| issue_second <= newest);
            let denial = match may_have_been_evicted {
                true => ClaimDenial::Taken(ExecutionVerdict::MayHaveRun),
                false => ClaimDenial::Expired,
            };
            return Some(denied_output(request, denial));
        };
        match &mut entry.phase {
            IssuedPhase::Unused { .. } => {
                entry.phase = IssuedPhase::Held {
                    identity: ClaimIdentity {
                        request,
                        nonce: claim.nonce,
                        digest: claim.digest,
                        claimed_at: claim.claimed_at,
                    },
                    requests: vec![request],
                };
                self.keys_by_request.insert(request, claim.key);
                Some(ClaimOutput::Granted { request })
            }
            IssuedPhase::Held { identity, .. } | IssuedPhase::Ended { identity, .. }
                if identity.digest != claim.digest =>
            {
                Some(denied_output(request, ClaimDenial::Reused))
            }
            IssuedPhase::Held { requests, .. } => {
                requests.push(request);
                self.keys_by_request.insert(request, claim.key);
                None
            }
            IssuedPhase::Ended {
                identity,
                verdict,
                output,
            } => {
                let digest = identity.digest;
                let answer = output.clone().map(|output| StoredAnswer { digest, output });
                Some(ended_output(request, *verdict, answer))
            }
        }
    }

    /// Withdraws a request that sent nothing and grants the key to the next request that waits for
    /// it.
    pub(crate) fn withdraw(
        &mut self,
        now: MonoTime,
        ttl: Duration,
        request: RequestId,
    ) -> Option<ClaimOutput> {
        let key = self.keys_by_request.remove(&request)?;
        let entry = self.entries.get_mut(&key)?;
        let IssuedPhase::Held { requests, .. } = &mut entry.phase else {
            return None;
        };
        let was_first = requests.first() == Some(&request);
        requests.retain(|waiting| *waiting != request);
        match requests.first() {
            Some(next) if was_first => Some(ClaimOutput::Granted { request: *next }),
            Some(_) => None,
            None => {
                let expires = now + ttl;
                entry.phase = IssuedPhase::Unused { expires };
                self.unused_queue.push_back((expires, key));
                None
            }
        }
    }

    /// Records the outcome of the request that held a key and answers the requests that wait.
    pub(crate) fn settle(
        &mut self,
        now: MonoTime,
        settings: &ClaimSettings,
        request: RequestId,
        verdict: ExecutionVerdict,
        output: Option<String>,
    ) -> Vec<ClaimOutput> {
        let Some(key) = self.keys_by_request.remove(&request) else {
            return Vec::new();
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            return Vec::new();
        };
        let IssuedPhase::Held { identity, requests } = &mut entry.phase else {
            return Vec::new();
        };
        let digest = identity.digest;
        let identity = identity.clone();
        let waiting = std::mem::take(requests);
        let kept_output = output.clone().filter(|text| {
            let bytes = text.len() as u64;
            let max_bytes = settings.max_issued_answer_bytes.0;
            bytes <= settings.max_answer_size.0 && self.answer_bytes + bytes <= max_bytes
        });
        self.answer_bytes += kept_output.as_ref().map_or(0, |text| text.len() as u64);
        entry.phase = IssuedPhase::Ended {
            identity,
            verdict,
            output: kept_output,
        };
        self.ended_queue
            .push_back((now + settings.issued_retention, key));
        let answer = output.map(|output| StoredAnswer { digest, output });
        let others = waiting.into_iter().filter(|other| *other != request);
        let outputs = others.map(|other| {
            self.keys_by_request.remove(&other);
            ended_output(other, verdict, answer.clone())
        });
        outputs.collect()
    }

    /// Lists the keys whose request ran, so that their answers can be written before the process
    /// exits.
    pub(crate) fn answered_keys(&self) -> Vec<(ClaimKey, RecordedAnswer)> {
        let answered = self.entries.iter().filter_map(|(key, entry)| {
            let answer = RecordedAnswer::of(&entry.phase)?;
            Some((key.clone(), answer))
        });
        answered.collect()
    }

    /// Returns the answer under a key if its request ran.
    pub(crate) fn answer_under(&self, key: &ClaimKey) -> Option<RecordedAnswer> {
        RecordedAnswer::of(&self.entries.get(key)?.phase)
    }

    /// Returns the key that a request holds or waits for.
    pub(crate) fn key_of(&self, request: RequestId) -> Option<ClaimKey> {
        self.keys_by_request.get(&request).cloned()
    }

    /// Returns whether a request waits for another request with the same key.
    pub(crate) fn is_waiting(&self, request: RequestId) -> bool {
        let key = self.keys_by_request.get(&request);
        let entry = key.and_then(|key| self.entries.get(key));
        entry.is_some_and(|entry| match &entry.phase {
            IssuedPhase::Held { requests, .. } => requests.first() != Some(&request),
            IssuedPhase::Unused { .. } | IssuedPhase::Ended { .. } => false,
        })
    }
}

fn seconds_since_start(now: MonoTime) -> u32 {
    u32::try_from(now.0 / 1_000_000).unwrap_or(u32::MAX)
}
