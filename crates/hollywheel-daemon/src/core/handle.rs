//! The way to the decision machine for every other part of the daemon.

use std::fmt;

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_node::{CallerRequest, GrantedKey, NodeInput, Refusal, ReplyPart};
use hollywheel_types::{HostId, RequestId, ServerId, WorkspaceId};
use tokio::sync::{mpsc, oneshot};

use super::status::CoreStatus;

/// Takes the parts of one reply. The caller is cut off when it is full.
pub type ReplySink = mpsc::Sender<ReplyPart>;

/// Holds a key, or why none was issued.
pub type KeyResult = Result<GrantedKey, Refusal>;

/// Holds a question of another host.
#[derive(Debug)]
pub struct PeerClaimQuestion {
    /// The host that asks.
    pub from: HostId,
    /// The question.
    pub question: ClaimQuestion,
    /// Takes the answer.
    pub reply: oneshot::Sender<ClaimAnswer>,
}

/// Holds one message to the task.
#[derive(Debug)]
pub enum CoreMessage {
    /// An input of the machine.
    Input(NodeInput),
    /// A request and the way back to its caller.
    Request {
        /// The request.
        request: Box<CallerRequest>,
        /// Takes the reply.
        replies: ReplySink,
    },
    /// A question of another host.
    HostAsks(PeerClaimQuestion),
    /// Asks for a key.
    IssueKey {
        /// The workspace.
        workspace: WorkspaceId,
        /// Takes the answer.
        reply: oneshot::Sender<KeyResult>,
    },
    /// Asks for the state of the machine.
    ReadStatus(oneshot::Sender<CoreStatus>),
    /// Asks for the backend servers that this host uses.
    ReadSubset(oneshot::Sender<Vec<ServerId>>),
}

/// Says that the task takes no message now: its queue is full or it has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CoreUnavailable;

impl fmt::Display for CoreUnavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the queue of the host is full; ask again")
    }
}

impl std::error::Error for CoreUnavailable {}

/// Sends messages to the task that owns the machine; clones share one bounded queue.
#[derive(Clone, Debug)]
pub struct CoreHandle {
    sender: mpsc::Sender<CoreMessage>,
}

impl CoreHandle {
    pub(super) const fn new(sender: mpsc::Sender<CoreMessage>) -> Self {
        Self { sender }
    }

    /// Hands over a request, at once or not at all.
    ///
    /// # Errors
    ///
    /// Returns [`CoreUnavailable`] if the queue is full; the request has not been taken.
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

    /// Hands over an input, waiting for room; nothing happens if the task has ended.
    pub async fn send(&self, input: NodeInput) {
        let _ = self.sender.send(CoreMessage::Input(input)).await;
    }

    /// Hands over a question of another host, at once or not at all.
    pub fn ask(&self, question: PeerClaimQuestion) {
        let _ = self.sender.try_send(CoreMessage::HostAsks(question));
    }

    /// Asks for a key for a workspace.
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

    /// Tells that a caller is gone.
    pub fn caller_gone(&self, request: RequestId) {
        let input = CoreMessage::Input(NodeInput::CallerGone(request));
        if let Err(mpsc::error::TrySendError::Full(message)) = self.sender.try_send(input) {
            let sender = self.sender.clone();
            // Without a runtime the process is ending, and the machine with it.
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move {
                    let _ = sender.send(message).await;
                });
            }
        }
    }

    /// Lists the backend servers that this host uses; none if the task has ended.
    pub async fn subset(&self) -> Option<Vec<ServerId>> {
        let (sender, receiver) = oneshot::channel();
        self.sender
            .send(CoreMessage::ReadSubset(sender))
            .await
            .ok()?;
        receiver.await.ok()
    }

    /// Reads the state of the machine; none if the task has ended.
    pub async fn status(&self) -> Option<CoreStatus> {
        let (sender, receiver) = oneshot::channel();
        self.sender
            .send(CoreMessage::ReadStatus(sender))
            .await
            .ok()?;
        receiver.await.ok()
    }
}
