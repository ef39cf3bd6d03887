//! The way to the install machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::{
    ChangeBatch, ChangeSummary, InstallError, InstallInput, PublishCommand, PublishReceipt,
    PublishedSet, RollbackCommand,
};
use hollywheel_types::ConfigVersion;
use tokio::sync::{mpsc, oneshot};

/// Bounds the wait for the machine, which ends its own calls earlier.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Takes the end of a publication.
pub type PublishReplySender = oneshot::Sender<Result<PublishReceipt, InstallError>>;

/// Holds one message to the task.
#[derive(Debug)]
pub enum InstallMessage {
    /// An input of the machine that asks for no answer.
    Input(InstallInput),
    /// Publishes a set.
    Publish(PublishCommand, PublishReplySender),
    /// Publishes an old set again.
    Rollback(RollbackCommand, PublishReplySender),
    /// A peer's question for changes.
    PeerAsks(ConfigVersion, oneshot::Sender<ChangeBatch>),
    /// Reads the history.
    ReadHistory(
        u32,
        oneshot::Sender<Result<Vec<ChangeSummary>, InstallError>>,
    ),
    /// Reads a version.
    ReadVersion(
        ConfigVersion,
        oneshot::Sender<Result<Arc<PublishedSet>, InstallError>>,
    ),
}

/// Sends messages to the task; clones share one bounded queue.
#[derive(Clone, Debug)]
pub struct InstallHandle {
    sender: mpsc::Sender<InstallMessage>,
}

impl InstallHandle {
    pub(super) const fn new(sender: mpsc::Sender<InstallMessage>) -> Self {
        Self { sender }
    }

    /// Hands over an input, waiting for room.
    pub async fn send(&self, input: InstallInput) {
        let _ = self.sender.send(InstallMessage::Input(input)).await;
    }

    /// Tells that a peer has a version; dropped if the queue is full, since it is told again.
    pub fn peer_has(&self, from: SocketAddr, version: ConfigVersion) {
        let input = InstallInput::PeerHas { from, version };
        let _ = self.sender.try_send(InstallMessage::Input(input));
    }

    /// Tells that a version was published; dropped if the queue is full, since the head is read.
    pub fn version_published(&self, version: ConfigVersion) {
        let input = InstallInput::VersionPublished(version);
        let _ = self.sender.try_send(InstallMessage::Input(input));
    }

    /// Tells how many hosts are taken for alive; dropped if the queue is full, which only changes
    /// how often the head is read.
    pub fn hosts_alive(&self, hosts: usize) {
        let input = InstallInput::HostsAlive(u32::try_from(hosts).unwrap_or(u32::MAX));
        let _ = self.sender.try_send(InstallMessage::Input(input));
    }

    /// Hands over a peer's question; it gets no answer if the queue is full.
    pub fn peer_asks(&self, have: ConfigVersion, reply: oneshot::Sender<ChangeBatch>) {
        let _ = self.sender.try_send(InstallMessage::PeerAsks(have, reply));
    }

    async fn ask<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<Result<T, InstallError>>) -> InstallMessage,
        lost: InstallError,
    ) -> Result<T, InstallError> {
        let (sender, receiver) = oneshot::channel();
        if self.sender.try_send(message(sender)).is_err() {
            return Err(InstallError::Busy);
        }
        match tokio::time::timeout(ANSWER_TIMEOUT, receiver).await {
            Ok(Ok(result)) => result,
            _ => Err(lost),
        }
    }

    /// Publishes a set.
    ///
    /// # Errors
    ///
    /// Returns the error of the machine; [`InstallError::Unknown`] if its answer was lost.
    pub async fn publish(&self, order: PublishCommand) -> Result<PublishReceipt, InstallError> {
        let message = |sender| InstallMessage::Publish(order, sender);
        self.ask(message, InstallError::Unknown).await
    }

    /// Publishes an old set again.
    ///
    /// # Errors
    ///
    /// Returns the error of the machine; [`InstallError::Unknown`] if its answer was lost.
    pub async fn roll_back(&self, order: RollbackCommand) -> Result<PublishReceipt, InstallError> {
        let message = |sender| InstallMessage::Rollback(order, sender);
        self.ask(message, InstallError::Unknown).await
    }

    /// Reads the history, newest first.
    ///
    /// # Errors
    ///
    /// Returns the error of the machine.
    pub async fn history(&self, limit: u32) -> Result<Vec<ChangeSummary>, InstallError> {
        let message = |sender| InstallMessage::ReadHistory(limit, sender);
        self.ask(message, InstallError::Busy).await
    }

    /// Reads a version.
    ///
    /// # Errors
    ///
    /// Returns the error of the machine.
    pub async fn version(&self, version: ConfigVersion) -> Result<Arc<PublishedSet>, InstallError> {
        let message = |sender| InstallMessage::ReadVersion(version, sender);
        self.ask(message, InstallError::Busy).await
    }
}
