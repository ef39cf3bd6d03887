//! Routing of calls to the endpoints for callers.

use std::sync::Arc;

use hollywheel_node::CallerRequest;
use http::header::{CONNECTION, HeaderValue};
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyDataStream, BodyExt};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::answer::write_reply;
use super::body::FrontBody;
use super::guard::DisconnectGuard;
use super::keys::issue_key;
use super::problem::{CallFault, fault_problem};
use super::request::{CallHead, RunBody, parse_body, parse_head};
use super::state::FrontState;
use super::trace_parent::TraceParent;
use crate::events::{EventContext, LogEvent, log_event};
use crate::traces::TraceId;
use crate::web::{BufferedReply, discard_body, json_reply, problem_reply, read_body};

/// Maximum number of undelivered parts of one reply. A caller that reads too slowly is
/// disconnected.
const REPLY_QUEUE_LENGTH: usize = 256;

const PIPELINES_PATH: &str = "/v1/pipelines/";

type CallBody = BodyDataStream<Incoming>;

/// Handles a call and builds its response.
pub(super) async fn handle_call(
    state: &Arc<FrontState>,
    request: Request<Incoming>,
) -> Response<FrontBody> {
    let (head, body) = request.into_parts();
    let mut body = body.into_data_stream();
    let buffered = |reply: BufferedReply| reply.map(FrontBody::buffered);
    let result = match (head.method.clone(), head.uri.path()) {
        (Method::GET, "/healthz") => Ok(buffered(json_reply(StatusCode::OK, &"alive"))),
        (Method::GET, "/readyz") => readiness(state).map(buffered),
        (Method::POST, path) if path.starts_with(PIPELINES_PATH) => {
            run_pipeline(state, &head, &mut body, &path[PIPELINES_PATH.len()..]).await
        }
        (Method::POST, "/v1/keys") => issue_key(state, &head.headers).await.map(buffered),
        (_, path) if path.starts_with(PIPELINES_PATH) => Err(CallFault::WrongMethod),
        (_, "/healthz" | "/readyz" | "/v1/keys") => Err(CallFault::WrongMethod),
        _ => Err(CallFault::NoPath),
    };
    discard_body(&mut body).await;
    let mut reply = result.unwrap_or_else(|fault| buffered(reject_call(state, &fault)));
    if state.is_draining() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    reply
}

fn readiness(state: &FrontState) -> Result<BufferedReply, CallFault> {
    if state.is_ready() {
        return Ok(json_reply(StatusCode::OK, &"ready"));
    }
    Err(CallFault::NotReady)
}

fn reject_call(state: &FrontState, fault: &CallFault) -> BufferedReply {
    let problem = fault_problem(fault);
    state.metrics.call_rejected(problem.kind);
    if !matches!(fault, CallFault::NotReady) {
        log_event(
            LogEvent::CallerRejected,
            &EventContext::default(),
            &problem.detail,
        );
    }
    problem_reply(&problem)
}

async fn run_pipeline(
    state: &FrontState,
    parts: &Parts,
    body: &mut CallBody,
    name: &str,
) -> Result<Response<FrontBody>, CallFault> {
    let head = parse_head(name, &parts.headers)?;
    let workspace = authorize_workspace(state, &head)?;
    let body = read_body(body, state.settings.max_body)
        .await
        .map_err(CallFault::Body)?;
    let body = parse_body(&body)?;
    let stream = body.stream;
    let parent = continue_trace(state, &head);
    let request = build_request(state, head, body, workspace);
    let id = request.request;
    state.traces.open(state.clock.now(), id, parent.trace);
    let (sender, parts) = mpsc::channel(REPLY_QUEUE_LENGTH);
    state
        .core
        .submit(request, sender)
        .map_err(|_| CallFault::Busy)?;
    let guard = DisconnectGuard::new(state.core.clone(), id, parent.trace);
    let mut reply = write_reply(id, stream, parts, guard).await;
    if let Ok(value) = HeaderValue::from_str(&parent.to_string()) {
        reply.headers_mut().insert("traceparent", value);
    }
    Ok(reply)
}

fn authorize_workspace(
    state: &FrontState,
    head: &CallHead,
) -> Result<hollywheel_types::WorkspaceId, CallFault> {
    let current = state.config.in_force().ok_or(CallFault::NotReady)?;
    let workspace = current.keys.find(&head.key).ok_or(CallFault::NoKey)?;
    let pipeline = current.published.set.pipeline(&head.pipeline);
    let allowed = pipeline.is_none_or(|pipeline| {
        pipeline.workspaces.is_empty() || pipeline.workspaces.contains(workspace)
    });
    if allowed {
        return Ok(workspace.clone());
    }
    Err(CallFault::NotAllowed {
        pipeline: head.pipeline.to_string(),
    })
}

/// Returns the trace context of a request: a new span in the caller's trace, or a new trace.
fn continue_trace(state: &FrontState, head: &CallHead) -> TraceParent {
    let random_bits = state.draw();
    let span = (random_bits as u64).max(1);
    match head.trace {
        Some(parent) => TraceParent { span, ..parent },
        None => TraceParent {
            trace: TraceId(state.draw().max(1)),
            span,
            flags: 0,
        },
    }
}

fn build_request(
    state: &FrontState,
    head: CallHead,
    body: RunBody,
    workspace: hollywheel_types::WorkspaceId,
) -> CallerRequest {
    CallerRequest {
        request: state.draw_request(),
        workspace,
        pipeline: head.pipeline,
        input: body.input,
        idempotency_key: head.idempotency_key,
        timeout: head.timeout,
        max_tokens: body.max_tokens,
        stream: body.stream,
        received_at: state.clock.wall(),
    }
}
