//! Tests of workspace rate limits and of retry and hedge budgets.

mod common;

use common::{
    MS, admit_request, build_engine, id, object_set, pool_object, sent_attempt, server_name,
    workspace,
};
use hollywheel_policy::{
    AdmitDecision, MAX_SHARE_FACTOR, PolicyEngine, PolicySettings, RefuseReason, RequestEnd,
};
use hollywheel_types::{MonoTime, Percent, PoolId, RequestClass, RequestId};

const RATE: f64 = 90.0;
const BURST: u32 = 45;

/// Builds the engine of one of `hosts` hosts, with a rate limit on the workspace `office`.
fn engine_for(hosts: u32) -> PolicyEngine {
    let workspaces = vec![workspace("office", 1, Some((RATE, BURST)))];
    let set = object_set(pool_object("pool", 20, 8), workspaces);
    let mut engine = build_engine(PolicySettings::default(), set);
    engine.set_host_count(MonoTime(0), hosts);
    engine
}

/// Sends requests at a constant rate per second and returns how many started.
fn offer_load(engine: &mut PolicyEngine, rate: u32, seconds: u32) -> u32 {
    let mut started = 0;
    for at in 0..rate * seconds {
        let now = MonoTime(u64::from(at) * 1_000_000 / u64::from(rate));
        let request = RequestId(u128::from(at));
        let new_request = admit_request(request.0, "office", RequestClass::Lookup, now + 1000 * MS);
        match engine.admit(now, &new_request) {
            AdmitDecision::Start => started += 1,
            AdmitDecision::Refuse { reason, .. } => assert_eq!(reason, RefuseReason::RateLimited),
            AdmitDecision::Wait => panic!("request was queued although the pool has free capacity"),
        }
        engine.request_ended(now, request, RequestEnd::Attained);
    }
    started
}

#[test]
fn hosts_with_equal_demand_share_the_rate_equally() {
    let total: u32 = (0..9).map(|_| offer_load(&mut engine_for(9), 20, 20)).sum();
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
fn demand_of_other_hosts_moves_the_share_to_the_busy_host() {
    let mut busy = engine_for(9);
    let office = id("office");
    busy.set_peer_demand(MonoTime(0), &office, 0.0);
    let started = f64::from(offer_load(&mut busy, 100, 9));
    assert!(
        started > 1.8 * 10.0 * 9.0,
        "{started} started, 90 are an equal share"
    );
}

/// Checks the worst case: every host assumes that it alone sees demand and knows of only some of
/// the hosts that are alive.
#[test]
fn rate_overshoot_stays_within_its_bound() {
    let (alive, seen, seconds) = (9u32, 6u32, 9u32);
    let office = id("office");
    let mut total = 0;
    for _ in 0..alive {
        let mut engine = engine_for(seen);
        engine.set_peer_demand(MonoTime(0), &office, 0.0);
        total += offer_load(&mut engine, 100, seconds);
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
        "only {total} started, the bound of {bound} is not tight"
    );
}

#[test]
fn retry_after_names_the_time_of_the_next_token() {
    let mut engine = engine_for(9);
    for request in 0..20 {
        let now = MonoTime(0);
        let new_request = admit_request(request, "office", RequestClass::Lookup, now + 1000 * MS);
        let AdmitDecision::Refuse { retry_after, .. } = engine.admit(now, &new_request) else {
            continue;
        };
        assert!(
            retry_after >= 95 * MS && retry_after <= 130 * MS,
            "{retry_after:?}"
        );
        let later = now + retry_after;
        let new_request = admit_request(request, "office", RequestClass::Lookup, later + 1000 * MS);
        assert_eq!(engine.admit(later, &new_request), AdmitDecision::Start);
        return;
    }
    panic!("20 simultaneous requests were not rate-limited");
}

#[test]
fn retry_budget_is_a_share_of_first_attempts() {
    let mut engine = engine_for(1);
    let pool: PoolId = id("pool");
    let now = MonoTime::from_millis(1);
    let mut granted = 0;
    for nonce in 0..1000 {
        engine.attempt_sent(
            now,
            &sent_attempt(nonce, nonce, &server_name(0), RequestClass::Lookup),
        );
        granted += u32::from(engine.take_retry(now, &pool));
    }
    assert!(
        (100..=102).contains(&granted),
        "{granted} of 1,000 at 10 percent"
    );
    assert!(
        !engine.take_hedge(now, &pool),
        "the pool has no hedge budget"
    );
    assert_eq!(
        engine.pools()[0].counters.retries_denied,
        1000 - u64::from(granted)
    );
}

#[test]
fn hedge_delay_follows_the_95th_percentile() {
    let mut object = pool_object("pool", 4, 8);
    object.hedge_budget = Percent::new(5);
    let mut engine = build_engine(PolicySettings::default(), object_set(object, Vec::new()));
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
    let delay = engine.hedge_after(&pool, &stage, RequestClass::Lookup);
    let delay = delay.expect("enough latency samples");
    assert!(delay > 85 * MS && delay < 105 * MS, "{delay:?}");
    assert!(engine.take_hedge(MonoTime::from_millis(500_000), &pool));
}

#[test]
fn request_refused_for_overload_takes_no_rate_token() {
    let workspaces = vec![workspace("office", 1, Some((1.0, 40)))];
    let set = object_set(pool_object("pool", 1, 1), workspaces);
    let settings = PolicySettings {
        max_queued: 0,
        ..PolicySettings::default()
    };
    let mut engine = build_engine(settings, set);
    let now = MonoTime(0);
    let mut reasons = Vec::new();
    for request in 0..60 {
        let new_request = admit_request(request, "office", RequestClass::Batch, now + 1000 * MS);
        if let AdmitDecision::Refuse { reason, .. } = engine.admit(now, &new_request) {
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
