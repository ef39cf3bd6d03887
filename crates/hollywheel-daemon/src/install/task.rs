//! Event loop around the install state machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::{
    ChangeBatch, ChangeSummary, InstallError, InstallInput, InstallMachine, InstallOutput,
    InstallTicket, PublishedSet,
};
use hollywheel_node::NodeInput;
use hollywheel_platform::PlatformService;
use hollywheel_store::StoreRequest;
use hollywheel_types::{ConfigVersion, PublishId, SortedMap};
use tokio::sync::{mpsc, oneshot};

use super::handle::{InstallHandle, InstallMessage, PublishReplySender};
use crate::config_view::ConfigView;
use crate::core::CoreHandle;
use crate::events::{EventContext, LogEvent, log_event};
use crate::metrics::DaemonMetrics;
use crate::orders::OrderHandle;
use crate::peers::PeerCaller;
use crate::queue::{SharedReceiver, share_receiver};
use hollywheel_clock::{HostClock, sleep_until};

/// Capacity of the message queue.
const QUEUE_CAPACITY: usize = 256;
/// Maximum number of pending reads, and likewise of publications with waiting callers. Further
/// reads get no reply; further publications fail with [`InstallError::Busy`].
const MAX_PENDING: usize = 128;

/// Creates the message queue of the install task.
pub fn install_channel() -> (InstallHandle, SharedReceiver<InstallMessage>) {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (InstallHandle::new(sender), share_receiver(receiver))
}

/// Handles through which the task performs the outputs of the state machine.
pub struct InstallEffects {
    /// Handle that returns results to the task as inputs.
    pub handle: InstallHandle,
    /// Client of the platform's table service.
    pub platform: Arc<dyn PlatformService>,
    /// Client of the other hosts.
    pub peers: PeerCaller,
    /// Handle of the node state machine.
    pub core: CoreHandle,
    /// Handle of the order state machine.
    pub orders: OrderHandle,
    /// View that is updated with each installed version.
    pub config: Arc<ConfigView>,
    /// Metrics of the host.
    pub metrics: Arc<DaemonMetrics>,
    /// Time-out of one call to the table service.
    pub store_timeout: Duration,
}

enum PendingRead {
    Peer(oneshot::Sender<ChangeBatch>),
    History(oneshot::Sender<Result<Vec<ChangeSummary>, InstallError>>),
    Version(oneshot::Sender<Result<Arc<PublishedSet>, InstallError>>),
}

/// Task that feeds the install state machine and performs its outputs.
pub struct InstallTask {
    machine: InstallMachine,
    clock: HostClock,
    receiver: SharedReceiver<InstallMessage>,
    effects: InstallEffects,
    pending_reads: SortedMap<InstallTicket, PendingRead>,
    publications: SortedMap<PublishId, Vec<PublishReplySender>>,
    next_ticket: u64,
}

impl InstallTask {
    /// Creates the task for a state machine.
    pub const fn new(
        machine: InstallMachine,
        clock: HostClock,
        receiver: SharedReceiver<InstallMessage>,
        effects: InstallEffects,
    ) -> Self {
        Self {
            machine,
            clock,
            receiver,
            effects,
            pending_reads: SortedMap::new(),
            publications: SortedMap::new(),
            next_ticket: 0,
        }
    }

    /// Runs until every [`InstallHandle`] is dropped.
    pub async fn run(mut self) {
        let mut receiver = self.receiver.clone().lock_owned().await;
        self.handle_input(InstallInput::Tick).await;
        loop {
            let wake = self.machine.next_wake();
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.handle_message(message).await,
                    None => return,
                },
                () = sleep_until(&self.clock, wake) => self.handle_input(InstallInput::Tick).await,
            }
        }
    }

    async fn handle_message(&mut self, message: InstallMessage) {
        let input = match message {
            InstallMessage::Input(input) => Some(input),
            InstallMessage::Publish(order, reply) => {
                let id = order.publish_id;
                self.add_waiting_publisher(id, reply)
                    .then_some(InstallInput::Publish(order))
            }
            InstallMessage::Rollback(order, reply) => {
                let id = order.publish_id;
                self.add_waiting_publisher(id, reply)
                    .then_some(InstallInput::Rollback(order))
            }
            InstallMessage::PeerAsks(have, reply) => self
                .add_pending_read(PendingRead::Peer(reply))
                .map(|ticket| InstallInput::PeerAsks { ticket, have }),
            InstallMessage::ReadHistory(limit, reply) => self
                .add_pending_read(PendingRead::History(reply))
                .map(|ticket| InstallInput::ReadHistory { ticket, limit }),
            InstallMessage::ReadVersion(version, reply) => self
                .add_pending_read(PendingRead::Version(reply))
                .map(|ticket| InstallInput::ReadVersion { ticket, version }),
        };
        if let Some(input) = input {
            self.handle_input(input).await;
        }
    }

    /// Registers a caller that waits for a publication. Returns `false`, after replying with
    /// [`InstallError::Busy`], if too many publications are pending.
    fn add_waiting_publisher(&mut self, id: PublishId, reply: PublishReplySender) -> bool {
        let has_room = self.publications.len() < MAX_PENDING;
        if has_room {
            self.publications
                .get_or_insert_with(id, Vec::new)
                .push(reply);
        } else {
            let _ = reply.send(Err(InstallError::Busy));
        }
        has_room
    }

    fn add_pending_read(&mut self, pending_read: PendingRead) -> Option<InstallTicket> {
        if self.pending_reads.len() >= MAX_PENDING {
            return None;
        }
        self.next_ticket += 1;
        let ticket = InstallTicket(self.next_ticket);
        self.pending_reads.insert(ticket, pending_read);
        Some(ticket)
    }

    async fn handle_input(&mut self, input: InstallInput) {
        let outputs = self.machine.handle(self.clock.now(), input);
        for output in outputs {
            self.perform(output).await;
        }
    }

    async fn perform(&mut self, output: InstallOutput) {
        match output {
            InstallOutput::Store { ticket, request } => self.call_store(ticket, request),
            InstallOutput::FetchPeer { ticket, from, have } => self.fetch_peer(ticket, from, have),
            InstallOutput::AnswerPeer { ticket, batch } => {
                if let Some(PendingRead::Peer(reply)) = self.pending_reads.remove(&ticket) {
                    let _ = reply.send(batch);
                }
            }
            InstallOutput::Install(published) => self.install(published).await,
            InstallOutput::Published { publish_id, result } => {
                log_publication(publish_id, &result);
                for reply in self.publications.remove(&publish_id).unwrap_or_default() {
                    let _ = reply.send(result.clone());
                }
            }
            InstallOutput::Announce(version) => self.effects.peers.config_published(version),
            InstallOutput::History { ticket, result } => {
                if let Some(PendingRead::History(reply)) = self.pending_reads.remove(&ticket) {
                    let _ = reply.send(result);
                }
            }
            InstallOutput::Version { ticket, result } => {
                if let Some(PendingRead::Version(reply)) = self.pending_reads.remove(&ticket) {
                    let _ = reply.send(result);
                }
            }
            InstallOutput::Rejected(fault) => log_event(
                LogEvent::ConfigRejected,
                &EventContext::default(),
                &fault.to_string(),
            ),
        }
    }

    async fn install(&self, published: Arc<PublishedSet>) {
        let effects = &self.effects;
        if !effects.config.install(&published) {
            return;
        }
        effects.metrics.set_config_version(published.version.0);
        effects.peers.config_in_force(published.version);
        effects.orders.config(&published).await;
        log_event(
            LogEvent::ConfigInstalled,
            &EventContext::default(),
            &format!("version {}", published.version),
        );
        effects.core.send(NodeInput::Config(published)).await;
    }

    fn call_store(&self, ticket: InstallTicket, request: StoreRequest) {
        let platform = Arc::clone(&self.effects.platform);
        let metrics = Arc::clone(&self.effects.metrics);
        let handle = self.effects.handle.clone();
        let timeout = self.effects.store_timeout;
        tokio::spawn(async move {
            let result = platform.table(request, timeout).await;
            metrics.store_called(&result);
            handle.send(InstallInput::Store { ticket, result }).await;
        });
    }

    fn fetch_peer(&self, ticket: InstallTicket, from: SocketAddr, have: ConfigVersion) {
        let peers = self.effects.peers.clone();
        let handle = self.effects.handle.clone();
        tokio::spawn(async move {
            let result = peers.fetch_changes(from, have).await;
            handle
                .send(InstallInput::PeerChanges { ticket, result })
                .await;
        });
    }
}

fn log_publication(
    id: PublishId,
    result: &Result<hollywheel_config::PublishReceipt, InstallError>,
) {
    if let Ok(receipt) = result {
        log_event(
            LogEvent::ConfigPublished,
            &EventContext::default(),
            &format!("version {} as publication {id}", receipt.version),
        );
    }
}
