//! The loop around the install machine.

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

/// Bounds the messages that wait for the machine.
const QUEUE: usize = 256;
/// Bounds the questions in progress; later ones get no answer or are told to ask again.
const MAX_QUESTIONS: usize = 128;

/// Creates the queue of the machine.
pub fn install_channel() -> (InstallHandle, SharedReceiver<InstallMessage>) {
    let (sender, receiver) = mpsc::channel(QUEUE);
    (InstallHandle::new(sender), share_receiver(receiver))
}

/// Holds the ways out of the task.
pub struct InstallEffects {
    /// The way back to the task.
    pub handle: InstallHandle,
    /// The platform.
    pub platform: Arc<dyn PlatformService>,
    /// The other hosts.
    pub peers: PeerCaller,
    /// The decision machine.
    pub core: CoreHandle,
    /// The order machine.
    pub orders: OrderHandle,
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The metrics.
    pub metrics: Arc<DaemonMetrics>,
    /// The time allowed for one call of the table service.
    pub store_timeout: Duration,
}

enum Question {
    Peer(oneshot::Sender<ChangeBatch>),
    History(oneshot::Sender<Result<Vec<ChangeSummary>, InstallError>>),
    Version(oneshot::Sender<Result<Arc<PublishedSet>, InstallError>>),
}

/// Owns the install machine and carries out what it decides.
pub struct InstallTask {
    machine: InstallMachine,
    clock: HostClock,
    receiver: SharedReceiver<InstallMessage>,
    effects: InstallEffects,
    questions: SortedMap<InstallTicket, Question>,
    publications: SortedMap<PublishId, Vec<PublishReplySender>>,
    next_question: u64,
}

impl InstallTask {
    /// Creates the task around a machine.
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
            questions: SortedMap::new(),
            publications: SortedMap::new(),
            next_question: 0,
        }
    }

    /// Runs until every handle is dropped.
    pub async fn run(mut self) {
        let mut receiver = self.receiver.clone().lock_owned().await;
        self.step(InstallInput::Tick).await;
        loop {
            let wake = self.machine.next_wake();
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.take(message).await,
                    None => return,
                },
                () = sleep_until(&self.clock, wake) => self.step(InstallInput::Tick).await,
            }
        }
    }

    async fn take(&mut self, message: InstallMessage) {
        let input = match message {
            InstallMessage::Input(input) => Some(input),
            InstallMessage::Publish(order, reply) => {
                let id = order.publish_id;
                self.expect_publication(id, reply)
                    .then_some(InstallInput::Publish(order))
            }
            InstallMessage::Rollback(order, reply) => {
                let id = order.publish_id;
                self.expect_publication(id, reply)
                    .then_some(InstallInput::Rollback(order))
            }
            InstallMessage::PeerAsks(have, reply) => self
                .add_question(Question::Peer(reply))
                .map(|ticket| InstallInput::PeerAsks { ticket, have }),
            InstallMessage::ReadHistory(limit, reply) => self
                .add_question(Question::History(reply))
                .map(|ticket| InstallInput::ReadHistory { ticket, limit }),
            InstallMessage::ReadVersion(version, reply) => self
                .add_question(Question::Version(reply))
                .map(|ticket| InstallInput::ReadVersion { ticket, version }),
        };
        if let Some(input) = input {
            self.step(input).await;
        }
    }

    /// Notes who waits for a publication; says whether there was room.
    fn expect_publication(&mut self, id: PublishId, reply: PublishReplySender) -> bool {
        let room = self.publications.len() < MAX_QUESTIONS;
        if room {
            self.publications
                .get_or_insert_with(id, Vec::new)
                .push(reply);
        } else {
            let _ = reply.send(Err(InstallError::Busy));
        }
        room
    }

    fn add_question(&mut self, question: Question) -> Option<InstallTicket> {
        if self.questions.len() >= MAX_QUESTIONS {
            return None;
        }
        self.next_question += 1;
        let ticket = InstallTicket(self.next_question);
        self.questions.insert(ticket, question);
        Some(ticket)
    }

    async fn step(&mut self, input: InstallInput) {
        let outputs = self.machine.handle(self.clock.now(), input);
        for output in outputs {
            self.carry_out(output).await;
        }
    }

    async fn carry_out(&mut self, output: InstallOutput) {
        match output {
            InstallOutput::Store { ticket, request } => self.call_store(ticket, request),
            InstallOutput::FetchPeer { ticket, from, have } => self.fetch(ticket, from, have),
            InstallOutput::AnswerPeer { ticket, batch } => {
                if let Some(Question::Peer(reply)) = self.questions.remove(&ticket) {
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
                if let Some(Question::History(reply)) = self.questions.remove(&ticket) {
                    let _ = reply.send(result);
                }
            }
            InstallOutput::Version { ticket, result } => {
                if let Some(Question::Version(reply)) = self.questions.remove(&ticket) {
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

    fn fetch(&self, ticket: InstallTicket, from: SocketAddr, have: ConfigVersion) {
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
