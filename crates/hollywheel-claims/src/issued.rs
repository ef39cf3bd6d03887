//! The keys that this process issued.

use std::collections::VecDeque;
use std::time::Duration;

use hollywheel_types::{
    ExecutionVerdict, IdempotencyKey, MonoTime, RequestId, SortedMap, WorkspaceId,
};

use crate::entry::{ClaimDenial, ClaimRequest, ClaimWords};
use crate::issued_key::IssuedKey;
use crate::message::{ClaimKey, StoredAnswer};
use crate::output::ClaimOutput;
use crate::settings::ClaimSettings;
use crate::wait::{denied, ended};

/// When to ask for a key again while the table is full.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Says what became of a key.
#[derive(Clone, Debug)]
enum IssuedPhase {
    /// Nothing was sent under it, and no request holds it.
    Unused { expires: MonoTime },
    /// The first of the requests may run, the others wait for it.
    Held {
        words: ClaimWords,
        requests: Vec<RequestId>,
    },
    /// Its request ended, and something was sent.
    Ended {
        words: ClaimWords,
        verdict: ExecutionVerdict,
        output: Option<String>,
    },
}

/// Holds what is written about a key whose request ran.
#[derive(Clone, Debug)]
pub(crate) struct RanAnswer {
    pub(crate) words: ClaimWords,
    pub(crate) output: Option<String>,
}

impl RanAnswer {
    fn of(phase: &IssuedPhase) -> Option<Self> {
        match phase {
            IssuedPhase::Ended {
                words,
                verdict: ExecutionVerdict::Ran,
                output,
            } => Some(Self {
                words: words.clone(),
                output: output.clone(),
            }),
            _ => None,
        }
    }
}

#[derive(Clone, Debug)]
struct IssuedEntry {
    second: u32,
    phase: IssuedPhase,
}

/// Decides who may run under the keys that this process issued; no row is written for them.
///
/// Only this process ever sends under such a key, so what it remembers is all there is to know.
/// A key that it does not remember was never issued, or was not used before it expired, unless
/// the key is as old as one that was forgotten after its request had ended.
#[derive(Debug)]
pub struct IssuedTable {
    entries: SortedMap<ClaimKey, IssuedEntry>,
    keys: SortedMap<RequestId, ClaimKey>,
    /// Unused keys in the order in which they expire; those used meanwhile are passed over.
    unused: VecDeque<(MonoTime, ClaimKey)>,
    /// Keys whose request ended, in the order in which they may be forgotten.
    ended: VecDeque<(MonoTime, ClaimKey)>,
    answer_bytes: u64,
    /// The newest second of issue of the keys that were forgotten after their request ended.
    forgotten: Option<u32>,
}

impl IssuedTable {
    pub(crate) const fn new() -> Self {
        Self {
            entries: SortedMap::new(),
            keys: SortedMap::new(),
            unused: VecDeque::new(),
            ended: VecDeque::new(),
            answer_bytes: 0,
            forgotten: None,
        }
    }

    /// Returns the number of keys remembered.
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Says whether no key is remembered.
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Says whether a request holds a key or waits for the one that does.
    pub(crate) fn knows(&self, request: RequestId) -> bool {
        self.keys.contains_key(&request)
    }

    pub(crate) fn issue(
        &mut self,
        now: MonoTime,
        settings: &ClaimSettings,
        workspace: &WorkspaceId,
        random: u128,
    ) -> Result<IdempotencyKey, Duration> {
        self.forget(now);
        if self.entries.len() >= settings.max_issued {
            return Err(FULL_RETRY);
        }
        let second = second_of(now);
        let key = IssuedKey {
            host: settings.host.clone(),
            incarnation: settings.incarnation,
            second,
            random,
        }
        .key();
        let claim = ClaimKey {
            workspace: workspace.clone(),
            key: key.clone(),
        };
        let expires = now + settings.issued_ttl;
        let phase = IssuedPhase::Unused { expires };
        self.unused.push_back((expires, claim.clone()));
        self.entries.insert(claim, IssuedEntry { second, phase });
        Ok(key)
    }

    /// Drops unused keys that expired and ended ones that were kept long enough.
    fn forget(&mut self, now: MonoTime) {
        while let Some((_, key)) = self.unused.pop_front_if(|(at, _)| *at <= now) {
            let due = self.entries.get(&key).is_some_and(
                |entry| matches!(entry.phase, IssuedPhase::Unused { expires } if expires <= now),
            );
            if due {
                self.entries.remove(&key);
            }
        }
        while let Some((_, key)) = self.ended.pop_front_if(|(at, _)| *at <= now) {
            let Some(entry) = self.entries.remove(&key) else {
                continue;
            };
            self.forgotten = self.forgotten.max(Some(entry.second));
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
        second: u32,
        order: ClaimRequest,
    ) -> Option<ClaimOutput> {
        self.forget(now);
        let request = order.request;
        let Some(entry) = self.entries.get_mut(&order.key) else {
            let may_be_forgotten = self.forgotten.is_some_and(|newest| second <= newest);
            let denial = match may_be_forgotten {
                true => ClaimDenial::Taken(ExecutionVerdict::MayHaveRun),
                false => ClaimDenial::Expired,
            };
            return Some(denied(request, denial));
        };
        match &mut entry.phase {
            IssuedPhase::Unused { .. } => {
                entry.phase = IssuedPhase::Held {
                    words: ClaimWords {
                        request,
                        nonce: order.nonce,
                        digest: order.digest,
                        claimed_at: order.claimed_at,
                    },
                    requests: vec![request],
                };
                self.keys.insert(request, order.key);
                Some(ClaimOutput::Granted { request })
            }
            IssuedPhase::Held { words, .. } | IssuedPhase::Ended { words, .. }
                if words.digest != order.digest =>
            {
                Some(denied(request, ClaimDenial::Reused))
            }
            IssuedPhase::Held { requests, .. } => {
                requests.push(request);
                self.keys.insert(request, order.key);
                None
            }
            IssuedPhase::Ended {
                words,
                verdict,
                output,
            } => {
                let digest = words.digest;
                let answer = output.clone().map(|output| StoredAnswer { digest, output });
                Some(ended(request, *verdict, answer))
            }
        }
    }

    /// Takes a request away that sent nothing; the next one with the key may run.
    pub(crate) fn leave(
        &mut self,
        now: MonoTime,
        ttl: Duration,
        request: RequestId,
    ) -> Option<ClaimOutput> {
        let key = self.keys.remove(&request)?;
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
                self.unused.push_back((expires, key));
                None
            }
        }
    }

    /// Notes how the request that held a key ended after it sent something.
    pub(crate) fn settle(
        &mut self,
        now: MonoTime,
        settings: &ClaimSettings,
        request: RequestId,
        verdict: ExecutionVerdict,
        output: Option<String>,
    ) -> Vec<ClaimOutput> {
        let Some(key) = self.keys.remove(&request) else {
            return Vec::new();
        };
        let Some(entry) = self.entries.get_mut(&key) else {
            return Vec::new();
        };
        let IssuedPhase::Held { words, requests } = &mut entry.phase else {
            return Vec::new();
        };
        let digest = words.digest;
        let words = words.clone();
        let waiting = std::mem::take(requests);
        let kept = output.clone().filter(|text| {
            let bytes = text.len() as u64;
            let room = settings.max_issued_bytes.0;
            bytes <= settings.max_answer.0 && self.answer_bytes + bytes <= room
        });
        self.answer_bytes += kept.as_ref().map_or(0, |text| text.len() as u64);
        entry.phase = IssuedPhase::Ended {
            words,
            verdict,
            output: kept,
        };
        self.ended.push_back((now + settings.issued_retain, key));
        let answer = output.map(|output| StoredAnswer { digest, output });
        let others = waiting.into_iter().filter(|other| *other != request);
        let told = others.map(|other| {
            self.keys.remove(&other);
            ended(other, verdict, answer.clone())
        });
        told.collect()
    }

    /// Lists the keys whose request ran, for those who ask after this process is gone.
    pub(crate) fn ran(&self) -> Vec<(ClaimKey, RanAnswer)> {
        let ran = self.entries.iter().filter_map(|(key, entry)| {
            let answer = RanAnswer::of(&entry.phase)?;
            Some((key.clone(), answer))
        });
        ran.collect()
    }

    /// Returns the answer under a key whose request ran.
    pub(crate) fn ran_under(&self, key: &ClaimKey) -> Option<RanAnswer> {
        RanAnswer::of(&self.entries.get(key)?.phase)
    }

    /// Returns the key that a request holds or waits for.
    pub(crate) fn key_of(&self, request: RequestId) -> Option<ClaimKey> {
        self.keys.get(&request).cloned()
    }

    /// Says whether a request waits for another one with its key.
    pub(crate) fn waits(&self, request: RequestId) -> bool {
        let key = self.keys.get(&request);
        let entry = key.and_then(|key| self.entries.get(key));
        entry.is_some_and(|entry| match &entry.phase {
            IssuedPhase::Held { requests, .. } => requests.first() != Some(&request),
            IssuedPhase::Unused { .. } | IssuedPhase::Ended { .. } => false,
        })
    }
}

fn second_of(now: MonoTime) -> u32 {
    u32::try_from(now.0 / 1_000_000).unwrap_or(u32::MAX)
}
