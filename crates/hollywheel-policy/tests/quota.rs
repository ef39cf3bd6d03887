//! Rates of workspaces and budgets of pools.

mod common;

use common::{
    MS, admit_request, engine, id, object_set, pool_object, sent, server_name, workspace,
};
use hollywheel_policy::{
    AdmitDecision, MAX_SHARE_FACTOR, PolicyEngine, PolicySettings, RefuseReason, RequestEnd,
};
use hollywheel_types::{MonoTime, Percent, PoolId, RequestClass, RequestId};

const RATE: f64 = 90.0;
const BURST: u32 = 45;

fn host(hosts: u32) -> PolicyEngine {
    let workspaces = vec![workspace("office", 1, Some((RATE, BURST)))];
    let set = object_set(pool_object("pool", 20, 8), workspaces);
    let mut engine = engine(PolicySettings::default(), set);
    engine.set_hosts(MonoTime(0), hosts);
    engine
}

/// Offers requests at a steady rate for a time and returns how many started.
fn offer(engine: &mut PolicyEngine, rate: u32, seconds: u32) -> u32 {
    let mut starts = 0;
    for at in 0..rate * seconds {
        let now = MonoTime(u64::from(at) * 1_000_000 / u64::from(rate));
        let request = RequestId(u128::from(at));
        let asked = admit_request(request.0, "office", RequestClass::Lookup, now + 1000 * MS);
        match engine.admit(now, &asked) {
            AdmitDecision::Start => starts += 1,
            AdmitDecision::Refuse { reason, .. } => assert_eq!(reason, RefuseReason::RateLimited),
            AdmitDecision::Wait => panic!("the pool has room"),
        }
        engine.request_ended(now, request, RequestEnd::Attained);
    }
    starts
}

#[test]
fn equal_hosts_share_the_rate() {
    let total: u32 = (0..9).map(|_| offer(&mut host(9), 20, 20)).sum();
    let expected = RATE * 20.0 + f64::from(BURST);
    let total = f64::from(total);
    assert!(
        total <= expected + 9.0,
        "{total} started, {expected} allowed"
    );
    assert!(
        total >= 0.97 * expected,
        "{total} started, {expected} allowed"
    );
}

#[test]
fn news_of_the_peers_moves_the_share_to_the_busy_host() {
    let mut busy = host(9);
    let office = id("office");
    busy.set_peer_demand(MonoTime(0), &office, 0.0);
    let starts = f64::from(offer(&mut busy, 100, 9));
    assert!(
        starts > 1.8 * 10.0 * 9.0,
        "{starts} started, 90 are an equal share"
    );
}

/// The worst case: every host believes that it alone sees demand, and counts only a part of
/// the hosts that are alive.
#[test]
fn overshoot_stays_within_its_bound() {
    let (alive, seen, seconds) = (9u32, 6u32, 9u32);
    let office = id("office");
    let mut total = 0;
    for _ in 0..alive {
        let mut engine = host(seen);
        engine.set_peer_demand(MonoTime(0), &office, 0.0);
        total += offer(&mut engine, 100, seconds);
    }
    let factor = MAX_SHARE_FACTOR * f64::from(alive) / f64::from(seen);
    let allowed = RATE * f64::from(seconds) + f64::from(BURST);
    let bound = factor * allowed + f64::from(alive);
    assert!(
        f64::from(total) <= bound,
        "{total} started, the bound is {bound}"
    );
    assert!(
        f64::from(total) > 0.8 * bound,
        "the bound is far from {total}"
    );
}

#[test]
fn a_refusal_says_when_a_token_is_there() {
    let mut engine = host(9);
    for request in 0..20 {
        let now = MonoTime(0);
        let asked = admit_request(request, "office", RequestClass::Lookup, now + 1000 * MS);
        let AdmitDecision::Refuse { retry_after, .. } = engine.admit(now, &asked) else {
            continue;
        };
        assert!(
            retry_after >= 95 * MS && retry_after <= 130 * MS,
            "{retry_after:?}"
        );
        let later = now + retry_after;
        let asked = admit_request(request, "office", RequestClass::Lookup, later + 1000 * MS);
        assert_eq!(engine.admit(later, &asked), AdmitDecision::Start);
        return;
    }
    panic!("20 requests at once were not limited");
}

#[test]
fn retries_are_a_share_of_first_attempts() {
    let mut engine = host(1);
    let pool: PoolId = id("pool");
    let now = MonoTime::from_millis(1);
    let mut taken = 0;
    for nonce in 0..1000 {
        engine.attempt_sent(
            now,
            &sent(nonce, nonce, &server_name(0), RequestClass::Lookup),
        );
        taken += u32::from(engine.take_retry(now, &pool));
    }
    assert!(
        (100..=102).contains(&taken),
        "{taken} of 1,000 at 10 percent"
    );
    assert!(!engine.take_hedge(now, &pool), "the pool allows no hedges");
    assert_eq!(
        engine.pools()[0].counters.retries_denied,
        1000 - u64::from(taken)
    );
}

#[test]
fn hedges_follow_the_slowest_twentieth() {
    let mut object = pool_object("pool", 4, 8);
    object.hedge_budget = Percent::new(5);
    let mut engine = engine(PolicySettings::default(), object_set(object, Vec::new()));
    let (pool, stage) = (id("pool"), id("lookup"));
    assert_eq!(
        engine.hedge_after(&pool, &stage, RequestClass::Lookup),
        None
    );
    for nonce in 0..2000u32 {
        let took = (1 + nonce % 100) * MS;
        let at = MonoTime::from_millis(u64::from(nonce) * 200);
        let server = server_name(nonce as usize % 4);
        let outcome = hollywheel_policy::AttemptOutcome::Answered;
        common::run_attempt(&mut engine, at, u128::from(nonce), &server, took, outcome);
    }
    let after = engine.hedge_after(&pool, &stage, RequestClass::Lookup);
    let after = after.expect("there is data");
    assert!(after > 85 * MS && after < 105 * MS, "{after:?}");
    assert!(engine.take_hedge(MonoTime::from_millis(500_000), &pool));
}

#[test]
fn a_refusal_for_another_reason_takes_nothing_from_the_rate() {
    let workspaces = vec![workspace("office", 1, Some((1.0, 40)))];
    let set = object_set(pool_object("pool", 1, 1), workspaces);
    let settings = PolicySettings {
        max_queued: 0,
        ..PolicySettings::default()
    };
    let mut engine = engine(settings, set);
    let now = MonoTime(0);
    let mut reasons = Vec::new();
    for request in 0..60 {
        let asked = admit_request(request, "office", RequestClass::Batch, now + 1000 * MS);
        if let AdmitDecision::Refuse { reason, .. } = engine.admit(now, &asked) {
            reasons.push(reason);
        }
    }
    assert!(reasons.len() > 50);
    assert!(
        reasons
            .iter()
            .all(|reason| *reason == RefuseReason::Overloaded)
    );
}
