//! Any order of calls leaves the engine sound.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bolero::generator::bolero_generator::driver::{ByteSliceDriver, Options};
use bolero::{TypeGenerator, ValueGenerator};
use common::{id, object_set, pool_object, report, sent, server_name, workspace};
use hollywheel_policy::{
    AdmitDecision, AttemptKind, AttemptOutcome, PolicyEngine, PolicySettings, RequestEnd,
    RoutingPolicy,
};
use hollywheel_types::{AttemptNonce, MonoTime, RequestClass, RequestId};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

#[derive(Clone, Debug, TypeGenerator)]
struct Call {
    kind: u8,
    step_ms: u16,
    who: u8,
    which: u8,
}

fn outcome(which: u8) -> AttemptOutcome {
    match which % 5 {
        0 => AttemptOutcome::Answered,
        1 => AttemptOutcome::Refused,
        2 => AttemptOutcome::Failed,
        3 => AttemptOutcome::TimedOut,
        _ => AttemptOutcome::Cancelled,
    }
}

fn end(which: u8) -> RequestEnd {
    match which % 4 {
        0 => RequestEnd::Attained,
        1 => RequestEnd::Late,
        2 => RequestEnd::Refused,
        _ => RequestEnd::Failed,
    }
}

fn set_of(which: u8) -> Arc<hollywheel_config::ObjectSet> {
    let workspaces = vec![workspace("office", 1, Some((5.0, 3)))];
    let mut set = object_set(pool_object("pool", usize::from(which % 7), 2), workspaces);
    if which.is_multiple_of(5) {
        set.stages.clear();
    }
    Arc::new(set)
}

fn apply(engine: &mut PolicyEngine, now: MonoTime, call: &Call) {
    let (who, which) = (u128::from(call.who % 16), call.which);
    let class = RequestClass::ALL[usize::from(which % 4)];
    let server = server_name(usize::from(which % 8));
    let (pool, nonce) = (id("pool"), AttemptNonce(who));
    match call.kind % 16 {
        0 => engine.install(now, &set_of(which)),
        1 => engine.set_hosts(now, u32::from(which % 4)),
        2 | 3 => {
            common::admit(engine, now, who, class);
        }
        4 => engine.withdraw(now, RequestId(who)),
        5 | 6 => {
            common::pick(engine, now, class, std::slice::from_ref(&server));
        }
        7 => {
            engine.take_retry(now, &pool);
            engine.take_hedge(now, &pool);
        }
        8 | 9 => {
            let mut attempt = sent(who, who, &server, class);
            attempt.kind = [AttemptKind::First, AttemptKind::Retry, AttemptKind::Hedge]
                [usize::from(which % 3)];
            engine.attempt_sent(now, &attempt);
        }
        10 => engine.attempt_progressed(now, nonce),
        11 | 12 => engine.attempt_finished(now, nonce, outcome(which)),
        13 => engine.request_ended(now, RequestId(who), end(which)),
        14 => {
            let mut report = report(&server, u64::from(call.who % 3), who as u32, 2);
            report.leaving = which > 200;
            engine.server_reported(now, &report, Duration::from_millis(u64::from(call.step_ms)));
        }
        _ => engine.server_leaving(now, &server),
    }
}

fn check(engine: &PolicyEngine) {
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

fn run(calls: &[Call]) {
    let mut engine = PolicyEngine::new(PolicySettings {
        routing: RoutingPolicy::ALL[calls.len() % 4],
        max_queued: 4,
        subset_size: 3,
        ..PolicySettings::default()
    });
    engine.install(MonoTime(0), &set_of(6));
    let mut now = MonoTime(0);
    for call in calls {
        // Some calls come with a point before the last one.
        now = match call.step_ms {
            step if step.is_multiple_of(7) => now - Duration::from_millis(5),
            step => now + Duration::from_millis(u64::from(step % 500)),
        };
        apply(&mut engine, now, call);
        for notice in engine.poll(now) {
            assert_ne!(notice.decision, AdmitDecision::Wait);
        }
        check(&engine);
    }
}

/// Runs generated calls; the seeds are fixed, so that every run gives the same verdict.
#[test]
fn any_order_of_calls() {
    let generator = bolero::produce::<Vec<Call>>().with().len(1..300usize);
    for seed in 0..500 {
        let mut bytes = vec![0; 2048];
        StdRng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let mut driver = ByteSliceDriver::new(&bytes, &Options::default());
        let calls = generator.generate(&mut driver);
        run(&calls.expect("enough bytes"));
    }
}
