//! Detection of requests that crash the servers that begin to run them.
//!
//! A request that ends with its server is evidence against all that it may have in common with later
//! requests: each prompt part that others may share, its pieces, and the request as a whole. The
//! evidence is shared by all hosts, since such requests come to any host. It is withdrawn when a
//! request with the same cause is answered completely, or when the server turns out not to have
//! crashed. An answer that has only begun proves nothing: its server may still crash.
//!
//! A crash ends all answers that its server is writing, most of which did not cause it. Evidence is
//! weak if the server had been writing on the cause for a while; it then counts only against a cause
//! that has not been answered completely for some time. Other evidence is also withdrawn when any
//! server has been writing on the cause for as long.

use std::time::Duration;

use hollywheel_types::{MonoTime, SortedMap};

use crate::crash_cause::{
    AnswerProof, CauseKind, CrashCause, CrashEvidence, CrashVerdict, ServerStart,
};

/// The number of crashes after which requests with a cause are refused.
const CRASHES_TO_BLOCK: usize = 3;
/// The number of crashes with that effect if all evidence of them is weak.
const WEAK_CRASHES_TO_BLOCK: usize = 5;
/// The time after the last crash for which all requests with a cause are refused. After it, one
/// host lets one request through.
const BLOCK_TIME: Duration = Duration::from_secs(60);
/// The time after which evidence is forgotten.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(600);
/// The time for which the last complete answer is remembered; evidence reaches all hosts within
/// seconds.
const ANSWERED_LIFETIME: Duration = Duration::from_secs(10);
/// The time of writing an answer after which a crash is more likely to have another cause.
pub const EARLY_CRASH_TIME: Duration = Duration::from_secs(1);
/// The time within which a crash that ended an answer is noticed, if the end of the connection was
/// also the proper end of that answer.
const END_LIFETIME: Duration = Duration::from_secs(2);
/// The maximum number of such answers that are remembered per server.
const MAX_ENDS: usize = 64;
/// The maximum number of pieces of evidence per kind of cause; the oldest are dropped beyond it.
const MAX_EVIDENCE: usize = 4096;

#[derive(Clone, Debug)]
struct EvidenceState {
    at: MonoTime,
    weak: bool,
    withdrawn: bool,
    /// The number of the change that last modified this state.
    changed_at: u64,
}

/// An answer that ended with its connection, which may have been a crash.
#[derive(Clone, Debug)]
struct AnswerEnd {
    at: MonoTime,
    causes: Vec<CrashCause>,
}

/// Holds what this host knows about causes of crashes.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    evidence: SortedMap<CrashCause, SortedMap<ServerStart, EvidenceState>>,
    /// The first crash of each server against which there is evidence.
    suspects: SortedMap<ServerStart, MonoTime>,
    /// The last time at which a request with a part was answered completely on this host.
    answered: SortedMap<CrashCause, MonoTime>,
    /// The last time at which a server had been writing on a part for [`EARLY_CRASH_TIME`], on this host.
    outlasted: SortedMap<CrashCause, MonoTime>,
    /// The answers of each server that ended with their connection, until it is known whether the server
    /// crashed.
    ends: SortedMap<ServerStart, Vec<AnswerEnd>>,
    /// The last time at which this host let a request with a blocked cause through.
    probes: SortedMap<CrashCause, MonoTime>,
    /// The number of the last change.
    change: u64,
}

impl CrashTable {
    /// Creates a table without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a server ended under a request on which it had been writing for a time; returns the
    /// new evidence.
    pub fn note_crash(
        &mut self,
        now: MonoTime,
        server: &ServerStart,
        written: Duration,
        causes: impl IntoIterator<Item = CrashCause>,
    ) -> Vec<CrashEvidence> {
        let weak = written > EARLY_CRASH_TIME;
        let mut news = self.note_gone(now, server);
        for cause in causes {
            let evidence = CrashEvidence {
                cause,
                server: server.clone(),
                at: now,
                weak,
                withdrawn: false,
            };
            news.extend(self.accuse(evidence));
        }
        news
    }

    /// Records that a server no longer exists. If answers ended with their connections shortly before,
    /// it crashed under them; returns the new evidence.
    pub fn note_gone(&mut self, now: MonoTime, server: &ServerStart) -> Vec<CrashEvidence> {
        let ends = self.ends.remove(server).unwrap_or_default();
        let recent = ends
            .into_iter()
            .filter(|end| now.since(end.at) < END_LIFETIME);
        let mut news = Vec::new();
        for end in recent {
            for cause in end.causes {
                let evidence = CrashEvidence {
                    cause,
                    server: server.clone(),
                    at: end.at,
                    weak: false,
                    withdrawn: false,
                };
                news.extend(self.accuse(evidence));
            }
        }
        news
    }

    /// Adds evidence, as withdrawn if this host knows that it does not hold; returns what has changed.
    fn accuse(&mut self, evidence: CrashEvidence) -> Option<CrashEvidence> {
        let withdrawn = evidence.withdrawn || self.is_refuted(&evidence);
        let evidence = CrashEvidence {
            withdrawn,
            ..evidence
        };
        self.merge(&evidence).map(|()| evidence)
    }

    /// Returns whether complete answers on this host show that evidence does not hold.
    fn is_refuted(&self, evidence: &CrashEvidence) -> bool {
        let is_answered = self.answered.get(&evidence.cause).is_some_and(|answered| {
            let age = evidence.at.since(*answered);
            age.is_zero() || evidence.weak && age < ANSWERED_LIFETIME
        });
        let outlasted = self.outlasted.get(&evidence.cause);
        is_answered || !evidence.weak && outlasted.is_some_and(|at| *at >= evidence.at)
    }

    /// Records what an answer shows about the causes of its request; returns the evidence that is
    /// withdrawn. Weak evidence is withdrawn only by a complete answer.
    pub fn note_proof(
        &mut self,
        now: MonoTime,
        proof: AnswerProof,
        causes: impl IntoIterator<Item = CrashCause>,
    ) -> Vec<CrashEvidence> {
        let mut withdrawn = Vec::new();
        for cause in causes {
            let proofs = match proof {
                AnswerProof::Complete => &mut self.answered,
                AnswerProof::Outlasted => &mut self.outlasted,
            };
            if cause.kind() == CauseKind::Part {
                proofs.insert(cause, now);
            }
            withdrawn.extend(self.withdraw(cause, |_, state| {
                state.at <= now && (proof == AnswerProof::Complete || !state.weak)
            }));
        }
        withdrawn
    }

    /// Records that the answer to a request ended with its connection. Whether the server crashed is
    /// known once it answers another request or is found to be gone.
    pub fn note_end(
        &mut self,
        now: MonoTime,
        server: &ServerStart,
        causes: impl IntoIterator<Item = CrashCause>,
    ) {
        let ends = self.ends.get_or_insert_with(server.clone(), Vec::new);
        ends.retain(|end| now.since(end.at) < END_LIFETIME);
        if ends.len() < MAX_ENDS {
            let causes = causes.into_iter().collect();
            ends.push(AnswerEnd { at: now, causes });
        }
    }

    /// Records that a server answered a request that was sent to it at a time; returns the evidence
    /// that is withdrawn, since the server had not crashed before.
    pub fn note_server_alive(
        &mut self,
        now: MonoTime,
        server: &ServerStart,
        sent_at: MonoTime,
    ) -> Vec<CrashEvidence> {
        let mut withdrawn = Vec::new();
        if let Some(ends) = self.ends.get_mut(server) {
            let survived = ends.extract_if(.., |end| end.at < sent_at);
            let causes: Vec<CrashCause> = survived.flat_map(|end| end.causes).collect();
            withdrawn = self.note_proof(now, AnswerProof::Complete, causes);
        }
        if self.suspects.get(server).is_none_or(|at| *at >= sent_at) {
            return withdrawn;
        }
        self.suspects.remove(server);
        let later = self
            .evidence
            .values()
            .filter_map(|servers| servers.get(server));
        let later = later.filter(|state| !state.withdrawn && state.at >= sent_at);
        if let Some(first) = later.map(|state| state.at).min() {
            self.suspects.insert(server.clone(), first);
        }
        let causes: Vec<CrashCause> = self.evidence.keys().copied().collect();
        for cause in causes {
            let applies = |known: &ServerStart, state: &EvidenceState| {
                *known == *server && state.at < sent_at
            };
            withdrawn.extend(self.withdraw(cause, applies));
        }
        withdrawn
    }

    /// Applies evidence from another host; returns what that host does not know, if complete answers on
    /// this host show that the evidence does not hold.
    pub fn apply(&mut self, evidence: &CrashEvidence) -> Option<CrashEvidence> {
        let known = self.accuse(evidence.clone())?;
        (known.withdrawn && !evidence.withdrawn).then_some(known)
    }

    /// Adds evidence, weakens or withdraws it; `None` if that changes nothing.
    fn merge(&mut self, evidence: &CrashEvidence) -> Option<()> {
        let servers = self
            .evidence
            .get_or_insert_with(evidence.cause, SortedMap::new);
        let weak = evidence.weak && !evidence.withdrawn;
        match servers.get_mut(&evidence.server) {
            Some(state) if state.withdrawn => return None,
            Some(state) if evidence.withdrawn || weak && !state.weak => {
                self.change += 1;
                state.weak = weak;
                state.withdrawn = evidence.withdrawn;
                state.changed_at = self.change;
            }
            Some(_) => return None,
            None => {
                self.change += 1;
                let state = EvidenceState {
                    at: evidence.at,
                    weak,
                    withdrawn: evidence.withdrawn,
                    changed_at: self.change,
                };
                servers.insert(evidence.server.clone(), state);
            }
        }
        if !evidence.withdrawn {
            let server = evidence.server.clone();
            let first = self.suspects.get_or_insert_with(server, || evidence.at);
            *first = evidence.at.min(*first);
        }
        Some(())
    }

    fn withdraw(
        &mut self,
        cause: CrashCause,
        applies: impl Fn(&ServerStart, &EvidenceState) -> bool,
    ) -> Vec<CrashEvidence> {
        let Some(servers) = self.evidence.get(&cause) else {
            return Vec::new();
        };
        let standing = servers.iter();
        let standing =
            standing.filter(|(server, state)| !state.withdrawn && applies(server, state));
        let withdrawn: Vec<CrashEvidence> = standing
            .map(|(server, state)| CrashEvidence {
                cause,
                server: server.clone(),
                at: state.at,
                weak: false,
                withdrawn: true,
            })
            .collect();
        for evidence in &withdrawn {
            self.merge(evidence);
        }
        withdrawn
    }

    /// Lists the servers that a cause may have crashed.
    fn crashed_servers(
        &self,
        cause: CrashCause,
    ) -> impl Iterator<Item = (&ServerStart, &EvidenceState)> {
        let servers = self.evidence.get(&cause).into_iter();
        let standing = servers.flat_map(SortedMap::iter);
        standing.filter(|(_, state)| !state.withdrawn)
    }

    /// Returns the time of the last crash if there are enough of them to refuse requests with a cause.
    fn last_of_many_crashes(&self, cause: CrashCause) -> Option<MonoTime> {
        if self.crashed_servers(cause).count() < CRASHES_TO_BLOCK {
            return None;
        }
        let spacing = cause.spacing();
        let crashes = self.crashed_servers(cause);
        let times: Vec<MonoTime> = crashes.map(|(_, state)| state.at).collect();
        let strong = self.crashed_servers(cause).filter(|(_, state)| !state.weak);
        let strong = spaced(strong.map(|(_, state)| state.at).collect(), spacing).len();
        let last = times.iter().copied().max()?;
        let times = spaced(times, spacing);
        let first = *times.first()?;
        let weak = times.len().saturating_sub(strong);
        let is_frequent = strong * WEAK_CRASHES_TO_BLOCK + weak * CRASHES_TO_BLOCK
            >= CRASHES_TO_BLOCK * WEAK_CRASHES_TO_BLOCK;
        // Prompt parts come to all servers, so they are present in some crashes that they did not cause.
        let is_likely = cause.kind() != CauseKind::Part
            || 2 * times.len() >= self.part_crashes(first, last, spacing);
        (is_frequent && is_likely).then_some(last)
    }

    /// Returns the number of crashes in a span of time that ended requests with any part.
    fn part_crashes(&self, first: MonoTime, last: MonoTime, spacing: Duration) -> usize {
        let parts = self.evidence.iter();
        let parts = parts.filter(|(cause, _)| cause.kind() == CauseKind::Part);
        let crashes = parts.flat_map(|(_, servers)| servers.iter());
        // A server that is no suspect has not crashed; evidence may be withdrawn for other reasons.
        let times = crashes
            .filter(|(server, _)| self.suspects.contains_key(*server))
            .map(|(_, state)| state.at)
            .filter(|at| (first..=last).contains(at));
        spaced(times.collect(), spacing).len()
    }

    /// Returns whether another cause than those of a request explains each crash that counts against
    /// `cause` as well. As long as two causes only came together, either may be the right one.
    fn has_other_cause(&self, cause: CrashCause, request_causes: &[CrashCause]) -> bool {
        let crashes: Vec<(&ServerStart, &EvidenceState)> = self.crashed_servers(cause).collect();
        let others = self.evidence.iter();
        let mut others = others.filter(|(other, _)| !request_causes.contains(other));
        others.any(|(_, servers)| {
            crashes.iter().all(|(server, state)| {
                let other = servers.get(server).filter(|other| !other.withdrawn);
                other.is_some_and(|other| state.weak || !other.weak)
            })
        })
    }

    /// Returns whether there is evidence against causes of a kind.
    pub fn has_evidence(&self, kind: CauseKind) -> bool {
        self.evidence.keys().any(|cause| cause.kind() == kind)
    }

    /// Returns whether a request with the given causes may be sent to servers.
    pub fn verdict(&self, now: MonoTime, causes: &[CrashCause]) -> CrashVerdict {
        let mut verdict = CrashVerdict::Sound;
        for cause in causes {
            let Some(last) = self.last_of_many_crashes(*cause) else {
                continue;
            };
            if self.has_other_cause(*cause, causes) {
                continue;
            }
            let probed = self.probes.get(cause).copied().unwrap_or(last);
            let ends_at = last.max(probed) + BLOCK_TIME;
            if now < ends_at {
                let wait = ends_at.since(now);
                return CrashVerdict::Blocked { wait };
            }
            verdict = CrashVerdict::Probe { cause: *cause };
        }
        verdict
    }

    /// Records that a request with a blocked cause is let through.
    pub fn note_probe(&mut self, now: MonoTime, cause: CrashCause) {
        self.probes.insert(cause, now);
    }

    /// Lists the causes with enough crashes to refuse requests.
    pub fn crashing_causes(&self) -> Vec<CrashCause> {
        let causes = self.evidence.keys().copied();
        causes
            .filter(|cause| self.last_of_many_crashes(*cause).is_some())
            .collect()
    }

    /// Returns the number of the last change; every change increases it.
    pub const fn change(&self) -> u64 {
        self.change
    }

    /// Lists the evidence that has changed since a change number.
    pub fn changes_after(&self, change: u64) -> impl Iterator<Item = CrashEvidence> {
        self.evidence.iter().flat_map(move |(cause, servers)| {
            let changed = servers.iter();
            let changed = changed.filter(move |(_, state)| state.changed_at > change);
            changed.map(|(server, state)| CrashEvidence {
                cause: *cause,
                server: server.clone(),
                at: state.at,
                weak: state.weak,
                withdrawn: state.withdrawn,
            })
        })
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: MonoTime) {
        for proofs in [&mut self.answered, &mut self.outlasted] {
            proofs.retain(|_, at| now.since(*at) < ANSWERED_LIFETIME);
        }
        self.ends.retain(|_, ends| {
            ends.retain(|end| now.since(end.at) < END_LIFETIME);
            !ends.is_empty()
        });
        for kind in [CauseKind::Part, CauseKind::Pieces, CauseKind::Request] {
            self.expire_kind(now, kind);
        }
        self.suspects
            .retain(|_, at| now.since(*at) < EVIDENCE_LIFETIME);
        self.probes
            .retain(|_, probed| now.since(*probed) < EVIDENCE_LIFETIME);
    }

    fn expire_kind(&mut self, now: MonoTime, kind: CauseKind) {
        let of_kind = self
            .evidence
            .iter()
            .filter(|(cause, _)| cause.kind() == kind);
        let states = of_kind.flat_map(|(_, servers)| servers.values());
        let mut times: Vec<MonoTime> = states.map(|state| state.at).collect();
        let mut oldest = MonoTime::default();
        if times.len() > MAX_EVIDENCE {
            times.sort_unstable();
            oldest = times[times.len() - MAX_EVIDENCE];
        }
        self.evidence.retain(|cause, servers| {
            if cause.kind() == kind {
                servers.retain(|_, state| {
                    now.since(state.at) < EVIDENCE_LIFETIME && state.at >= oldest
                });
            }
            !servers.is_empty()
        });
    }
}

/// Sorts times, and drops those that follow another one by less than a spacing.
fn spaced(mut times: Vec<MonoTime>, spacing: Duration) -> Vec<MonoTime> {
    times.sort_unstable();
    times.dedup_by(|later, earlier| later.since(*earlier) < spacing);
    times
}
