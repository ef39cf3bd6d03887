//! Tests of cost accounting and of the attempt counters.

mod common;

use std::time::Duration;

use common::{MS, admit_request, id, sent_attempt, server_name, small_engine};
use hollywheel_policy::{AttemptKind, AttemptOutcome, PolicyEngine, RequestEnd};
use hollywheel_types::{AttemptNonce, MonoTime, RequestClass, RequestId};

const NOW: MonoTime = MonoTime::from_millis(1000);

/// Runs the attempts of one request one after the other and returns the time of its end.
fn run_request(
    engine: &mut PolicyEngine,
    start: MonoTime,
    request: u128,
    attempts: &[(AttemptKind, u32, AttemptOutcome)],
    end: RequestEnd,
) -> MonoTime {
    let mut now = start;
    let new_request = admit_request(request, "office", RequestClass::Lookup, now + 1000 * MS);
    engine.admit(now, &new_request);
    for (index, (kind, millis, outcome)) in attempts.iter().enumerate() {
        let nonce = request * 10 + index as u128;
        let mut sent_attempt = sent_attempt(nonce, request, &server_name(0), RequestClass::Lookup);
        sent_attempt.kind = *kind;
        engine.attempt_sent(now, &sent_attempt);
        now = now + *millis * MS;
        engine.attempt_finished(now, AttemptNonce(nonce), *outcome);
    }
    engine.request_ended(now, RequestId(request), end);
    now
}

#[test]
fn backend_time_is_split_by_use() {
    use AttemptKind::{First, Hedge, Retry};
    use AttemptOutcome::{Answered, Cancelled, Failed};
    let mut engine = small_engine(4, 4);
    let useful = [(First, 10, Answered)];
    let now = run_request(&mut engine, NOW, 1, &useful, RequestEnd::Attained);
    let late = [(First, 20, Failed), (Retry, 30, Answered)];
    let now = run_request(&mut engine, now, 2, &late, RequestEnd::Late);
    let hedged = [(Hedge, 40, Answered), (First, 50, Cancelled)];
    let now = run_request(&mut engine, now, 3, &hedged, RequestEnd::Attained);
    let left = [(First, 60, Cancelled)];
    run_request(&mut engine, now, 4, &left, RequestEnd::Failed);
    insta::assert_debug_snapshot!((engine.costs(), engine.pools()));
}

#[test]
fn workspaces_with_the_most_backend_time_are_listed() {
    let mut engine = small_engine(4, 4);
    let mut now = NOW;
    for index in 0..2000u128 {
        let mut sent_attempt = sent_attempt(index, index, &server_name(0), RequestClass::Lookup);
        let large = index % 10 == 0;
        let name = if large {
            "large".to_owned()
        } else {
            format!("small-{index}")
        };
        sent_attempt.workspace = id(&name);
        engine.attempt_sent(now, &sent_attempt);
        let took = if large { 50 * MS } else { MS };
        now = now + took;
        engine.attempt_finished(now, sent_attempt.nonce, AttemptOutcome::Answered);
    }
    let costs = engine.costs();
    assert!(costs.workspaces.len() <= 256, "{}", costs.workspaces.len());
    let large = costs
        .workspaces
        .iter()
        .find(|cost| cost.workspace == id("large"));
    assert!(large.is_some_and(|cost| cost.split.useful >= 50 * MS));
    let listed = costs.workspaces.iter().map(|cost| cost.split.total());
    let total = listed.sum::<Duration>() + costs.other_workspaces.total();
    let stages = costs.stages.iter().map(|cost| cost.split.total());
    assert_eq!(total, stages.sum::<Duration>());
}
