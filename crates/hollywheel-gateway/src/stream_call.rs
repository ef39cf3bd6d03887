//! Requests that are answered by a stream of events: their stages and their final call.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Response, StatusCode};
use tokio::time::timeout;

use hollywheel_serving::{
    PieceHandle, PlaceQuery, PlaceVerdict, ServerRecord, StageGraph, choose_engine, choose_least,
};
use hollywheel_types::{DomainId, ExecutionVerdict, MonoTime, ServerId};

use crate::body::AnswerBody;
use crate::host::Host;
use crate::limited_body::{ANSWER_LIMIT, collect_body};
use crate::log::log_line;
use crate::request::{RequestContext, RequestGuard};
use crate::respond::{RequestEnd, RequestOutcome, answer_own, build_answer};
use crate::results::HeldResults;
use crate::send::{AttemptExtras, AttemptFailure, OpenAnswer, note_failure, send_attempt};
use crate::stage_run::{StageContext, StageFailure, run_stages};
use crate::stream_pass::{OpenStream, PassState, StreamFailure};

/// A model engine runs its slots at once and queues about as many; a request that waits behind
/// those has lost its objective.
const FULL_LOAD: f64 = 1.8;
/// A request that no engine takes is told to come back after this time, in which engines end
/// some streams.
const FULL_RETRY: Duration = Duration::from_millis(300);
/// A request whose stages failed is told to come back after this time: it has lost its
/// objective, and the burst or loss that delayed it lasts for seconds.
const STAGE_RETRY: Duration = Duration::from_millis(2500);
/// An engine reads its inputs as soon as the request arrives, at megabytes in a millisecond, and
/// a refusal comes before that; where it had no time to, it says that an input is gone.
const INPUT_READ_TIME: Duration = Duration::from_millis(100);
/// Servers that are tried while none of them has received the request.
const MAX_TRIES: u32 = 5;
/// The stages of a request are run so many times at most.
const MAX_STAGE_RUNS: u32 = 3;

/// Says how the opening of a stream ended without one.
pub(crate) enum OpenEnd {
    /// The request has not run; the caller may come back.
    Refused { retry_after: Duration },
    /// The request may have run.
    Failed,
    /// A server's answer that is not a stream.
    Whole(Box<WholeAnswer>),
}

pub(crate) struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Follows one request from its stages to the end of its stream.
pub(crate) struct StreamJob {
    pub(crate) host: Host,
    pub(crate) context: Rc<RequestContext>,
    guard: RequestGuard,
    graph: StageGraph,
    held: HeldResults,
    stage_runs: u32,
    pub(crate) excluded: Vec<ServerId>,
    pub(crate) tries: u32,
    /// The server of the last try and its load as it was known then.
    chosen: Option<(ServerId, f64)>,
    arrivals: u32,
    pub(crate) verdict: ExecutionVerdict,
    /// Whether an attempt is in progress, whose fate is not known.
    sending: bool,
    pub(crate) reason: &'static str,
    stages_took: Duration,
    first_took: Option<Duration>,
    pub(crate) last_event: Option<u64>,
}

/// Serves a request that is answered by a stream.
pub(crate) async fn call_stream(
    host: &Host,
    context: Rc<RequestContext>,
    guard: RequestGuard,
) -> Response<AnswerBody> {
    let mut job = StreamJob::new(host, context, guard);
    let left = job.context.begins_by.since(host.now());
    let opened = timeout(left, job.open()).await;
    let opened = opened.unwrap_or_else(|_| {
        job.reason = "the time was over";
        if job.sending {
            job.verdict = job.verdict.join(ExecutionVerdict::MayHaveRun);
        }
        Err(match job.verdict {
            ExecutionVerdict::NotRun => OpenEnd::Refused {
                retry_after: STAGE_RETRY,
            },
            ExecutionVerdict::MayHaveRun | ExecutionVerdict::Ran => OpenEnd::Failed,
        })
    });
    match opened {
        Ok(open) => job.pass_on(open),
        Err(OpenEnd::Whole(answer)) => {
            job.end(RequestOutcome::Answered, answer.status);
            build_answer(
                host,
                answer.status,
                answer.headers,
                AnswerBody::whole(answer.body),
            )
        }
        Err(OpenEnd::Refused { retry_after }) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            job.end(RequestOutcome::Refused, status);
            answer_own(host, &job.context.head.attempt, status, Some(retry_after))
        }
        Err(OpenEnd::Failed) => {
            let status = if host.now() >= job.context.begins_by {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            job.end(RequestOutcome::Failed, status);
            answer_own(host, &job.context.head.attempt, status, None)
        }
    }
}

impl StreamJob {
    fn new(host: &Host, context: Rc<RequestContext>, guard: RequestGuard) -> Self {
        Self {
            graph: StageGraph::new(&context.pipeline.stages, &context.head.pieces),
            held: HeldResults::new(host),
            last_event: context
                .head
                .last_event
                .filter(|_| context.pipeline.resumable),
            host: host.clone(),
            context,
            guard,
            stage_runs: 0,
            excluded: Vec::new(),
            tries: 0,
            chosen: None,
            arrivals: 0,
            verdict: ExecutionVerdict::NotRun,
            sending: false,
            reason: "",
            stages_took: Duration::ZERO,
            first_took: None,
        }
    }

    pub(crate) fn end(&self, outcome: RequestOutcome, status: StatusCode) {
        let context = &self.context;
        if outcome != RequestOutcome::Answered {
            let mut patience = self.host.patience.borrow_mut();
            patience.note_refused(self.host.now(), &context.pipeline.name);
        }
        self.guard.end(&RequestEnd {
            outcome,
            verdict: self.verdict,
            status: status.as_u16(),
            reason: self.reason,
            attempts: self.tries,
            server: self.chosen.as_ref().map(|(server, _)| server),
            server_load: self.chosen.as_ref().map(|(_, load)| *load),
            stages_took: self.stages_took,
            first_took: self.first_took,
            workspace: context.workspace.as_ref().map(|name| name.as_str()),
            config: context.set.version.0,
            remaining: context.deadline.since(self.host.now()),
        });
    }

    /// Runs the stages and sends the final call until a stream has begun.
    pub(crate) async fn open(&mut self) -> Result<OpenStream, OpenEnd> {
        loop {
            self.check_pool()?;
            self.make_inputs().await?;
            let (server, record) = self.choose()?;
            self.tries += 1;
            let load = self.host.server_load(&server, &record);
            self.chosen = Some((server.clone(), load));
            let sent_at = self.host.now();
            self.sending = true;
            let attempted = self.attempt_and_free(&server, &record).await;
            self.sending = false;
            let failure = match attempted {
                Ok(open) if open.answer.status.is_success() => {
                    self.note_first(sent_at);
                    return Ok(open);
                }
                Ok(open) => return Err(self.read_whole(open.answer).await),
                Err(failure) => failure,
            };
            note_failure(
                &self.host,
                &self.context,
                &server,
                self.tries,
                &failure,
                sent_at,
            );
            self.arrivals += u32::from(failure.arrived);
            self.verdict = self.verdict.join(failure.verdict);
            self.reason = failure.reason;
            if !self.may_try_again() {
                return Err(self.give_up());
            }
            if self.held.is_empty() && self.graph.is_complete() {
                // The inputs were freed; they are made again for another engine.
                self.restart_stages();
            }
            self.excluded.push(server);
        }
    }

    /// Refuses the request before its stages run if every engine has asked for time.
    fn check_pool(&mut self) -> Result<(), OpenEnd> {
        if self.host.pool_pause(&self.context.pool).is_none() {
            return Ok(());
        }
        if self.reason.is_empty() {
            self.reason = "every engine has asked for time";
        }
        Err(self.give_up())
    }

    /// Says whether the stream that a server sends can continue at another one that takes it now.
    pub(crate) fn can_continue(&self, server: &ServerId) -> bool {
        let pipeline = &self.context.pipeline;
        let has_tries = self.tries < MAX_TRIES && self.arrivals < pipeline.max_attempts;
        let mut servers = self.host.pool_servers(&self.context.pool);
        servers.retain(|(name, _)| name != server);
        let is_taken = matches!(self.place(&servers), PlaceVerdict::Server(_));
        has_tries && pipeline.may_repeat() && is_taken && self.host.has_repeat(&self.context.pool)
    }

    /// Runs the stages unless their results are there.
    async fn make_inputs(&mut self) -> Result<(), OpenEnd> {
        while !self.graph.is_complete() {
            self.stage_runs += 1;
            let started = self.host.now();
            let domain = self.choose_domain();
            let stages = StageContext {
                set: Rc::clone(&self.context.set),
                pipeline: Rc::clone(&self.context.pipeline),
                attempt: self.context.head.attempt.clone(),
                piece_key: self.context.head.piece_key.clone(),
                objective: self.context.objective,
                deadline: self.context.begins_by,
                rank: self.context.rank,
                domain,
                tie: self.context.tie,
            };
            let ran = run_stages(&self.host, &stages, &mut self.graph, &self.held).await;
            self.stages_took += self.host.now().since(started);
            let Err(failure) = ran else {
                return Ok(());
            };
            let again = failure == StageFailure::InputGone && self.stage_runs < MAX_STAGE_RUNS;
            if !again {
                self.reason = failure.name();
                return Err(self.stage_end(failure));
            }
            self.restart_stages();
        }
        Ok(())
    }

    fn restart_stages(&mut self) {
        self.held.release_all();
        self.graph.restart();
    }

    fn stage_end(&self, failure: StageFailure) -> OpenEnd {
        if self.verdict != ExecutionVerdict::NotRun {
            return OpenEnd::Failed;
        }
        let retry_after = match failure {
            StageFailure::Refused { retry_after } => retry_after,
            StageFailure::Late | StageFailure::InputGone | StageFailure::Failed => STAGE_RETRY,
        };
        OpenEnd::Refused { retry_after }
    }

    fn give_up(&self) -> OpenEnd {
        let pause = self.host.pool_pause(&self.context.pool);
        match self.verdict {
            ExecutionVerdict::NotRun => OpenEnd::Refused {
                retry_after: pause.unwrap_or_default().max(FULL_RETRY),
            },
            ExecutionVerdict::MayHaveRun | ExecutionVerdict::Ran => OpenEnd::Failed,
        }
    }

    /// Says whether the final call is sent once more: the request has not run or may continue,
    /// has tries left, and the budget that all hosts share holds another send.
    pub(crate) fn may_try_again(&mut self) -> bool {
        if self.tries >= MAX_TRIES {
            return false;
        }
        let pipeline = &self.context.pipeline;
        if self.verdict != ExecutionVerdict::NotRun
            && (!pipeline.may_repeat() || self.arrivals >= pipeline.max_attempts)
        {
            return false;
        }
        let input_gone = self.reason == "an input is gone";
        if input_gone {
            if self.stage_runs >= MAX_STAGE_RUNS {
                return false;
            }
            self.restart_stages();
        }
        if self.arrivals == 0 {
            return true;
        }
        self.host.take_repeat(&self.context.pool)
    }

    fn place(&self, servers: &[(ServerId, ServerRecord)]) -> PlaceVerdict {
        let settings = self.host.settings();
        let query = PlaceQuery {
            now: self.host.now(),
            servers,
            exclude: &self.excluded,
            tie: self.context.tie,
            domain: Some(&settings.domain),
        };
        let loads = self.host.loads.borrow();
        if self.context.pipeline.prompt_affinity {
            choose_engine(&query, &loads, &self.context.head.parts, FULL_LOAD)
        } else {
            choose_least(&query, &loads, FULL_LOAD)
        }
    }

    /// Returns the domain of the engine that would be chosen now, so that results are made
    /// where they are read.
    fn choose_domain(&self) -> Option<DomainId> {
        let servers = self.host.pool_servers(&self.context.pool);
        match self.place(&servers) {
            PlaceVerdict::Server(server) => servers
                .into_iter()
                .find(|(name, _)| *name == server)
                .map(|(_, record)| record.domain),
            PlaceVerdict::Full | PlaceVerdict::NoServer => None,
        }
    }

    fn choose(&mut self) -> Result<(ServerId, ServerRecord), OpenEnd> {
        let servers = self.host.pool_servers(&self.context.pool);
        let reason = match self.place(&servers) {
            PlaceVerdict::Server(server) => {
                if let Some(found) = servers.into_iter().find(|(name, _)| *name == server) {
                    return Ok(found);
                }
                "no engine"
            }
            PlaceVerdict::Full => "every engine is full",
            PlaceVerdict::NoServer => "no engine",
        };
        if self.reason.is_empty() {
            self.reason = reason;
        }
        Err(self.give_up())
    }

    /// Sends the final call, and frees its inputs once the engine has had time to read them.
    ///
    /// Answers a burst of long prompts: inputs of megabytes would keep the room of stage servers
    /// until the first event, which comes after the prompts that wait at the engine.
    async fn attempt_and_free(
        &self,
        server: &ServerId,
        record: &ServerRecord,
    ) -> Result<OpenStream, AttemptFailure> {
        let mut attempt = std::pin::pin!(self.attempt(server, record));
        if let Ok(attempted) = timeout(INPUT_READ_TIME, attempt.as_mut()).await {
            return attempted;
        }
        self.held.release_all();
        attempt.await
    }

    /// Sends the final call and waits for the first event.
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
        let answer = send_attempt(&self.host, &self.context, server, record, extras).await?;
        let mut open = OpenStream::new(answer, self.last_event);
        if open.answer.status.is_success() {
            open.chunk = open.read_events().await.map_err(|failure| AttemptFailure {
                verdict: ExecutionVerdict::MayHaveRun,
                arrived: true,
                reason: match failure {
                    StreamFailure::Broken => "the stream broke before its first event",
                    StreamFailure::Overlong => failure.name(),
                },
            })?;
        }
        if open.repeated > 0 {
            log_line!(
                self.host,
                warn,
                EventsRepeated,
                request = %self.context.head.attempt,
                server = %server,
                events = open.repeated,
                after = self.last_event
            );
        }
        Ok(open)
    }

    fn note_first(&mut self, sent_at: MonoTime) {
        self.arrivals += 1;
        self.verdict = ExecutionVerdict::Ran;
        self.reason = "";
        let now = self.host.now();
        self.first_took
            .get_or_insert(now.since(self.context.arrived));
        let name = &self.context.pipeline.name;
        let mut forecast = self.host.forecast.borrow_mut();
        forecast.learn_first_answer(name, now.since(sent_at));
        drop(forecast);
        // The engine has read its inputs once the first event is there.
        self.held.release_all();
        self.graph.restart();
    }

    async fn read_whole(&mut self, answer: OpenAnswer) -> OpenEnd {
        self.verdict = ExecutionVerdict::Ran;
        let OpenAnswer {
            status,
            headers,
            body,
            ..
        } = answer;
        match collect_body(body, ANSWER_LIMIT).await {
            Ok(body) => {
                let headers = hollywheel_adapter::caller_response_headers(&headers);
                OpenEnd::Whole(Box::new(WholeAnswer {
                    status,
                    headers,
                    body,
                }))
            }
            Err(_) => OpenEnd::Failed,
        }
    }

    /// Makes the answer whose body passes the stream on.
    fn pass_on(self, open: OpenStream) -> Response<AnswerBody> {
        let headers = hollywheel_adapter::caller_response_headers(&open.answer.headers);
        let status = open.answer.status;
        let host = self.host.clone();
        let state = PassState {
            job: self,
            open: Some(open),
            waits: false,
        };
        let chunks = stream::unfold(state, |mut state| async move {
            let chunk = state.next().await?;
            Some((chunk, state))
        });
        build_answer(&host, status, headers, AnswerBody::Stream(Box::pin(chunks)))
    }
}
