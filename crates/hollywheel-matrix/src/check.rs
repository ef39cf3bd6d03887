//! Checks of a cell, based only on observations from outside the state machines.

use std::fmt;
use std::time::Duration;

use hollywheel_claims::{ClaimRow, ClaimState};
use hollywheel_node::{RefusalReason, ReplyPart};
use hollywheel_types::{ExecutionVerdict, IdempotencyKey, MonoTime, RequestId};

use crate::answer::answer_fault;
use crate::cell::{CellFault, MatrixCell};
use crate::fixture;
use crate::scene::{LedgerEvent, SceneLog, SeenPart, SentRequest};

/// Tolerance of reply times for the granularity of a run.
const SLACK: Duration = Duration::from_millis(10);

/// Maximum time from receipt to the refusal of a request whose claim cannot be written.
const STORE_REFUSAL: Duration = Duration::from_millis(1300);

/// Maximum time from the last input about an attempt to the refusal that it causes.
const BACKEND_REFUSAL: Duration = Duration::from_millis(100);

/// Time after which a leaving server must not get new work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Time limit of a shutdown, with the time for the last writes.
const DRAIN_TIME: Duration = Duration::from_millis(2600);

/// A check of the outcomes of a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CheckName {
    /// A non-idempotent stage is started at most once per key.
    AtMostOnce,
    /// No stage of a request that was refused as not run was started.
    NotRunTrue,
    /// A complete answer is the expected answer to its request, token by token.
    OwnAnswer,
    /// A connected caller gets one final part and nothing after it.
    FinalOnce,
    /// The final part is sent by the deadline, and a refusal as soon as it is decided.
    Prompt,
    /// No claim of a running process remains open.
    ClaimsSettle,
    /// No request remains in progress.
    Quiesce,
    /// A leaving server gets no new work after a few seconds.
    LeavingServer,
    /// A shutdown completes exactly once and in time.
    DrainCompletes,
    /// The newest published version is in force in every process.
    ConfigInForce,
    /// A request without a fault completes.
    Completes,
}

impl CheckName {
    /// All checks.
    pub const ALL: [Self; 11] = [
        Self::AtMostOnce,
        Self::NotRunTrue,
        Self::OwnAnswer,
        Self::FinalOnce,
        Self::Prompt,
        Self::ClaimsSettle,
        Self::Quiesce,
        Self::LeavingServer,
        Self::DrainCompletes,
        Self::ConfigInForce,
        Self::Completes,
    ];

    /// Returns the name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::AtMostOnce => "at-most-once",
            Self::NotRunTrue => "not-run-true",
            Self::OwnAnswer => "own-answer",
            Self::FinalOnce => "final-once",
            Self::Prompt => "prompt",
            Self::ClaimsSettle => "claims-settle",
            Self::Quiesce => "quiesce",
            Self::LeavingServer => "leaving-server",
            Self::DrainCompletes => "drain-completes",
            Self::ConfigInForce => "config-in-force",
            Self::Completes => "completes",
        }
    }
}

impl fmt::Display for CheckName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A failure of a check.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckFinding {
    /// The check.
    pub check: CheckName,
    /// The description of the failure.
    pub detail: String,
}

impl fmt::Display for CheckFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.check, self.detail)
    }
}

/// Runs all checks on the observations of a run.
pub fn check_cell(cell: &MatrixCell, log: &SceneLog) -> Vec<CheckFinding> {
    let mut checker = LogChecker {
        log,
        findings: Vec::new(),
    };
    checker.at_most_once();
    checker.not_run_true();
    checker.own_answers();
    checker.finals();
    checker.prompt();
    checker.claims_settle();
    checker.quiesce();
    checker.leaving_servers();
    checker.drains();
    checker.config();
    if cell
        .points
        .iter()
        .all(|point| point.fault == CellFault::Nothing)
    {
        checker.completes();
    }
    checker.findings
}

struct LogChecker<'a> {
    log: &'a SceneLog,
    findings: Vec<CheckFinding>,
}

impl LogChecker<'_> {
    fn find(&mut self, check: CheckName, detail: String) {
        self.findings.push(CheckFinding { check, detail });
    }

    fn at_most_once(&mut self) {
        let mut keys: Vec<&IdempotencyKey> = self
            .log
            .ledger
            .iter()
            .filter(|entry| entry.event == LedgerEvent::Started)
            .filter_map(|entry| entry.key.as_ref())
            .collect();
        keys.sort();
        let doubled = keys.windows(2).find(|pair| pair[0] == pair[1]);
        if let Some(pair) = doubled {
            let detail = format!("key {} began more than once", pair[0]);
            self.find(CheckName::AtMostOnce, detail);
        }
    }

    fn began(&self, request: RequestId) -> bool {
        let mut ledger = self.log.ledger.iter();
        ledger.any(|entry| entry.request == request && entry.event == LedgerEvent::Started)
    }

    fn not_run_true(&mut self) {
        let told: Vec<RequestId> = self
            .log
            .parts
            .iter()
            .filter(|part| match &part.part {
                ReplyPart::Refused(refusal) => refusal.verdict == ExecutionVerdict::NotRun,
                _ => false,
            })
            .map(|part| part.request)
            .collect();
        for request in told {
            if self.began(request) {
                let detail = format!("request {request} was told not-run but began");
                self.find(CheckName::NotRunTrue, detail);
            }
        }
    }

    fn own_answers(&mut self) {
        for sent in &self.log.sent {
            let parts = self.parts_of(sent.request);
            if let Some(detail) = answer_fault(sent, &parts) {
                self.find(CheckName::OwnAnswer, detail);
            }
            let completed = parts
                .iter()
                .any(|part| matches!(part.part, ReplyPart::Complete { .. }));
            if completed && !self.was_run(sent) {
                let detail = format!("request {} was answered but never ran", sent.request);
                self.find(CheckName::OwnAnswer, detail);
            }
        }
    }

    fn was_run(&self, sent: &SentRequest) -> bool {
        let key = sent.key.as_ref();
        let mut ledger = self.log.ledger.iter();
        ledger.any(|entry| {
            let by_key = key.is_some() && entry.key.as_ref() == key;
            entry.event == LedgerEvent::Started && (entry.request == sent.request || by_key)
        })
    }

    fn parts_of(&self, request: RequestId) -> Vec<SeenPart> {
        let parts = self.log.parts.iter();
        parts
            .filter(|part| part.request == request)
            .cloned()
            .collect()
    }

    fn finals(&mut self) {
        for sent in &self.log.sent {
            let parts = self.parts_of(sent.request);
            let finals = parts.iter().filter(|part| part.is_final()).count();
            let lost = self.log.lost.contains(&sent.request);
            let request = sent.request;
            if finals > 1 {
                let detail = format!("request {request} got {finals} final parts");
                self.find(CheckName::FinalOnce, detail);
            }
            if finals == 0 && !lost {
                let detail = format!("request {request} got no final part");
                self.find(CheckName::FinalOnce, detail);
            }
            if finals == 1 && !parts.last().is_some_and(SeenPart::is_final) {
                let detail = format!("request {request} got a part after the final one");
                self.find(CheckName::FinalOnce, detail);
            }
        }
    }

    fn was_paused(&self, host: usize, from: MonoTime, to: MonoTime) -> bool {
        let mut pauses = self.log.pauses.iter();
        pauses.any(|(paused, begin, end)| *paused == host && *begin <= to && from <= *end)
    }

    fn prompt(&mut self) {
        for sent in &self.log.sent {
            let parts = self.log.parts.iter();
            let mut finals = parts.filter(|part| part.request == sent.request && part.is_final());
            let Some(last) = finals.next() else {
                continue;
            };
            if self.was_paused(sent.host, sent.at, last.at) {
                continue;
            }
            if let Some(detail) = self.delay_fault(sent, last) {
                self.find(CheckName::Prompt, detail);
            }
        }
    }

    fn delay_fault(&self, sent: &SentRequest, last: &SeenPart) -> Option<String> {
        let request = sent.request;
        let took = last.at.since(sent.at);
        if took > fixture::DEADLINE + SLACK {
            return Some(format!("request {request} was answered after {took:?}"));
        }
        let heard = self.log.heard.iter().rev();
        let heard = heard
            .filter(|(heard, at)| *heard == request && *at <= last.at)
            .map(|(_, at)| *at)
            .next();
        let (since, limit) = match last.reason()? {
            RefusalReason::StoreUnavailable => (sent.at, STORE_REFUSAL),
            RefusalReason::BackendFailed => (heard?, BACKEND_REFUSAL),
            _ => return None,
        };
        let held = last.at.since(since);
        (held > limit).then(|| format!("request {request} was refused {held:?} too late"))
    }

    fn claims_settle(&mut self) {
        for row in &self.log.rows {
            let Some(claim) = ClaimRow::read(row) else {
                self.find(
                    CheckName::ClaimsSettle,
                    format!("row {} is no claim", row.key),
                );
                continue;
            };
            let lives = self
                .log
                .ends
                .iter()
                .any(|end| end.host == claim.host && end.incarnation == claim.incarnation);
            if claim.state == ClaimState::Open && lives {
                let detail = format!("claim {} of {} is open", row.key, claim.host);
                self.find(CheckName::ClaimsSettle, detail);
            }
        }
        for end in &self.log.ends {
            if !end.settled {
                let detail = format!("{} has claims to settle", end.host);
                self.find(CheckName::ClaimsSettle, detail);
            }
        }
    }

    fn quiesce(&mut self) {
        if self.log.endless {
            self.find(CheckName::Quiesce, "the events do not end".to_owned());
        }
        for end in &self.log.ends {
            if end.requests > 0 {
                let detail = format!("{} keeps {} requests", end.host, end.requests);
                self.find(CheckName::Quiesce, detail);
            }
        }
    }

    fn leaving_servers(&mut self) {
        for (server, known) in &self.log.leaving {
            let limit = *known + LEAVING_GRACE;
            let mut ledger = self.log.ledger.iter();
            if ledger.any(|entry| entry.server == *server && entry.at > limit) {
                let detail = format!("{server} got work after it was known to be leaving");
                self.find(CheckName::LeavingServer, detail);
            }
        }
    }

    fn drains(&mut self) {
        for (host, ordered) in &self.log.drain_ordered {
            let done: Vec<MonoTime> = self
                .log
                .drained
                .iter()
                .filter(|(drained, _)| drained == host)
                .map(|(_, at)| *at)
                .collect();
            let killed = self.log.killed.iter().any(|(killed, _)| killed == host);
            let last = *ordered + DRAIN_TIME;
            let paused = self.was_paused(*host, *ordered, last);
            let in_time = paused || done.iter().all(|at| *at <= last);
            if (done.len() != 1 && !killed) || !in_time {
                let detail = format!("the shutdown of host {host} ended {} times", done.len());
                self.find(CheckName::DrainCompletes, detail);
            }
        }
    }

    fn config(&mut self) {
        for end in &self.log.ends {
            let given = match end.host == fixture::host_name(0) {
                true => self.log.versions[0],
                false => self.log.versions[1],
            };
            let newest = self.log.versions.iter().max().copied().unwrap_or_default();
            if end.version != given || end.version > newest {
                let detail = format!("{} has version {}, not {given}", end.host, end.version);
                self.find(CheckName::ConfigInForce, detail);
            }
        }
    }

    fn completes(&mut self) {
        for sent in &self.log.sent {
            let mut parts = self.log.parts.iter();
            let complete = parts.any(|part| {
                part.request == sent.request && matches!(part.part, ReplyPart::Complete { .. })
            });
            if !complete {
                let detail = format!("request {} met no fault but failed", sent.request);
                self.find(CheckName::Completes, detail);
            }
        }
    }
}
