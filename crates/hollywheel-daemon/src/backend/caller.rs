//! HTTP client for backend servers.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hollywheel_config::StageKind;
use hollywheel_node::{AttemptCall, AttemptEvent, NodeInput};
use hollywheel_policy::ServerReport;
use hollywheel_types::{AttemptNonce, MonoTime};
use http::{Method, Request, Response, Uri, header};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::answer::{ResponseKind, classify_response, read_body, read_refusal, retry_after};
use super::reports::LoadReportTracker;
use super::send_body::SendBody;
use super::wire::{CancelBody, LoadBody, RunBody};
use super::{stream, unary};
use crate::core::CoreHandle;
use crate::events::{EventContext, LogEvent, log_event};
use crate::traces::TraceRing;
use hollywheel_clock::HostClock;

/// Settings of the client for backend servers.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Time-out for opening a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections to one server.
    pub max_idle_connections: usize,
    /// Time after the deadline of the request at which an attempt is abandoned as broken.
    pub grace: Duration,
    /// Time-out of a cancel call and of a load report.
    pub control_timeout: Duration,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(4),
            max_idle_connections: 32,
            grace: Duration::from_secs(60),
            control_timeout: Duration::from_secs(1),
        }
    }
}

/// Sends attempts to backend servers. Clones share the connection pool.
#[derive(Clone, Debug)]
pub struct BackendCaller {
    settings: BackendSettings,
    client: Client<HttpConnector, SendBody>,
    clock: HostClock,
    reports: Arc<LoadReportTracker>,
    traces: Arc<TraceRing>,
}

/// Outcome of sending an attempt.
enum SendOutcome {
    /// The server returned the head of a response.
    Answer(Response<Incoming>),
    /// No byte of the request left this host.
    NotSent,
    /// The connection broke after part of the request may have been sent.
    Broken,
}

impl BackendCaller {
    /// Creates a client, which opens connections on demand.
    pub fn new(
        settings: BackendSettings,
        clock: HostClock,
        reports: Arc<LoadReportTracker>,
        traces: Arc<TraceRing>,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(settings.idle_timeout)
            .pool_max_idle_per_host(settings.max_idle_connections)
            .build(connector);
        Self {
            settings,
            client,
            clock,
            reports,
            traces,
        }
    }

    /// Runs an attempt to its end and sends every event of it to the decision machine.
    pub async fn run_attempt(&self, call: AttemptCall, core: &CoreHandle) {
        let time_left = call.deadline.since(self.clock.now()) + self.settings.grace;
        let execution = self.send_and_read(&call, core);
        let last_event = tokio::time::timeout(time_left, execution)
            .await
            .unwrap_or(AttemptEvent::Broken);
        let nonce = call.nonce;
        core.send(NodeInput::Attempt {
            nonce,
            event: last_event,
        })
        .await;
    }

    async fn send_and_read(&self, call: &AttemptCall, core: &CoreHandle) -> AttemptEvent {
        let response = match self.send_call(call).await {
            SendOutcome::Answer(response) => response,
            SendOutcome::NotSent => return AttemptEvent::NotSent,
            SendOutcome::Broken => return AttemptEvent::Broken,
        };
        match classify_response(response) {
            ResponseKind::Ran(response) if call.work == StageKind::Generate => {
                stream::read_stream(self, call, core, response).await
            }
            ResponseKind::Ran(response) => unary::read_answer(self, call, core, response).await,
            ResponseKind::NotRun(response) => self.confirm_refusal(call, core, response).await,
            ResponseKind::Other(status) => {
                self.log_invalid(call, &format!("status {status}"));
                AttemptEvent::Broken
            }
        }
    }

    async fn send_call(&self, call: &AttemptCall) -> SendOutcome {
        let now = self.clock.now();
        if now >= call.deadline {
            return SendOutcome::NotSent;
        }
        let path = if call.work == StageKind::Generate {
            "/v1/generate"
        } else {
            "/v1/run"
        };
        let Some(request) = json_request(call.address, path, &RunBody::of(call, now)) else {
            return SendOutcome::NotSent;
        };
        match self.request_before(request, call.deadline).await {
            Some(Ok(response)) => SendOutcome::Answer(response),
            Some(Err(error)) if was_never_sent(&error) => SendOutcome::NotSent,
            Some(Err(_)) => SendOutcome::Broken,
            None => SendOutcome::Broken,
        }
    }

    /// Sends a request; returns `None` if the deadline passes before it is written. The clock is
    /// read before every poll until then, because a process that was paused may find its timers
    /// and its connections ready at the same time.
    pub(super) async fn request_before(
        &self,
        request: Request<SendBody>,
        deadline: MonoTime,
    ) -> Option<Result<Response<Incoming>, Error>> {
        let written = request.body().written();
        let mut sending = std::pin::pin!(self.client.request(request));
        std::future::poll_fn(|cx| {
            if !written.is_set() && self.clock.now() >= deadline {
                return Poll::Ready(None);
            }
            Pin::as_mut(&mut sending).poll(cx).map(Some)
        })
        .await
    }

    async fn confirm_refusal(
        &self,
        call: &AttemptCall,
        core: &CoreHandle,
        response: Response<Incoming>,
    ) -> AttemptEvent {
        let refusal = read_refusal(response).await;
        // A refusal that names another attempt does not prove that this one was not executed.
        let Some(mut refusal) = refusal.filter(|refusal| refusal.attempt == call.nonce) else {
            self.log_invalid(call, "refusal names another attempt or is not valid");
            return AttemptEvent::Broken;
        };
        let delay = retry_after(&refusal);
        self.record_load(call, core, refusal.load.take()).await;
        AttemptEvent::Refused { retry_after: delay }
    }

    /// Records the load report that a response carries, unless it names another server.
    pub(super) async fn record_load(
        &self,
        call: &AttemptCall,
        core: &CoreHandle,
        load: Option<LoadBody>,
    ) {
        let Some(report) = load.map(LoadBody::into_report) else {
            return;
        };
        if report.server == call.server {
            self.reports.record(core, report, Duration::ZERO).await;
        }
    }

    /// Logs a response that violates the protocol.
    pub(super) fn log_invalid(&self, call: &AttemptCall, detail: &str) {
        let context = EventContext {
            request: Some(call.request),
            trace: self.traces.trace_of(call.request),
        };
        let detail = format!("attempt {} at {}: {detail}", call.nonce, call.server);
        log_event(LogEvent::AnswerInvalid, &context, &detail);
    }

    /// Asks a server to cancel an attempt; failures are ignored.
    pub async fn cancel(&self, address: SocketAddr, attempt: AttemptNonce) {
        let Some(request) = json_request(address, "/v1/cancel", &CancelBody { attempt }) else {
            return;
        };
        let sending = self.client.request(request);
        let _ = tokio::time::timeout(self.settings.control_timeout, sending).await;
    }

    /// Returns the clock of the client.
    pub(super) const fn clock(&self) -> &HostClock {
        &self.clock
    }

    /// Reads the load report of a server; returns `None` if there is no valid response in time.
    pub async fn read_report(&self, address: SocketAddr) -> Option<ServerReport> {
        self.read_load(address).await.map(LoadBody::into_report)
    }

    async fn read_load(&self, address: SocketAddr) -> Option<LoadBody> {
        let request = Request::get(server_uri(address, "/v1/load")?)
            .body(SendBody::default())
            .ok()?;
        let reading = async {
            let response = self.client.request(request).await.ok()?;
            let body = read_body(response).await?;
            serde_json::from_slice(&body).ok()
        };
        tokio::time::timeout(self.settings.control_timeout, reading)
            .await
            .ok()?
    }
}

/// Returns whether it is certain that no byte of the request left this host.
pub(super) fn was_never_sent(error: &Error) -> bool {
    if error.is_connect() {
        return true;
    }
    // hyper returns a request as cancelled only if the connection never took it from its queue.
    std::error::Error::source(error)
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}

fn server_uri(address: SocketAddr, path: &'static str) -> Option<Uri> {
    Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
        .ok()
}

pub(super) fn json_request(
    address: SocketAddr,
    path: &'static str,
    body: &impl serde::Serialize,
) -> Option<Request<SendBody>> {
    let body = serde_json::to_vec(body).ok()?;
    Request::builder()
        .method(Method::POST)
        .uri(server_uri(address, path)?)
        .header(header::CONTENT_TYPE, "application/json")
        .body(SendBody::new(Bytes::from(body)))
        .ok()
}
