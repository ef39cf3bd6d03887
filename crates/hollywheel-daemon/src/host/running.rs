//! A host from its start to its end.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hollywheel_membership::MemberInput;
use hollywheel_node::NodeInput;
use hollywheel_orders::OrderInput;
use tokio::sync::watch;

use super::error::HostError;
use super::parts::HostParts;
use crate::core::CoreHandle;
use crate::events::{EventContext, LogEvent, log_event};
use crate::settings::DaemonSettings;
use crate::supervisor::{HostPhase, NODE_MACHINE_CHILD, SupervisorTree, list_children};

/// Allows for the machine to give up what is left at the end of the drain.
const GIVE_UP_SPAN: Duration = Duration::from_millis(500);
/// Bounds the time for closing connections after the drain.
const CLOSE_BOUND: Duration = Duration::from_secs(7);

/// Owns a running host.
#[derive(Debug)]
pub struct RunningHost {
    parts: HostParts,
    tree: SupervisorTree,
}

impl RunningHost {
    /// Starts a host. Must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Returns [`HostError`] with the setting at fault.
    pub fn start(settings: DaemonSettings) -> Result<Self, HostError> {
        let parts = HostParts::build(settings)?;
        log_event(
            LogEvent::HostStarting,
            &EventContext::default(),
            &format!("{} incarnation {}", parts.settings.host, parts.incarnation),
        );
        let tree = SupervisorTree::start(list_children(&parts), &parts.phase.subscribe());
        Ok(Self { parts, tree })
    }

    /// Returns the address for callers.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn caller_address(&self) -> io::Result<SocketAddr> {
        self.parts.front_listener.local_addr()
    }

    /// Returns the address for operators.
    ///
    /// # Errors
    ///
    /// Returns the error of the system.
    pub fn operator_address(&self) -> io::Result<SocketAddr> {
        self.parts.admin_listener.local_addr()
    }

    /// Returns the address for other hosts.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        let transport = self.parts.transport.as_ref()?;
        Some(transport.local_address())
    }

    /// Returns the way to the decision machine.
    pub fn core(&self) -> CoreHandle {
        self.parts.core.clone()
    }

    /// Returns a switch that begins the graceful shutdown when it is set.
    pub fn stop_switch(&self) -> watch::Sender<bool> {
        self.parts.stop.clone()
    }

    /// Waits for an order to stop or a failure, drains and returns whether all went well.
    pub async fn run(mut self) -> bool {
        let mut stop = self.parts.stop.subscribe();
        let failure = tokio::select! {
            () = ordered(&mut stop) => None,
            name = self.tree.failure() => Some(name),
        };
        let drained = match failure {
            None => self.drain().await,
            // The decision machine is what drains, so its loss leaves nothing to wait for.
            Some(NODE_MACHINE_CHILD) => false,
            Some(_) => {
                self.drain().await;
                false
            }
        };
        self.parts.phase.send_replace(HostPhase::Closing);
        self.tree.close(CLOSE_BOUND).await;
        if let Some(transport) = &self.parts.transport {
            let _ = tokio::time::timeout(Duration::from_secs(1), transport.close()).await;
        }
        log_event(
            LogEvent::HostStopped,
            &EventContext::default(),
            failure.unwrap_or("as ordered"),
        );
        drained
    }

    async fn drain(&self) -> bool {
        let parts = &self.parts;
        let span = parts.settings.drain;
        let detail = format!("at most {} ms", span.as_millis());
        log_event(LogEvent::DrainStarted, &EventContext::default(), &detail);
        parts.front.begin_drain();
        parts.phase.send_replace(HostPhase::Draining);
        parts.member.send(MemberInput::Leave).await;
        parts.orders.send(OrderInput::Leave).await;
        parts.core.send(NodeInput::Drain(span)).await;
        let mut drained = parts.drained.subscribe();
        let waited =
            tokio::time::timeout(span + GIVE_UP_SPAN, drained.wait_for(|drained| *drained)).await;
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

/// Waits until the switch is set.
async fn ordered(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await;
}
