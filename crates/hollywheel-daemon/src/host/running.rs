//! Running host: start, drain and shutdown.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_membership::MemberInput;
use hollywheel_node::NodeInput;
use hollywheel_orders::OrderInput;
use tokio::sync::watch;

use super::components::HostComponents;
use super::error::HostError;
use crate::core::CoreHandle;
use crate::events::{EventContext, LogEvent, log_event};
use crate::settings::DaemonSettings;
use crate::supervisor::{HostPhase, NODE_MACHINE_CHILD, SupervisorTree, list_children};

/// Extra wait after the drain time-out, in which the decision machine ends the remaining requests.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Time-out for the children to end after the drain; one second longer than the listeners give
/// their open connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(7);

/// Handle to a running host, which owns its components and its supervisor.
#[derive(Debug)]
pub struct RunningHost {
    components: HostComponents,
    supervisor_tree: SupervisorTree,
}

impl RunningHost {
    /// Starts a host. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns [`HostError`], which names the component that could not be started.
    pub fn start(settings: DaemonSettings) -> Result<Self, HostError> {
        let components = HostComponents::build(settings)?;
        log_event(
            LogEvent::HostStarting,
            &EventContext::default(),
            &format!(
                "{} incarnation {}",
                components.settings.host, components.incarnation
            ),
        );
        let supervisor_tree =
            SupervisorTree::start(list_children(&components), &components.phase.subscribe());
        Ok(Self {
            components,
            supervisor_tree,
        })
    }

    /// Returns the address of the listener for callers.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn caller_address(&self) -> io::Result<SocketAddr> {
        self.components.front_listener.local_addr()
    }

    /// Returns the address of the listener for operators.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn operator_address(&self) -> io::Result<SocketAddr> {
        self.components.admin_listener.local_addr()
    }

    /// Returns the address for other hosts, or `None` on a host without a certificate.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        let transport = self.components.transport.as_ref()?;
        Some(transport.local_address())
    }

    /// Returns the handle to the decision machine.
    pub fn core(&self) -> CoreHandle {
        self.components.core.clone()
    }

    /// Returns a sender that starts the graceful shutdown when `true` is sent.
    pub fn shutdown_sender(&self) -> watch::Sender<bool> {
        self.components.stop.clone()
    }

    /// Runs until shutdown is requested or a child fails for good, drains and closes. Returns
    /// whether no child failed and the drain was complete.
    pub async fn run(mut self) -> bool {
        let mut stop = self.components.stop.subscribe();
        let failure = tokio::select! {
            () = shutdown_requested(&mut stop) => None,
            name = self.supervisor_tree.failure() => Some(name),
        };
        let drained = match failure {
            None => self.drain().await,
            // Draining needs the decision machine, so there is nothing to wait for without it.
            Some(NODE_MACHINE_CHILD) => false,
            Some(_) => {
                self.drain().await;
                false
            }
        };
        self.components.phase.send_replace(HostPhase::Closing);
        self.supervisor_tree.close(CLOSE_TIMEOUT).await;
        if let Some(transport) = &self.components.transport {
            let _ = tokio::time::timeout(Duration::from_secs(1), transport.close()).await;
        }
        log_event(
            LogEvent::HostStopped,
            &EventContext::default(),
            failure.unwrap_or("shutdown requested"),
        );
        drained
    }

    /// Drains the host and returns whether all requests ended before the time-out.
    async fn drain(&self) -> bool {
        let components = &self.components;
        let span = components.settings.drain;
        let detail = format!("at most {} ms", span.as_millis());
        log_event(LogEvent::DrainStarted, &EventContext::default(), &detail);
        components.front.begin_drain();
        components.phase.send_replace(HostPhase::Draining);
        components.member.send(MemberInput::Leave).await;
        components.orders.send(OrderInput::Leave).await;
        components.core.send(NodeInput::Drain(span)).await;
        let mut drained = components.drained.subscribe();
        let waited =
            tokio::time::timeout(span + DRAIN_GRACE, drained.wait_for(|drained| *drained)).await;
        let complete = matches!(waited, Ok(Ok(_)));
        let event = if complete {
            LogEvent::DrainFinished
        } else {
            LogEvent::DrainTimedOut
        };
        log_event(event, &EventContext::default(), "");
        complete
    }
}

/// Waits until shutdown is requested.
async fn shutdown_requested(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
