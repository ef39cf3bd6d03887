//! Tests of the ejection of backend servers and of the trials that end it.

mod common;

use common::{MS, pick, picked_server, run_attempt, sent_attempt, server_name, small_engine};
use hollywheel_policy::{AttemptOutcome, PolicyEngine, ServerCondition};
use hollywheel_types::{AttemptNonce, MonoTime, RequestClass};

const NOW: MonoTime = MonoTime::from_millis(1000);

/// Lets three attempts in a row fail at one server, which ejects it.
fn fail_three_times(engine: &mut PolicyEngine, now: MonoTime, index: usize) {
    for nonce in 0..3 {
        run_attempt(
            engine,
            now,
            nonce,
            &server_name(index),
            MS,
            AttemptOutcome::Failed,
        );
    }
}

fn count_not_serving(engine: &PolicyEngine) -> usize {
    let servers = engine.servers();
    let not_serving = servers
        .iter()
        .filter(|server| server.condition != ServerCondition::Serving);
    not_serving.count()
}

#[test]
fn consecutive_failures_eject_at_most_the_configured_share() {
    let mut engine = small_engine(9, 4);
    for index in 0..9 {
        fail_three_times(&mut engine, NOW, index);
    }
    assert_eq!(count_not_serving(&engine), 3, "34 percent of 9");
    picked_server(pick(&mut engine, NOW, RequestClass::Lookup, &[]));
}

#[test]
fn answer_resets_the_count_of_consecutive_failures() {
    let mut engine = small_engine(9, 4);
    for nonce in 0..30 {
        let outcome = match nonce % 3 {
            2 => AttemptOutcome::Answered,
            _ => AttemptOutcome::Failed,
        };
        run_attempt(&mut engine, NOW, nonce, &server_name(0), MS, outcome);
    }
    assert_eq!(count_not_serving(&engine), 0);
}

#[test]
fn rejected_and_cancelled_attempts_are_not_failures() {
    let mut engine = small_engine(9, 4);
    for nonce in 0..30 {
        let outcome = match nonce % 2 {
            0 => AttemptOutcome::Refused,
            _ => AttemptOutcome::Cancelled,
        };
        run_attempt(&mut engine, NOW, nonce, &server_name(0), MS, outcome);
    }
    assert_eq!(count_not_serving(&engine), 0);
}

#[test]
fn successful_trial_restores_a_server() {
    let mut engine = small_engine(9, 4);
    let server = server_name(0);
    fail_three_times(&mut engine, NOW, 0);
    let later = NOW + 1100 * MS;
    assert_ne!(
        picked_server(pick(&mut engine, later, RequestClass::Transaction, &[])),
        server
    );
    assert_eq!(
        picked_server(pick(&mut engine, later, RequestClass::Lookup, &[])),
        server
    );
    let trial = sent_attempt(900, 900, &server, RequestClass::Lookup);
    engine.attempt_sent(later, &trial);
    for _ in 0..50 {
        assert_ne!(
            picked_server(pick(&mut engine, later, RequestClass::Lookup, &[])),
            server
        );
    }
    engine.attempt_finished(later + 10 * MS, AttemptNonce(900), AttemptOutcome::Answered);
    assert_eq!(count_not_serving(&engine), 0);
}

#[test]
fn failed_trial_doubles_the_ejection_time() {
    let mut engine = small_engine(9, 4);
    let server = server_name(0);
    fail_three_times(&mut engine, NOW, 0);
    let later = NOW + 1100 * MS;
    assert_eq!(
        picked_server(pick(&mut engine, later, RequestClass::Lookup, &[])),
        server
    );
    run_attempt(
        &mut engine,
        later,
        900,
        &server,
        10 * MS,
        AttemptOutcome::Failed,
    );
    let again = later + 1500 * MS;
    assert_ne!(
        picked_server(pick(&mut engine, again, RequestClass::Lookup, &[])),
        server
    );
    let again = later + 2100 * MS;
    assert_eq!(
        picked_server(pick(&mut engine, again, RequestClass::Lookup, &[])),
        server
    );
}

#[test]
fn only_the_slow_server_is_ejected() {
    let mut engine = small_engine(10, 4);
    for nonce in 0..2000u32 {
        let index = nonce as usize % 10;
        let usual = 20 + (nonce * 7919) % 21;
        let slow = if nonce > 1000 && index == 3 { 3 } else { 1 };
        let now = NOW + nonce * 100 * MS;
        let took = usual * slow * MS;
        let server = server_name(index);
        run_attempt(
            &mut engine,
            now,
            u128::from(nonce),
            &server,
            took,
            AttemptOutcome::Answered,
        );
    }
    let servers = engine.servers();
    let not_serving: Vec<_> = servers
        .iter()
        .filter(|server| server.condition != ServerCondition::Serving)
        .map(|server| server.server.clone())
        .collect();
    assert_eq!(not_serving, [server_name(3)]);
}

#[test]
fn stream_that_times_out_after_progress_is_not_a_failure() {
    let mut engine = small_engine(9, 4);
    for nonce in 0..5 {
        let attempt = sent_attempt(nonce, nonce, &server_name(0), RequestClass::Lookup);
        engine.attempt_sent(NOW, &attempt);
        engine.attempt_progressed(NOW + MS, attempt.nonce);
        engine.attempt_finished(NOW + 2 * MS, attempt.nonce, AttemptOutcome::TimedOut);
    }
    assert_eq!(count_not_serving(&engine), 0);
}

#[test]
fn trial_without_an_outcome_is_repeated() {
    let mut engine = small_engine(9, 4);
    let server = server_name(0);
    fail_three_times(&mut engine, NOW, 0);
    let later = NOW + 1100 * MS;
    assert_eq!(
        picked_server(pick(&mut engine, later, RequestClass::Lookup, &[])),
        server
    );
    engine.attempt_sent(
        later,
        &sent_attempt(900, 900, &server, RequestClass::Lookup),
    );
    let again = later + 61_000 * MS;
    assert_eq!(
        picked_server(pick(&mut engine, again, RequestClass::Lookup, &[])),
        server
    );
}
