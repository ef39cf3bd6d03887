//! Detection of prompt parts that crash the servers that begin to answer them.
//!
//! A request that ends with its server before its first event is evidence against each prompt part
//! that it may share with other requests. The evidence is shared by all hosts, since the requests
//! with one part come to any host. It is withdrawn when a request with the part has begun to be
//! answered, or when the server turns out not to have crashed.

use std::time::Duration;

use hollywheel_types::{MonoTime, ServerId, SortedMap};

/// The number of crashes after which requests with a part are refused.
const CRASHES_TO_BLOCK: usize = 3;
/// Crashes closer together than this count as one: when several servers are lost at once, all parts in
/// use have evidence from each of them.
const CRASH_SPACING: Duration = Duration::from_millis(500);
/// The time after the last crash for which all requests with a part are refused. After it, one host
/// lets one request through.
const BLOCK_TIME: Duration = Duration::from_secs(60);
/// The time after which evidence is forgotten.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(600);
/// The time for which the last beginning of an answer is remembered; evidence reaches all hosts
/// within seconds.
const BEGUN_LIFETIME: Duration = Duration::from_secs(10);
/// The maximum number of pieces of evidence; the oldest are dropped beyond it.
const MAX_EVIDENCE: usize = 4096;

/// Identifies one start of a server.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServerStart {
    /// The server.
    pub server: ServerId,
    /// When the server started, in Unix milliseconds, if it is known.
    pub born: Option<u64>,
}

/// Describes evidence that a part crashed a server, or its withdrawal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashEvidence {
    /// The identifier of the prompt part.
    pub part: u64,
    /// The server that crashed.
    pub server: ServerStart,
    /// The time of the crash.
    pub at: MonoTime,
    /// Whether the evidence does not hold, which is final.
    pub withdrawn: bool,
}

/// Describes whether a request may be sent to servers, by the parts of its prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartVerdict {
    /// It may be sent.
    Sound,
    /// It is refused.
    Blocked {
        /// The time until a request with the part is let through.
        wait: Duration,
    },
    /// It may be sent by the host that has this duty, to see whether the part still crashes servers.
    Probe {
        /// The part that crashed servers.
        part: u64,
    },
}

#[derive(Clone, Debug)]
struct EvidenceState {
    at: MonoTime,
    withdrawn: bool,
    /// The number of the change that last modified this state.
    changed_at: u64,
}

/// Holds what this host knows about prompt parts that crash servers.
#[derive(Clone, Debug, Default)]
pub struct PartTable {
    evidence: SortedMap<(u64, ServerStart), EvidenceState>,
    /// The last time at which a request with a part began to be answered on this host.
    begun: SortedMap<u64, MonoTime>,
    /// The last time at which this host let a request with a blocked part through.
    probes: SortedMap<u64, MonoTime>,
    /// The number of the last change.
    change: u64,
}

impl PartTable {
    /// Creates a table without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a server ended under a request before its first event; returns the new evidence.
    pub fn note_crash(
        &mut self,
        now: MonoTime,
        server: &ServerStart,
        parts: impl IntoIterator<Item = u64>,
    ) -> Vec<CrashEvidence> {
        let evidence = parts.into_iter().map(|part| CrashEvidence {
            part,
            server: server.clone(),
            at: now,
            withdrawn: false,
        });
        evidence
            .filter(|evidence| self.merge(evidence).is_some())
            .collect()
    }

    /// Records that a request began to be answered; returns the evidence that is withdrawn.
    pub fn note_begun(
        &mut self,
        now: MonoTime,
        parts: impl IntoIterator<Item = u64>,
    ) -> Vec<CrashEvidence> {
        let mut withdrawn = Vec::new();
        for part in parts {
            self.begun.insert(part, now);
            withdrawn.extend(self.withdraw(|known, state| known.0 == part && state.at <= now));
        }
        withdrawn
    }

    /// Records that a server answered a request that was sent to it at a time; returns the evidence
    /// that is withdrawn, since the server had not crashed before.
    pub fn note_answer(&mut self, server: &ServerStart, sent_at: MonoTime) -> Vec<CrashEvidence> {
        self.withdraw(|known, state| known.1 == *server && state.at < sent_at)
    }

    /// Applies evidence from another host; returns what that host does not know, if this host has seen
    /// the part begin after the crash.
    pub fn apply(&mut self, evidence: &CrashEvidence) -> Option<CrashEvidence> {
        let withdrawn = CrashEvidence {
            withdrawn: true,
            ..evidence.clone()
        };
        let begun = self.begun.get(&evidence.part);
        if !evidence.withdrawn && begun.is_some_and(|begun| *begun >= evidence.at) {
            self.merge(&withdrawn)?;
            return Some(withdrawn);
        }
        self.merge(evidence);
        None
    }

    /// Adds evidence or withdraws it; `None` if that changes nothing.
    fn merge(&mut self, evidence: &CrashEvidence) -> Option<()> {
        let key = (evidence.part, evidence.server.clone());
        match self.evidence.get_mut(&key) {
            Some(state) if state.withdrawn || !evidence.withdrawn => return None,
            Some(state) => {
                self.change += 1;
                state.withdrawn = true;
                state.changed_at = self.change;
            }
            None => {
                self.change += 1;
                let state = EvidenceState {
                    at: evidence.at,
                    withdrawn: evidence.withdrawn,
                    changed_at: self.change,
                };
                self.evidence.insert(key, state);
            }
        }
        Some(())
    }

    fn withdraw(
        &mut self,
        applies: impl Fn(&(u64, ServerStart), &EvidenceState) -> bool,
    ) -> Vec<CrashEvidence> {
        let standing = self.evidence.iter();
        let standing = standing.filter(|(key, state)| !state.withdrawn && applies(key, state));
        let withdrawn: Vec<CrashEvidence> = standing
            .map(|((part, server), state)| CrashEvidence {
                part: *part,
                server: server.clone(),
                at: state.at,
                withdrawn: true,
            })
            .collect();
        for evidence in &withdrawn {
            self.merge(evidence);
        }
        withdrawn
    }

    /// Lists the servers that a part may have crashed, with the times.
    fn crashed_servers(&self, part: u64) -> impl Iterator<Item = (&ServerStart, MonoTime)> {
        let standing = self.evidence.iter().filter(|(_, state)| !state.withdrawn);
        let of_part = standing.filter(move |((known, _), _)| *known == part);
        of_part.map(|((_, server), state)| (server, state.at))
    }

    /// Returns the time of the last crash if there are enough of them to refuse requests with a part.
    fn last_of_many_crashes(&self, part: u64) -> Option<MonoTime> {
        let mut times: Vec<MonoTime> = self.crashed_servers(part).map(|(_, at)| at).collect();
        times.sort_unstable();
        let last = times.last().copied();
        times.dedup_by(|later, earlier| later.since(*earlier) < CRASH_SPACING);
        last.filter(|_| times.len() >= CRASHES_TO_BLOCK)
    }

    /// Returns whether another part than those of a request was present in each crash that counts against
    /// `part`. As long as two parts only came together, either may be the cause.
    fn has_other_cause(&self, part: u64, request_parts: &[u64]) -> bool {
        let mut others: Vec<u64> = self.evidence.keys().map(|(other, _)| *other).collect();
        others.dedup();
        others.retain(|other| !request_parts.contains(other));
        others.into_iter().any(|other| {
            let servers: Vec<&ServerStart> = self
                .crashed_servers(other)
                .map(|(server, _)| server)
                .collect();
            self.crashed_servers(part)
                .all(|(server, _)| servers.contains(&server))
        })
    }

    /// Returns whether a request with the given parts may be sent to servers.
    pub fn verdict(&self, now: MonoTime, parts: &[u64]) -> PartVerdict {
        let mut verdict = PartVerdict::Sound;
        for part in parts {
            let Some(last) = self.last_of_many_crashes(*part) else {
                continue;
            };
            if self.has_other_cause(*part, parts) {
                continue;
            }
            let probed = self.probes.get(part).copied().unwrap_or(last);
            let ends_at = last.max(probed) + BLOCK_TIME;
            if now < ends_at {
                let wait = ends_at.since(now);
                return PartVerdict::Blocked { wait };
            }
            verdict = PartVerdict::Probe { part: *part };
        }
        verdict
    }

    /// Records that a request with a blocked part is let through.
    pub fn note_probe(&mut self, now: MonoTime, part: u64) {
        self.probes.insert(part, now);
    }

    /// Lists the parts that count as the cause of crashes.
    pub fn crashing_parts(&self) -> Vec<u64> {
        let mut parts: Vec<u64> = self.evidence.keys().map(|(part, _)| *part).collect();
        parts.dedup();
        parts.retain(|part| self.last_of_many_crashes(*part).is_some());
        parts
    }

    /// Returns the number of the last change; every change increases it.
    pub const fn change(&self) -> u64 {
        self.change
    }

    /// Lists the evidence that has changed since a change number.
    pub fn changes_after(&self, change: u64) -> impl Iterator<Item = CrashEvidence> {
        let changed = self.evidence.iter();
        let changed = changed.filter(move |(_, state)| state.changed_at > change);
        changed.map(|((part, server), state)| CrashEvidence {
            part: *part,
            server: server.clone(),
            at: state.at,
            withdrawn: state.withdrawn,
        })
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: MonoTime) {
        self.begun
            .retain(|_, begun| now.since(*begun) < BEGUN_LIFETIME);
        let mut oldest = MonoTime::default();
        if self.evidence.len() > MAX_EVIDENCE {
            let mut times: Vec<MonoTime> = self.evidence.values().map(|state| state.at).collect();
            times.sort_unstable();
            oldest = times[times.len() - MAX_EVIDENCE];
        }
        let evidence = &mut self.evidence;
        evidence.retain(|_, state| now.since(state.at) < EVIDENCE_LIFETIME && state.at >= oldest);
        self.probes
            .retain(|_, probed| now.since(*probed) < EVIDENCE_LIFETIME);
    }
}
