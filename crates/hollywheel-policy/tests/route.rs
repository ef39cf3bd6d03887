//! Tests of the choice of backend servers.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{
    MS, build_engine, id, object_set, pick, picked_server, pool_object, run_attempt, server_report,
};
use common::{sent_attempt, server_name, small_engine};
use hollywheel_policy::{
    AttemptOutcome, PickDecision, PickRequest, PolicySettings, RefuseReason, RoutingPolicy,
};
use hollywheel_types::{ModelId, MonoTime, PoolId, RequestClass, ServerId};

const NOW: MonoTime = MonoTime::from_millis(1000);

#[test]
fn leaving_and_excluded_servers_are_never_picked() {
    for policy in RoutingPolicy::ALL {
        let settings = PolicySettings {
            routing: policy,
            ..PolicySettings::default()
        };
        let mut engine = build_engine(settings, object_set(pool_object("pool", 4, 4), Vec::new()));
        engine.server_leaving(NOW, &server_name(0));
        let exclude = [server_name(1)];
        for _ in 0..200 {
            let server = picked_server(pick(&mut engine, NOW, RequestClass::Lookup, &exclude));
            assert!(
                server == server_name(2) || server == server_name(3),
                "{policy}"
            );
        }
    }
}

#[test]
fn leaving_lasts_until_a_newer_incarnation_reports() {
    let mut engine = small_engine(2, 4);
    let server = server_name(0);
    engine.server_reported(NOW, &server_report(&server, 7, 0, 4), Duration::ZERO);
    engine.server_leaving(NOW, &server);
    engine.server_reported(NOW + MS, &server_report(&server, 7, 0, 4), Duration::ZERO);
    assert!(
        !engine.subset().contains(&server),
        "a report of the leaving incarnation put the server back"
    );
    engine.server_reported(
        NOW + 2 * MS,
        &server_report(&server, 8, 0, 4),
        Duration::ZERO,
    );
    assert!(
        engine.subset().contains(&server),
        "a newer incarnation is not leaving"
    );
    engine.server_reported(
        NOW + 3 * MS,
        &server_report(&server, 7, 0, 4),
        Duration::ZERO,
    );
    assert!(engine.subset().contains(&server));
}

#[test]
fn outdated_report_can_still_mark_a_server_as_leaving() {
    let mut engine = small_engine(2, 4);
    let server = server_name(0);
    engine.server_reported(NOW, &server_report(&server, 7, 0, 4), Duration::ZERO);
    let mut late_report = server_report(&server, 7, 0, 4);
    late_report.leaving = true;
    engine.server_reported(NOW, &late_report, Duration::from_millis(500));
    assert!(!engine.subset().contains(&server));
}

#[test]
fn only_servers_with_the_model_loaded_are_picked() {
    let mut engine = small_engine(3, 4);
    let model: ModelId = id("rates-7b");
    let other: ModelId = id("other");
    for (at, loaded_model) in [&other, &model, &other].into_iter().enumerate() {
        let mut server_report = server_report(&server_name(at), 1, 0, 4);
        server_report.models = vec![loaded_model.clone()];
        engine.server_reported(NOW, &server_report, Duration::ZERO);
    }
    let pool: PoolId = id("pool");
    let stage = id("lookup");
    let mut request = PickRequest {
        pool: &pool,
        stage: &stage,
        class: RequestClass::Lookup,
        model: Some(&model),
        prefix: None,
        exclude: &[],
        deadline: NOW + 1000 * MS,
        later_stages: Duration::ZERO,
    };
    for _ in 0..50 {
        assert_eq!(picked_server(engine.pick(NOW, &request)), server_name(1));
    }
    let exclude = [server_name(1)];
    request.exclude = &exclude;
    let refused = engine.pick(NOW, &request);
    assert!(matches!(
        refused,
        PickDecision::Refuse {
            reason: RefuseReason::NoServer,
            ..
        }
    ));
}

#[test]
fn server_outside_the_subset_is_picked_for_its_model() {
    let settings = PolicySettings {
        subset_size: 2,
        ..PolicySettings::default()
    };
    let mut engine = build_engine(settings, object_set(pool_object("pool", 10, 4), Vec::new()));
    let subset = engine.subset();
    let holder = (0..10).map(server_name).find(|name| !subset.contains(name));
    let holder = holder.expect("the subset is smaller than the pool");
    let model: ModelId = id("rates-7b");
    for at in 0..10 {
        let mut server_report = server_report(&server_name(at), 1, 0, 4);
        server_report.models = vec![id("other")];
        if server_name(at) == holder {
            server_report.models = vec![model.clone()];
        }
        engine.server_reported(NOW, &server_report, Duration::ZERO);
    }
    let request = PickRequest {
        pool: &id("pool"),
        stage: &id("lookup"),
        class: RequestClass::Lookup,
        model: Some(&model),
        prefix: None,
        exclude: &[],
        deadline: NOW + 1000 * MS,
        later_stages: Duration::ZERO,
    };
    assert_eq!(picked_server(engine.pick(NOW, &request)), holder);
}

#[test]
fn two_choices_avoids_the_more_loaded_server() {
    let mut engine = small_engine(2, 4);
    engine.server_reported(
        NOW,
        &server_report(&server_name(0), 1, 4, 4),
        Duration::ZERO,
    );
    engine.server_reported(
        NOW,
        &server_report(&server_name(1), 1, 0, 4),
        Duration::ZERO,
    );
    for nonce in 0..3 {
        let server = picked_server(pick(&mut engine, NOW, RequestClass::Lookup, &[]));
        assert_eq!(server, server_name(1));
        engine.attempt_sent(
            NOW,
            &sent_attempt(nonce, nonce, &server, RequestClass::Lookup),
        );
    }
}

#[test]
fn local_failure_domain_wins_only_between_equal_loads() {
    let settings = PolicySettings {
        domain: id("alatau"),
        ..PolicySettings::default()
    };
    let mut engine = build_engine(settings, object_set(pool_object("pool", 3, 4), Vec::new()));
    let mut local_picks = 0;
    for _ in 0..300 {
        let server = picked_server(pick(&mut engine, NOW, RequestClass::Lookup, &[]));
        local_picks += usize::from(server == server_name(2));
    }
    assert!(
        local_picks > 170,
        "two of three pairs contain the local server, but {local_picks} of 300 picks chose it"
    );
    for (at, running) in [0, 0, 1].into_iter().enumerate() {
        engine.server_reported(
            NOW,
            &server_report(&server_name(at), 1, running, 4),
            Duration::ZERO,
        );
    }
    for _ in 0..50 {
        let server = picked_server(pick(&mut engine, NOW, RequestClass::Lookup, &[]));
        assert_ne!(
            server,
            server_name(2),
            "one more request outweighs the local domain"
        );
    }
}

#[test]
fn prefix_affinity_holds_until_the_load_bound() {
    let settings = PolicySettings {
        routing: RoutingPolicy::PrefixAffinity,
        ..PolicySettings::default()
    };
    let mut engine = build_engine(settings, object_set(pool_object("pool", 6, 4), Vec::new()));
    let pool: PoolId = id("pool");
    let stage = id("interactive");
    let request = PickRequest {
        pool: &pool,
        stage: &stage,
        class: RequestClass::Interactive,
        model: None,
        prefix: Some(42),
        exclude: &[],
        deadline: NOW + 1000 * MS,
        later_stages: Duration::ZERO,
    };
    let assigned_server = picked_server(engine.pick(NOW, &request));
    for _ in 0..20 {
        assert_eq!(picked_server(engine.pick(NOW, &request)), assigned_server);
    }
    for at in 0..6 {
        engine.server_reported(
            NOW,
            &server_report(&server_name(at), 1, 0, 4),
            Duration::ZERO,
        );
    }
    engine.server_reported(
        NOW,
        &server_report(&assigned_server, 1, 4, 4),
        Duration::ZERO,
    );
    assert_ne!(
        picked_server(engine.pick(NOW, &request)),
        assigned_server,
        "the load of the assigned server exceeds the bound"
    );
    let holder: ServerId = (0..6)
        .map(server_name)
        .find(|name| *name != assigned_server)
        .expect("six servers");
    let mut holder_report = server_report(&holder, 1, 0, 4);
    holder_report.prefixes = vec![42];
    engine.server_reported(NOW, &holder_report, Duration::ZERO);
    assert_eq!(picked_server(engine.pick(NOW, &request)), holder);
}

#[test]
fn saturated_servers_make_batch_wait_but_not_transactions() {
    let mut engine = small_engine(2, 2);
    for at in 0..2 {
        engine.server_reported(
            NOW,
            &server_report(&server_name(at), 1, 3, 2),
            Duration::ZERO,
        );
    }
    let waits = pick(&mut engine, NOW, RequestClass::Batch, &[]);
    let PickDecision::Wait { until } = waits else {
        panic!("expected the request to wait, got {waits:?}");
    };
    assert!(until > NOW && until < NOW + 100 * MS);
    picked_server(pick(&mut engine, NOW, RequestClass::Transaction, &[]));
}

#[test]
fn deadline_shorter_than_the_stage_is_refused() {
    let mut engine = small_engine(2, 2);
    let request = PickRequest {
        pool: &id("pool"),
        stage: &id("lookup"),
        class: RequestClass::Lookup,
        model: None,
        prefix: None,
        exclude: &[],
        deadline: NOW + 5 * MS,
        later_stages: Duration::ZERO,
    };
    let decision = engine.pick(NOW, &request);
    assert!(matches!(
        decision,
        PickDecision::Refuse {
            reason: RefuseReason::DeadlineTooShort,
            ..
        }
    ));
}

#[test]
fn install_keeps_the_state_of_remaining_servers() {
    let mut engine = small_engine(4, 4);
    engine.server_leaving(NOW, &server_name(0));
    for nonce in 0..3 {
        run_attempt(
            &mut engine,
            NOW,
            nonce,
            &server_name(1),
            MS,
            AttemptOutcome::Failed,
        );
    }
    let set = object_set(pool_object("pool", 6, 4), Vec::new());
    engine.install(NOW + MS, &Arc::new(set));
    for _ in 0..200 {
        let server = picked_server(pick(&mut engine, NOW + MS, RequestClass::Lookup, &[]));
        assert!(server != server_name(0) && server != server_name(1));
    }
}
