//! Builders of objects, requests and engines, shared by the tests and the simulation example.

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

/// One millisecond.
pub const MS: Duration = Duration::from_millis(1);

/// Parses an identifier.
pub fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("test identifier is valid")
}

/// Returns the name of the server at an index of the pool.
pub fn server_name(index: usize) -> ServerId {
    id(&format!("server-{index:03}"))
}

/// Builds a pool whose servers are spread evenly over three failure domains.
pub fn pool_object(name: &str, servers: usize, slots: u32) -> PoolObject {
    let domains = ["medeu", "bostandyk", "alatau"];
    let entry = |index: usize| ServerEntry {
        name: server_name(index),
        address: ([127, 0, 0, 1], 4000).into(),
        domain: id(domains[index % 3]),
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

/// Builds a workspace; `rate` is its rate per second and its burst.
pub fn workspace(name: &str, share: u32, rate: Option<(f64, u32)>) -> WorkspaceObject {
    WorkspaceObject {
        name: id(name),
        key_hashes: Vec::new(),
        share,
        rate: rate.map(|(rate, _)| RequestRate::per_second(rate)),
        burst: rate.map(|(_, burst)| burst),
    }
}

/// Builds an object set with one pool and, for each class, one pipeline named after the class.
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

/// Builds an engine with an object set installed.
pub fn build_engine(settings: PolicySettings, set: ObjectSet) -> PolicyEngine {
    let mut engine = PolicyEngine::new(settings);
    engine.install(MonoTime(0), &Arc::new(set));
    engine
}

/// Builds an engine with one pool named `pool` and default settings.
pub fn small_engine(servers: usize, slots: u32) -> PolicyEngine {
    let set = object_set(pool_object("pool", servers, slots), Vec::new());
    build_engine(PolicySettings::default(), set)
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

/// Asks for the admission of a request with a deadline of one second.
pub fn admit(
    engine: &mut PolicyEngine,
    now: MonoTime,
    request: u128,
    class: RequestClass,
) -> AdmitDecision {
    let request = admit_request(request, "office", class, now + 1000 * MS);
    engine.admit(now, &request)
}

/// Picks a server of the pool `pool` for an attempt with a deadline of one second.
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

/// Returns the picked server.
///
/// # Panics
///
/// Panics if the decision is not to send.
pub fn picked_server(decision: PickDecision) -> ServerId {
    match decision {
        PickDecision::Send(server) => server,
        other => panic!("expected a server, got {other:?}"),
    }
}

/// Describes a first attempt that was sent to a server of the pool `pool`.
pub fn sent_attempt(
    nonce: u128,
    request: u128,
    server: &ServerId,
    class: RequestClass,
) -> SentAttempt {
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

/// Runs one request with a single attempt that ends with `outcome` after `latency`.
pub fn run_attempt(
    engine: &mut PolicyEngine,
    now: MonoTime,
    nonce: u128,
    server: &ServerId,
    latency: Duration,
    outcome: AttemptOutcome,
) {
    let attempt = sent_attempt(nonce, nonce, server, RequestClass::Lookup);
    engine.attempt_sent(now, &attempt);
    engine.attempt_finished(now + latency, attempt.nonce, outcome);
    engine.request_ended(now + latency, attempt.request, RequestEnd::Attained);
}

/// Builds a load report with an empty queue.
pub fn server_report(
    server: &ServerId,
    incarnation: u64,
    running: u32,
    slots: u32,
) -> ServerReport {
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
