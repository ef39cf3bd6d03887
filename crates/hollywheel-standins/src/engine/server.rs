//! Server of a model engine.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::stream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use hyper::{Method, Request};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::backend::{BackendCore, crossed_attempt, query_number};
use crate::fault::FaultOrder;
use crate::handle::{HandleControl, StandinHandle};
use crate::ledger::{LedgerEntry, LedgerEvent};
use crate::load::{LoadReport, SAMPLE_EVERY};
use crate::message::{GenerateCall, StateReply};
use crate::reply::{CutConnection, Reply, ReplyResult, json_reply, read_json, text_reply};
use crate::serve::{self, Endpoint};

use super::batch::{StepEnd, StreamJob, StreamPart, StreamQueue};
use super::cache::{PrefixCache, prefix_hash};
use super::order::{EngineOrder, ModelRegistry, OrderAction, fetch_weights};
use super::settings::EngineSettings;
use super::stream::StreamWriter;

/// Maximum number of tokens of one call.
const MAX_TOKENS: u32 = 4096;

/// A model engine.
pub(super) struct EngineServer {
    pub(super) core: BackendCore,
    settings: EngineSettings,
    queue: Mutex<StreamQueue>,
    wake: Notify,
    running: AtomicU32,
    cache: Mutex<PrefixCache>,
    registry: ModelRegistry,
}

impl EngineServer {
    pub(super) fn load(&self) -> LoadReport {
        // Read before the cache is locked, because a batch locks the queue first.
        let queued = self.queued();
        let cache = self.cache.lock().expect("no holder panics");
        LoadReport {
            running: self.running.load(Ordering::SeqCst),
            queued,
            slots: self.settings.slots,
            models: self.registry.models(),
            cache_used: cache.used(),
            cache_size: self.settings.cache_size,
            prefixes: cache.recent_prefixes(),
            ..self.core.report()
        }
    }

    fn queued(&self) -> u32 {
        let queue = self.queue.lock().expect("no holder panics");
        u32::try_from(queue.len()).unwrap_or(u32::MAX)
    }

    async fn sample_loads(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(SAMPLE_EVERY);
        loop {
            ticks.tick().await;
            self.core.sample(self.load());
        }
    }

    /// Executes the steps of all running streams.
    async fn run_batch(self: Arc<Self>) {
        let mut batch: Vec<StreamJob> = Vec::new();
        let mut next_step = Instant::now();
        loop {
            self.start_queued(&mut batch);
            if batch.is_empty() {
                self.wake.notified().await;
                next_step = Instant::now();
                continue;
            }
            self.core.faults.wait_unfrozen().await;
            let length = self.step_length(batch.len());
            next_step = next_step.max(Instant::now() - length) + length;
            tokio::time::sleep_until(next_step).await;
            self.core.faults.wait_unfrozen().await;
            batch.retain_mut(|job| self.step(job, length));
            self.set_running(batch.len());
        }
    }

    fn set_running(&self, streams: usize) {
        let streams = u32::try_from(streams).unwrap_or(u32::MAX);
        self.running.store(streams, Ordering::SeqCst);
    }

    fn step_length(&self, streams: usize) -> Duration {
        let others = streams.saturating_sub(1) as f64;
        let growth = 1.0 + self.settings.batch_growth * others;
        let slow = self.core.faults.get().slow_factor.clamp(0.01, 1000.0);
        self.settings.token_time.mul_f64(growth * slow)
    }

    /// Starts queued streams in free slots.
    fn start_queued(&self, batch: &mut Vec<StreamJob>) {
        let mut queue = self.queue.lock().expect("no holder panics");
        for job in queue.take_abandoned() {
            self.end(&job, LedgerEvent::Cancelled);
        }
        while batch.len() < self.settings.slots as usize {
            let Some(mut job) = queue.pop() else { break };
            if !self.core.attempts.begin(&job.call.run.attempt) {
                self.end(&job, LedgerEvent::Cancelled);
                continue;
            }
            self.core.record(LedgerEvent::Started, &job.call.run);
            let time = self.prompt_time(&job.call);
            job.set_prompt_time(time);
            batch.push(job);
        }
        drop(queue);
        self.set_running(batch.len());
    }

    fn prompt_time(&self, call: &GenerateCall) -> Duration {
        let prefix = prefix_hash(&call.run.input);
        let cached = self.cache.lock().expect("no holder panics").touch(&prefix);
        let bytes = call.run.input.len() + call.run.previous.len() + call.generated.len();
        let share = if cached {
            self.settings.cached_share
        } else {
            1.0
        };
        self.settings.prompt_byte_time.mul_f64(bytes as f64 * share)
    }

    /// Executes a step of one stream; returns whether the stream continues.
    fn step(&self, job: &mut StreamJob, length: Duration) -> bool {
        match job.step(length) {
            StepEnd::Continues => return true,
            StepEnd::Finished => self.end(job, LedgerEvent::Finished),
            StepEnd::Cancelled => self.end(job, LedgerEvent::Cancelled),
        }
        false
    }

    fn end(&self, job: &StreamJob, event: LedgerEvent) {
        self.core.record(event, &job.call.run);
        self.core.attempts.end(&job.call.run.attempt);
    }

    async fn generate(self: Arc<Self>, request: Request<Incoming>) -> ReplyResult {
        let call: GenerateCall = match read_json(request.into_body()).await {
            Ok(call) => call,
            Err(reply) => return Ok(reply),
        };
        if call.max_tokens > MAX_TOKENS {
            let text = format!("max_tokens {}; at most {MAX_TOKENS}", call.max_tokens);
            return Ok(text_reply(StatusCode::BAD_REQUEST, text));
        }
        self.core.before_call().await?;
        if let Some(reason) = self.refusal_reason(&call.model) {
            let reply = self.core.refuse(&call.run, reason, self.load());
            self.core.faults.delay_answer().await;
            return Ok(reply);
        }
        let parts = self.enqueue(&call);
        self.answer(call, parts).await
    }

    fn refusal_reason(&self, model: &str) -> Option<&'static str> {
        if let Some(reason) = self.core.refusal_reason() {
            return Some(reason);
        }
        if !self.registry.contains(model) {
            return Some("model-not-loaded");
        }
        (self.queued() >= self.settings.queue_limit).then_some("queue-full")
    }

    fn enqueue(&self, call: &GenerateCall) -> mpsc::Receiver<StreamPart> {
        let parts = call.max_tokens as usize + 1;
        let (sender, receiver) = mpsc::channel(parts);
        let token = self.core.attempts.open(&call.run.attempt);
        let job = StreamJob::new(call.clone(), token, sender);
        self.queue.lock().expect("no holder panics").push(job);
        self.wake.notify_one();
        receiver
    }

    async fn answer(
        self: Arc<Self>,
        call: GenerateCall,
        mut parts: mpsc::Receiver<StreamPart>,
    ) -> ReplyResult {
        let order = self.core.faults.get();
        if order.cut_after > 0 || order.fail_status.is_some() {
            while parts.recv().await.is_some() {}
            if let Some(status) = self.core.after_call()? {
                return Ok(text_reply(status, "failed by a fault order"));
            }
        }
        self.core.faults.delay_answer().await;
        Ok(self.stream_reply(call, parts))
    }

    fn stream_reply(
        self: Arc<Self>,
        call: GenerateCall,
        parts: mpsc::Receiver<StreamPart>,
    ) -> Reply {
        let crossed = self.core.faults.take(|order| &mut order.crossed);
        let attempt = if crossed {
            crossed_attempt(&call.run.attempt)
        } else {
            call.run.attempt.clone()
        };
        let cut_after = self.core.faults.take_stream_cut();
        let writer = StreamWriter::new(self, call, attempt, parts, cut_after);
        let frames = stream::unfold(writer, StreamWriter::next_frame);
        let mut reply = Response::new(StreamBody::new(frames).boxed_unsync());
        let kind = HeaderValue::from_static("application/x-ndjson");
        reply.headers_mut().insert(header::CONTENT_TYPE, kind);
        reply
    }

    async fn order(self: Arc<Self>, request: Request<Incoming>) -> ReplyResult {
        let order: EngineOrder = match read_json(request.into_body()).await {
            Ok(order) => order,
            Err(reply) => return Ok(reply),
        };
        self.core.before_call().await?;
        let checks = self.settings.fencing && !self.core.faults.get().ignore_fencing;
        let fenced = self.registry.fence(order.fencing, checks);
        self.record_order(&order, fenced.is_ok());
        let (status, state, highest) = match fenced {
            Ok(()) => (StatusCode::OK, "accepted", None),
            Err(highest) => (StatusCode::CONFLICT, "stale", Some(highest)),
        };
        if fenced.is_ok() {
            Arc::clone(&self).execute_order(order);
        }
        if self.core.faults.take(|order| &mut order.cut_after) {
            return Err(CutConnection);
        }
        self.core.faults.delay_answer().await;
        Ok(json_reply(status, &StateReply { state, highest }))
    }

    fn record_order(&self, order: &EngineOrder, accepted: bool) {
        let event = match accepted {
            true => LedgerEvent::OrderAccepted,
            false => LedgerEvent::OrderStale,
        };
        self.core.ledger.record(LedgerEntry {
            request: order.order.clone(),
            stage: order.model.clone(),
            work: order.action.name().to_owned(),
            fencing: Some(order.fencing),
            ..LedgerEntry::new(event)
        });
    }

    fn execute_order(self: Arc<Self>, order: EngineOrder) {
        match order.action {
            OrderAction::LoadModel | OrderAction::LoadAdapter => {
                let stop = self.core.stop.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = self.load_model(&order.model) => {}
                    }
                });
            }
            OrderAction::UnloadModel | OrderAction::UnloadAdapter => {
                self.registry.remove(&order.model);
            }
            OrderAction::SetRole => {}
        }
    }

    async fn load_model(&self, model: &str) {
        if self.registry.contains(model) {
            return;
        }
        if let Some(store) = self.settings.weights {
            let token = self.settings.platform_token.as_deref();
            if !fetch_weights(store, token, model).await {
                tracing::warn!(
                    model,
                    "model not loaded: the weight store did not return it"
                );
                return;
            }
        }
        tokio::time::sleep(self.settings.load_time).await;
        self.registry.add(model);
    }

    async fn cache_events(&self, request: &Request<Incoming>) -> ReplyResult {
        self.core.faults.delay_answer().await;
        let after = query_number(request, "after").unwrap_or(0);
        let lag = self.core.lag();
        let cache = self.cache.lock().expect("no holder panics");
        Ok(json_reply(StatusCode::OK, &cache.events(after, lag)))
    }
}

impl HandleControl for EngineServer {
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

impl Endpoint for EngineServer {
    async fn call(self: Arc<Self>, request: Request<Incoming>) -> ReplyResult {
        let load = self.load();
        let request = match self.core.call(request, load, true).await {
            Ok(reply) => return reply,
            Err(request) => request,
        };
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/generate") => self.generate(request).await,
            (&Method::POST, "/v1/orders") => self.order(request).await,
            (&Method::GET, "/v1/cache-events") => self.cache_events(&request).await,
            _ => Ok(text_reply(StatusCode::NOT_FOUND, "not found")),
        }
    }
}

/// Starts a model engine.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn start_engine(settings: EngineSettings) -> std::io::Result<StandinHandle> {
    let settings = EngineSettings {
        slots: settings.slots.max(1),
        ..settings
    };
    let engine = Arc::new(EngineServer {
        core: BackendCore::new(settings.name.clone(), settings.load_lag),
        queue: Mutex::new(StreamQueue::default()),
        wake: Notify::new(),
        running: AtomicU32::new(0),
        cache: Mutex::new(PrefixCache::new(
            settings.cache_size,
            settings.cache_gap_every,
        )),
        registry: ModelRegistry::new(settings.models.clone()),
        settings,
    });
    // Without this sample a lagged report would include calls received before the first tick.
    engine.core.sample(engine.load());
    let stop = engine.core.stop.clone();
    let handle = serve::start(engine.settings.listen, stop.clone(), Arc::clone(&engine)).await?;
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = Arc::clone(&engine).run_batch() => {}
            () = Arc::clone(&engine).sample_loads() => {}
        }
    });
    Ok(handle)
}
