//! The client of backend servers.

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

use super::answer::{AnswerHead, read_body, read_head, read_refusal, retry_after};
use super::reports::LoadReportTracker;
use super::send_body::SendBody;
use super::wire::{CancelBody, LoadBody, RunBody};
use super::{stream, unary};
use crate::core::CoreHandle;
use crate::events::{EventContext, LogEvent, log_event};
use crate::traces::TraceRing;
use hollywheel_clock::HostClock;

/// Holds the settings of the client.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// The time in which a connection must be made.
    pub connect_timeout: Duration,
    /// The time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// The most unused connections to one server.
    pub idle_connections: usize,
    /// The time after the deadline at which an attempt ends in any case.
    pub grace: Duration,
    /// The time allowed for an order to cancel and for a read of the load.
    pub short_timeout: Duration,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(4),
            idle_connections: 32,
            grace: Duration::from_secs(60),
            short_timeout: Duration::from_secs(1),
        }
    }
}

/// Sends attempts to backend servers; clones share the connections.
#[derive(Clone, Debug)]
pub struct BackendCaller {
    settings: BackendSettings,
    client: Client<HttpConnector, SendBody>,
    clock: HostClock,
    reports: Arc<LoadReportTracker>,
    traces: Arc<TraceRing>,
}

/// Says how the sending of an attempt ended.
enum SendEnd {
    Answer(Response<Incoming>),
    NotSent,
    Broken,
}

impl BackendCaller {
    /// Creates a client; connections are opened when they are needed.
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
            .pool_max_idle_per_host(settings.idle_connections)
            .build(connector);
        Self {
            settings,
            client,
            clock,
            reports,
            traces,
        }
    }

    /// Runs an attempt to its end and tells the machine of every event.
    pub async fn run_attempt(&self, call: AttemptCall, core: &CoreHandle) {
        let left = call.deadline.since(self.clock.now()) + self.settings.grace;
        let run = self.send_and_read(&call, core);
        let last = tokio::time::timeout(left, run)
            .await
            .unwrap_or(AttemptEvent::Broken);
        let nonce = call.nonce;
        core.send(NodeInput::Attempt { nonce, event: last }).await;
    }

    async fn send_and_read(&self, call: &AttemptCall, core: &CoreHandle) -> AttemptEvent {
        let response = match self.send_call(call).await {
            SendEnd::Answer(response) => response,
            SendEnd::NotSent => return AttemptEvent::NotSent,
            SendEnd::Broken => return AttemptEvent::Broken,
        };
        match read_head(response) {
            AnswerHead::Ran(response) if call.work == StageKind::Generate => {
                stream::read_stream(self, call, core, response).await
            }
            AnswerHead::Ran(response) => unary::read_answer(self, call, core, response).await,
            AnswerHead::NotRun(response) => self.confirm_refusal(call, core, response).await,
            AnswerHead::Other(status) => {
                self.log_invalid(call, &format!("status {status}"));
                AttemptEvent::Broken
            }
        }
    }

    async fn send_call(&self, call: &AttemptCall) -> SendEnd {
        let now = self.clock.now();
        if now >= call.deadline {
            return SendEnd::NotSent;
        }
        let path = if call.work == StageKind::Generate {
            "/v1/generate"
        } else {
            "/v1/run"
        };
        let Some(request) = json_request(call.address, path, &RunBody::of(call, now)) else {
            return SendEnd::NotSent;
        };
        match self.request_before(request, call.deadline).await {
            Some(Ok(response)) => SendEnd::Answer(response),
            Some(Err(error)) if was_never_sent(&error) => SendEnd::NotSent,
            Some(Err(_)) => SendEnd::Broken,
            None => SendEnd::Broken,
        }
    }

    /// Sends a request unless the deadline passes first. The clock is read before each step
    /// until the request is written, since a paused process may find its timers and its
    /// connections ready at once.
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
        // A refusal that belongs to another attempt says nothing about this one.
        let Some(mut refusal) = refusal.filter(|refusal| refusal.attempt == call.nonce) else {
            self.log_invalid(call, "refusal that does not name the attempt");
            return AttemptEvent::Broken;
        };
        let after = retry_after(&refusal);
        self.take_load(call, core, refusal.load.take()).await;
        AttemptEvent::Refused { retry_after: after }
    }

    /// Takes the load that an answer carries.
    pub(super) async fn take_load(
        &self,
        call: &AttemptCall,
        core: &CoreHandle,
        load: Option<LoadBody>,
    ) {
        let Some(report) = load.map(LoadBody::into_report) else {
            return;
        };
        if report.server == call.server {
            self.reports.take(core, report, Duration::ZERO).await;
        }
    }

    /// Logs an answer that breaks the protocol.
    pub(super) fn log_invalid(&self, call: &AttemptCall, detail: &str) {
        let context = EventContext {
            request: Some(call.request),
            trace: self.traces.trace_of(call.request),
        };
        let detail = format!("attempt {} at {}: {detail}", call.nonce, call.server);
        log_event(LogEvent::AnswerInvalid, &context, &detail);
    }

    /// Tells a server that an attempt is not wanted any more.
    pub async fn cancel(&self, address: SocketAddr, attempt: AttemptNonce) {
        let Some(request) = json_request(address, "/v1/cancel", &CancelBody { attempt }) else {
            return;
        };
        let sending = self.client.request(request);
        let _ = tokio::time::timeout(self.settings.short_timeout, sending).await;
    }

    /// Returns the clock.
    pub(super) const fn clock(&self) -> &HostClock {
        &self.clock
    }

    /// Reads what a server says of itself; none if it was not reached.
    pub async fn read_report(&self, address: SocketAddr) -> Option<ServerReport> {
        self.read_load(address).await.map(LoadBody::into_report)
    }

    async fn read_load(&self, address: SocketAddr) -> Option<LoadBody> {
        let request = Request::get(uri_of(address, "/v1/load")?)
            .body(SendBody::default())
            .ok()?;
        let reading = async {
            let response = self.client.request(request).await.ok()?;
            let body = read_body(response).await?;
            serde_json::from_slice(&body).ok()
        };
        tokio::time::timeout(self.settings.short_timeout, reading)
            .await
            .ok()?
    }
}

/// Says whether no byte of the request can have left this host.
pub(super) fn was_never_sent(error: &Error) -> bool {
    if error.is_connect() {
        return true;
    }
    // The connection hands a request back as cancelled only if it was not taken from its queue.
    std::error::Error::source(error)
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}

fn uri_of(address: SocketAddr, path: &'static str) -> Option<Uri> {
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
        .uri(uri_of(address, path)?)
        .header(header::CONTENT_TYPE, "application/json")
        .body(SendBody::new(Bytes::from(body)))
        .ok()
}
