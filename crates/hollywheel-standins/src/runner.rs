//! Servers that answer a call with a single output.

use std::future::Future;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::StatusCode;
use hyper::body::Incoming;
use hyper::{Method, Request};
use tokio::sync::{Semaphore, oneshot};
use tokio_util::sync::CancellationToken;

use crate::backend::BackendCore;
use crate::digest::unary_output;
use crate::fault::FaultOrder;
use crate::handle::HandleControl;
use crate::ledger::{LedgerEntry, LedgerEvent};
use crate::load::{LoadReport, SAMPLE_EVERY};
use crate::message::{RunAnswer, RunCall};
use crate::random::ServiceTimes;
use crate::reply::{CutConnection, Reply, ReplyResult, json_reply, read_json, text_reply};
use crate::serve::Endpoint;

/// Settings of a server with one kind of work.
#[derive(Debug)]
pub(crate) struct RunnerSettings {
    pub(crate) name: String,
    pub(crate) work: &'static str,
    pub(crate) slots: u32,
    pub(crate) queue_limit: u32,
    pub(crate) load_lag: Duration,
    pub(crate) times: ServiceTimes,
    /// Whether a cancelled call is stopped if it is already running.
    pub(crate) stops_running: bool,
}

/// Reason why a queued call ended.
enum RunEnd {
    Finished,
    CancelledQueued,
    CancelledRunning,
}

/// Executes calls in order of arrival, up to a number at once.
pub(crate) struct RunServer {
    core: BackendCore,
    work: &'static str,
    slots: u32,
    queue_limit: u32,
    stops_running: bool,
    permits: Semaphore,
    queued: AtomicU32,
    running: AtomicU32,
    times: Mutex<ServiceTimes>,
}

impl RunServer {
    pub(crate) fn new(settings: RunnerSettings) -> Arc<Self> {
        let slots = settings.slots.max(1);
        let server = Arc::new(Self {
            core: BackendCore::new(settings.name, settings.load_lag),
            work: settings.work,
            slots,
            queue_limit: settings.queue_limit,
            stops_running: settings.stops_running,
            permits: Semaphore::new(slots as usize),
            queued: AtomicU32::new(0),
            running: AtomicU32::new(0),
            times: Mutex::new(settings.times),
        });
        // Without this sample a lagged report would include calls received before the first tick.
        server.core.sample(server.load());
        server.spawn(Arc::clone(&server).sample_loads());
        server
    }

    pub(crate) fn stop_token(&self) -> CancellationToken {
        self.core.stop.clone()
    }

    /// Spawns a task that is stopped with the server.
    fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop_token();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = work => {}
            }
        });
    }

    async fn sample_loads(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(SAMPLE_EVERY);
        loop {
            ticks.tick().await;
            self.core.sample(self.load());
        }
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running.load(Ordering::SeqCst),
            queued: self.queued.load(Ordering::SeqCst),
            slots: self.slots,
            ..self.core.report()
        }
    }

    async fn run(self: Arc<Self>, request: Request<Incoming>) -> ReplyResult {
        let call: RunCall = match read_json(request.into_body()).await {
            Ok(call) => call,
            Err(reply) => return Ok(reply),
        };
        if call.work != self.work {
            let text = format!("work {:?}; this server does {:?}", call.work, self.work);
            return Ok(text_reply(StatusCode::BAD_REQUEST, text));
        }
        self.core.before_call().await?;
        if let Some(reason) = self.refusal_reason() {
            let reply = self.core.refuse(&call, reason, self.load());
            self.core.faults.delay_answer().await;
            return Ok(reply);
        }
        let (sender, receiver) = oneshot::channel();
        self.queued.fetch_add(1, Ordering::SeqCst);
        let token = self.core.attempts.open(&call.attempt);
        let server = Arc::clone(&self);
        let work = call.clone();
        // A task of its own, so that running work continues when its caller disconnects.
        self.spawn(async move {
            let _ = sender.send(server.process(&work, token).await);
        });
        let end = receiver.await.map_err(|_| CutConnection)?;
        self.answer(&call, end).await
    }

    fn refusal_reason(&self) -> Option<&'static str> {
        let full = self.queued.load(Ordering::SeqCst) >= self.queue_limit;
        self.core
            .refusal_reason()
            .or_else(|| full.then_some("queue-full"))
    }

    async fn process(&self, call: &RunCall, token: CancellationToken) -> RunEnd {
        let end = self.wait_and_run(call, token).await;
        self.core.attempts.end(&call.attempt);
        end
    }

    async fn wait_and_run(&self, call: &RunCall, token: CancellationToken) -> RunEnd {
        let permit = tokio::select! {
            permit = self.permits.acquire() => permit.ok(),
            () = token.cancelled() => None,
        };
        self.queued.fetch_sub(1, Ordering::SeqCst);
        self.core.faults.wait_unfrozen().await;
        if permit.is_none() || !self.core.attempts.begin(&call.attempt) {
            self.core.record(LedgerEvent::Cancelled, call);
            return RunEnd::CancelledQueued;
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        self.core.record(LedgerEvent::Started, call);
        let end = self.work(token).await;
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.core.record(
            match end {
                RunEnd::Finished => LedgerEvent::Finished,
                _ => LedgerEvent::Cancelled,
            },
            call,
        );
        end
    }

    async fn work(&self, token: CancellationToken) -> RunEnd {
        let factor = self.core.faults.get().slow_factor;
        let time = self.times.lock().expect("no holder panics").draw(factor);
        let sleep = tokio::time::sleep(time);
        tokio::select! {
            () = sleep => RunEnd::Finished,
            () = token.cancelled(), if self.stops_running => RunEnd::CancelledRunning,
        }
    }

    async fn answer(&self, call: &RunCall, end: RunEnd) -> ReplyResult {
        match end {
            RunEnd::Finished => self.finished(call).await,
            RunEnd::CancelledQueued => Ok(self.core.refuse(call, "cancelled", self.load())),
            RunEnd::CancelledRunning => Err(CutConnection),
        }
    }

    async fn finished(&self, call: &RunCall) -> ReplyResult {
        let status = self.core.after_call()?;
        self.core.faults.delay_answer().await;
        if let Some(status) = status {
            return Ok(text_reply(status, "failed by a fault order"));
        }
        Ok(self.output(call))
    }

    fn output(&self, call: &RunCall) -> Reply {
        let answer = RunAnswer {
            request: call.request.clone(),
            attempt: call.attempt.clone(),
            stage: call.stage.clone(),
            output: unary_output(&call.stage, &call.work, &call.input, &call.previous),
            load: self.load(),
        };
        json_reply(StatusCode::OK, &self.core.replace_answer(answer))
    }
}

impl HandleControl for RunServer {
    fn ledger(&self) -> Vec<LedgerEntry> {
        self.core.ledger.entries(0)
    }

    fn copy_ledger(&self, file: std::fs::File) {
        self.core.ledger.copy_to(file);
    }

    fn set_faults(&self, order: FaultOrder) {
        self.core.set_faults(order);
    }
}

impl Endpoint for RunServer {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> ReplyResult {
        let load = self.load();
        let stops_running = self.stops_running;
        let request = match self.core.call(request, load, stops_running).await {
            Ok(reply) => return reply,
            Err(request) => request,
        };
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/run") => self.run(request).await,
            _ => Ok(text_reply(StatusCode::NOT_FOUND, "not found")),
        }
    }
}
