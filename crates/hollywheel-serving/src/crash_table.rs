//! Detection of requests that crash the servers that begin to run them.
//!
//! A request that ends with its server is evidence against all that it may have in common with later
//! requests: each prompt part that others may share, its pieces, and the request as a whole. The
//! evidence is shared by all hosts, since such requests come to any host. It is withdrawn when a
//! request with the same cause has begun to be answered, or when the server turns out not to have
//! crashed.

use std::fmt;
use std::time::Duration;

use hollywheel_types::{MonoTime, ServerId, SortedMap};

use crate::request_identity::digest_fields;

/// The number of crashes after which requests with a cause are refused.
const CRASHES_TO_BLOCK: usize = 3;
/// Crashes closer together than this count as one against a prompt part: when several servers are
/// lost at once, all parts in use have evidence from each of them.
const CRASH_SPACING: Duration = Duration::from_millis(500);
/// The time after the last crash for which all requests with a cause are refused. After it, one
/// host lets one request through.
const BLOCK_TIME: Duration = Duration::from_secs(60);
/// The time after which evidence is forgotten.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(600);
/// The time for which the last beginning of an answer is remembered; evidence reaches all hosts
/// within seconds.
const BEGUN_LIFETIME: Duration = Duration::from_secs(10);
/// The maximum number of pieces of evidence per kind of cause; the oldest are dropped beyond it.
const MAX_EVIDENCE: usize = 4096;

/// Names something that a request may crash servers with.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CrashCause {
    /// A part of a prompt, which different requests may share.
    Part(u64),
    /// The pieces of one stage that were made from the same key.
    Pieces(u64),
    /// A request as a whole, by the digest of its identity.
    Request(u64),
}

impl CrashCause {
    /// Returns the cause that stands for the pieces of a stage that are made from a key.
    pub fn of_pieces(stage: &str, key: &str) -> Self {
        Self::Pieces(digest_fields(&[stage.as_bytes(), key.as_bytes()]))
    }

    const fn kind(self) -> CauseKind {
        match self {
            Self::Part(_) => CauseKind::Part,
            Self::Pieces(_) => CauseKind::Pieces,
            Self::Request(_) => CauseKind::Request,
        }
    }

    /// Returns the time within which several crashes count as one. A request and its pieces are at one
    /// server at a time, so servers that are lost at once do not have them in common.
    const fn spacing(self) -> Duration {
        match self {
            Self::Part(_) => CRASH_SPACING,
            Self::Pieces(_) | Self::Request(_) => Duration::ZERO,
        }
    }
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) => write!(f, "part {id:x}"),
            Self::Pieces(id) => write!(f, "pieces {id:016x}"),
            Self::Request(id) => write!(f, "request {id:016x}"),
        }
    }
}

/// Names the kinds of causes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CauseKind {
    /// Prompt parts.
    Part,
    /// Pieces of a stage.
    Pieces,
    /// Whole requests.
    Request,
}

/// Identifies one start of a server.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServerStart {
    /// The server.
    pub server: ServerId,
    /// When the server started, in Unix milliseconds, if it is known.
    pub born: Option<u64>,
}

/// Describes evidence that a cause crashed a server, or its withdrawal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashEvidence {
    /// The cause.
    pub cause: CrashCause,
    /// The server that crashed.
    pub server: ServerStart,
    /// The time of the crash.
    pub at: MonoTime,
    /// Whether the evidence does not hold, which is final.
    pub withdrawn: bool,
}

/// Describes whether a request may be sent to servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// It may be sent.
    Sound,
    /// It is refused.
    Blocked {
        /// The time until a request with the cause is let through.
        wait: Duration,
    },
    /// It may be sent by the host that has this duty, to see whether the cause still crashes servers.
    Probe {
        /// The cause that crashed servers.
        cause: CrashCause,
    },
}

#[derive(Clone, Debug)]
struct EvidenceState {
    at: MonoTime,
    withdrawn: bool,
    /// The number of the change that last modified this state.
    changed_at: u64,
}

/// Holds what this host knows about causes of crashes.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    evidence: SortedMap<CrashCause, SortedMap<ServerStart, EvidenceState>>,
    /// The first crash of each server against which there is evidence.
    suspects: SortedMap<ServerStart, MonoTime>,
    /// The last time at which a request with a part began to be answered on this host.
    begun: SortedMap<CrashCause, MonoTime>,
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

    /// Records that a server ended under a request; returns the new evidence.
    pub fn note_crash(
        &mut self,
        now: MonoTime,
        server: &ServerStart,
        causes: impl IntoIterator<Item = CrashCause>,
    ) -> Vec<CrashEvidence> {
        let evidence = causes.into_iter().map(|cause| CrashEvidence {
            cause,
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
        causes: impl IntoIterator<Item = CrashCause>,
    ) -> Vec<CrashEvidence> {
        let mut withdrawn = Vec::new();
        for cause in causes {
            if cause.kind() == CauseKind::Part {
                self.begun.insert(cause, now);
            }
            withdrawn.extend(self.withdraw(cause, |_, state| state.at <= now));
        }
        withdrawn
    }

    /// Records that a server answered a request that was sent to it at a time; returns the evidence
    /// that is withdrawn, since the server had not crashed before.
    pub fn note_answer(&mut self, server: &ServerStart, sent_at: MonoTime) -> Vec<CrashEvidence> {
        if self.suspects.get(server).is_none_or(|at| *at >= sent_at) {
            return Vec::new();
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
        let mut withdrawn = Vec::new();
        for cause in causes {
            let applies = |known: &ServerStart, state: &EvidenceState| {
                *known == *server && state.at < sent_at
            };
            withdrawn.extend(self.withdraw(cause, applies));
        }
        withdrawn
    }

    /// Applies evidence from another host; returns what that host does not know, if this host has seen
    /// the cause begin after the crash.
    pub fn apply(&mut self, evidence: &CrashEvidence) -> Option<CrashEvidence> {
        let withdrawn = CrashEvidence {
            withdrawn: true,
            ..evidence.clone()
        };
        let begun = self.begun.get(&evidence.cause);
        if !evidence.withdrawn && begun.is_some_and(|begun| *begun >= evidence.at) {
            self.merge(&withdrawn)?;
            return Some(withdrawn);
        }
        self.merge(evidence);
        None
    }

    /// Adds evidence or withdraws it; `None` if that changes nothing.
    fn merge(&mut self, evidence: &CrashEvidence) -> Option<()> {
        let servers = self
            .evidence
            .get_or_insert_with(evidence.cause, SortedMap::new);
        match servers.get_mut(&evidence.server) {
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
                withdrawn: true,
            })
            .collect();
        for evidence in &withdrawn {
            self.merge(evidence);
        }
        withdrawn
    }

    /// Lists the servers that a cause may have crashed, with the times.
    fn crashed_servers(&self, cause: CrashCause) -> impl Iterator<Item = (&ServerStart, MonoTime)> {
        let servers = self.evidence.get(&cause).into_iter();
        let standing = servers.flat_map(SortedMap::iter);
        let standing = standing.filter(|(_, state)| !state.withdrawn);
        standing.map(|(server, state)| (server, state.at))
    }

    /// Returns the time of the last crash if there are enough of them to refuse requests with a cause.
    fn last_of_many_crashes(&self, cause: CrashCause) -> Option<MonoTime> {
        let mut times: Vec<MonoTime> = self.crashed_servers(cause).map(|(_, at)| at).collect();
        times.sort_unstable();
        let last = times.last().copied();
        times.dedup_by(|later, earlier| later.since(*earlier) < cause.spacing());
        last.filter(|_| times.len() >= CRASHES_TO_BLOCK)
    }

    /// Returns whether another cause than those of a request was present in each crash that counts
    /// against `cause`. As long as two causes only came together, either may be the right one.
    fn has_other_cause(&self, cause: CrashCause, request_causes: &[CrashCause]) -> bool {
        let others = self.evidence.keys().copied();
        let mut others = others.filter(|other| !request_causes.contains(other));
        others.any(|other| {
            let servers: Vec<&ServerStart> = self
                .crashed_servers(other)
                .map(|(server, _)| server)
                .collect();
            self.crashed_servers(cause)
                .all(|(server, _)| servers.contains(&server))
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
                withdrawn: state.withdrawn,
            })
        })
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: MonoTime) {
        self.begun
            .retain(|_, begun| now.since(*begun) < BEGUN_LIFETIME);
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
