//! Non-streaming requests: one call whose answer is read completely before it is forwarded.

use std::cell::RefCell;
use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::Bytes;
use fail::fail_point;
use http::{HeaderMap, Response, StatusCode};
use tokio::time::timeout;

use hollywheel_serving::{PlacementQuery, PlacementVerdict, ServerRecord, choose_least_loaded};
use hollywheel_types::{ExecutionVerdict, MonoTime, ServerId};

use crate::body::AnswerBody;
use crate::containment::{TaskKind, WorkPanicked};
use crate::crash_evidence::{
    blocked_wait, record_crash, record_ending, record_panic, server_start,
};
use crate::host::{Host, StopPhase};
use crate::limited_body::{ANSWER_LIMIT, BodyFailure, collect_within};
use crate::request::{RequestContext, RequestGuard};
use crate::respond::{RequestEnd, RequestOutcome, answer_locally, build_answer};
use crate::server_attempt::{
    AttemptExtras, AttemptFailure, record_attempt_failure, record_silence, send_attempt,
};
use crate::server_limits::{PermittedChoice, choose_permitted};

/// Load, as a multiple of a server's slots, from which it gets no requests; a server queues about
/// this many and refuses more.
const FULL_LOAD: f64 = 4.5;
/// `Retry-After` of a request that no server takes; a server with a full queue finishes some
/// calls within this time.
const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum number of servers tried, including those that did not receive the request.
const MAX_TRIES: u32 = 4;
/// Fraction of the latency objective after which a repeatable request is retried elsewhere.
const FIRST_ATTEMPT_FRACTION: f64 = 0.75;
/// Shortest interval at which an unanswered attempt is examined, whatever the objective.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a server is avoided that answers neither an attempt nor any other request for the
/// time of the objective. The attempt renews it as long as it waits.
const OVERDUE_TIME: Duration = Duration::from_millis(500);
/// Reason of a request whose time was over.
const TIME_OVER: &str = "no complete answer before the deadline";

/// A server's answer that was read completely.
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// State of a request over its attempts.
struct CallState {
    /// Servers whose attempt failed.
    excluded: Vec<ServerId>,
    /// Number of servers tried, including those that were not reached.
    tries: u32,
    /// Server of the last attempt and its load when it was chosen.
    chosen: Option<(ServerId, f64)>,
    /// When the last attempt was sent.
    sent_at: MonoTime,
    /// Attempts that may have reached a server.
    received_attempts: u32,
    reason: &'static str,
    /// Time after which the request may be retried, if it is refused since it crashes servers.
    blocked_wait: Option<Duration>,
    /// Answer of the last attempt that had one; forwarded if no later attempt replaces it.
    last_answer: RefCell<Option<WholeAnswer>>,
}

/// Serves a non-streaming request.
pub(crate) async fn call_plain(
    host: &Host,
    context: &RequestContext,
    guard: &RequestGuard,
) -> Response<AnswerBody> {
    let mut state = CallState {
        excluded: Vec::new(),
        tries: 0,
        chosen: None,
        sent_at: MonoTime::default(),
        received_attempts: 0,
        reason: "",
        blocked_wait: None,
        last_answer: RefCell::new(None),
    };
    let time_left = context.deadline.since(host.now());
    let attempt_id = &context.head.attempt;
    let tried = try_servers(host, context, &mut state);
    let tried = host.panics.contain(TaskKind::Request, attempt_id, tried);
    let unanswered = tokio::select! {
        answered = timeout(time_left, tried) => match answered {
            Ok(Ok(())) => None,
            Ok(Err(WorkPanicked)) => Some(WorkPanicked::REASON),
            Err(_) => Some(TIME_OVER),
        },
        () = host.wait_for_stop(StopPhase::Ending) => Some("the host stops"),
    };
    if let Some(reason) = unanswered {
        state.reason = reason;
        if reason == TIME_OVER {
            let server = state.chosen.as_ref().map(|(server, _)| server);
            let silent = record_silence(host, context, server, state.sent_at);
            state.reason = silent.unwrap_or(reason);
        }
        if reason == WorkPanicked::REASON && state.last_answer.borrow().is_none() {
            record_panic(host, context);
        }
    }
    finish(host, context, guard, state)
}

/// Sends the request to one server after another until it has an answer or may not be retried.
async fn try_servers(host: &Host, context: &RequestContext, state: &mut CallState) {
    loop {
        if let Some(wait) = blocked_wait(host, context) {
            state.blocked_wait = Some(wait);
            state.reason = "the request crashes servers";
            return;
        }
        let Some((server, record)) = choose_server(host, context, state).await else {
            return;
        };
        state.tries += 1;
        state.chosen = Some((server.clone(), host.server_load(&server, &record)));
        let sent_at = host.now();
        state.sent_at = sent_at;
        fail_point!("plain.chosen");
        context.run.begin_attempt();
        fail_point!("plain.sending");
        let ended = attempt_in_time(host, context, state, &server, &record).await;
        let verdict = match &ended {
            Ok(_) => ExecutionVerdict::Ran,
            Err(failure) => failure.verdict,
        };
        context.run.end_attempt(verdict);
        match ended {
            Ok(status) => {
                state.received_attempts += 1;
                fail_point!("plain.answered");
                let failed = status.is_server_error();
                let now = host.now();
                let elapsed = now.since(sent_at);
                host.loads.borrow_mut().note_success(now, &server, elapsed);
                let taken = now.since(context.arrived);
                let name = &context.pipeline.name;
                host.forecast.borrow_mut().learn_whole(name, taken);
                if !failed || !may_retry(host, context, state) {
                    return;
                }
            }
            Err(failure) => {
                record_attempt_failure(host, context, &server, state.tries, &failure, sent_at);
                if failure.lost_server {
                    let start = server_start(&server, &record);
                    record_crash(host, context, &start, Duration::ZERO);
                }
                state.received_attempts += u32::from(failure.received);
                state.reason = failure.reason;
                fail_point!("plain.failed");
                if !may_retry(host, context, state) {
                    return;
                }
            }
        }
        state.excluded.push(server);
    }
}

/// Returns whether the request is sent again: it has not run or may be repeated, it has attempts
/// left, and this host's share of the pool's retry budget allows it. A retry after an attempt that
/// may have reached a server takes one unit of that budget.
fn may_retry(host: &Host, context: &RequestContext, state: &CallState) -> bool {
    let pipeline = &context.pipeline;
    if state.tries >= MAX_TRIES {
        return false;
    }
    if context.run.verdict() != ExecutionVerdict::NotRun
        && (!pipeline.may_repeat() || state.received_attempts >= pipeline.max_attempts)
    {
        return false;
    }
    if state.received_attempts == 0 {
        return true;
    }
    host.take_repeat(&context.pool)
}

/// Returns whether another server could take the place of one that is slow to answer: one has
/// capacity, and the pool's retry budget allows another attempt.
fn can_replace(host: &Host, context: &RequestContext, state: &CallState, slow: &ServerId) -> bool {
    let mut servers = host.warm_servers(&context.pool, None);
    servers.retain(|(name, _)| name != slow);
    let verdict = place(host, context, state, &servers);
    matches!(verdict, PlacementVerdict::Server(_)) && host.has_repeat(&context.pool)
}

/// Chooses the server of the next attempt among the given ones.
fn place(
    host: &Host,
    context: &RequestContext,
    state: &CallState,
    servers: &[(ServerId, ServerRecord)],
) -> PlacementVerdict {
    let query = PlacementQuery {
        now: host.now(),
        servers,
        exclude: &state.excluded,
        tie: context.tie_breaker,
        domain: Some(&host.settings().domain),
    };
    choose_least_loaded(&query, &host.loads.borrow(), FULL_LOAD)
}

/// Chooses a server for the next attempt; sets the reason if there is none.
async fn choose_server(
    host: &Host,
    context: &RequestContext,
    state: &mut CallState,
) -> Option<(ServerId, ServerRecord)> {
    let place = |servers: &[(ServerId, ServerRecord)]| place(host, context, state, servers);
    let choice = choose_permitted(host, &context.pool, None, place).await;
    match choice {
        PermittedChoice::Server(server, record) => Some((server, record)),
        PermittedChoice::Full => {
            state.reason = "every server is full";
            None
        }
        PermittedChoice::AtLimit => {
            state.reason = "every server is at its limit";
            None
        }
        PermittedChoice::NoServer => {
            if state.reason.is_empty() {
                state.reason = match host.pool_pause(&context.pool) {
                    Some(_) => "every server asked for a pause",
                    None => "no server",
                };
            }
            None
        }
    }
}

/// Sends the request to one server and reads its answer, for as long as no other server could take
/// its place: it may just be slow. Returns the status of the answer.
async fn attempt_in_time(
    host: &Host,
    context: &RequestContext,
    state: &CallState,
    server: &ServerId,
    record: &ServerRecord,
) -> Result<StatusCode, AttemptFailure> {
    let attempt = attempt_whole(host, context, server, record, &state.last_answer);
    let mut attempt = pin!(attempt);
    let limit = attempt_timeout(host, context, state);
    let ended = if host.avoids_lost_servers() {
        watch_attempt(host, context, state, server, attempt.as_mut()).await
    } else {
        let mut ended = timeout(limit, attempt.as_mut()).await;
        if ended.is_err() && !can_replace(host, context, state, server) {
            let time_left = context.deadline.since(host.now());
            ended = timeout(time_left, attempt).await;
        }
        ended.ok()
    };
    ended.unwrap_or(Err(AttemptFailure {
        verdict: ExecutionVerdict::MayHaveRun,
        received: true,
        lost_server: false,
        reason: "the attempt timed out",
    }))
}

/// Awaits an attempt, and examines it each time that the time-out of a first attempt passes: a server
/// that has answered nothing meanwhile is avoided, and a repeatable request is given up here once
/// another server can take it. Returns none if the attempt is given up; the deadline ends it.
async fn watch_attempt(
    host: &Host,
    context: &RequestContext,
    state: &CallState,
    server: &ServerId,
    mut attempt: Pin<&mut impl Future<Output = Result<StatusCode, AttemptFailure>>>,
) -> Option<Result<StatusCode, AttemptFailure>> {
    let sent_at = host.now();
    let interval = context.pipeline.objective.mul_f64(FIRST_ATTEMPT_FRACTION);
    let interval = interval.max(MIN_WATCH_INTERVAL);
    loop {
        if let Ok(ended) = timeout(interval, attempt.as_mut()).await {
            return Some(ended);
        }
        let now = host.now();
        let time_left = context.deadline.since(now);
        let mut loads = host.loads.borrow_mut();
        loads.note_overdue(server, sent_at, now + OVERDUE_TIME);
        drop(loads);
        // Another server needs about as long as this one was given.
        if time_left >= interval
            && may_follow(context, state)
            && can_replace(host, context, state, server)
        {
            return None;
        }
    }
}

/// Returns whether another attempt may follow one that may have reached a server.
fn may_follow(context: &RequestContext, state: &CallState) -> bool {
    let pipeline = &context.pipeline;
    pipeline.may_repeat() && state.received_attempts + 1 < pipeline.max_attempts
}

/// Returns the time-out of an attempt: shorter than the remaining time if another attempt may
/// follow.
fn attempt_timeout(host: &Host, context: &RequestContext, state: &CallState) -> Duration {
    let time_left = context.deadline.since(host.now());
    if may_follow(context, state) {
        time_left.min(context.pipeline.objective.mul_f64(FIRST_ATTEMPT_FRACTION))
    } else {
        time_left
    }
}

/// Sends the request to one server and reads its answer completely; returns the status.
///
/// The answer is stored as soon as it is complete: nothing that fails afterwards may keep it from
/// its caller.
async fn attempt_whole(
    host: &Host,
    context: &RequestContext,
    server: &ServerId,
    record: &ServerRecord,
    stored: &RefCell<Option<WholeAnswer>>,
) -> Result<StatusCode, AttemptFailure> {
    let mut answer = send_attempt(host, context, server, record, AttemptExtras::default()).await?;
    let body = collect_within(&mut answer.body, ANSWER_LIMIT, &host.body_memory);
    let body = body.await.map_err(|failure| AttemptFailure {
        verdict: ExecutionVerdict::MayHaveRun,
        received: true,
        lost_server: failure == BodyFailure::Broken,
        reason: failure.name(),
    })?;
    let status = answer.status;
    stored.replace(Some(WholeAnswer {
        status,
        headers: hollywheel_adapter::caller_response_headers(&answer.headers),
        body,
    }));
    record_ending(host, context, &answer.start, answer.ending());
    answer.complete(host);
    Ok(status)
}

/// Logs the end of the request and returns the last answer, or an error status if there is none.
fn finish(
    host: &Host,
    context: &RequestContext,
    guard: &RequestGuard,
    state: CallState,
) -> Response<AnswerBody> {
    let mut end = RequestEnd {
        verdict: context.run.verdict(),
        reason: state.reason,
        attempts: state.tries,
        server: state.chosen.as_ref().map(|(server, _)| server),
        server_load: state.chosen.as_ref().map(|(_, load)| *load),
        workspace: context.workspace.as_ref().map(|name| name.as_str()),
        config: context.set.version.0,
        remaining: context.deadline.since(host.now()),
        ..RequestEnd::default()
    };
    if let Some(answer) = state.last_answer.into_inner() {
        end.status = answer.status.as_u16();
        end.first_byte_time = Some(host.now().since(context.arrived));
        guard.end(&end);
        return build_answer(
            host,
            answer.status,
            answer.headers,
            AnswerBody::whole(answer.body),
        );
    }
    let (outcome, status, retry_after) = match context.run.verdict() {
        ExecutionVerdict::NotRun => (
            RequestOutcome::Refused,
            StatusCode::SERVICE_UNAVAILABLE,
            Some(state.blocked_wait.unwrap_or_else(|| {
                let wait = host.retry_wait(&context.pool);
                wait.unwrap_or_default().max(FULL_BACKOFF)
            })),
        ),
        ExecutionVerdict::MayHaveRun | ExecutionVerdict::Ran => {
            let timed_out = host.now() >= context.deadline;
            let status = if timed_out {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            (RequestOutcome::Failed, status, None)
        }
    };
    end.outcome = outcome;
    end.status = status.as_u16();
    guard.end(&end);
    answer_locally(host, &context.head.attempt, status, retry_after)
}
