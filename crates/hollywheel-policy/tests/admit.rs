//! Tests of admission control, fair queueing and deadlines.

mod common;

use common::{MS, admit, admit_request, build_engine, id, object_set, pool_object, run_attempt};
use common::{server_name, small_engine, workspace};
use hollywheel_policy::{
    AdmitDecision, AttemptOutcome, PolicyEngine, PolicySettings, RefuseReason, RequestEnd,
};
use hollywheel_types::{MonoTime, PipelineId, RequestClass, RequestId, StageId};

const NOW: MonoTime = MonoTime::from_millis(1000);

fn is_refused(decision: AdmitDecision, expected: RefuseReason) -> bool {
    matches!(decision, AdmitDecision::Refuse { reason, .. } if reason == expected)
}

/// Admits requests of a class until one is queued and returns how many were admitted; their ids
/// count up from zero.
fn fill_pool(engine: &mut PolicyEngine, class: RequestClass) -> u128 {
    for request in 0..1000 {
        if admit(engine, NOW, request, class) == AdmitDecision::Wait {
            engine.withdraw(NOW, RequestId(request));
            return request;
        }
    }
    panic!("1,000 requests were admitted without reaching a limit");
}

/// Polls the engine and returns the ids of the requests that it starts.
fn poll_started(engine: &mut PolicyEngine, now: MonoTime) -> Vec<u128> {
    let notices = engine.poll(now).into_iter();
    let started_requests = notices.filter(|notice| notice.decision == AdmitDecision::Start);
    started_requests.map(|notice| notice.request.0).collect()
}

#[test]
fn higher_classes_start_first() {
    let mut engine = small_engine(2, 2);
    let admitted_count = fill_pool(&mut engine, RequestClass::Transaction);
    let classes = [
        RequestClass::Batch,
        RequestClass::Interactive,
        RequestClass::Lookup,
        RequestClass::Transaction,
    ];
    for (index, class) in classes.into_iter().enumerate() {
        let request = 2000 + index as u128;
        assert_eq!(admit(&mut engine, NOW, request, class), AdmitDecision::Wait);
    }
    let mut order = Vec::new();
    for request in 0..admitted_count {
        engine.request_ended(NOW, RequestId(request), RequestEnd::Attained);
        order.extend(poll_started(&mut engine, NOW));
    }
    assert_eq!(order, [2003, 2002, 2001, 2000]);
}

#[test]
fn batch_requests_are_not_starved_by_lookups() {
    let mut engine = small_engine(2, 2);
    fill_pool(&mut engine, RequestClass::Transaction);
    let mut running: Vec<u128> = (0..4).collect();
    let mut batch_starts = 0;
    let batch = admit_request(5000, "office", RequestClass::Batch, NOW + 600_000 * MS);
    engine.admit(NOW, &batch);
    for step in 0..400u32 {
        let now = NOW + step * 10 * MS;
        let lookup = admit_request(
            10_000 + u128::from(step),
            "office",
            RequestClass::Lookup,
            now + 600_000 * MS,
        );
        engine.admit(now, &lookup);
        if let Some(done) = running.pop() {
            engine.request_ended(now, RequestId(done), RequestEnd::Attained);
        }
        let started_requests = poll_started(&mut engine, now);
        batch_starts += started_requests
            .iter()
            .filter(|request| **request < 10_000)
            .count();
        running.extend(started_requests);
        if batch_starts > 0 {
            return;
        }
    }
    panic!("no batch request started while lookups kept the pool full");
}

#[test]
fn burst_of_one_workspace_does_not_delay_another() {
    let workspaces = vec![workspace("large", 1, None), workspace("small", 1, None)];
    let set = object_set(pool_object("pool", 2, 2), workspaces);
    let mut engine = build_engine(PolicySettings::default(), set);
    let admitted_count = fill_pool(&mut engine, RequestClass::Interactive);
    for request in 1000..1050 {
        let burst = admit_request(
            request,
            "large",
            RequestClass::Interactive,
            NOW + 60_000 * MS,
        );
        assert_eq!(engine.admit(NOW, &burst), AdmitDecision::Wait);
    }
    let small = admit_request(2000, "small", RequestClass::Interactive, NOW + 60_000 * MS);
    assert_eq!(engine.admit(NOW, &small), AdmitDecision::Wait);
    let mut order = Vec::new();
    for request in 0..admitted_count {
        engine.request_ended(NOW, RequestId(request), RequestEnd::Attained);
        order.extend(poll_started(&mut engine, NOW));
    }
    let position = order.iter().position(|request| *request == 2000);
    assert!(position.is_some_and(|position| position < 3), "{order:?}");
}

#[test]
fn full_queue_evicts_a_request_of_the_lowest_class() {
    let settings = PolicySettings {
        max_queued: 2,
        ..PolicySettings::default()
    };
    let mut engine = build_engine(settings, object_set(pool_object("pool", 2, 2), Vec::new()));
    fill_pool(&mut engine, RequestClass::Transaction);
    assert_eq!(
        admit(&mut engine, NOW, 2000, RequestClass::Batch),
        AdmitDecision::Wait
    );
    assert_eq!(
        admit(&mut engine, NOW, 2001, RequestClass::Lookup),
        AdmitDecision::Wait
    );
    assert_eq!(
        admit(&mut engine, NOW, 2002, RequestClass::Lookup),
        AdmitDecision::Wait
    );
    assert_eq!(
        engine.next_wake(),
        Some(NOW),
        "the rejection of the evicted request is due immediately"
    );
    let notices = engine.poll(NOW);
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].request, RequestId(2000));
    assert!(is_refused(notices[0].decision, RefuseReason::Overloaded));
    let refused = admit(&mut engine, NOW, 2003, RequestClass::Batch);
    assert!(is_refused(refused, RefuseReason::Overloaded));
}

#[test]
fn queued_request_is_refused_when_it_can_no_longer_meet_its_deadline() {
    let mut engine = small_engine(2, 2);
    fill_pool(&mut engine, RequestClass::Transaction);
    let request = admit_request(2000, "office", RequestClass::Lookup, NOW + 100 * MS);
    assert_eq!(engine.admit(NOW, &request), AdmitDecision::Wait);
    assert!(engine.poll(NOW + 89 * MS).is_empty());
    let wake = engine.next_wake().expect("a request is queued");
    assert_eq!(wake, NOW + 90 * MS, "the deadline minus the expected 10 ms");
    let notices = engine.poll(wake);
    assert!(is_refused(notices[0].decision, RefuseReason::Overloaded));
}

#[test]
fn request_with_too_long_predicted_wait_is_refused_immediately() {
    let mut engine = small_engine(2, 2);
    fill_pool(&mut engine, RequestClass::Transaction);
    let mut waiting = 0;
    for request in 2000..3000 {
        let request = admit_request(request, "office", RequestClass::Lookup, NOW + 100 * MS);
        match engine.admit(NOW, &request) {
            AdmitDecision::Wait => waiting += 1,
            decision => {
                assert!(is_refused(decision, RefuseReason::Overloaded));
                assert!(waiting > 5 && waiting < 100, "{waiting} waited");
                return;
            }
        }
    }
    panic!("1,000 requests of 10 ms were queued for a deadline of 100 ms");
}

#[test]
fn short_deadline_is_refused_only_after_latency_samples() {
    let mut engine = small_engine(4, 4);
    let short_request = |now: MonoTime, request| {
        admit_request(request, "office", RequestClass::Lookup, now + 50 * MS)
    };
    assert_eq!(
        engine.admit(NOW, &short_request(NOW, 1)),
        AdmitDecision::Start
    );
    let mut now = NOW;
    for nonce in 100..130u128 {
        let server = server_name(nonce as usize % 4);
        run_attempt(
            &mut engine,
            now,
            nonce,
            &server,
            80 * MS,
            AttemptOutcome::Answered,
        );
        now = now + 80 * MS;
    }
    let decision = engine.admit(now, &short_request(now, 2));
    let AdmitDecision::Refuse {
        reason,
        retry_after,
    } = decision
    else {
        panic!("expected a rejection, got {decision:?}");
    };
    assert_eq!(reason, RefuseReason::DeadlineTooShort);
    assert!(retry_after >= 100 * MS && retry_after < 1000 * MS);
    let later = now + 30_000 * MS;
    let decision = engine.admit(later, &short_request(later, 3));
    assert_eq!(
        decision,
        AdmitDecision::Start,
        "the estimate decays without samples"
    );
}

#[test]
fn ended_requests_release_their_capacity() {
    let mut engine = small_engine(4, 4);
    for request in 0..10_000 {
        assert_eq!(
            admit(&mut engine, NOW, request, RequestClass::Batch),
            AdmitDecision::Start
        );
        engine.request_ended(NOW, RequestId(request), RequestEnd::Failed);
    }
    assert!(engine.pools()[0].admitted.abs() < 1e-6);
}

#[test]
fn request_that_ends_while_queued_never_starts() {
    let mut engine = small_engine(2, 2);
    let admitted_count = fill_pool(&mut engine, RequestClass::Transaction);
    let waiting = admit(&mut engine, NOW, 2000, RequestClass::Lookup);
    assert_eq!(waiting, AdmitDecision::Wait);
    engine.request_ended(NOW, RequestId(2000), RequestEnd::Failed);
    for request in 0..admitted_count {
        engine.request_ended(NOW, RequestId(request), RequestEnd::Attained);
    }
    assert!(engine.poll(NOW).is_empty());
}

#[test]
fn rejections_by_servers_reduce_the_limit_temporarily() {
    let mut engine = small_engine(4, 4);
    let limit = |engine: &PolicyEngine| engine.pools()[0].limit;
    let before = limit(&engine);
    for nonce in 0..20 {
        let now = NOW + nonce as u32 * 200 * MS;
        run_attempt(
            &mut engine,
            now,
            nonce,
            &server_name(0),
            MS,
            AttemptOutcome::Refused,
        );
    }
    assert!(
        limit(&engine) < 0.8 * before,
        "{} of {before}",
        limit(&engine)
    );
    engine.poll(NOW + 20_000 * MS);
    assert!((limit(&engine) - before).abs() < 1e-6);
}

/// Builds an engine with two pools and three pipelines for lookups: `lookup` uses the first pool,
/// `other` the second pool and `both` uses both.
fn two_pool_engine() -> PolicyEngine {
    let mut set = object_set(pool_object("pool", 2, 2), Vec::new());
    let mut second = pool_object("second", 2, 2);
    for server in &mut second.servers {
        server.name = id(&format!("second-{}", server.name));
    }
    set.pools.push(second);
    let lookup: StageId = id("lookup");
    let mut stage = set.stage(&lookup).expect("the stage of lookups").clone();
    (stage.name, stage.pool) = (id("other"), id("second"));
    set.stages.push(stage);
    let lookups: PipelineId = id("lookup");
    let pipeline = set.pipeline(&lookups).expect("the pipeline").clone();
    for (name, stages) in [("other", vec!["other"]), ("both", vec!["lookup", "other"])] {
        let mut pipeline = pipeline.clone();
        pipeline.name = id(name);
        pipeline.stages = stages.into_iter().map(id).collect();
        set.pipelines.push(pipeline);
    }
    set.sort();
    build_engine(PolicySettings::default(), set)
}

fn admit_to_pipeline(engine: &mut PolicyEngine, request: u128, pipeline: &str) -> AdmitDecision {
    let mut new_request = admit_request(request, "office", RequestClass::Lookup, NOW + 1000 * MS);
    new_request.pipeline = id(pipeline);
    engine.admit(NOW, &new_request)
}

#[test]
fn full_pool_blocks_only_pipelines_that_use_it() {
    let mut engine = two_pool_engine();
    fill_pool(&mut engine, RequestClass::Lookup);
    assert_eq!(
        admit_to_pipeline(&mut engine, 2000, "both"),
        AdmitDecision::Wait
    );
    assert_eq!(
        admit_to_pipeline(&mut engine, 2001, "other"),
        AdmitDecision::Wait
    );
    assert_eq!(
        poll_started(&mut engine, NOW),
        [2001],
        "its pool has free capacity"
    );
}

#[test]
fn request_counts_in_each_pool_by_its_fraction_of_the_time() {
    let mut engine = two_pool_engine();
    for request in 0..8 {
        assert_eq!(
            admit_to_pipeline(&mut engine, request, "both"),
            AdmitDecision::Start
        );
    }
    let admitted: Vec<f64> = engine.pools().iter().map(|pool| pool.admitted).collect();
    assert_eq!(admitted, [4.0, 4.0]);
    (0..8).for_each(|request| {
        engine.request_ended(NOW, RequestId(request), RequestEnd::Attained);
    });
    assert!(engine.pools().iter().all(|pool| pool.admitted == 0.0));
}
