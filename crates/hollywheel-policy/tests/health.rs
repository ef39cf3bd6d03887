//! Ejection of backend servers and their way back.

mod common;

use common::{MS, pick, picked, run_attempt, sent, server_name, small_engine};
use hollywheel_policy::{AttemptOutcome, PolicyEngine, ServerCondition};
use hollywheel_types::{AttemptNonce, MonoTime, RequestClass};

const NOW: MonoTime = MonoTime::from_millis(1000);

fn fail(engine: &mut PolicyEngine, now: MonoTime, at: usize) {
    for nonce in 0..3 {
        run_attempt(
            engine,
            now,
            nonce,
            &server_name(at),
            MS,
            AttemptOutcome::Failed,
        );
    }
}

fn ejected(engine: &PolicyEngine) -> usize {
    let servers = engine.servers();
    let gone = servers
        .iter()
        .filter(|server| server.condition != ServerCondition::Serving);
    gone.count()
}

#[test]
fn failures_in_a_row_eject_up_to_the_floor() {
    let mut engine = small_engine(9, 4);
    for at in 0..9 {
        fail(&mut engine, NOW, at);
    }
    assert_eq!(ejected(&engine), 3, "34 percent of 9");
    picked(pick(&mut engine, NOW, RequestClass::Lookup, &[]));
}

#[test]
fn an_answer_between_failures_starts_the_count_again() {
    let mut engine = small_engine(9, 4);
    for nonce in 0..30 {
        let outcome = match nonce % 3 {
            2 => AttemptOutcome::Answered,
            _ => AttemptOutcome::Failed,
        };
        run_attempt(&mut engine, NOW, nonce, &server_name(0), MS, outcome);
    }
    assert_eq!(ejected(&engine), 0);
}

#[test]
fn refusals_and_cancels_are_no_failures() {
    let mut engine = small_engine(9, 4);
    for nonce in 0..30 {
        let outcome = match nonce % 2 {
            0 => AttemptOutcome::Refused,
            _ => AttemptOutcome::Cancelled,
        };
        run_attempt(&mut engine, NOW, nonce, &server_name(0), MS, outcome);
    }
    assert_eq!(ejected(&engine), 0);
}

#[test]
fn one_trial_brings_a_server_back() {
    let mut engine = small_engine(9, 4);
    let server = server_name(0);
    fail(&mut engine, NOW, 0);
    let later = NOW + 1100 * MS;
    assert_ne!(
        picked(pick(&mut engine, later, RequestClass::Transaction, &[])),
        server
    );
    assert_eq!(
        picked(pick(&mut engine, later, RequestClass::Lookup, &[])),
        server
    );
    let trial = sent(900, 900, &server, RequestClass::Lookup);
    engine.attempt_sent(later, &trial);
    for _ in 0..50 {
        assert_ne!(
            picked(pick(&mut engine, later, RequestClass::Lookup, &[])),
            server
        );
    }
    engine.attempt_finished(later + 10 * MS, AttemptNonce(900), AttemptOutcome::Answered);
    assert_eq!(ejected(&engine), 0);
}

#[test]
fn a_failed_trial_doubles_the_ejection() {
    let mut engine = small_engine(9, 4);
    let server = server_name(0);
    fail(&mut engine, NOW, 0);
    let later = NOW + 1100 * MS;
    assert_eq!(
        picked(pick(&mut engine, later, RequestClass::Lookup, &[])),
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
        picked(pick(&mut engine, again, RequestClass::Lookup, &[])),
        server
    );
    let again = later + 2100 * MS;
    assert_eq!(
        picked(pick(&mut engine, again, RequestClass::Lookup, &[])),
        server
    );
}

#[test]
fn a_slow_server_is_ejected_and_its_peers_are_not() {
    let mut engine = small_engine(10, 4);
    for nonce in 0..2000u32 {
        let at = nonce as usize % 10;
        let usual = 20 + (nonce * 7919) % 21;
        let slow = if nonce > 1000 && at == 3 { 3 } else { 1 };
        let now = NOW + nonce * 100 * MS;
        let took = usual * slow * MS;
        let server = server_name(at);
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
    let gone: Vec<_> = servers
        .iter()
        .filter(|server| server.condition != ServerCondition::Serving)
        .map(|server| server.server.clone())
        .collect();
    assert_eq!(gone, [server_name(3)]);
}

#[test]
fn a_stream_cut_by_its_deadline_is_slow_but_no_failure() {
    let mut engine = small_engine(9, 4);
    for nonce in 0..5 {
        let attempt = sent(nonce, nonce, &server_name(0), RequestClass::Lookup);
        engine.attempt_sent(NOW, &attempt);
        engine.attempt_progressed(NOW + MS, attempt.nonce);
        engine.attempt_finished(NOW + 2 * MS, attempt.nonce, AttemptOutcome::TimedOut);
    }
    assert_eq!(ejected(&engine), 0);
}

#[test]
fn a_trial_without_an_end_is_tried_again() {
    let mut engine = small_engine(9, 4);
    let server = server_name(0);
    fail(&mut engine, NOW, 0);
    let later = NOW + 1100 * MS;
    assert_eq!(
        picked(pick(&mut engine, later, RequestClass::Lookup, &[])),
        server
    );
    engine.attempt_sent(later, &sent(900, 900, &server, RequestClass::Lookup));
    let again = later + 61_000 * MS;
    assert_eq!(
        picked(pick(&mut engine, again, RequestClass::Lookup, &[])),
        server
    );
}
