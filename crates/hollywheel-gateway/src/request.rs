//! Handling of a caller's request: routing, authentication, deadlines and dispatch by kind.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fail::fail_point;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;
use tokio::time::timeout;

use hollywheel_adapter::RequestHead;
use hollywheel_serving::{
    CallerAttempt, KeyHolder, PipelineRoute, RequestIdentity, RequestKind, RequestRank, ServingSet,
};
use hollywheel_types::{ExecutionVerdict, MonoTime, PoolId, WorkspaceId};

use crate::body::AnswerBody;
use crate::containment::{TaskKind, WorkPanicked};
use crate::crash_evidence::shared_parts;
use crate::host::{Host, HostState};
use crate::limited_body::{BodyFailure, collect_within};
use crate::memory_budget::MemoryBudget;
use crate::plain_call::call_plain;
use crate::respond::{RequestEnd, answer_locally, record_request_end};
use crate::stream_call::call_stream;

/// `Retry-After` while the host has no configuration; the first one is usually read within this
/// time.
const NO_CONFIG_BACKOFF: Duration = Duration::from_millis(500);
/// `Retry-After` of a request that this host cannot end before it stops; other hosts serve it.
const STOP_BACKOFF: Duration = Duration::from_millis(100);
/// `Retry-After` of a request whose body finds no memory; bodies that take it end within this time,
/// and other hosts have their own.
const NO_MEMORY_BACKOFF: Duration = Duration::from_millis(300);
/// `Retry-After` of a request that has not run because the work on it panicked; the next attempt is
/// probably served by another host.
const PANIC_BACKOFF: Duration = Duration::from_millis(100);
/// Part of the caller's time reserved for the answer's way back: the one-way network delay to
/// callers and the transfer of the answer itself.
const RETURN_MARGIN: Duration = Duration::from_millis(8);

/// A request that was read and routed, with everything needed to serve it.
pub(crate) struct RequestContext {
    /// What may have run of the request so far.
    pub(crate) run: Rc<RunRecord>,
    /// Configuration under which the request is served, also if a newer one becomes active.
    pub(crate) set: Rc<ServingSet>,
    pub(crate) pipeline: Rc<PipelineRoute>,
    /// Pool that gets the final call.
    pub(crate) pool: PoolId,
    pub(crate) head: RequestHead,
    /// Host name in lower case, without a port.
    pub(crate) host_name: String,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) rank: RequestRank,
    pub(crate) arrived: MonoTime,
    /// Time by which the answer should start to meet the latency objective; the arrival time for
    /// the retry of a refused request, which has already missed it.
    pub(crate) objective: MonoTime,
    /// Time by which the answer must start; the caller disconnects after it.
    pub(crate) start_deadline: MonoTime,
    /// Time by which the answer must be complete.
    pub(crate) deadline: MonoTime,
    /// Pseudo-random number that selects a pool by weight and one of equally good servers.
    pub(crate) tie_breaker: u64,
}

impl RequestContext {
    /// Returns the last prompt part that other requests may share, if such requests are placed
    /// together.
    pub(crate) fn prompt_key(&self) -> Option<u64> {
        let parts = shared_parts(&self.head.parts);
        parts.last().filter(|_| self.pipeline.prompt_affinity)
    }

    /// Returns a digest that is equal for all attempts of a caller at the same request.
    pub(crate) fn identity(&self) -> u64 {
        let parts: Vec<u64> = self.head.parts.iter().map(|part| part.id).collect();
        let identity = RequestIdentity {
            host: &self.host_name,
            target: self
                .target
                .path_and_query()
                .map_or("", |path| path.as_str()),
            workspace: self.workspace.as_ref().map_or("", |name| name.as_str()),
            parts: &parts,
            body: &self.body,
        };
        identity.digest()
    }
}

/// What may have run of a request, over all its attempts. It outlives the work on the request, so
/// that a caller is told the truth also if that work panics.
#[derive(Debug)]
pub(crate) struct RunRecord {
    /// Id that the caller gave to its request, once it is decoded.
    attempt_id: OnceCell<String>,
    verdict: Cell<ExecutionVerdict>,
    /// Whether an attempt is in flight, so that the request may run if it is cancelled now.
    sending: Cell<bool>,
}

impl RunRecord {
    fn new() -> Self {
        Self {
            attempt_id: OnceCell::new(),
            verdict: Cell::new(ExecutionVerdict::NotRun),
            sending: Cell::new(false),
        }
    }

    fn attempt_id(&self) -> &str {
        self.attempt_id.get().map_or("", String::as_str)
    }

    /// Returns the verdict on all attempts so far, the one in flight included.
    pub(crate) fn verdict(&self) -> ExecutionVerdict {
        match self.sending.get() {
            true => self.verdict.get().join(ExecutionVerdict::MayHaveRun),
            false => self.verdict.get(),
        }
    }

    /// Records that an attempt is being sent.
    pub(crate) fn begin_attempt(&self) {
        self.sending.set(true);
    }

    /// Records the verdict on the attempt in flight.
    pub(crate) fn end_attempt(&self, verdict: ExecutionVerdict) {
        self.verdict.set(self.verdict.get().join(verdict));
        self.sending.set(false);
    }

    /// Replaces the verdict on all attempts, as when a stream has begun or was cut.
    pub(crate) fn replace(&self, verdict: ExecutionVerdict) {
        self.verdict.set(verdict);
        self.sending.set(false);
    }

    /// Returns whether an attempt is in flight.
    pub(crate) fn is_sending(&self) -> bool {
        self.sending.get()
    }
}

/// Counts a request as open until dropped, and logs its end once: as cancelled if it is dropped
/// before an end was recorded.
pub(crate) struct RequestGuard {
    host: Host,
    run: Rc<RunRecord>,
    ended: Cell<bool>,
    pipeline: String,
    arrived: MonoTime,
}

impl RequestGuard {
    fn new(host: &Host, run: &Rc<RunRecord>, pipeline: &str, arrived: MonoTime) -> Self {
        host.open_requests.set(host.open_requests.get() + 1);
        Self {
            host: host.clone(),
            run: Rc::clone(run),
            ended: Cell::new(false),
            pipeline: pipeline.to_owned(),
            arrived,
        }
    }

    /// Records how the request ended; later calls have no effect.
    pub(crate) fn end(&self, end: &RequestEnd<'_>) {
        if self.ended.replace(true) {
            return;
        }
        let attempt_id = self.run.attempt_id();
        let panics = &self.host.panics;
        // The caller gets its answer also if the end cannot be recorded.
        let _ = panics.contain_call(TaskKind::RequestEnd, attempt_id, || {
            fail_point!("request.end");
            record_request_end(&self.host, attempt_id, &self.pipeline, self.arrived, end);
        });
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.host
            .open_requests
            .set(self.host.open_requests.get() - 1);
        let end = match std::thread::panicking() {
            true => RequestEnd::panicked(self.run.verdict()),
            false => RequestEnd::cancelled(),
        };
        self.end(&end);
    }
}

/// Reason why a request is rejected before it is served.
enum Rejection {
    NoConfig,
    NoEvacuations,
    Stopping,
    BadHead,
    NoRoute,
    BadKey,
    TooLarge,
    BadBody,
    SlowBody,
    NoMemory,
}

impl Rejection {
    const fn status(&self) -> StatusCode {
        match self {
            Self::NoConfig | Self::NoEvacuations | Self::Stopping | Self::NoMemory => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::BadHead | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
        }
    }

    const fn reason(&self) -> &'static str {
        match self {
            Self::NoConfig => "no configuration has been read yet",
            Self::NoEvacuations => "the evacuated failure domains are not known yet",
            Self::Stopping => "the host stops before the request would end",
            Self::BadHead => "a header is missing or invalid",
            Self::NoRoute => "no pipeline matches the host name and path",
            Self::BadKey => "the API key is missing or unknown",
            Self::TooLarge => "the body exceeds the size limit",
            Self::BadBody => "the body could not be read",
            Self::SlowBody => "the body did not arrive before the deadline",
            Self::NoMemory => "the memory for bodies is used up",
        }
    }
}

/// Serves a request and returns its response, also if the work on it panics.
pub(crate) async fn answer_request(host: Host, request: Request<Incoming>) -> Response<AnswerBody> {
    let run = Rc::new(RunRecord::new());
    let served = serve_request(&host, request, &run);
    let served = host.panics.contain(TaskKind::Request, "", served).await;
    served.unwrap_or_else(|WorkPanicked| {
        let status = panic_status(run.verdict());
        let retry_after = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(PANIC_BACKOFF);
        answer_locally(&host, run.attempt_id(), status, retry_after)
    })
}

/// Returns the status of a request that met a panic: one that has not run may come back.
pub(crate) const fn panic_status(verdict: ExecutionVerdict) -> StatusCode {
    match verdict {
        ExecutionVerdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        ExecutionVerdict::MayHaveRun | ExecutionVerdict::Ran => StatusCode::BAD_GATEWAY,
    }
}

async fn serve_request(
    host: &Host,
    request: Request<Incoming>,
    run: &Rc<RunRecord>,
) -> Response<AnswerBody> {
    let arrived = host.now();
    let (parts, body) = request.into_parts();
    fail_point!("request.head");
    let head = hollywheel_adapter::decode_request_head(&parts.headers);
    if let Ok(head) = &head {
        run.attempt_id.get_or_init(|| head.attempt.clone());
    }
    let guard = RequestGuard::new(host, run, "", arrived);
    let read = match head {
        Ok(head) => read_request(host, parts, head, body, arrived, run).await,
        Err(_) => Err(Rejection::BadHead),
    };
    let context = match read {
        Ok(context) => Rc::new(context),
        Err(rejection) => return reject(host, &guard, run.attempt_id(), &rejection),
    };
    // From here on the end of the request is counted under its pipeline.
    guard.ended.set(true);
    let name = context.pipeline.name.as_str();
    let guard = RequestGuard::new(host, run, name, arrived);
    fail_point!("request.routed");
    host.count_request(&context.pool);
    let has_stages = !context.pipeline.stages.is_empty();
    match context.pipeline.kind {
        RequestKind::Idempotent | RequestKind::NonIdempotent if !has_stages => {
            call_plain(host, &context, &guard).await
        }
        _ => call_stream(host, context, guard).await,
    }
}

fn reject(
    host: &HostState,
    guard: &RequestGuard,
    attempt_id: &str,
    rejection: &Rejection,
) -> Response<AnswerBody> {
    let status = rejection.status();
    guard.end(&RequestEnd::rejected(status, rejection.reason()));
    let retry_after = match rejection {
        Rejection::NoConfig | Rejection::NoEvacuations => Some(NO_CONFIG_BACKOFF),
        Rejection::Stopping => Some(STOP_BACKOFF),
        Rejection::NoMemory => Some(NO_MEMORY_BACKOFF),
        _ => None,
    };
    answer_locally(host, attempt_id, status, retry_after)
}

/// Routes and authenticates a request, reads its body and computes its deadlines.
///
/// # Errors
///
/// Returns the reason if the request is rejected.
async fn read_request(
    host: &Host,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
    arrived: MonoTime,
    run: &Rc<RunRecord>,
) -> Result<RequestContext, Rejection> {
    let set = host.serving_set().ok_or(Rejection::NoConfig)?;
    if !host.knows_evacuations() {
        return Err(Rejection::NoEvacuations);
    }
    let name = host_name(&parts).ok_or(Rejection::BadHead)?;
    let pipeline = set.find_pipeline(&name, parts.uri.path());
    let pipeline = Rc::new(pipeline.ok_or(Rejection::NoRoute)?.clone());
    let holder = check_key(&set, &pipeline, &head)?;
    let workspace = holder.map(|holder| holder.workspace.clone());
    let priority = holder.and_then(|holder| holder.priority);
    let attempt = classify_attempt(host, &pipeline, &head, arrived);
    let rank = RequestRank {
        attempt,
        ..RequestRank::new(priority, pipeline.priority)
    };
    let time_budget = head.deadline.unwrap_or(pipeline.timeout);
    let time_budget = time_budget
        .saturating_sub(RETURN_MARGIN)
        .min(pipeline.timeout);
    let body = timeout(
        time_budget,
        read_body(body, set.limits.body_bytes, &host.body_memory),
    )
    .await;
    let body = body.map_err(|_| Rejection::SlowBody)??;
    fail_point!("request.body");
    check_stop(host, &pipeline, host.now())?;
    let tie_breaker = host.next_tie_breaker();
    let pool = pipeline
        .pool_for(tie_breaker >> 32)
        .ok_or(Rejection::NoRoute)?
        .clone();
    let patience = pipeline.stream_event_timeout().unwrap_or(time_budget);
    let objective = match attempt {
        CallerAttempt::Retry => arrived,
        CallerAttempt::First => arrived + pipeline.objective.saturating_sub(RETURN_MARGIN),
    };
    Ok(RequestContext {
        start_deadline: arrived + time_budget.min(patience.saturating_sub(RETURN_MARGIN)),
        objective,
        deadline: arrived + time_budget,
        run: Rc::clone(run),
        set,
        pipeline,
        pool,
        head,
        host_name: name,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
        workspace,
        rank,
        arrived,
        tie_breaker,
    })
}

/// Rejects a request that is not expected to end before this host does.
///
/// # Errors
///
/// Returns [`Rejection::Stopping`] if the host stops too soon.
fn check_stop(host: &HostState, pipeline: &PipelineRoute, now: MonoTime) -> Result<(), Rejection> {
    let Some(until) = host.answers_until.get() else {
        return Ok(());
    };
    let expected = host.forecast.borrow().whole(&pipeline.name);
    match expected {
        Some(expected) if now + expected > until => Err(Rejection::Stopping),
        Some(_) | None => Ok(()),
    }
}

/// Returns whether a streaming request is probably a retry of a refused one. Non-streaming
/// requests are too short for the difference to matter and count as first attempts.
fn classify_attempt(
    host: &HostState,
    pipeline: &PipelineRoute,
    head: &RequestHead,
    arrived: MonoTime,
) -> CallerAttempt {
    match head.deadline {
        Some(time_budget) if pipeline.kind == RequestKind::Streaming => {
            let mut patience = host.patience.borrow_mut();
            patience.note_wait(arrived, &pipeline.name, time_budget)
        }
        Some(_) | None => CallerAttempt::First,
    }
}

/// Returns the host name from the `Host` header, in lower case and without a port.
fn host_name(parts: &Parts) -> Option<String> {
    let host_header = parts.headers.get(header::HOST)?.to_str().ok()?;
    let name = host_header
        .rsplit_once(':')
        .map_or(host_header, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

/// Returns the holder of the caller's API key; `None` if the request is served anonymously.
///
/// # Errors
///
/// Returns [`Rejection::BadKey`] if the caller's key is unknown, or missing although the pipeline
/// needs one.
fn check_key<'a>(
    set: &'a ServingSet,
    pipeline: &PipelineRoute,
    head: &RequestHead,
) -> Result<Option<&'a KeyHolder>, Rejection> {
    let Some(keys) = &set.keys else {
        return Ok(None);
    };
    match head.key.as_deref() {
        Some(key) => keys.get(key).map(Some).ok_or(Rejection::BadKey),
        None if pipeline.allow_anonymous => Ok(None),
        None => Err(Rejection::BadKey),
    }
}

async fn read_body(
    body: Incoming,
    limit: usize,
    memory: &MemoryBudget,
) -> Result<Bytes, Rejection> {
    let body = collect_within(body, limit, memory).await;
    body.map_err(|failure| match failure {
        BodyFailure::TooLarge => Rejection::TooLarge,
        BodyFailure::Broken => Rejection::BadBody,
        BodyFailure::Stalled => Rejection::SlowBody,
        BodyFailure::NoMemory => Rejection::NoMemory,
    })
}
