//! Execution of the outputs of the decision machine as background tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_claims::ClaimQuestion;
use hollywheel_node::{AttemptCall, CallTicket, CallerRequest, NodeInput};
use hollywheel_platform::PlatformService;
use hollywheel_store::{StoreFailure, StoreRequest};
use hollywheel_types::{AttemptNonce, HostId, Incarnation, SortedMap};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use super::handle::CoreHandle;
use crate::backend::BackendCaller;
use crate::events::{EventContext, LogEvent, log_event};
use crate::metrics::DaemonMetrics;
use crate::peers::PeerCaller;

/// Attempt in flight.
#[derive(Debug)]
struct InFlightAttempt {
    address: SocketAddr,
    abort: AbortHandle,
}

/// Executes the outputs of the decision machine. Calls run as tasks of their own and return their
/// results as inputs, so no method waits.
pub struct CoreEffects {
    core: CoreHandle,
    backend: BackendCaller,
    platform: Arc<dyn PlatformService>,
    peers: PeerCaller,
    store_timeout: Duration,
    metrics: Arc<DaemonMetrics>,
    attempts: SortedMap<AttemptNonce, InFlightAttempt>,
    drained: watch::Sender<bool>,
}

impl std::fmt::Debug for CoreEffects {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CoreEffects").finish_non_exhaustive()
    }
}

impl CoreEffects {
    /// Creates the executor from the clients that it uses.
    pub const fn new(
        core: CoreHandle,
        backend: BackendCaller,
        platform: Arc<dyn PlatformService>,
        peers: PeerCaller,
        store_timeout: Duration,
        metrics: Arc<DaemonMetrics>,
        drained: watch::Sender<bool>,
    ) -> Self {
        Self {
            core,
            backend,
            platform,
            peers,
            store_timeout,
            metrics,
            attempts: SortedMap::new(),
            drained,
        }
    }

    /// Returns the number of attempts in flight.
    pub(super) fn attempts(&self) -> usize {
        self.attempts.len()
    }

    pub(super) fn dispatch(&mut self, call: AttemptCall) {
        let nonce = call.nonce;
        let address = call.address;
        let backend = self.backend.clone();
        let core = self.core.clone();
        let task = tokio::spawn(async move { backend.run_attempt(call, &core).await });
        let abort = task.abort_handle();
        self.attempts
            .insert(nonce, InFlightAttempt { address, abort });
    }

    /// Forgets an attempt that has ended.
    pub(super) fn attempt_ended(&mut self, nonce: AttemptNonce) {
        self.attempts.remove(&nonce);
    }

    pub(super) fn cancel(&mut self, nonce: AttemptNonce) {
        let Some(attempt) = self.attempts.remove(&nonce) else {
            return;
        };
        // Aborting the task closes the connection. The explicit cancel call is for servers that do
        // not detect the closed connection.
        attempt.abort.abort();
        let backend = self.backend.clone();
        tokio::spawn(async move { backend.cancel(attempt.address, nonce).await });
    }

    pub(super) fn call_store(&self, ticket: CallTicket, request: StoreRequest) {
        let core = self.core.clone();
        let platform = Arc::clone(&self.platform);
        let metrics = Arc::clone(&self.metrics);
        let timeout = self.store_timeout;
        tokio::spawn(async move {
            let result = platform.table(request, timeout).await;
            metrics.store_called(&result);
            if let Err(failure) = &result {
                log_store_failure(failure);
            }
            core.send(NodeInput::Store { ticket, result }).await;
        });
    }

    pub(super) fn ask_host(
        &self,
        ticket: CallTicket,
        host: &HostId,
        incarnation: Incarnation,
        question: ClaimQuestion,
    ) {
        let core = self.core.clone();
        let peers = self.peers.clone();
        let host = host.clone();
        tokio::spawn(async move {
            let answer = peers.ask_claim(&host, incarnation, &question).await;
            core.send(NodeInput::HostAnswers { ticket, answer }).await;
        });
    }

    pub(super) fn forward(
        &self,
        ticket: CallTicket,
        host: &HostId,
        incarnation: Incarnation,
        request: CallerRequest,
    ) {
        let core = self.core.clone();
        let peers = self.peers.clone();
        let host = host.clone();
        tokio::spawn(async move {
            let end = peers.forward(&host, incarnation, request).await;
            core.send(NodeInput::Forwarded { ticket, end }).await;
        });
    }

    /// Signals that the drain is complete.
    pub(super) fn drained(&self) {
        self.drained.send_replace(true);
    }
}

fn log_store_failure(failure: &StoreFailure) {
    let event = match failure {
        StoreFailure::Refused { .. } => LogEvent::StoreRefused,
        StoreFailure::Unknown => LogEvent::StoreUnknown,
    };
    log_event(event, &EventContext::default(), &failure.to_string());
}
