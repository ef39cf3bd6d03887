//! Admission, fairness and deadlines.

mod common;

use common::{MS, admit, admit_request, engine, id, object_set, pool_object, run_attempt};
use common::{server_name, small_engine, workspace};
use hollywheel_policy::{
    AdmitDecision, AttemptOutcome, PolicyEngine, PolicySettings, RefuseReason, RequestEnd,
};
use hollywheel_types::{MonoTime, PipelineId, RequestClass, RequestId, StageId};

const NOW: MonoTime = MonoTime::from_millis(1000);

fn is_refused(decision: AdmitDecision, expected: RefuseReason) -> bool {
    matches!(decision, AdmitDecision::Refuse { reason, .. } if reason == expected)
}

/// Admits requests of a class until one waits and returns the next free number.
fn fill(engine: &mut PolicyEngine, class: RequestClass) -> u128 {
    for request in 0..1000 {
        if admit(engine, NOW, request, class) == AdmitDecision::Wait {
            engine.withdraw(NOW, RequestId(request));
            return request;
        }
    }
    panic!("no limit was met");
}

fn started(engine: &mut PolicyEngine, now: MonoTime) -> Vec<u128> {
    let notices = engine.poll(now).into_iter();
    let starts = notices.filter(|notice| notice.decision == AdmitDecision::Start);
    starts.map(|notice| notice.request.0).collect()
}

#[test]
fn higher_classes_go_first() {
    let mut engine = small_engine(2, 2);
    let full = fill(&mut engine, RequestClass::Transaction);
    let classes = [
        RequestClass::Batch,
        RequestClass::Interactive,
        RequestClass::Lookup,
        RequestClass::Transaction,
    ];
    for (at, class) in classes.into_iter().enumerate() {
        let request = 2000 + at as u128;
        assert_eq!(admit(&mut engine, NOW, request, class), AdmitDecision::Wait);
    }
    let mut order = Vec::new();
    for request in 0..full {
        engine.request_ended(NOW, RequestId(request), RequestEnd::Attained);
        order.extend(started(&mut engine, NOW));
    }
    assert_eq!(order, [2003, 2002, 2001, 2000]);
}

#[test]
fn batch_is_not_starved() {
    let mut engine = small_engine(2, 2);
    fill(&mut engine, RequestClass::Transaction);
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
        let starts = started(&mut engine, now);
        batch_starts += starts.iter().filter(|request| **request < 10_000).count();
        running.extend(starts);
        if batch_starts > 0 {
            return;
        }
    }
    panic!("no batch request started while lookups kept the pool full");
}

#[test]
fn a_burst_of_one_workspace_does_not_delay_another() {
    let workspaces = vec![workspace("large", 1, None), workspace("small", 1, None)];
    let set = object_set(pool_object("pool", 2, 2), workspaces);
    let mut engine = engine(PolicySettings::default(), set);
    let full = fill(&mut engine, RequestClass::Interactive);
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
    for request in 0..full {
        engine.request_ended(NOW, RequestId(request), RequestEnd::Attained);
        order.extend(started(&mut engine, NOW));
    }
    let place = order.iter().position(|request| *request == 2000);
    assert!(place.is_some_and(|place| place < 3), "{order:?}");
}

#[test]
fn a_full_queue_evicts_the_lowest_class() {
    let settings = PolicySettings {
        max_queued: 2,
        ..PolicySettings::default()
    };
    let mut engine = engine(settings, object_set(pool_object("pool", 2, 2), Vec::new()));
    fill(&mut engine, RequestClass::Transaction);
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
    assert_eq!(engine.next_wake(), Some(NOW), "the refusal is due at once");
    let notices = engine.poll(NOW);
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].request, RequestId(2000));
    assert!(is_refused(notices[0].decision, RefuseReason::Overloaded));
    let refused = admit(&mut engine, NOW, 2003, RequestClass::Batch);
    assert!(is_refused(refused, RefuseReason::Overloaded));
}

#[test]
fn what_waited_too_long_is_refused() {
    let mut engine = small_engine(2, 2);
    fill(&mut engine, RequestClass::Transaction);
    let request = admit_request(2000, "office", RequestClass::Lookup, NOW + 100 * MS);
    assert_eq!(engine.admit(NOW, &request), AdmitDecision::Wait);
    assert!(engine.poll(NOW + 89 * MS).is_empty());
    let wake = engine.next_wake().expect("a request waits");
    assert_eq!(wake, NOW + 90 * MS, "the deadline less the expected 10 ms");
    let notices = engine.poll(wake);
    assert!(is_refused(notices[0].decision, RefuseReason::Overloaded));
}

#[test]
fn a_wait_that_cannot_end_in_time_is_refused_at_once() {
    let mut engine = small_engine(2, 2);
    fill(&mut engine, RequestClass::Transaction);
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
    panic!("a queue of 1,000 requests of 10 ms was accepted for a deadline of 100 ms");
}

#[test]
fn a_short_deadline_is_refused_only_on_data() {
    let mut engine = small_engine(4, 4);
    let short = |now: MonoTime, request| {
        admit_request(request, "office", RequestClass::Lookup, now + 50 * MS)
    };
    assert_eq!(engine.admit(NOW, &short(NOW, 1)), AdmitDecision::Start);
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
    let decision = engine.admit(now, &short(now, 2));
    let AdmitDecision::Refuse {
        reason,
        retry_after,
    } = decision
    else {
        panic!("expected a refusal, got {decision:?}");
    };
    assert_eq!(reason, RefuseReason::DeadlineTooShort);
    assert!(retry_after >= 100 * MS && retry_after < 1000 * MS);
    let later = now + 30_000 * MS;
    let decision = engine.admit(later, &short(later, 3));
    assert_eq!(decision, AdmitDecision::Start, "work is tried again");
}

#[test]
fn ended_requests_free_what_they_held() {
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
fn a_request_that_ended_while_it_waited_never_starts() {
    let mut engine = small_engine(2, 2);
    let full = fill(&mut engine, RequestClass::Transaction);
    let waiting = admit(&mut engine, NOW, 2000, RequestClass::Lookup);
    assert_eq!(waiting, AdmitDecision::Wait);
    engine.request_ended(NOW, RequestId(2000), RequestEnd::Failed);
    for request in 0..full {
        engine.request_ended(NOW, RequestId(request), RequestEnd::Attained);
    }
    assert!(engine.poll(NOW).is_empty());
}

#[test]
fn refusals_of_servers_shrink_the_limit_for_a_while() {
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

/// Builds an engine with a second pool, a pipeline `other` on it alone and a pipeline `both` on
/// the two, all for lookups.
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
    engine(PolicySettings::default(), set)
}

fn admit_to(engine: &mut PolicyEngine, request: u128, pipeline: &str) -> AdmitDecision {
    let mut asked = admit_request(request, "office", RequestClass::Lookup, NOW + 1000 * MS);
    asked.pipeline = id(pipeline);
    engine.admit(NOW, &asked)
}

#[test]
fn a_full_pool_holds_back_only_pipelines_that_pass_it() {
    let mut engine = two_pool_engine();
    fill(&mut engine, RequestClass::Lookup);
    assert_eq!(admit_to(&mut engine, 2000, "both"), AdmitDecision::Wait);
    assert_eq!(admit_to(&mut engine, 2001, "other"), AdmitDecision::Wait);
    assert_eq!(
        started(&mut engine, NOW),
        [2001],
        "it waits for the other pool alone"
    );
}

#[test]
fn a_request_counts_in_each_pool_for_its_part_of_the_time() {
    let mut engine = two_pool_engine();
    for request in 0..8 {
        assert_eq!(admit_to(&mut engine, request, "both"), AdmitDecision::Start);
    }
    let admitted: Vec<f64> = engine.pools().iter().map(|pool| pool.admitted).collect();
    assert_eq!(admitted, [4.0, 4.0]);
    (0..8).for_each(|request| {
        engine.request_ended(NOW, RequestId(request), RequestEnd::Attained);
    });
    assert!(engine.pools().iter().all(|pool| pool.admitted == 0.0));
}
