//! Server side of calls between hosts.

// Numbers of other hosts are decoded here.
#![deny(
    clippy::arithmetic_side_effects,
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::unwrap_used
)]

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fail::fail_point;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use prost::Message;
use tokio::net::TcpListener;

use hollywheel_serving::{CallerAttempt, MAX_STAGE_PIECES, PoolShard, RequestRank, StageInput};
use hollywheel_types::PoolId;
use hollywheel_wire::serving::{FreeResults, PieceAnswer, PieceEnd, PieceOrder};

use crate::batch_coordinator::{GroupOutcome, PieceGroup};
use crate::config_fetch::answer_part;
use crate::connect::accept;
use crate::containment::{TaskKind, WorkPanicked};
use crate::crash_evidence::receive_evidence;
use crate::follow::answer_follow;
use crate::host::Host;
use crate::limited_body::collect_within;
use crate::metered_stream::MeteredStream;
use crate::peer_client::{
    CONFIG_PATH, EVIDENCE_PATH, FOLLOW_PATH, FREE_PATH, LIMITS_PATH, LocalExecutor, PERMIT_PATH,
    PIECES_PATH,
};
use crate::server_limits::{answer_permit, receive_news};

/// Interval and time-out of keep-alive probes; a connection whose probe is not answered is closed.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a call's body in bytes; the keys and handles of a request take some kilobytes.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// Accepts and serves connections from other hosts until the process ends.
pub(crate) async fn serve_peers(host: Host, listener: Rc<TcpListener>) {
    loop {
        let stream = accept(&host, &listener).await;
        let panics = host.panics.clone();
        let host = host.clone();
        panics.spawn(TaskKind::Connection, async move {
            let executor = LocalExecutor(host.panics.clone());
            let service = service_fn(move |request| answer(host.clone(), request));
            // The calling host sees the error of the connection too and calls another host.
            let _ = http2::Builder::new(executor)
                .timer(TokioTimer::new())
                .keep_alive_interval(PROBE_INTERVAL)
                .keep_alive_timeout(PROBE_TIMEOUT)
                .serve_connection(TokioIo::new(MeteredStream::yielding(stream)), service)
                .await;
        });
    }
}

/// Answers a message, with status 500 if that panics, so that the calling host goes to another one
/// at once.
async fn answer(
    host: Host,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let answered = answer_message(&host, request);
    let answered = host.panics.contain(TaskKind::PeerMessage, "", answered);
    let answered = answered.await;
    Ok(
        answered
            .unwrap_or_else(|WorkPanicked| reply(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())),
    )
}

async fn answer_message(host: &Host, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    let body = match collect_within(request.into_body(), MAX_BODY, &host.body_memory).await {
        Ok(body) => body,
        Err(_) => return reply(StatusCode::BAD_REQUEST, Vec::new()),
    };
    if [PIECES_PATH, PERMIT_PATH].contains(&path.as_str()) && host.is_stopping() {
        return reply(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    fail_point!("peer.message");
    let answered = match path.as_str() {
        PIECES_PATH => process_pieces(host, &body).await,
        FREE_PATH => release_results(host, &body),
        PERMIT_PATH => answer_permit(host, &body).await,
        LIMITS_PATH => receive_news(host, &body),
        EVIDENCE_PATH => receive_evidence(host, &body),
        CONFIG_PATH => answer_part(host, &body),
        FOLLOW_PATH => answer_follow(host, &body).await,
        _ => None,
    };
    fail_point!("peer.answered");
    match answered {
        Some(body) => reply(StatusCode::OK, body),
        None => reply(StatusCode::BAD_REQUEST, Vec::new()),
    }
}

fn reply(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// Releases results that another host no longer needs; `None` if the message is invalid.
fn release_results(host: &Host, body: &Bytes) -> Option<Vec<u8>> {
    let message = FreeResults::decode(body.clone()).ok()?;
    let pool: PoolId = message.pool.parse().ok()?;
    let shard = decode_shard(&message.shard)?;
    host.coordinator
        .release(host, &pool, &shard, &message.handles);
    host.coordinator.free_unneeded(host);
    Some(Vec::new())
}

/// Processes a group of pieces for another host; `None` if the message is invalid.
async fn process_pieces(host: &Host, body: &Bytes) -> Option<Vec<u8>> {
    let order = PieceOrder::decode(body.clone()).ok()?;
    let group = decode_order(host, order)?;
    let (pool, shard) = (group.pool.clone(), group.shard.clone());
    let outcome = host.coordinator.produce_group(host, group).await;
    let forecast = host.coordinator.forecast(host.now(), &pool, &shard);
    Some(encode_answer(outcome, forecast.unwrap_or_default()).encode_to_vec())
}

/// Decodes a shard: the empty string is the whole pool.
fn decode_shard(domain: &str) -> Option<PoolShard> {
    match domain {
        "" => Some(PoolShard::Whole),
        name => Some(PoolShard::Domain(name.parse().ok()?)),
    }
}

/// Decodes a group of pieces, whose times are relative in the message; `None` if it is invalid.
fn decode_order(host: &Host, order: PieceOrder) -> Option<PieceGroup> {
    let now = host.now();
    let due = Duration::from_micros(order.due_us.unsigned_abs());
    let domain = match order.domain.as_str() {
        "" => None,
        name => Some(name.parse().ok()?),
    };
    Some(PieceGroup {
        pool: order.pool.parse().ok()?,
        shard: decode_shard(&order.shard)?,
        kind: order.kind,
        attempt_id: order.attempt,
        stage: usize::try_from(order.stage).ok()?,
        piece_count: usize::try_from(order.pieces)
            .ok()
            .filter(|pieces| (1..=MAX_STAGE_PIECES).contains(pieces))?,
        input: if order.inputs.is_empty() {
            StageInput::Key
        } else {
            StageInput::Results(order.inputs)
        },
        piece_key: order.key,
        result_bytes: order.result_bytes,
        goal: now + Duration::from_micros(order.goal_us),
        due: if order.due_us < 0 {
            now - due
        } else {
            now + due
        },
        expires: now + Duration::from_micros(order.expires_us),
        rank: RequestRank {
            attempt: if order.returned {
                CallerAttempt::Retry
            } else {
                CallerAttempt::First
            },
            workspace: u8::try_from(order.workspace_rank).unwrap_or(u8::MAX),
            pipeline: u8::try_from(order.pipeline_rank).unwrap_or(u8::MAX),
        },
        workspace: order.workspace,
        holding: order.holding,
        domain,
        pull_bytes: order.pull_bytes,
    })
}

fn encode_answer(outcome: GroupOutcome, forecast: Duration) -> PieceAnswer {
    let mut answer = PieceAnswer {
        forecast_us: micros(forecast),
        ..PieceAnswer::default()
    };
    let end = match outcome {
        GroupOutcome::Made(handles) => {
            answer.handles = handles;
            PieceEnd::Made
        }
        GroupOutcome::Refused { retry_after } => {
            answer.retry_after_us = micros(retry_after);
            PieceEnd::Refused
        }
        GroupOutcome::Late { retry_after } => {
            answer.retry_after_us = retry_after.map(micros).unwrap_or_default();
            PieceEnd::Late
        }
        GroupOutcome::InputGone => PieceEnd::InputGone,
        GroupOutcome::Failed => PieceEnd::Failed,
    };
    answer.set_end(end);
    answer
}

/// Returns a duration in whole microseconds.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
