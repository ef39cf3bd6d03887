//! Handle for calls to the install state machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollywheel_config::{
    ChangeBatch, ChangeSummary, InstallError, InstallInput, PublishCommand, PublishReceipt,
    PublishedSet, RollbackCommand,
};
use hollywheel_types::ConfigVersion;
use tokio::sync::{mpsc, oneshot};

/// Time limit for a reply. The state machine times out its own calls earlier.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Sender of the result of a publication.
pub type PublishReplySender = oneshot::Sender<Result<PublishReceipt, InstallError>>;

/// Message to the install task.
#[derive(Debug)]
pub enum InstallMessage {
    /// Input of the state machine that needs no reply.
    Input(InstallInput),
    /// Publishes a set of objects.
    Publish(PublishCommand, PublishReplySender),
    /// Publishes the set of an older version again.
    Rollback(RollbackCommand, PublishReplySender),
    /// Answers a peer that asks for the changes after a version.
    PeerAsks(ConfigVersion, oneshot::Sender<ChangeBatch>),
    /// Reads the newest entries of the history, up to a limit.
    ReadHistory(
        u32,
        oneshot::Sender<Result<Vec<ChangeSummary>, InstallError>>,
    ),
    /// Reads one version with its objects.
    ReadVersion(
        ConfigVersion,
        oneshot::Sender<Result<Arc<PublishedSet>, InstallError>>,
    ),
}

/// Handle of the install task. Clones share one bounded queue.
#[derive(Clone, Debug)]
pub struct InstallHandle {
    sender: mpsc::Sender<InstallMessage>,
}

impl InstallHandle {
    pub(super) const fn new(sender: mpsc::Sender<InstallMessage>) -> Self {
        Self { sender }
    }

    /// Sends an input, waiting for room in the queue.
    pub async fn send(&self, input: InstallInput) {
        let _ = self.sender.send(InstallMessage::Input(input)).await;
    }

    /// Reports that a peer has a version. The report is dropped if the queue is full, since gossip
    /// repeats it.
    pub fn peer_has(&self, from: SocketAddr, version: ConfigVersion) {
        let input = InstallInput::PeerHas { from, version };
        let _ = self.sender.try_send(InstallMessage::Input(input));
    }

    /// Reports that a version was published. The report is dropped if the queue is full, since the
    /// task polls the newest version anyway.
    pub fn version_published(&self, version: ConfigVersion) {
        let input = InstallInput::VersionPublished(version);
        let _ = self.sender.try_send(InstallMessage::Input(input));
    }

    /// Reports the number of live hosts. The report is dropped if the queue is full, which only
    /// affects how often the newest version is polled.
    pub fn hosts_alive(&self, hosts: usize) {
        let input = InstallInput::HostsAlive(u32::try_from(hosts).unwrap_or(u32::MAX));
        let _ = self.sender.try_send(InstallMessage::Input(input));
    }

    /// Asks for the changes after a version on behalf of a peer. The peer gets no reply if the
    /// queue is full.
    pub fn peer_asks(&self, have: ConfigVersion, reply: oneshot::Sender<ChangeBatch>) {
        let _ = self.sender.try_send(InstallMessage::PeerAsks(have, reply));
    }

    async fn request<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<Result<T, InstallError>>) -> InstallMessage,
        no_reply_error: InstallError,
    ) -> Result<T, InstallError> {
        let (sender, receiver) = oneshot::channel();
        if self.sender.try_send(message(sender)).is_err() {
            return Err(InstallError::Busy);
        }
        match tokio::time::timeout(REPLY_TIMEOUT, receiver).await {
            Ok(Ok(result)) => result,
            _ => Err(no_reply_error),
        }
    }

    /// Publishes a set of objects.
    ///
    /// # Errors
    ///
    /// Returns the error of the state machine, [`InstallError::Busy`] if the queue is full, or
    /// [`InstallError::Unknown`] if no reply arrived in time.
    pub async fn publish(&self, order: PublishCommand) -> Result<PublishReceipt, InstallError> {
        let message = |sender| InstallMessage::Publish(order, sender);
        self.request(message, InstallError::Unknown).await
    }

    /// Publishes the set of an older version again.
    ///
    /// # Errors
    ///
    /// Returns the error of the state machine, [`InstallError::Busy`] if the queue is full, or
    /// [`InstallError::Unknown`] if no reply arrived in time.
    pub async fn roll_back(&self, order: RollbackCommand) -> Result<PublishReceipt, InstallError> {
        let message = |sender| InstallMessage::Rollback(order, sender);
        self.request(message, InstallError::Unknown).await
    }

    /// Returns the newest entries of the history, newest first.
    ///
    /// # Errors
    ///
    /// Returns the error of the state machine, or [`InstallError::Busy`] if the queue is full or no
    /// reply arrived in time.
    pub async fn history(&self, limit: u32) -> Result<Vec<ChangeSummary>, InstallError> {
        let message = |sender| InstallMessage::ReadHistory(limit, sender);
        self.request(message, InstallError::Busy).await
    }

    /// Returns one version with its objects.
    ///
    /// # Errors
    ///
    /// Returns the error of the state machine, or [`InstallError::Busy`] if the queue is full or no
    /// reply arrived in time.
    pub async fn version(&self, version: ConfigVersion) -> Result<Arc<PublishedSet>, InstallError> {
        let message = |sender| InstallMessage::ReadVersion(version, sender);
        self.request(message, InstallError::Busy).await
    }
}
