//! Handle through which the rest of the daemon sends messages to the decision machine.

use std::fmt;

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_node::{CallerRequest, GrantedKey, NodeInput, Refusal, ReplyPart};
use hollywheel_types::{HostId, RequestId, ServerId, WorkspaceId};
use tokio::sync::{mpsc, oneshot};

use super::status::CoreStatus;

/// Sender for the parts of one reply. The caller is disconnected if the channel is full.
pub type ReplySink = mpsc::Sender<ReplyPart>;

/// Issued idempotency key, or the refusal if none was issued.
pub type KeyResult = Result<GrantedKey, Refusal>;

/// Question of another host about a claim of this process.
#[derive(Debug)]
pub struct PeerClaimQuestion {
    /// Host that asks.
    pub from: HostId,
    /// Question about the claim.
    pub question: ClaimQuestion,
    /// Receives the answer.
    pub reply: oneshot::Sender<ClaimAnswer>,
}

/// Message to the task that owns the decision machine.
#[derive(Debug)]
pub enum CoreMessage {
    /// Input of the decision machine.
    Input(NodeInput),
    /// Request of a caller, with the channel for its reply.
    Request {
        /// Request of the caller.
        request: Box<CallerRequest>,
        /// Receives the parts of the reply.
        replies: ReplySink,
    },
    /// Question of another host about a claim of this process.
    ClaimQuestion(PeerClaimQuestion),
    /// Requests a new idempotency key.
    IssueKey {
        /// Workspace that the key is issued to.
        workspace: WorkspaceId,
        /// Receives the key or the refusal.
        reply: oneshot::Sender<KeyResult>,
    },
    /// Requests a snapshot of the state of the decision machine.
    ReadStatus(oneshot::Sender<CoreStatus>),
    /// Requests the subset of backend servers that this host uses.
    ReadSubset(oneshot::Sender<Vec<ServerId>>),
}

/// Error of a message that was not accepted: the queue of the task is full or the task has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CoreUnavailable;

impl fmt::Display for CoreUnavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the request queue of the host is full; retry later")
    }
}

impl std::error::Error for CoreUnavailable {}

/// Sends messages to the task that owns the decision machine. Clones share one bounded queue.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    sender: mpsc::Sender<CoreMessage>,
}

impl CoreHandle {
    pub(super) const fn new(sender: mpsc::Sender<CoreMessage>) -> Self {
        Self { sender }
    }

    /// Queues a request without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`CoreUnavailable`] if the queue is full or the task has ended; the request is then
    /// not executed.
    pub fn submit(
        &self,
        request: CallerRequest,
        replies: ReplySink,
    ) -> Result<(), CoreUnavailable> {
        let message = CoreMessage::Request {
            request: Box::new(request),
            replies,
        };
        self.sender.try_send(message).map_err(|_| CoreUnavailable)
    }

    /// Queues an input and waits while the queue is full. Does nothing if the task has ended.
    pub async fn send(&self, input: NodeInput) {
        let _ = self.sender.send(CoreMessage::Input(input)).await;
    }

    /// Queues a question of another host without waiting. If the queue is full, the question is
    /// dropped and its reply channel is closed.
    pub fn ask(&self, question: PeerClaimQuestion) {
        let _ = self.sender.try_send(CoreMessage::ClaimQuestion(question));
    }

    /// Requests a new idempotency key for a workspace.
    ///
    /// # Errors
    ///
    /// Returns [`CoreUnavailable`] if the queue is full or the task has ended.
    pub async fn issue_key(&self, workspace: WorkspaceId) -> Result<KeyResult, CoreUnavailable> {
        let (reply, answer) = oneshot::channel();
        let message = CoreMessage::IssueKey { workspace, reply };
        self.sender.try_send(message).map_err(|_| CoreUnavailable)?;
        answer.await.map_err(|_| CoreUnavailable)
    }

    /// Reports that the caller of a request has disconnected. If the queue is full, the report is
    /// queued by a task of its own.
    pub fn caller_gone(&self, request: RequestId) {
        let input = CoreMessage::Input(NodeInput::CallerGone(request));
        if let Err(mpsc::error::TrySendError::Full(message)) = self.sender.try_send(input) {
            let sender = self.sender.clone();
            // Without a runtime the process is shutting down and the report is not needed.
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move {
                    let _ = sender.send(message).await;
                });
            }
        }
    }

    /// Returns the subset of backend servers that this host uses, or `None` if the task has ended.
    pub async fn subset(&self) -> Option<Vec<ServerId>> {
        let (sender, receiver) = oneshot::channel();
        self.sender
            .send(CoreMessage::ReadSubset(sender))
            .await
            .ok()?;
        receiver.await.ok()
    }

    /// Returns a snapshot of the state of the decision machine, or `None` if the task has ended.
    pub async fn status(&self) -> Option<CoreStatus> {
        let (sender, receiver) = oneshot::channel();
        self.sender
            .send(CoreMessage::ReadStatus(sender))
            .await
            .ok()?;
        receiver.await.ok()
    }
}
