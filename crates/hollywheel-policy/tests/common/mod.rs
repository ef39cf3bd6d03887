//! Objects and requests shared by the tests.

#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::{
    ObjectSet, PipelineObject, PoolKind, PoolObject, ServerEntry, StageKind, StageObject,
    TargetObject, WorkspaceObject,
};
use hollywheel_policy::{
    AdmitDecision, AdmitRequest, AttemptKind, AttemptOutcome, PickDecision, PickRequest,
    PolicyEngine, PolicySettings, RequestEnd, SentAttempt, ServerReport,
};
use hollywheel_types::{
    AttemptNonce, Incarnation, MonoTime, Percent, PoolId, RequestClass, RequestId, RequestRate,
    ServerId,
};

pub const MS: Duration = Duration::from_millis(1);

pub fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

pub fn server_name(at: usize) -> ServerId {
    id(&format!("server-{at:03}"))
}

/// Builds a pool of servers spread over three failure domains.
pub fn pool_object(name: &str, servers: usize, slots: u32) -> PoolObject {
    let domains = ["medeu", "bostandyk", "alatau"];
    let entry = |at: usize| ServerEntry {
        name: server_name(at),
        address: ([127, 0, 0, 1], 4000).into(),
        domain: id(domains[at % 3]),
    };
    PoolObject {
        name: id(name),
        kind: PoolKind::Service,
        slots,
        fencing: false,
        max_ejected: Percent::new(34),
        retry_budget: Percent::new(10),
        hedge_budget: Percent::new(0),
        models: Vec::new(),
        servers: (0..servers).map(entry).collect(),
    }
}

pub fn workspace(name: &str, share: u32, rate: Option<(f64, u32)>) -> WorkspaceObject {
    WorkspaceObject {
        name: id(name),
        key_hashes: Vec::new(),
        share,
        rate: rate.map(|(rate, _)| RequestRate::per_second(rate)),
        burst: rate.map(|(_, burst)| burst),
    }
}

/// Builds a set with one pool and one pipeline for each class, named after the class.
pub fn object_set(pool: PoolObject, workspaces: Vec<WorkspaceObject>) -> ObjectSet {
    let mut set = ObjectSet {
        workspaces,
        ..ObjectSet::default()
    };
    for class in RequestClass::ALL {
        set.stages.push(StageObject {
            name: id(class.name()),
            kind: StageKind::Call,
            pool: pool.name.clone(),
            idempotent: true,
            min_ms: 10,
            model: None,
            max_tokens: None,
        });
        set.targets.push(TargetObject {
            name: id(class.name()),
            class,
            deadline_ms: 1000,
            first_token_ms: None,
            token_gap_ms: None,
            attainment: Percent::new(99),
        });
        set.pipelines.push(PipelineObject {
            name: id(class.name()),
            stages: vec![id(class.name())],
            target: id(class.name()),
            workspaces: Vec::new(),
        });
    }
    set.pools.push(pool);
    set.sort();
    set
}

pub fn engine(settings: PolicySettings, set: ObjectSet) -> PolicyEngine {
    let mut engine = PolicyEngine::new(settings);
    engine.install(MonoTime(0), &Arc::new(set));
    engine
}

pub fn small_engine(servers: usize, slots: u32) -> PolicyEngine {
    let set = object_set(pool_object("pool", servers, slots), Vec::new());
    engine(PolicySettings::default(), set)
}

pub fn admit_request(
    request: u128,
    workspace: &str,
    class: RequestClass,
    deadline: MonoTime,
) -> AdmitRequest {
    AdmitRequest {
        request: RequestId(request),
        workspace: id(workspace),
        pipeline: id(class.name()),
        class,
        deadline,
    }
}

pub fn admit(
    engine: &mut PolicyEngine,
    now: MonoTime,
    request: u128,
    class: RequestClass,
) -> AdmitDecision {
    let request = admit_request(request, "office", class, now + 1000 * MS);
    engine.admit(now, &request)
}

pub fn pick(
    engine: &mut PolicyEngine,
    now: MonoTime,
    class: RequestClass,
    exclude: &[ServerId],
) -> PickDecision {
    let pool: PoolId = id("pool");
    let request = PickRequest {
        pool: &pool,
        stage: &id(class.name()),
        class,
        model: None,
        prefix: None,
        exclude,
        deadline: now + 1000 * MS,
        later_stages: Duration::ZERO,
    };
    engine.pick(now, &request)
}

pub fn picked(decision: PickDecision) -> ServerId {
    match decision {
        PickDecision::Send(server) => server,
        other => panic!("expected a server, got {other:?}"),
    }
}

pub fn sent(nonce: u128, request: u128, server: &ServerId, class: RequestClass) -> SentAttempt {
    SentAttempt {
        nonce: AttemptNonce(nonce),
        request: RequestId(request),
        server: server.clone(),
        pool: id("pool"),
        stage: id(class.name()),
        workspace: id("office"),
        class,
        kind: AttemptKind::First,
    }
}

/// Sends one attempt to a server and ends it after a time.
pub fn run_attempt(
    engine: &mut PolicyEngine,
    now: MonoTime,
    nonce: u128,
    server: &ServerId,
    took: Duration,
    outcome: AttemptOutcome,
) {
    let attempt = sent(nonce, nonce, server, RequestClass::Lookup);
    engine.attempt_sent(now, &attempt);
    engine.attempt_finished(now + took, attempt.nonce, outcome);
    engine.request_ended(now + took, attempt.request, RequestEnd::Attained);
}

pub fn report(server: &ServerId, incarnation: u64, running: u32, slots: u32) -> ServerReport {
    ServerReport {
        server: server.clone(),
        incarnation: Incarnation(incarnation),
        running,
        queued: 0,
        slots,
        leaving: false,
        models: Vec::new(),
        prefixes: Vec::new(),
    }
}
