//! Calls to the backend servers that run pipeline stages.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use tokio::time::timeout;

use hollywheel_adapter::{STAGE_RUN_PATH, StagePiece};
use hollywheel_serving::{CallOutcome, PermitVerdict, PieceHandle, PieceResult, ServerRecord};
use hollywheel_types::{ServerId, SortedMap};

use crate::connection_pool::SendFailure;
use crate::containment::TaskKind;
use crate::crash_evidence::record_server_alive;
use crate::host::Host;
use crate::limited_body::{BodyFailure, PIECES_LIMIT, SMALL_LIMIT, collect_within};
use crate::log::log_line;
use crate::server_limits::{note_response_limit, take_permit};

/// Time-out of a call that frees results. It is not retried: a server drops results that were not
/// freed at the end of their lifetime.
pub(crate) const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the record of a server if a request may be sent to it now, as
/// [`HostState::pool_servers`](crate::host::HostState::pool_servers) lists them.
pub(crate) fn usable_server(
    host: &Host,
    server: &ServerId,
    prompt: Option<u64>,
) -> Option<ServerRecord> {
    let registry = host.registry.borrow();
    let now = host.now();
    let record = registry.usable(now, server)?;
    let accepts = host.accepts_sends(now, record, prompt);
    accepts.then(|| record.clone())
}

/// Returns the record of a server if a request may be sent to it now and it has not asked for a pause.
pub(crate) fn unpaused_server(
    host: &Host,
    server: &ServerId,
    prompt: Option<u64>,
) -> Option<ServerRecord> {
    let pause = host.loads.borrow().pause_left(host.now(), server);
    usable_server(host, server, prompt).filter(|_| pause.is_none())
}

/// Sends a batched call to a stage server and reads the result of each piece.
pub(crate) async fn send_call(
    host: &Host,
    server: &ServerId,
    record: Option<ServerRecord>,
    pieces: &[StagePiece],
) -> CallOutcome {
    let Some(record) = record else {
        return CallOutcome::Refused { pause: None };
    };
    let pause = host.loads.borrow().pause_left(host.now(), server);
    if pause.is_some() {
        return CallOutcome::Refused { pause };
    }
    if let PermitVerdict::Denied { wait } = take_permit(host, server, Duration::ZERO).await {
        host.count_limited_denial(&record.pool);
        return CallOutcome::AtLimit { wait };
    }
    let Ok(body) = hollywheel_adapter::encode_stage_run(pieces) else {
        return CallOutcome::Failed;
    };
    let Some(request) = build_stage_request(server, &record, STAGE_RUN_PATH, body) else {
        return CallOutcome::Failed;
    };
    let sent_at = host.now();
    host.count_limited_send(server, &record.pool);
    let sent = host
        .connections
        .send_idempotent(server, record.address, request);
    let (answer, mut connection) = match sent.await {
        Ok(answered) => answered,
        Err(SendFailure::Refused | SendFailure::NotSent) => return CallOutcome::Failed,
        Err(SendFailure::Unwritten | SendFailure::Broken) => return CallOutcome::ServerLost,
    };
    let facts = hollywheel_adapter::decode_response_head(&answer, "");
    host.apply_answer_facts(server, &facts);
    let is_genuine = facts.not_run || answer.status() == StatusCode::OK;
    let said = facts.limit.trusted_if(is_genuine);
    note_response_limit(host, server, said, sent_at);
    if facts.not_run {
        return CallOutcome::Refused {
            pause: facts.retry_after,
        };
    }
    if answer.status() != StatusCode::OK {
        return CallOutcome::Failed;
    }
    let body = match collect_within(answer.into_body(), PIECES_LIMIT, &host.body_memory).await {
        Ok(body) => body,
        Err(BodyFailure::Broken) => return CallOutcome::ServerLost,
        Err(BodyFailure::Stalled | BodyFailure::TooLarge | BodyFailure::NoMemory) => {
            return CallOutcome::Failed;
        }
    };
    record_server_alive(host, server, &record, sent_at);
    let results = match hollywheel_adapter::decode_stage_results(&body) {
        Ok(results) if results.len() == pieces.len() => results,
        Ok(_) | Err(_) => return CallOutcome::Failed,
    };
    let made = produced_handles(&results);
    if connection.record_results(&made) {
        log_line!(host, warn, DuplicateAnswer, server = %server, results = made.len());
        return CallOutcome::Failed;
    }
    // A duplicate of this answer could only be recognised by its results, so a connection whose
    // answer has none is closed.
    if !made.is_empty() {
        host.connections.give_back(connection, facts.idle_time);
    }
    CallOutcome::Answered(results)
}

/// Returns the handles of the pieces that have a result.
fn produced_handles(results: &[PieceResult]) -> Vec<PieceHandle> {
    let made = results.iter().filter_map(|result| match result {
        PieceResult::Made(handle) => Some(handle.clone()),
        _ => None,
    });
    made.collect()
}

/// Builds a POST request to a stage server; `None` if it cannot be encoded.
fn build_stage_request(
    server: &ServerId,
    record: &ServerRecord,
    path: &str,
    body: Vec<u8>,
) -> Option<Request<Full<Bytes>>> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, record.address.to_string())
        .body(Full::new(Bytes::from(body)));
    let mut request = request.ok()?;
    let headers = hollywheel_adapter::stage_call_headers(server);
    request.headers_mut().extend(headers);
    Some(request)
}

/// Frees results directly at the servers that store them, without going through a batcher.
pub(crate) fn free_at_servers(host: &Host, handles: &[PieceHandle]) {
    let mut by_server: SortedMap<ServerId, Vec<PieceHandle>> = SortedMap::new();
    let registry = host.registry.borrow();
    for handle in handles {
        let address = hollywheel_adapter::handle_address(handle);
        if let Some((server, _)) = address.and_then(|address| registry.find_address(address)) {
            let server_handles = by_server.get_or_insert_with(server.clone(), Vec::new);
            server_handles.push(handle.clone());
        }
    }
    drop(registry);
    for (server, handles) in by_server.iter() {
        let (panics, host) = (host.panics.clone(), host.clone());
        let (server, handles) = (server.clone(), handles.clone());
        panics.spawn(TaskKind::ResultRelease, async move {
            free_results(&host, &server, &handles).await;
        });
    }
}

/// Outcome of freeing results at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FreeOutcome {
    /// The server has freed them.
    Freed,
    /// The server was not asked, because it has named a limit on its requests.
    AtLimit,
    /// The server was not asked or did not answer. It drops the results at the end of their
    /// lifetime.
    Failed,
}

/// Frees results at a server.
pub(crate) async fn free_results(
    host: &Host,
    server: &ServerId,
    handles: &[PieceHandle],
) -> FreeOutcome {
    // Results at servers of an evacuated failure domain expire on their own.
    let Some(record) = usable_server(host, server, None) else {
        return FreeOutcome::Failed;
    };
    if host.loads.borrow().pause_left(host.now(), server).is_some() {
        return FreeOutcome::Failed;
    }
    if let PermitVerdict::Denied { .. } = take_permit(host, server, Duration::ZERO).await {
        host.count_limited_denial(&record.pool);
        return FreeOutcome::AtLimit;
    }
    let Ok(body) = hollywheel_adapter::encode_stage_free(handles) else {
        return FreeOutcome::Failed;
    };
    let path = hollywheel_adapter::STAGE_FREE_PATH;
    let Some(request) = build_stage_request(server, &record, path, body) else {
        return FreeOutcome::Failed;
    };
    let sent_at = host.now();
    host.count_limited_send(server, &record.pool);
    let call = async {
        let (answer, connection) = host
            .connections
            .send_idempotent(server, record.address, request)
            .await
            .ok()?;
        let facts = hollywheel_adapter::decode_response_head(&answer, "");
        host.apply_answer_facts(server, &facts);
        let is_genuine = answer.status() == StatusCode::OK;
        let said = facts.limit.trusted_if(is_genuine);
        note_response_limit(host, server, said, sent_at);
        let status = answer.status();
        let body = collect_within(answer.into_body(), SMALL_LIMIT, &host.body_memory);
        body.await.ok()?;
        if status != StatusCode::OK {
            // A late duplicate of this rejection names no request, so it would look like the rejection
            // of the next one on the connection.
            return None;
        }
        host.connections.give_back(connection, facts.idle_time);
        Some(())
    };
    match timeout(FREE_TIMEOUT, call).await {
        Ok(Some(())) => FreeOutcome::Freed,
        Ok(None) | Err(_) => FreeOutcome::Failed,
    }
}
