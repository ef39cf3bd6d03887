//! Open-loop load: each request is sent at its time, independent of the outcome of earlier ones.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::arrival::{PlannedRequest, arrivals};
use crate::caller::{CallSettings, HostCaller, micros};
use crate::error::BenchError;
use crate::plan::{KeySource, LoadPlan};
use crate::record::RequestRecord;

/// Maximum wait before a retry.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(5);

/// Sends a load and returns the records, sorted by number and attempt.
///
/// # Errors
///
/// Returns [`BenchError::Field`] if the plan is out of range or names no daemon.
pub async fn run_load(plan: &LoadPlan, run: &str) -> Result<Vec<RequestRecord>, BenchError> {
    plan.check()?;
    if plan.addresses.is_empty() {
        return Err(BenchError::field("addresses", "at least one daemon"));
    }
    let plan = Arc::new(plan.clone());
    let caller = Arc::new(HostCaller::new(plan.addresses.clone()));
    let permits = Arc::new(Semaphore::new(plan.max_in_flight as usize));
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    let mut records = Vec::new();
    for request in arrivals(&plan, run) {
        tokio::time::sleep_until(start + request.at).await;
        while let Some(ended) = tasks.try_join_next() {
            records.extend(ended.unwrap_or_default());
        }
        let first = first_record(&plan, &request, run);
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            records.push(not_sent(first));
            continue;
        };
        let (plan, caller) = (Arc::clone(&plan), Arc::clone(&caller));
        tasks.spawn(async move {
            let attempts = run_request(&plan, &caller, &request, first, start).await;
            drop(permit);
            attempts
        });
    }
    while let Some(ended) = tasks.join_next().await {
        records.extend(ended.unwrap_or_default());
    }
    records.sort_by_key(|record| (record.number, record.try_number));
    Ok(records)
}

fn first_record(plan: &LoadPlan, request: &PlannedRequest, run: &str) -> RequestRecord {
    let pipeline = &plan.pipelines[request.pipeline];
    RequestRecord {
        number: request.number,
        try_number: 1,
        pipeline: pipeline.name.clone(),
        class: pipeline.class.clone(),
        workspace: plan.workspaces[request.workspace].name.clone(),
        key: request.key.clone(),
        trace: trace_id(run, request.number),
        intended_us: micros(request.at),
        input: request.input.clone(),
        max_tokens: pipeline.max_tokens,
        stream: pipeline.stream,
        ..RequestRecord::default()
    }
}

fn not_sent(record: RequestRecord) -> RequestRecord {
    RequestRecord {
        verdict: "not-sent".to_owned(),
        reason: "max_in_flight is reached".to_owned(),
        ..record
    }
}

/// Returns a trace id that is unique among runs.
fn trace_id(run: &str, number: u64) -> String {
    let digest = crate::expect::digest(&["trace", run, &number.to_string()]);
    digest[..32].to_owned()
}

/// Sends a request until it has a complete answer or no retries are left.
async fn run_request(
    plan: &LoadPlan,
    caller: &HostCaller,
    request: &PlannedRequest,
    mut first: RequestRecord,
    start: Instant,
) -> Vec<RequestRecord> {
    let settings = CallSettings {
        workspace_key: plan.workspaces[request.workspace].key.clone(),
        timeout_ms: plan.pipelines[request.pipeline].timeout_ms,
        give_up: Duration::from_millis(plan.give_up_ms),
        start,
    };
    let mut position = caller.next_position();
    let source = plan.pipelines[request.pipeline].keys;
    if source == KeySource::Issued
        && !first.key.is_empty()
        && let Some(key) = caller.fetch_key(position, &settings).await
    {
        first.key = key;
    }
    let mut attempts = Vec::new();
    for try_number in 1..=plan.retries + 1 {
        let mut record = RequestRecord {
            try_number,
            ..first.clone()
        };
        if try_number > 1 {
            position = caller.next_position();
        }
        caller.call(position, &mut record, &settings).await;
        let wait = record.retry_after_ms.unwrap_or(0).max(plan.retry_ms);
        let wait = Duration::from_millis(wait).min(MAX_RETRY_WAIT);
        // A retry of a client error would fail as well.
        let ended = record.complete || matches!(record.status, 400..=408 | 410..=428);
        attempts.push(record);
        if ended {
            break;
        }
        if try_number <= plan.retries {
            tokio::time::sleep(wait).await;
        }
    }
    attempts
}
