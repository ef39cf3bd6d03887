//! Streaming requests and others with stages: runs the stages, then sends the final call.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use fail::fail_point;
use futures_util::stream;
use http::{HeaderMap, Response, StatusCode};
use tokio::time::timeout;

use hollywheel_serving::{
    PieceHandle, PlacementQuery, PlacementVerdict, RequestKind, ServerRecord, StageGraph,
    choose_engine, choose_least_loaded, workspace_digest,
};
use hollywheel_types::{DomainId, ExecutionVerdict, MonoTime, ServerId};

use crate::body::AnswerBody;
use crate::cold_servers::place_by_share;
use crate::containment::{TaskKind, WorkPanicked};
use crate::crash_evidence::{blocked_wait, record_crash, record_panic, server_start};
use crate::host::{Host, StopPhase};
use crate::limited_body::{ANSWER_LIMIT, BodyFailure, collect_within};
use crate::log::log_line;
use crate::open_stream::{OpenStream, StreamFailure};
use crate::request::{RequestContext, RequestGuard};
use crate::respond::{RequestEnd, RequestOutcome, answer_locally, build_answer};
use crate::results::HeldResults;
use crate::server_attempt::{
    AttemptExtras, AttemptFailure, OpenAnswer, record_attempt_failure, record_silence, send_attempt,
};
use crate::server_limits::{PLACE_PATIENCE, PermittedChoice, choose_permitted};
use crate::stage_client::unpaused_server;
use crate::stage_run::{StageContext, StageFailure, run_stages, stage_times};
use crate::stream_forward::ForwardState;
use crate::stream_place::{EstimateState, LATE_REASON};

/// Load, as a multiple of an engine's slots, from which it gets no requests. An engine runs one
/// request per slot and queues about as many; a request that waits behind those misses its
/// objective.
pub(crate) const FULL_LOAD: f64 = 1.8;
/// `Retry-After` of a request that no engine takes; some streams end within this time.
const FULL_BACKOFF: Duration = Duration::from_millis(300);
/// `Retry-After` of a request whose stages failed, unless the pool's backlog is known: its objective
/// is missed anyway, and the outage that delayed it lasts for seconds.
const STAGE_BACKOFF: Duration = Duration::from_millis(2500);
/// Time after which an engine has read its inputs: it fetches them when the request arrives, at
/// megabytes per millisecond, and refuses before that. An engine that was too slow reports that
/// an input is no longer stored.
const INPUT_READ_TIME: Duration = Duration::from_millis(100);
/// Maximum number of servers tried, including those that did not receive the request.
const MAX_TRIES: u32 = 5;
/// Maximum number of times that the stages of a request run.
const MAX_STAGE_RUNS: u32 = 3;

/// Outcome of opening a stream that did not yield a stream.
pub(crate) enum OpenFailure {
    /// The request has not run; the caller may retry it.
    Refused { retry_after: Duration },
    /// The request is larger than the memory of every engine; it has not run and never can.
    TooLarge,
    /// The request may have run.
    Failed,
    /// The server gave a complete answer whose status is not a success.
    Whole(Box<WholeAnswer>),
}

/// A server's answer that was read completely.
pub(crate) struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// State of a request, from its stages to the end of its stream or answer.
pub(crate) struct StreamJob {
    pub(crate) host: Host,
    pub(crate) context: Rc<RequestContext>,
    guard: RequestGuard,
    graph: StageGraph,
    held_results: HeldResults,
    /// Engine with a limit for which a permit was taken before the stages.
    reserved: Option<ServerId>,
    stage_runs: u32,
    /// Servers whose attempt failed.
    pub(crate) excluded: Vec<ServerId>,
    /// Number of servers tried, including those that were not reached.
    pub(crate) tries: u32,
    /// Server of the last attempt and its load when it was chosen.
    chosen: Option<(ServerId, f64)>,
    pub(crate) estimate_state: EstimateState,
    /// When the last attempt was sent.
    sent_at: MonoTime,
    /// Attempts that may have reached a server.
    received_attempts: u32,
    pub(crate) reason: &'static str,
    stages_time: Duration,
    pub(crate) first_byte_time: Option<Duration>,
    /// Id of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
}

/// Serves a request that is streaming or has stages; the returned body forwards the stream.
pub(crate) async fn call_stream(
    host: &Host,
    context: Rc<RequestContext>,
    guard: RequestGuard,
) -> Response<AnswerBody> {
    let mut job = StreamJob::new(host, context, guard);
    let context = Rc::clone(&job.context);
    let time_left = context.start_deadline.since(host.now());
    let opened = host
        .panics
        .contain(TaskKind::Request, &context.head.attempt, job.open());
    let opened = tokio::select! {
        opened = timeout(time_left, opened) => match opened {
            Ok(Ok(opened)) => Ok(opened),
            Ok(Err(WorkPanicked)) => {
                record_panic(host, &context);
                Err(WorkPanicked::REASON)
            }
            Err(_) => Err(job.record_timeout()),
        },
        () = host.wait_for_stop(StopPhase::Ending) => Err("the host stops"),
    };
    let opened = opened.unwrap_or_else(|reason| {
        job.reason = reason;
        Err(match context.run.verdict() {
            ExecutionVerdict::NotRun => OpenFailure::Refused {
                retry_after: STAGE_BACKOFF,
            },
            ExecutionVerdict::MayHaveRun | ExecutionVerdict::Ran => OpenFailure::Failed,
        })
    });
    match opened {
        Ok(open) => job.into_response(open),
        Err(OpenFailure::Whole(answer)) => {
            job.end(RequestOutcome::Answered, answer.status);
            build_answer(
                host,
                answer.status,
                answer.headers,
                AnswerBody::whole(answer.body),
            )
        }
        Err(OpenFailure::Refused { retry_after }) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            job.end(RequestOutcome::Refused, status);
            answer_locally(host, &job.context.head.attempt, status, Some(retry_after))
        }
        Err(OpenFailure::TooLarge) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            job.end(RequestOutcome::Rejected, status);
            let headers = hollywheel_adapter::rejection_headers(&job.context.head.attempt, None);
            let body = AnswerBody::whole(Bytes::from_static(job.reason.as_bytes()));
            build_answer(host, status, headers, body)
        }
        Err(OpenFailure::Failed) => {
            let status = if host.now() >= job.context.start_deadline {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            job.end(RequestOutcome::Failed, status);
            answer_locally(host, &job.context.head.attempt, status, None)
        }
    }
}

impl StreamJob {
    fn new(host: &Host, context: Rc<RequestContext>, guard: RequestGuard) -> Self {
        Self {
            graph: StageGraph::new(&context.pipeline.stages, &context.head.pieces),
            held_results: HeldResults::new(host),
            last_event: context
                .head
                .last_event
                .filter(|_| context.pipeline.resumable),
            host: host.clone(),
            context,
            guard,
            reserved: None,
            stage_runs: 0,
            excluded: Vec::new(),
            tries: 0,
            chosen: None,
            estimate_state: EstimateState::default(),
            sent_at: MonoTime::default(),
            received_attempts: 0,
            reason: "",
            stages_time: Duration::ZERO,
            first_byte_time: None,
        }
    }

    /// Records that the answer did not start before the deadline; returns the reason.
    fn record_timeout(&self) -> &'static str {
        let late = "the answer did not start before the deadline";
        let server = self.chosen.as_ref().map(|(server, _)| server);
        record_silence(&self.host, &self.context, server, self.sent_at).unwrap_or(late)
    }

    /// Logs the end of the request. An end without an answer is also recorded for the pipeline, so
    /// that the caller's retry is recognised.
    pub(crate) fn end(&self, outcome: RequestOutcome, status: StatusCode) {
        let context = &self.context;
        if outcome != RequestOutcome::Answered {
            let mut patience = self.host.patience.borrow_mut();
            patience.note_refused(self.host.now(), &context.pipeline.name);
        }
        self.guard.end(&RequestEnd {
            outcome,
            verdict: context.run.verdict(),
            status: status.as_u16(),
            reason: self.reason,
            attempts: self.tries,
            server: self.chosen.as_ref().map(|(server, _)| server),
            server_load: self.chosen.as_ref().map(|(_, load)| *load),
            stages_time: self.stages_time,
            first_byte_time: self.first_byte_time,
            workspace: context.workspace.as_ref().map(|name| name.as_str()),
            config: context.set.version.0,
            remaining: context.deadline.since(self.host.now()),
        });
    }

    /// Runs the stages and sends the final call, with retries, until the first event arrives.
    pub(crate) async fn open(&mut self) -> Result<OpenStream, OpenFailure> {
        loop {
            self.check_pool_pause()?;
            self.check_crashes()?;
            self.check_engines()?;
            self.reserve_engine().await?;
            self.produce_inputs().await?;
            // The cause of crashes may have become known while the stages ran.
            self.check_crashes()?;
            let (server, record) = self.choose_server().await?;
            self.tries += 1;
            let load = self.host.server_load(&server, &record);
            self.chosen = Some((server.clone(), load));
            let sent_at = self.host.now();
            self.sent_at = sent_at;
            fail_point!("stream.chosen");
            self.context.run.begin_attempt();
            fail_point!("stream.sending");
            let attempted = self.attempt_and_free(&server, &record).await;
            let failure = match attempted {
                Ok(mut open) if open.answer.status.is_success() => {
                    fail_point!("stream.begun");
                    open.begun_at = self.host.now();
                    self.record_first_event(sent_at);
                    if let Some(placed) = &open.placed {
                        placed.note_begun();
                    }
                    return Ok(open);
                }
                Ok(open) => return Err(self.read_whole(open.answer).await),
                Err(failure) => failure,
            };
            self.context.run.end_attempt(failure.verdict);
            fail_point!("stream.failed");
            record_attempt_failure(
                &self.host,
                &self.context,
                &server,
                self.tries,
                &failure,
                sent_at,
            );
            if failure.lost_server {
                let start = server_start(&server, &record);
                record_crash(&self.host, &self.context, &start, Duration::ZERO);
                self.host.note_engine_lost(&self.context.pool, &server);
            }
            self.received_attempts += u32::from(failure.received);
            self.reason = failure.reason;
            if !self.may_retry() {
                return Err(self.give_up());
            }
            if self.held_results.is_empty() && self.graph.is_complete() {
                // The inputs were released; they are produced again for another engine.
                self.restart_stages();
            }
            self.exclude(server);
        }
    }

    /// Excludes a server from further attempts.
    pub(crate) fn exclude(&mut self, server: ServerId) {
        if !self.excluded.contains(&server) {
            self.excluded.push(server);
        }
    }

    /// Prepares an attempt at another server while the stream of a silent one stays open; returns
    /// what [`Self::cancel_other_attempt`] restores.
    pub(crate) fn begin_other_attempt(&mut self, silent: &ServerId) -> Option<(ServerId, f64)> {
        self.exclude(silent.clone());
        self.chosen.clone()
    }

    /// Takes back what an attempt has left that was cancelled or has failed, while the stream of the
    /// server before it stays open.
    pub(crate) fn cancel_other_attempt(&mut self, chosen: Option<(ServerId, f64)>) {
        // The server may have received the request that was being sent.
        let run = &self.context.run;
        self.received_attempts += u32::from(run.is_sending());
        self.chosen = chosen;
        run.replace(ExecutionVerdict::Ran);
        self.reason = "";
        self.restart_stages();
    }

    /// Returns the expected time until another engine sends the next event of the stream.
    pub(crate) fn resume_time(&self) -> Duration {
        let context = &self.context;
        let times = stage_times(&self.host, &context.set, &context.pipeline, &self.graph);
        let first_answer = self
            .host
            .forecast
            .borrow()
            .first_answer(&context.pipeline.name);
        self.graph.time_left(&times) + first_answer
    }

    /// Refuses the request before its stages run if every engine has asked for a pause.
    fn check_pool_pause(&mut self) -> Result<(), OpenFailure> {
        if self.host.pool_pause(&self.context.pool).is_none() {
            return Ok(());
        }
        if self.reason.is_empty() {
            self.reason = "every engine asked for a pause";
        }
        Err(self.give_up())
    }

    /// Refuses the request if it crashes the servers that begin to run it.
    fn check_crashes(&mut self) -> Result<(), OpenFailure> {
        let Some(retry_after) = blocked_wait(&self.host, &self.context) else {
            return Ok(());
        };
        self.reason = "the request crashes servers";
        Err(match self.context.run.verdict() {
            ExecutionVerdict::NotRun => OpenFailure::Refused { retry_after },
            ExecutionVerdict::MayHaveRun | ExecutionVerdict::Ran => OpenFailure::Failed,
        })
    }

    /// Takes a permit for an engine before the stages run if every engine has named a limit;
    /// refuses the request if none is granted, since its stages would be run in vain.
    async fn reserve_engine(&mut self) -> Result<(), OpenFailure> {
        let prompt = self.context.prompt_key();
        let is_busy = self
            .host
            .has_only_busy_cold(&self.context.pool, prompt, PLACE_PATIENCE);
        if is_busy {
            if self.reason.is_empty() {
                self.reason = "every engine is cold";
            }
            return Err(self.give_up());
        }
        let servers = self.pool_servers();
        let has_unlimited = servers.iter().any(|(server, _)| {
            let is_limited = self.host.limits.borrow().limit(server).is_some();
            !is_limited && !self.excluded.contains(server)
        });
        if has_unlimited || servers.is_empty() || self.reserved.is_some() {
            return Ok(());
        }
        let (server, _) = self.choose_server().await?;
        self.reserved = Some(server);
        Ok(())
    }

    /// Returns whether the stream of a server could continue at another server that has capacity.
    pub(crate) fn can_continue(&self, server: &ServerId) -> bool {
        let pipeline = &self.context.pipeline;
        let has_tries = self.tries < MAX_TRIES && self.received_attempts < pipeline.max_attempts;
        let mut servers = self.warm_servers();
        let limits = self.host.limits.borrow();
        servers.retain(|(name, _)| name != server && limits.limit(name).is_none());
        let has_room = matches!(self.place(&servers), PlacementVerdict::Server(_));
        has_tries && pipeline.may_repeat() && has_room && self.host.has_repeat(&self.context.pool)
    }

    /// Runs the stages unless their results are available. If an input is no longer stored, runs
    /// them again from the start.
    async fn produce_inputs(&mut self) -> Result<(), OpenFailure> {
        while !self.graph.is_complete() {
            self.stage_runs += 1;
            let started = self.host.now();
            let domain = self.choose_domain();
            let stages = StageContext {
                set: Rc::clone(&self.context.set),
                pipeline: Rc::clone(&self.context.pipeline),
                attempt_id: self.context.head.attempt.clone(),
                piece_key: self.context.head.piece_key.clone(),
                objective: self.context.objective,
                deadline: self.context.start_deadline,
                rank: self.context.rank,
                workspace: workspace_digest(self.context.workspace.as_ref()),
                domain,
                tie_breaker: self.context.tie_breaker,
            };
            let result = run_stages(&self.host, &stages, &mut self.graph, &self.held_results).await;
            self.stages_time += self.host.now().since(started);
            let Err(failure) = result else {
                return Ok(());
            };
            let may_run_again =
                failure == StageFailure::InputGone && self.stage_runs < MAX_STAGE_RUNS;
            if !may_run_again {
                self.reason = failure.name();
                return Err(self.stage_failure_outcome(failure));
            }
            self.restart_stages();
        }
        Ok(())
    }

    /// Releases all results and resets the stages, so that they run again.
    fn restart_stages(&mut self) {
        self.held_results.release_all();
        self.graph.restart();
    }

    /// Returns the outcome of a request whose stages failed.
    fn stage_failure_outcome(&self, failure: StageFailure) -> OpenFailure {
        if self.context.run.verdict() != ExecutionVerdict::NotRun {
            return OpenFailure::Failed;
        }
        let retry_after = match failure {
            StageFailure::Refused { retry_after } => retry_after,
            StageFailure::Late { retry_after } => retry_after.unwrap_or(STAGE_BACKOFF),
            StageFailure::InputGone | StageFailure::Failed => STAGE_BACKOFF,
        };
        OpenFailure::Refused { retry_after }
    }

    /// Returns the outcome of a request that is not sent to another engine.
    pub(crate) fn give_up(&self) -> OpenFailure {
        match self.context.run.verdict() {
            ExecutionVerdict::NotRun => OpenFailure::Refused {
                retry_after: self
                    .host
                    .retry_wait(&self.context.pool)
                    .unwrap_or_default()
                    .max(self.estimate_state.late_wait.get().unwrap_or_default())
                    .max(FULL_BACKOFF),
            },
            ExecutionVerdict::MayHaveRun | ExecutionVerdict::Ran => OpenFailure::Failed,
        }
    }

    /// Returns whether the final call is sent again: the request has not run or may be repeated,
    /// it has attempts left, and this host's share of the pool's retry budget allows it.
    ///
    /// A retry after an attempt that may have reached a server takes one unit of that budget. If
    /// an input was no longer stored, the stages are reset so that they run again, up to
    /// [`MAX_STAGE_RUNS`] times in total.
    pub(crate) fn may_retry(&mut self) -> bool {
        if self.tries >= MAX_TRIES {
            return false;
        }
        let pipeline = &self.context.pipeline;
        if self.context.run.verdict() != ExecutionVerdict::NotRun
            && (!pipeline.may_repeat() || self.received_attempts >= pipeline.max_attempts)
        {
            return false;
        }
        let input_gone = self.reason == "an input is no longer stored";
        if input_gone {
            if self.stage_runs >= MAX_STAGE_RUNS {
                return false;
            }
            self.restart_stages();
        }
        if self.received_attempts == 0 {
            return true;
        }
        self.host.take_repeat(&self.context.pool)
    }

    /// Returns the engines to which the final call may be sent now.
    fn pool_servers(&self) -> Vec<(ServerId, ServerRecord)> {
        let prompt = self.context.prompt_key();
        self.host.pool_servers(&self.context.pool, prompt)
    }

    /// Returns the engines of [`Self::pool_servers`] that are not cold.
    pub(crate) fn warm_servers(&self) -> Vec<(ServerId, ServerRecord)> {
        let prompt = self.context.prompt_key();
        self.host.warm_servers(&self.context.pool, prompt)
    }

    /// Chooses an engine for the final call among the given servers.
    pub(crate) fn place(&self, servers: &[(ServerId, ServerRecord)]) -> PlacementVerdict {
        if let Some(place) = self.estimate(servers) {
            return place.verdict();
        }
        let settings = self.host.settings();
        let query = PlacementQuery {
            now: self.host.now(),
            servers,
            exclude: &self.excluded,
            tie: self.context.tie_breaker,
            domain: Some(&settings.domain),
        };
        let loads = self.host.loads.borrow();
        if self.context.pipeline.prompt_affinity {
            let parts = &self.context.head.parts;
            let choose = |servers: &[(ServerId, ServerRecord)]| {
                let query = PlacementQuery { servers, ..query };
                choose_engine(&query, &loads, parts, FULL_LOAD)
            };
            place_by_share(&self.host, &self.context.pool, parts, servers, choose)
        } else {
            choose_least_loaded(&query, &loads, FULL_LOAD)
        }
    }

    /// Returns the failure domain of the engine that would be chosen now, so that results are
    /// produced close to where they are read.
    fn choose_domain(&self) -> Option<DomainId> {
        let servers = self.warm_servers();
        let placed = match &self.reserved {
            Some(server) => PlacementVerdict::Server(server.clone()),
            None => self.place(&servers),
        };
        match placed {
            PlacementVerdict::Server(server) => servers
                .into_iter()
                .find(|(name, _)| *name == server)
                .map(|(_, record)| record.domain),
            PlacementVerdict::Full | PlacementVerdict::NoServer => None,
        }
    }

    /// Chooses an engine of the pool for the final call; fails if none has capacity.
    async fn choose_server(&mut self) -> Result<(ServerId, ServerRecord), OpenFailure> {
        // The permit for a cold server is used at once or not at all: permits that are kept while stages
        // run would let more requests arrive in one second than the bound allows.
        if let Some(server) = self.reserved.take()
            && self.host.cold_rate(&server).is_none()
            && let Some(record) = unpaused_server(&self.host, &server, self.context.prompt_key())
        {
            return Ok((server, record));
        }
        let prompt = self.context.prompt_key();
        let place = |servers: &[(ServerId, ServerRecord)]| self.place_kept(servers);
        let choice = choose_permitted(&self.host, &self.context.pool, prompt, place).await;
        let reason = match choice {
            PermittedChoice::Server(server, record) => return Ok((server, record)),
            PermittedChoice::Full if self.estimate_state.late_wait.get().is_some() => LATE_REASON,
            PermittedChoice::Full => "every engine is full",
            PermittedChoice::AtLimit => "every engine is at its limit",
            PermittedChoice::NoServer => "no engine",
        };
        if self.reason.is_empty() {
            self.reason = reason;
        }
        Err(self.give_up())
    }

    /// Sends the final call, and releases its inputs once the engine has had time to read them.
    ///
    /// In a burst of long prompts the first event comes only after the prompts queued at the
    /// engine; held until then, inputs of megabytes would fill the memory of the stage servers.
    async fn attempt_and_free(
        &self,
        server: &ServerId,
        record: &ServerRecord,
    ) -> Result<OpenStream, AttemptFailure> {
        let mut attempt = std::pin::pin!(self.attempt(server, record));
        if let Ok(attempted) = timeout(INPUT_READ_TIME, attempt.as_mut()).await {
            return attempted;
        }
        self.held_results.release_all();
        attempt.await
    }

    /// Sends the final call and waits for the first event, or the whole answer if it is no stream.
    async fn attempt(
        &self,
        server: &ServerId,
        record: &ServerRecord,
    ) -> Result<OpenStream, AttemptFailure> {
        let handles: Vec<PieceHandle> = self.graph.final_handles();
        let has_stages = !self.context.pipeline.stages.is_empty();
        let extras = AttemptExtras {
            inputs: has_stages.then_some(handles.as_slice()),
            last_event: self.last_event,
        };
        let placed = self.record_placed(server, record);
        let answer = send_attempt(&self.host, &self.context, server, record, extras).await?;
        let mut open = OpenStream::new(
            answer,
            &self.context.method,
            self.last_event,
            self.host.body_memory.share(),
        );
        open.placed = placed;
        let is_streaming = self.context.pipeline.kind == RequestKind::Streaming;
        if open.answer.status.is_success() && !is_streaming {
            let read = open.read_whole(&self.host.body_memory).await;
            read.map_err(|failure| AttemptFailure {
                verdict: ExecutionVerdict::MayHaveRun,
                received: true,
                lost_server: failure == BodyFailure::Broken,
                reason: failure.name(),
            })?;
        } else if open.answer.status.is_success() {
            open.chunk = open.read_events().await.map_err(|failure| AttemptFailure {
                verdict: ExecutionVerdict::MayHaveRun,
                received: true,
                lost_server: failure.is_lost_server(),
                reason: match failure {
                    StreamFailure::Broken => "the stream ended before its first event",
                    StreamFailure::Unreachable
                    | StreamFailure::Incomplete
                    | StreamFailure::Overlong
                    | StreamFailure::NoMemory => failure.name(),
                },
            })?;
        }
        if open.repeated > 0 {
            log_line!(
                self.host,
                warn,
                DuplicateEvents,
                request = %self.context.head.attempt,
                server = %server,
                events = open.repeated,
                after = self.last_event
            );
        }
        Ok(open)
    }

    /// Records the first event of a stream: when it arrived, and that the engine no longer needs
    /// its inputs.
    fn record_first_event(&mut self, sent_at: MonoTime) {
        self.received_attempts += 1;
        self.context.run.replace(ExecutionVerdict::Ran);
        self.reason = "";
        let now = self.host.now();
        self.first_byte_time
            .get_or_insert(now.since(self.context.arrived));
        let name = &self.context.pipeline.name;
        let mut forecast = self.host.forecast.borrow_mut();
        forecast.learn_first_answer(name, now.since(sent_at));
        drop(forecast);
        // An engine has read its inputs before it sends the first event.
        self.held_results.release_all();
        self.graph.restart();
    }

    /// Reads an answer that is not a stream completely.
    async fn read_whole(&mut self, answer: OpenAnswer) -> OpenFailure {
        self.context.run.replace(ExecutionVerdict::Ran);
        let OpenAnswer {
            status,
            headers,
            body,
            ..
        } = answer;
        match collect_within(body, ANSWER_LIMIT, &self.host.body_memory).await {
            Ok(body) => {
                let headers = hollywheel_adapter::caller_response_headers(&headers);
                OpenFailure::Whole(Box::new(WholeAnswer {
                    status,
                    headers,
                    body,
                }))
            }
            Err(_) => OpenFailure::Failed,
        }
    }

    /// Returns the response whose body forwards the stream.
    fn into_response(self, open: OpenStream) -> Response<AnswerBody> {
        let headers = hollywheel_adapter::caller_response_headers(&open.answer.headers);
        let status = open.answer.status;
        let host = self.host.clone();
        let state = ForwardState::new(self, open);
        let chunks = stream::unfold(state, |mut state| async move {
            let chunk = state.next().await?;
            Some((chunk, state))
        });
        build_answer(&host, status, headers, AnswerBody::Stream(Box::pin(chunks)))
    }
}
