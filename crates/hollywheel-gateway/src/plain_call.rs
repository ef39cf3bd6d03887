//! Requests of plain services: one call, answered as a whole.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use tokio::time::timeout;

use hollywheel_serving::{PlaceQuery, PlaceVerdict, ServerRecord, choose_least};
use hollywheel_types::{ExecutionVerdict, ServerId};

use crate::body::AnswerBody;
use crate::host::Host;
use crate::limited_body::{ANSWER_LIMIT, collect_body};
use crate::request::{RequestContext, RequestGuard};
use crate::respond::{RequestEnd, RequestOutcome, answer_own, build_answer};
use crate::send::{AttemptExtras, AttemptFailure, note_failure, send_attempt};

/// A server queues about so many times its slots; above that it refuses.
const FULL_LOAD: f64 = 4.5;
/// A request that no server takes is told to come back after this time, in which a server with
/// a full queue ends some calls.
const FULL_RETRY: Duration = Duration::from_millis(150);
/// Servers that are tried while none of them has received the request.
const MAX_TRIES: u32 = 4;
/// The part of its objective after which a request that may run twice is tried elsewhere.
const FIRST_TRY_PART: f64 = 0.75;

struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Follows the attempts of one request.
struct CallState {
    excluded: Vec<ServerId>,
    tries: u32,
    /// The server of the last try and its load as it was known then.
    chosen: Option<(ServerId, f64)>,
    arrivals: u32,
    verdict: ExecutionVerdict,
    /// Whether an attempt is in progress, whose fate is not known.
    sending: bool,
    reason: &'static str,
    kept: Option<WholeAnswer>,
}

/// Serves a request of a plain service.
pub(crate) async fn call_plain(
    host: &Host,
    context: &RequestContext,
    guard: &RequestGuard,
) -> Response<AnswerBody> {
    let mut state = CallState {
        excluded: Vec::new(),
        tries: 0,
        chosen: None,
        arrivals: 0,
        verdict: ExecutionVerdict::NotRun,
        sending: false,
        reason: "",
        kept: None,
    };
    let left = context.deadline.since(host.now());
    let answered = timeout(left, try_servers(host, context, &mut state)).await;
    if answered.is_err() {
        if state.sending {
            state.verdict = state.verdict.join(ExecutionVerdict::MayHaveRun);
        }
        state.reason = "the time was over";
    }
    finish(host, context, guard, state)
}

/// Tries servers until there is an answer, or no reason to try another one.
async fn try_servers(host: &Host, context: &RequestContext, state: &mut CallState) {
    loop {
        let Some((server, record)) = choose(host, context, state) else {
            return;
        };
        state.tries += 1;
        state.chosen = Some((server.clone(), host.server_load(&server, &record)));
        let sent_at = host.now();
        let attempt = attempt_whole(host, context, &server, &record);
        let limit = attempt_limit(host, context, state);
        state.sending = true;
        let ended = timeout(limit, attempt).await.unwrap_or(Err(AttemptFailure {
            verdict: ExecutionVerdict::MayHaveRun,
            arrived: true,
            reason: "no answer in time",
        }));
        state.sending = false;
        match ended {
            Ok(answer) => {
                state.arrivals += 1;
                state.verdict = ExecutionVerdict::Ran;
                let failed = answer.status.is_server_error();
                let taken = host.now().since(sent_at);
                host.loads.borrow_mut().note_success(&server, taken);
                state.kept = Some(answer);
                if !failed || !may_try_again(host, context, state) {
                    return;
                }
            }
            Err(failure) => {
                note_failure(host, context, &server, state.tries, &failure, sent_at);
                state.arrivals += u32::from(failure.arrived);
                state.verdict = state.verdict.join(failure.verdict);
                state.reason = failure.reason;
                if !may_try_again(host, context, state) {
                    return;
                }
            }
        }
        state.excluded.push(server);
    }
}

/// Says whether the request is sent once more: it has not run or may run twice, has tries left,
/// and the budget that all hosts share holds another send.
fn may_try_again(host: &Host, context: &RequestContext, state: &CallState) -> bool {
    let pipeline = &context.pipeline;
    if state.tries >= MAX_TRIES {
        return false;
    }
    if state.verdict != ExecutionVerdict::NotRun
        && (!pipeline.may_repeat() || state.arrivals >= pipeline.max_attempts)
    {
        return false;
    }
    if state.arrivals == 0 {
        return true;
    }
    host.take_repeat(&context.pool)
}

fn choose(
    host: &Host,
    context: &RequestContext,
    state: &mut CallState,
) -> Option<(ServerId, ServerRecord)> {
    let servers = host.pool_servers(&context.pool);
    let query = PlaceQuery {
        now: host.now(),
        servers: &servers,
        exclude: &state.excluded,
        tie: context.tie,
        domain: Some(&host.settings().domain),
    };
    let placed = choose_least(&query, &host.loads.borrow(), FULL_LOAD);
    match placed {
        PlaceVerdict::Server(server) => servers.into_iter().find(|(name, _)| *name == server),
        PlaceVerdict::Full => {
            state.reason = "every server is full";
            None
        }
        PlaceVerdict::NoServer => {
            if state.reason.is_empty() {
                state.reason = match host.pool_pause(&context.pool) {
                    Some(_) => "every server has asked for time",
                    None => "no server",
                };
            }
            None
        }
    }
}

fn attempt_limit(host: &Host, context: &RequestContext, state: &CallState) -> Duration {
    let left = context.deadline.since(host.now());
    let repeats =
        context.pipeline.may_repeat() && state.arrivals + 1 < context.pipeline.max_attempts;
    if repeats {
        left.min(context.pipeline.objective.mul_f64(FIRST_TRY_PART))
    } else {
        left
    }
}

async fn attempt_whole(
    host: &Host,
    context: &RequestContext,
    server: &ServerId,
    record: &ServerRecord,
) -> Result<WholeAnswer, AttemptFailure> {
    let mut answer = send_attempt(host, context, server, record, AttemptExtras::default()).await?;
    let body = collect_body(&mut answer.body, ANSWER_LIMIT);
    let body = body.await.map_err(|failure| AttemptFailure {
        verdict: ExecutionVerdict::MayHaveRun,
        arrived: true,
        reason: failure.name(),
    })?;
    let whole = WholeAnswer {
        status: answer.status,
        headers: hollywheel_adapter::caller_response_headers(&answer.headers),
        body,
    };
    answer.complete(host);
    Ok(whole)
}

fn finish(
    host: &Host,
    context: &RequestContext,
    guard: &RequestGuard,
    state: CallState,
) -> Response<AnswerBody> {
    let mut end = RequestEnd {
        verdict: state.verdict,
        reason: state.reason,
        attempts: state.tries,
        server: state.chosen.as_ref().map(|(server, _)| server),
        server_load: state.chosen.as_ref().map(|(_, load)| *load),
        workspace: context.workspace.as_ref().map(|name| name.as_str()),
        config: context.set.version.0,
        remaining: context.deadline.since(host.now()),
        ..RequestEnd::default()
    };
    if let Some(answer) = state.kept {
        end.status = answer.status.as_u16();
        end.first_took = Some(host.now().since(context.arrived));
        guard.end(&end);
        return build_answer(
            host,
            answer.status,
            answer.headers,
            AnswerBody::whole(answer.body),
        );
    }
    let (outcome, status, retry_after) = match state.verdict {
        ExecutionVerdict::NotRun => (
            RequestOutcome::Refused,
            StatusCode::SERVICE_UNAVAILABLE,
            Some(
                host.pool_pause(&context.pool)
                    .unwrap_or_default()
                    .max(FULL_RETRY),
            ),
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
    answer_own(host, &context.head.attempt, status, retry_after)
}
