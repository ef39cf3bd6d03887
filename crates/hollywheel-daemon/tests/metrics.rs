//! Tests of the names of metrics and of the limit on their series.

use std::time::Duration;

use hollywheel_daemon::metrics::{DaemonMetrics, TRACKED_WORKSPACES, WorkspaceRank};
use hollywheel_node::{NodeEvent, RefusalReason, RequestSummary};
use hollywheel_policy::{AttemptKind, AttemptOutcome, RequestEnd};
use hollywheel_store::StoreFailure;
use hollywheel_types::{
    AttemptNonce, ExecutionVerdict, RequestClass, RequestId, ServerId, StageId, WorkspaceId,
};

const METRICS_DOC: &str = include_str!("../../../docs/METRICS.md");

fn workspace(at: usize) -> WorkspaceId {
    format!("w-{at}").parse().unwrap()
}

fn ended(at: usize) -> NodeEvent {
    NodeEvent::Ended(RequestSummary {
        request: RequestId(1),
        workspace: workspace(at),
        pipeline: "p".parse().unwrap(),
        class: RequestClass::Lookup,
        end: RequestEnd::Attained,
        verdict: ExecutionVerdict::Ran,
        reason: None,
        total: Duration::from_millis(12),
        first_token: None,
        longest_gap: None,
        attempts: 1,
    })
}

/// Returns metrics with a value each, because those without one are not exported.
fn filled_metrics() -> DaemonMetrics {
    let metrics = DaemonMetrics::new();
    if let NodeEvent::Ended(summary) = ended(1) {
        metrics.observe(&NodeEvent::Ended(RequestSummary {
            reason: Some(RefusalReason::Draining),
            first_token: Some(Duration::from_millis(3)),
            longest_gap: Some(Duration::from_millis(3)),
            ..summary
        }));
    }
    let (request, nonce) = (RequestId(1), AttemptNonce(2));
    let stage: StageId = "s".parse().unwrap();
    let server: ServerId = "e".parse().unwrap();
    metrics.observe(&NodeEvent::Sent {
        request,
        nonce,
        stage: stage.clone(),
        server: server.clone(),
        kind: AttemptKind::Hedge,
    });
    metrics.observe(&NodeEvent::AttemptEnded {
        request,
        nonce,
        stage,
        server,
        outcome: AttemptOutcome::TimedOut,
        took: Duration::from_millis(1),
    });
    metrics.call_rejected("no-key");
    metrics.store_called(&Err(StoreFailure::Unknown));
    metrics.connections("callers").refused();
    metrics.rows_removed("claim", 1);
    metrics.set_cost("s", "lookup", "useful", 1.0);
    metrics
}

#[test]
fn the_docs_list_every_metric() {
    let text = filled_metrics().text();
    let names = text.lines().filter_map(|line| {
        let (name, kind) = line.strip_prefix("# TYPE hollywheel_")?.split_once(' ')?;
        let suffix = if kind == "counter" { "_total" } else { "" };
        Some(format!("| `{name}{suffix}` | {kind} |"))
    });
    let names: Vec<String> = names.collect();
    assert!(names.len() > 15, "{text}");
    for name in &names {
        assert!(METRICS_DOC.contains(name), "docs/METRICS.md lacks {name}");
    }
    let rows = METRICS_DOC.lines().filter(|line| line.starts_with("| `"));
    assert_eq!(rows.count(), names.len());
}

#[test]
fn series_of_workspaces_are_bounded_and_follow_the_load() {
    let metrics = DaemonMetrics::new();
    for at in 0..4800 {
        metrics.observe(&ended(at));
    }
    for _ in 0..3000 {
        metrics.observe(&ended(4799));
    }
    let text = metrics.text();
    let series = text.matches("workspace_request_seconds_count{").count();
    assert!(series <= TRACKED_WORKSPACES + 1, "{series}");
    assert!(text.contains("seconds_count{workspace=\"w-4799\"}"));
    assert!(text.contains("seconds_count{workspace=\"other\"}"));
}

#[test]
fn a_workspace_that_goes_quiet_loses_its_series() {
    let mut rank = WorkspaceRank::default();
    let quiet = workspace(0);
    rank.count(&quiet);
    assert!(rank.is_tracked(&quiet));
    let mut demoted = Vec::new();
    for round in 0..4096 {
        demoted.extend(rank.count(&workspace(1 + round % 40)));
    }
    assert!(demoted.contains(&quiet));
    assert!(!rank.is_tracked(&quiet));
}
