//! Tests of open-loop load against a test server.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{ServerHabit, objects, pipeline, plan, start_server};
use hollywheel_bench::{
    EventReader, KeySource, LoadPlan, ServerEvent, check_outcomes, read_records, run_load,
    summarize, write_records,
};
use tokio::net::TcpListener;

async fn quick_server() -> SocketAddr {
    let after = Duration::ZERO;
    start_server(ServerHabit::Answer { after }).await
}

/// Returns an address that refuses connections.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn answers_are_recorded_whole_and_compared() {
    let mut streamed = pipeline("summary");
    streamed.stream = true;
    streamed.max_tokens = Some(4);
    let plan = LoadPlan {
        addresses: vec![quick_server().await],
        ..plan(vec![streamed, pipeline("summary")])
    };
    let records = run_load(&plan, "run").await.unwrap();
    let summary = summarize(&plan, &records);
    assert_eq!(summary.total.attained, summary.total.requests);
    assert!(records.iter().any(|record| record.indices == [0, 1, 2, 3]));
    let path = std::env::temp_dir().join(format!("hollywheel-bench-{}", std::process::id()));
    write_records(&path, &records).unwrap();
    assert_eq!(read_records(&path).unwrap(), records);
    std::fs::remove_file(&path).unwrap();
    // The server keeps no ledger, so only the rule about starts is broken.
    let report = check_outcomes(&objects(), &records, &[]);
    assert_eq!(report.answers, summary.total.requests);
    assert!(
        report
            .differences
            .iter()
            .all(|one| one.rule.name() == "ran")
    );
}

#[tokio::test]
async fn hosts_that_refuse_connections_are_passed_over() {
    let plan = LoadPlan {
        addresses: vec![closed_address().await, quick_server().await],
        ..plan(vec![pipeline("summary")])
    };
    let records = run_load(&plan, "run").await.unwrap();
    let incomplete = records.iter().find(|record| !record.complete);
    assert_eq!(incomplete, None);
    let plan = LoadPlan {
        addresses: vec![closed_address().await],
        ..plan
    };
    let records = run_load(&plan, "run").await.unwrap();
    let summary = summarize(&plan, &records);
    assert_eq!(summary.total.not_sent, summary.total.requests);
}

#[tokio::test]
async fn slow_answers_do_not_delay_later_requests() {
    let after = Duration::from_millis(300);
    let plan = LoadPlan {
        addresses: vec![start_server(ServerHabit::Answer { after }).await],
        ..plan(vec![pipeline("summary")])
    };
    let records = run_load(&plan, "run").await.unwrap();
    assert!(records.iter().all(|record| record.latency_us >= 300_000));
    let overlapping = records
        .windows(2)
        .filter(|two| two[1].sent_us < two[0].sent_us + 300_000);
    assert_eq!(overlapping.count(), records.len() - 1);
}

#[tokio::test]
async fn refusals_are_retried_with_their_key() {
    let mut keyed = pipeline("payment");
    keyed.keyed = true;
    let plan = LoadPlan {
        addresses: vec![start_server(ServerHabit::Refuse).await],
        seconds: 0.1,
        retries: 2,
        ..plan(vec![keyed])
    };
    let records = run_load(&plan, "run").await.unwrap();
    let summary = summarize(&plan, &records);
    assert!(summary.total.requests > 0);
    assert_eq!(summary.total.not_run, summary.total.requests);
    assert_eq!(records.len() as u64, 3 * summary.total.requests);
    assert_eq!(records[0].key, records[2].key);
    assert_eq!(records[0].reason, "overloaded");
    assert_eq!(records[0].retry_after_ms, Some(5));
}

#[tokio::test]
async fn issued_keys_are_fetched_first_and_own_ones_used_without_them() {
    let mut keyed = pipeline("payment");
    keyed.keyed = true;
    keyed.keys = KeySource::Issued;
    let issuing = LoadPlan {
        addresses: vec![quick_server().await],
        ..plan(vec![keyed.clone()])
    };
    let records = run_load(&issuing, "run").await.unwrap();
    assert!(!records.is_empty());
    let mut keys: Vec<_> = records.iter().map(|record| record.key.clone()).collect();
    assert!(keys.iter().all(|key| key.starts_with("issue:one:1:")));
    keys.sort();
    keys.dedup();
    assert_eq!(keys.len(), records.len());
    let refusing = LoadPlan {
        addresses: vec![start_server(ServerHabit::Refuse).await],
        ..plan(vec![keyed])
    };
    let records = run_load(&refusing, "run").await.unwrap();
    assert!(!records.is_empty());
    assert!(records.iter().all(|record| record.key.starts_with("run-")));
}

#[tokio::test]
async fn answers_after_the_target_are_not_attained() {
    let after = Duration::from_millis(50);
    let mut late = pipeline("summary");
    late.deadline_ms = 20;
    let plan = LoadPlan {
        addresses: vec![start_server(ServerHabit::Answer { after }).await],
        ..plan(vec![late])
    };
    let records = run_load(&plan, "run").await.unwrap();
    let total = summarize(&plan, &records).total;
    assert_eq!((total.attained, total.complete), (0, total.requests));
}

#[test]
fn events_are_read_across_pieces() {
    let text =
        b"event: token\r\ndata: {\"index\":0}\n\n:comment\n\nevent: complete\ndata: a\ndata: b\n\n";
    let event = |name: &str, data: &str| ServerEvent {
        name: name.to_owned(),
        data: data.to_owned(),
    };
    for size in 1..text.len() {
        let mut reader = EventReader::default();
        let events: Vec<_> = text
            .chunks(size)
            .flat_map(|piece| reader.read(piece))
            .collect();
        assert_eq!(
            events,
            [event("token", "{\"index\":0}"), event("complete", "a\nb")]
        );
    }
}
