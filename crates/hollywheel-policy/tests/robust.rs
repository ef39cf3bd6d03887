//! Property test: no sequence of calls violates the invariants of the engine.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use bolero::{TypeGenerator, ValueGenerator};
use common::{id, object_set, pool_object, sent_attempt, server_name, server_report, workspace};
use hollywheel_policy::{
    AdmitDecision, AttemptKind, AttemptOutcome, PolicyEngine, PolicySettings, RequestEnd,
    RoutingPolicy,
};
use hollywheel_types::{AttemptNonce, MonoTime, RequestClass, RequestId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A generated call; the numbers are reduced modulo the number of choices.
#[derive(Clone, Debug, TypeGenerator)]
struct Call {
    method: u8,
    step_ms: u16,
    subject: u8,
    variant: u8,
}

fn outcome_from(variant: u8) -> AttemptOutcome {
    match variant % 5 {
        0 => AttemptOutcome::Answered,
        1 => AttemptOutcome::Refused,
        2 => AttemptOutcome::Failed,
        3 => AttemptOutcome::TimedOut,
        _ => AttemptOutcome::Cancelled,
    }
}

fn end_from(variant: u8) -> RequestEnd {
    match variant % 4 {
        0 => RequestEnd::Attained,
        1 => RequestEnd::Late,
        2 => RequestEnd::Refused,
        _ => RequestEnd::Failed,
    }
}

fn object_set_variant(variant: u8) -> Arc<hollywheel_config::ObjectSet> {
    let workspaces = vec![workspace("office", 1, Some((5.0, 3)))];
    let mut set = object_set(pool_object("pool", usize::from(variant % 7), 2), workspaces);
    if variant.is_multiple_of(5) {
        set.stages.clear();
    }
    Arc::new(set)
}

fn apply_call(engine: &mut PolicyEngine, now: MonoTime, call: &Call) {
    let (subject, variant) = (u128::from(call.subject % 16), call.variant);
    let class = RequestClass::ALL[usize::from(variant % 4)];
    let server = server_name(usize::from(variant % 8));
    let (pool, nonce) = (id("pool"), AttemptNonce(subject));
    match call.method % 16 {
        0 => engine.install(now, &object_set_variant(variant)),
        1 => engine.set_host_count(now, u32::from(variant % 4)),
        2 | 3 => {
            common::admit(engine, now, subject, class);
        }
        4 => engine.withdraw(now, RequestId(subject)),
        5 | 6 => {
            common::pick(engine, now, class, std::slice::from_ref(&server));
        }
        7 => {
            engine.take_retry(now, &pool);
            engine.take_hedge(now, &pool);
        }
        8 | 9 => {
            let mut attempt = sent_attempt(subject, subject, &server, class);
            attempt.kind = [AttemptKind::First, AttemptKind::Retry, AttemptKind::Hedge]
                [usize::from(variant % 3)];
            engine.attempt_sent(now, &attempt);
        }
        10 => engine.attempt_progressed(now, nonce),
        11 | 12 => engine.attempt_finished(now, nonce, outcome_from(variant)),
        13 => engine.request_ended(now, RequestId(subject), end_from(variant)),
        14 => {
            let mut server_report =
                server_report(&server, u64::from(call.subject % 3), subject as u32, 2);
            server_report.leaving = variant > 200;
            engine.server_reported(
                now,
                &server_report,
                Duration::from_millis(u64::from(call.step_ms)),
            );
        }
        _ => engine.server_leaving(now, &server),
    }
}

fn check_invariants(engine: &PolicyEngine) {
    for pool in engine.pools() {
        assert!(pool.admitted.is_finite() && pool.admitted >= 0.0);
        assert!(pool.limit.is_finite() && pool.limit >= 0.0);
    }
    assert!(
        engine
            .queues()
            .iter()
            .map(|queue| queue.waiting)
            .sum::<usize>()
            <= 4
    );
}

fn run_calls(calls: &[Call]) {
    let mut engine = PolicyEngine::new(PolicySettings {
        routing: RoutingPolicy::ALL[calls.len() % 4],
        max_queued: 4,
        subset_size: 3,
        ..PolicySettings::default()
    });
    engine.install(MonoTime(0), &object_set_variant(6));
    let mut now = MonoTime(0);
    for call in calls {
        // The time of some calls is earlier than that of the call before.
        now = match call.step_ms {
            step if step.is_multiple_of(7) => now - Duration::from_millis(5),
            step => now + Duration::from_millis(u64::from(step % 500)),
        };
        apply_call(&mut engine, now, call);
        for notice in engine.poll(now) {
            assert_ne!(notice.decision, AdmitDecision::Wait);
        }
        check_invariants(&engine);
    }
}

/// Runs 500 generated sequences of calls. The seeds are fixed, so that the result is reproducible.
#[test]
fn invariants_hold_for_any_sequence_of_calls() {
    let generator = bolero::produce::<Vec<Call>>().with().len(1..300usize);
    for seed in 0..500 {
        let mut bytes = vec![0; 2048];
        StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let calls = generator.generate(&mut driver);
        run_calls(&calls.expect("enough random bytes for the calls"));
    }
}
