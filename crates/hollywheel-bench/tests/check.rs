//! Tests that the checker finds each violation in modified ledgers and records.

mod common;

use common::objects;
use hollywheel_bench::{
    CheckReport, CheckRule, LedgerBook, LedgerLine, RequestRecord, check_outcomes, expected_answer,
    read_ledger,
};

fn line(seq: u64, request: &str, stage: &str, key: &str) -> LedgerLine {
    LedgerLine {
        seq,
        event: "started".to_owned(),
        request: request.to_owned(),
        stage: stage.to_owned(),
        workspace: "clerk-desk".to_owned(),
        idempotency_key: key.to_owned(),
        ..LedgerLine::default()
    }
}

fn book(lines: Vec<LedgerLine>) -> LedgerBook {
    LedgerBook {
        server: "server-1".to_owned(),
        after: 0,
        lines,
    }
}

/// Returns the ledger of one summary and one payment.
fn honest_ledger() -> LedgerBook {
    book(vec![
        line(1, "a1", "embed", ""),
        line(2, "a1", "draft", ""),
        line(3, "b2", "pay", "pay-1"),
    ])
}

fn answered(number: u64, pipeline: &str, request: &str) -> RequestRecord {
    let input = format!("question {number}");
    let expected = expected_answer(&objects(), pipeline, &input, Some(4)).unwrap();
    RequestRecord {
        number,
        try_number: 1,
        pipeline: pipeline.to_owned(),
        workspace: "clerk-desk".to_owned(),
        verdict: "ran".to_owned(),
        status: 200,
        complete: true,
        request: request.to_owned(),
        max_tokens: Some(4),
        tokens: expected.tokens,
        output: expected.output,
        input,
        ..RequestRecord::default()
    }
}

fn summary() -> RequestRecord {
    let mut record = answered(1, "summary", "a1");
    record.stream = true;
    record.indices = vec![0, 1, 2, 3];
    record.streamed = record.output.clone();
    record
}

fn payment() -> RequestRecord {
    let mut record = answered(2, "payment", "b2");
    record.key = "pay-1".to_owned();
    record
}

fn refused(record: RequestRecord, verdict: &str) -> RequestRecord {
    RequestRecord {
        verdict: verdict.to_owned(),
        status: 503,
        complete: false,
        ..record
    }
}

fn check(records: &[RequestRecord], ledger: LedgerBook) -> CheckReport {
    check_outcomes(&objects(), records, &[ledger])
}

/// Returns the rule of the only violation.
fn violated(records: &[RequestRecord], ledger: LedgerBook) -> CheckRule {
    let report = check(records, ledger);
    assert_eq!(report.violations, 1, "{report}");
    report.differences[0].rule
}

#[test]
fn honest_outcomes_pass() {
    let report = check(&[summary(), payment()], honest_ledger());
    assert_eq!(report.violations, 0, "{report}");
    assert_eq!(
        (report.answers, report.streams, report.keyed_starts),
        (2, 1, 1)
    );
}

#[test]
fn answer_of_another_request_is_caught() {
    let mut crossed = summary();
    crossed.output = answered(9, "summary", "a1").output;
    crossed.streamed = crossed.output.clone();
    let report = check(&[crossed, payment()], honest_ledger());
    let rules: Vec<_> = report.differences.iter().map(|one| one.rule).collect();
    assert_eq!(rules, [CheckRule::OwnAnswer, CheckRule::TokenOrder]);
}

#[test]
fn partial_answer_is_caught() {
    let mut partial = payment();
    partial.output.pop();
    assert_eq!(violated(&[partial], honest_ledger()), CheckRule::OwnAnswer);
    let mut short = summary();
    short.tokens = 3;
    assert_eq!(violated(&[short], honest_ledger()), CheckRule::OwnAnswer);
}

#[test]
fn doubled_skipped_and_disordered_tokens_are_caught() {
    for indices in [vec![0, 1, 1, 2, 3], vec![0, 1, 3], vec![0, 2, 1, 3]] {
        let mut record = summary();
        record.indices = indices;
        assert_eq!(violated(&[record], honest_ledger()), CheckRule::TokenOrder);
    }
    let mut record = summary();
    record.streamed.pop();
    assert_eq!(violated(&[record], honest_ledger()), CheckRule::TokenOrder);
}

#[test]
fn doubled_payment_is_caught_over_servers_and_requests() {
    let second = book(vec![line(1, "c3", "pay", "pay-1")]);
    let records = [summary(), payment()];
    let report = check_outcomes(&objects(), &records, &[honest_ledger(), second]);
    assert_eq!(report.violations, 1);
    assert_eq!(report.differences[0].rule, CheckRule::AtMostOnce);
    // The same key of another workspace is another payment.
    let mut other = line(1, "c3", "pay", "pay-1");
    other.workspace = "audit".to_owned();
    let report = check_outcomes(&objects(), &records, &[honest_ledger(), book(vec![other])]);
    assert_eq!(report.violations, 0, "{report}");
}

#[test]
fn payment_without_a_key_is_caught() {
    let ledger = book(vec![line(1, "b2", "pay", "")]);
    assert_eq!(violated(&[], ledger), CheckRule::KeyGiven);
}

#[test]
fn false_not_run_is_caught_by_request_and_by_key() {
    let mut by_request = refused(summary(), "not-run");
    assert_eq!(
        violated(&[by_request.clone()], honest_ledger()),
        CheckRule::NotRun
    );
    by_request.request = "d4".to_owned();
    assert_eq!(check(&[by_request], honest_ledger()).violations, 0);
    let mut by_key = refused(payment(), "not-run");
    by_key.request = String::new();
    assert_eq!(
        violated(&[by_key.clone()], honest_ledger()),
        CheckRule::NotRun
    );
    // Another attempt with the key may have been executed.
    let later = refused(payment(), "may-have-run");
    assert_eq!(check(&[by_key, later], honest_ledger()).violations, 0);
}

#[test]
fn false_ran_is_caught() {
    let without_draft = book(vec![line(1, "a1", "embed", "")]);
    assert_eq!(violated(&[summary()], without_draft), CheckRule::Ran);
    assert_eq!(violated(&[payment()], book(Vec::new())), CheckRule::Ran);
    let told = refused(payment(), "ran");
    assert_eq!(violated(&[told], book(Vec::new())), CheckRule::Ran);
}

#[test]
fn replayed_answer_stands_on_the_first_run() {
    let mut replayed = payment();
    replayed.request = "e5".to_owned();
    replayed.replayed = true;
    assert_eq!(check(&[payment(), replayed], honest_ledger()).violations, 0);
}

#[test]
fn shared_request_id_is_caught() {
    let mut other = answered(3, "summary", "a1");
    other.number = 3;
    assert_eq!(
        violated(&[summary(), other], honest_ledger()),
        CheckRule::OneRequest
    );
}

#[test]
fn missing_ledger_lines_are_caught() {
    let mut ledger = honest_ledger();
    ledger.lines.remove(0);
    let report = check(&[payment()], ledger);
    assert_eq!(report.differences[0].rule, CheckRule::LedgerWhole);
    let text = r#"{"seq":1,"event":"truncated","dropped":3}"#;
    let truncated = read_ledger("server-1", 0, text).unwrap();
    assert_eq!(violated(&[], truncated), CheckRule::LedgerWhole);
}

#[test]
fn unknown_pipeline_is_caught() {
    let mut record = payment();
    record.pipeline = "nothing".to_owned();
    assert_eq!(
        violated(&[record], honest_ledger()),
        CheckRule::PipelineKnown
    );
}
