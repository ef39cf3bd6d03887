//! Outcome checker.

use std::fmt;

use hollywheel_types::SortedMap;
use serde::{Deserialize, Serialize};

use crate::expect::expected_answer;
use crate::ledger::LedgerBook;
use crate::objects::ObjectView;
use crate::record::RequestRecord;

/// Maximum number of violations listed in a report; all are counted.
const LISTED_DIFFERENCES: usize = 20;

/// Rule that the outcomes must satisfy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CheckRule {
    /// A complete answer is the expected answer to its request.
    OwnAnswer,
    /// Streamed tokens are complete, in order and equal to the answer.
    TokenOrder,
    /// A non-idempotent stage starts at most once for a workspace and key.
    AtMostOnce,
    /// A non-idempotent stage never starts without a key.
    KeyGiven,
    /// A request with the verdict `not-run` has not started at any server.
    NotRun,
    /// A request with the verdict `ran` has started at every stage.
    Ran,
    /// No two requests share an answer.
    OneRequest,
    /// All ledgers are complete.
    LedgerWhole,
    /// Every pipeline is defined.
    PipelineKnown,
}

impl CheckRule {
    /// Returns the name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::OwnAnswer => "own-answer",
            Self::TokenOrder => "token-order",
            Self::AtMostOnce => "at-most-once",
            Self::KeyGiven => "key-given",
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::OneRequest => "one-request",
            Self::LedgerWhole => "ledger-whole",
            Self::PipelineKnown => "pipeline-known",
        }
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// The rule.
    pub rule: CheckRule,
    /// The finding and the expectation.
    pub detail: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule.name(), self.detail)
    }
}

/// Report of a check.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CheckReport {
    /// The number of records.
    pub records: u64,
    /// The number of compared complete answers.
    pub answers: u64,
    /// The number of compared streams.
    pub streams: u64,
    /// The number of records with the verdict `not-run`.
    pub not_run: u64,
    /// The number of records with the verdict `may-have-run`.
    pub may_have_run: u64,
    /// The number of records without a verdict.
    pub unanswered: u64,
    /// The number of ledger lines.
    pub ledger_lines: u64,
    /// The number of starts of non-idempotent stages.
    pub keyed_starts: u64,
    /// The number of violations.
    pub violations: u64,
    /// The first violations.
    pub differences: Vec<Difference>,
}

impl CheckReport {
    fn add_violation(&mut self, rule: CheckRule, detail: String) {
        self.violations += 1;
        if self.differences.len() < LISTED_DIFFERENCES {
            self.differences.push(Difference { rule, detail });
        }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "records {}, answers compared {}, streams compared {}, not-run {}, may-have-run {}, unanswered {}",
            self.records,
            self.answers,
            self.streams,
            self.not_run,
            self.may_have_run,
            self.unanswered
        )?;
        writeln!(
            f,
            "ledger lines {}, non-idempotent starts {}",
            self.ledger_lines, self.keyed_starts
        )?;
        for difference in &self.differences {
            writeln!(f, "{difference}")?;
        }
        write!(f, "violations {}", self.violations)
    }
}

/// Key of a non-idempotent effect.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EffectKey {
    workspace: String,
    key: String,
    stage: String,
}

/// Index of starts by request and by key.
#[derive(Debug, Default)]
struct StartIndex {
    by_request: SortedMap<String, Vec<String>>,
    by_effect: SortedMap<EffectKey, Vec<String>>,
}

impl StartIndex {
    fn stages(&self, request: &str) -> &[String] {
        self.by_request.get(request).map_or(&[], Vec::as_slice)
    }

    fn effects(&self, workspace: &str, key: &str) -> Vec<&EffectKey> {
        let effects = self.by_effect.keys();
        effects
            .filter(|effect| effect.workspace == workspace && effect.key == key)
            .collect()
    }
}

/// Compares the verdicts and answers of callers with the ledgers.
pub fn check_outcomes(
    view: &ObjectView,
    records: &[RequestRecord],
    ledgers: &[LedgerBook],
) -> CheckReport {
    let mut report = CheckReport::default();
    let index = read_starts(view, ledgers, &mut report);
    check_effects(&index, &mut report);
    for record in records {
        count_record(record, &mut report);
        check_answer(view, record, &mut report);
        check_ran(view, record, &index, &mut report);
        check_not_run(record, &index, &mut report);
    }
    check_silent_keys(records, &index, &mut report);
    check_shared_answers(records, &mut report);
    report
}

fn read_starts(view: &ObjectView, ledgers: &[LedgerBook], report: &mut CheckReport) -> StartIndex {
    let mut starts = Vec::new();
    let mut effects = Vec::new();
    for ledger in ledgers {
        report.ledger_lines += ledger.lines.len() as u64;
        if let Some(missing) = ledger.missing_entry() {
            report.add_violation(
                CheckRule::LedgerWhole,
                format!("{}: {missing}", ledger.server),
            );
        }
        for line in ledger.lines.iter().filter(|line| line.event == "started") {
            starts.push((line.request.clone(), line.stage.clone()));
            let stage = view.stages.iter().find(|stage| stage.name == line.stage);
            let guarded = stage.is_some_and(|stage| !stage.idempotent);
            if guarded && line.idempotency_key.is_empty() {
                let detail = format!("{}: {} of {}", ledger.server, line.stage, line.request);
                report.add_violation(CheckRule::KeyGiven, detail);
            }
            if !line.idempotency_key.is_empty() {
                let effect = EffectKey {
                    workspace: line.workspace.clone(),
                    key: line.idempotency_key.clone(),
                    stage: line.stage.clone(),
                };
                let place = format!("{} line {}", ledger.server, line.seq);
                effects.push((effect, place));
            }
        }
    }
    report.keyed_starts = effects.len() as u64;
    StartIndex {
        by_request: group(starts),
        by_effect: group(effects),
    }
}

/// Groups values by key.
fn group<K: Ord>(mut pairs: Vec<(K, String)>) -> SortedMap<K, Vec<String>> {
    pairs.sort();
    let mut groups: Vec<(K, Vec<String>)> = Vec::new();
    for (key, value) in pairs {
        match groups.last_mut() {
            Some((last, values)) if *last == key => values.push(value),
            _ => groups.push((key, vec![value])),
        }
    }
    groups.into_iter().collect()
}

fn check_effects(index: &StartIndex, report: &mut CheckReport) {
    for (effect, places) in index
        .by_effect
        .iter()
        .filter(|(_, places)| places.len() > 1)
    {
        let detail = format!(
            "workspace {}, key {}, stage {} started {} times: {}",
            effect.workspace,
            effect.key,
            effect.stage,
            places.len(),
            places.join(", ")
        );
        report.add_violation(CheckRule::AtMostOnce, detail);
    }
}

fn count_record(record: &RequestRecord, report: &mut CheckReport) {
    report.records += 1;
    match record.verdict.as_str() {
        "not-run" => report.not_run += 1,
        "may-have-run" => report.may_have_run += 1,
        "" => report.unanswered += 1,
        _ => {}
    }
}

fn name_of(record: &RequestRecord) -> String {
    format!(
        "request {} try {} ({}, id {})",
        record.number, record.try_number, record.pipeline, record.request
    )
}

fn check_answer(view: &ObjectView, record: &RequestRecord, report: &mut CheckReport) {
    if !record.complete {
        return;
    }
    let (pipeline, input) = (&record.pipeline, &record.input);
    let Some(expected) = expected_answer(view, pipeline, input, record.max_tokens) else {
        report.add_violation(CheckRule::PipelineKnown, name_of(record));
        return;
    };
    report.answers += 1;
    if record.output != expected.output || record.tokens != expected.tokens {
        let detail = format!(
            "{}: output {:?} with {} tokens; expected {:?} with {}",
            name_of(record),
            record.output,
            record.tokens,
            expected.output,
            expected.tokens
        );
        report.add_violation(CheckRule::OwnAnswer, detail);
    }
    // Repeated answers, and those of stages that do not generate tokens, have no streamed tokens.
    let streamed = record.stream && expected.tokens > 0;
    if streamed && !(record.replayed && record.indices.is_empty()) {
        report.streams += 1;
        let in_order = record.indices.iter().copied().eq(0..expected.tokens);
        if !in_order || record.streamed != expected.output {
            let detail = format!(
                "{}: token positions {:?}; expected 0 to {}",
                name_of(record),
                record.indices,
                expected.tokens - 1
            );
            report.add_violation(CheckRule::TokenOrder, detail);
        }
    }
}

fn check_ran(
    view: &ObjectView,
    record: &RequestRecord,
    index: &StartIndex,
    report: &mut CheckReport,
) {
    if record.verdict != "ran" {
        return;
    }
    let stages = view.stages_of(&record.pipeline).unwrap_or_default();
    let direct = record.complete && !record.replayed;
    for stage in stages {
        let started = if stage.idempotent {
            // The stages of an earlier attempt have the request id of that attempt.
            !direct || index.stages(&record.request).contains(&stage.name)
        } else {
            index.by_effect.contains_key(&EffectKey {
                workspace: record.workspace.clone(),
                key: record.key.clone(),
                stage: stage.name.clone(),
            })
        };
        if !started {
            let detail = format!("{}: stage {} never started", name_of(record), stage.name);
            report.add_violation(CheckRule::Ran, detail);
        }
    }
}

fn check_not_run(record: &RequestRecord, index: &StartIndex, report: &mut CheckReport) {
    if record.verdict != "not-run" || record.request.is_empty() {
        return;
    }
    let stages = index.stages(&record.request);
    if !stages.is_empty() {
        let detail = format!("{}: started {}", name_of(record), stages.join(", "));
        report.add_violation(CheckRule::NotRun, detail);
    }
}

/// Checks the keys whose attempts all have the verdict `not-run`.
fn check_silent_keys(records: &[RequestRecord], index: &StartIndex, report: &mut CheckReport) {
    let keyed = records.iter().filter(|record| !record.key.is_empty());
    let pairs = keyed.map(|record| {
        let key = (record.workspace.clone(), record.key.clone());
        (key, record.verdict.clone())
    });
    for ((workspace, key), verdicts) in group(pairs.collect()).iter() {
        let not_run = |verdict: &String| matches!(verdict.as_str(), "not-run" | "not-sent");
        if !verdicts.iter().all(not_run) {
            continue;
        }
        for effect in index.effects(workspace, key) {
            let detail = format!("workspace {workspace}, key {key}: started {}", effect.stage);
            report.add_violation(CheckRule::NotRun, detail);
        }
    }
}

fn check_shared_answers(records: &[RequestRecord], report: &mut CheckReport) {
    let direct = |record: &&RequestRecord| record.complete && !record.replayed;
    let answered = records.iter().filter(direct);
    let pairs = answered.map(|record| (record.request.clone(), name_of(record)));
    for (request, names) in group(pairs.collect()).iter() {
        if names.len() > 1 {
            let detail = format!("id {request}: {}", names.join(", "));
            report.add_violation(CheckRule::OneRequest, detail);
        }
    }
}
