//! A caller's request from its head to its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;
use tokio::time::timeout;

use hollywheel_adapter::RequestHead;
use hollywheel_serving::{
    CallerAttempt, KeyHolder, PipelineRoute, RequestKind, RequestRank, ServingSet,
};
use hollywheel_types::{MonoTime, PoolId, WorkspaceId};

use crate::body::AnswerBody;
use crate::host::{Host, HostState};
use crate::limited_body::{BodyFailure, collect_body};
use crate::plain_call::call_plain;
use crate::respond::{RequestEnd, answer_own, log_end};
use crate::stream_call::call_stream;

/// A host without a configuration tells callers to come back after this time; the first one is
/// read within it.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);
/// The part of a caller's time that the way back takes: one way to callers, and the answer's
/// own.
const RETURN_TIME: Duration = Duration::from_millis(8);

/// Holds what is known of a request while it is served.
pub(crate) struct RequestContext {
    pub(crate) set: Rc<ServingSet>,
    pub(crate) pipeline: Rc<PipelineRoute>,
    pub(crate) pool: PoolId,
    pub(crate) head: RequestHead,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) rank: RequestRank,
    pub(crate) arrived: MonoTime,
    /// The point by which the answer begins if it is to count fully.
    pub(crate) objective: MonoTime,
    /// The point by which the answer must begin, or the caller leaves.
    pub(crate) begins_by: MonoTime,
    /// The point by which the answer must be complete.
    pub(crate) deadline: MonoTime,
    pub(crate) tie: u64,
}

/// Counts a request of the host until it is dropped.
pub(crate) struct RequestGuard {
    host: Host,
    ended: Cell<bool>,
    attempt: String,
    pipeline: String,
    arrived: MonoTime,
}

impl RequestGuard {
    fn new(host: &Host, attempt: &str, pipeline: &str, arrived: MonoTime) -> Self {
        host.requests.set(host.requests.get() + 1);
        Self {
            host: host.clone(),
            ended: Cell::new(false),
            attempt: attempt.to_owned(),
            pipeline: pipeline.to_owned(),
            arrived,
        }
    }

    /// Notes how the request ended.
    pub(crate) fn end(&self, end: &RequestEnd<'_>) {
        if !self.ended.replace(true) {
            log_end(&self.host, &self.attempt, &self.pipeline, self.arrived, end);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.host.requests.set(self.host.requests.get() - 1);
        self.end(&RequestEnd::cancelled());
    }
}

/// Says why a request is not served, with the status of the answer.
enum Rejection {
    NoConfig,
    BadHead,
    NoRoute,
    BadKey,
    TooLarge,
    BadBody,
    SlowBody,
}

impl Rejection {
    const fn status(&self) -> StatusCode {
        match self {
            Self::NoConfig => StatusCode::SERVICE_UNAVAILABLE,
            Self::BadHead | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
        }
    }

    const fn reason(&self) -> &'static str {
        match self {
            Self::NoConfig => "no configuration yet",
            Self::BadHead => "a header is missing or not valid",
            Self::NoRoute => "no pipeline has the host name and path",
            Self::BadKey => "the key is missing or not known",
            Self::TooLarge => "the body is larger than the limit",
            Self::BadBody => "the body could not be read",
            Self::SlowBody => "the body did not come in the caller's time",
        }
    }
}

/// Answers a request.
pub(crate) async fn answer_request(host: Host, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = host.now();
    let (parts, body) = request.into_parts();
    let head = hollywheel_adapter::decode_request_head(&parts.headers);
    let attempt = head
        .as_ref()
        .map_or("", |head| head.attempt.as_str())
        .to_owned();
    let guard = RequestGuard::new(&host, &attempt, "", arrived);
    let read = match head {
        Ok(head) => read_request(&host, parts, head, body, arrived).await,
        Err(_) => Err(Rejection::BadHead),
    };
    let context = match read {
        Ok(context) => Rc::new(context),
        Err(rejection) => return reject(&host, &guard, &attempt, &rejection),
    };
    // The pipeline is known from here on, so its end is counted under its name.
    guard.ended.set(true);
    let name = context.pipeline.name.as_str();
    let guard = RequestGuard::new(&host, &attempt, name, arrived);
    host.count_request(&context.pool);
    match context.pipeline.kind {
        RequestKind::Streaming => call_stream(&host, context, guard).await,
        RequestKind::Idempotent | RequestKind::NonIdempotent => {
            call_plain(&host, &context, &guard).await
        }
    }
}

fn reject(
    host: &HostState,
    guard: &RequestGuard,
    attempt: &str,
    rejection: &Rejection,
) -> Response<AnswerBody> {
    let status = rejection.status();
    guard.end(&RequestEnd::rejected(status, rejection.reason()));
    let retry_after = matches!(rejection, Rejection::NoConfig).then_some(NO_CONFIG_RETRY);
    answer_own(host, attempt, status, retry_after)
}

async fn read_request(
    host: &Host,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
    arrived: MonoTime,
) -> Result<RequestContext, Rejection> {
    let set = host.set().ok_or(Rejection::NoConfig)?;
    let name = host_name(&parts).ok_or(Rejection::BadHead)?;
    let pipeline = set.find_pipeline(&name, parts.uri.path());
    let pipeline = Rc::new(pipeline.ok_or(Rejection::NoRoute)?.clone());
    let holder = check_key(&set, &pipeline, &head)?;
    let workspace = holder.map(|holder| holder.workspace.clone());
    let priority = holder.and_then(|holder| holder.priority);
    let attempt = tell_attempt(host, &pipeline, &head, arrived);
    let rank = RequestRank {
        attempt,
        ..RequestRank::new(priority, pipeline.priority)
    };
    let wait = head.deadline.unwrap_or(pipeline.timeout);
    let wait = wait.saturating_sub(RETURN_TIME).min(pipeline.timeout);
    let body = timeout(wait, read_body(body, set.limits.body_bytes)).await;
    let body = body.map_err(|_| Rejection::SlowBody)??;
    let tie = host.tie();
    let pool = pipeline
        .pool_for(tie >> 32)
        .ok_or(Rejection::NoRoute)?
        .clone();
    let patience = pipeline.stream_patience().unwrap_or(wait);
    let objective = match attempt {
        CallerAttempt::Returned => arrived,
        CallerAttempt::First => arrived + pipeline.objective.saturating_sub(RETURN_TIME),
    };
    Ok(RequestContext {
        begins_by: arrived + wait.min(patience.saturating_sub(RETURN_TIME)),
        objective,
        deadline: arrived + wait,
        set,
        pipeline,
        pool,
        head,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
        workspace,
        rank,
        arrived,
        tie,
    })
}

/// Says whether the caller of a request was refused before. Requests of plain services end too
/// soon for that to matter.
fn tell_attempt(
    host: &HostState,
    pipeline: &PipelineRoute,
    head: &RequestHead,
    arrived: MonoTime,
) -> CallerAttempt {
    match head.deadline {
        Some(wait) if pipeline.kind == RequestKind::Streaming => {
            let mut patience = host.patience.borrow_mut();
            patience.note_wait(arrived, &pipeline.name, wait)
        }
        Some(_) | None => CallerAttempt::First,
    }
}

/// Returns the host name that a request is for, in lower case and without a port.
fn host_name(parts: &Parts) -> Option<String> {
    let named = parts.headers.get(header::HOST)?.to_str().ok()?;
    let name = named.rsplit_once(':').map_or(named, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

fn check_key<'a>(
    set: &'a ServingSet,
    pipeline: &PipelineRoute,
    head: &RequestHead,
) -> Result<Option<&'a KeyHolder>, Rejection> {
    let Some(keys) = &set.keys else {
        return Ok(None);
    };
    let holder = head.key.as_deref().and_then(|key| keys.get(key));
    match holder {
        Some(holder) => Ok(Some(holder)),
        None if pipeline.allow_anonymous => Ok(None),
        None => Err(Rejection::BadKey),
    }
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Rejection> {
    let body = collect_body(body, limit).await;
    body.map_err(|failure| match failure {
        BodyFailure::TooLarge => Rejection::TooLarge,
        BodyFailure::Broken => Rejection::BadBody,
    })
}
