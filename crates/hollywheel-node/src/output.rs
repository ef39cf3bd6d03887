//! Outputs of the decision machine.

use std::fmt;
use std::time::Duration;

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_config::StageKind;
use hollywheel_policy::{AttemptKind, AttemptOutcome, RefuseReason, RequestEnd};
use hollywheel_store::StoreRequest;
use hollywheel_types::{
    AttemptNonce, ExecutionVerdict, HostId, IdempotencyKey, Incarnation, ModelId, MonoTime,
    PipelineId, RequestClass, RequestId, ServerId, StageId, TokenCount, TokenIndex, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use crate::input::{CallTicket, CallerRequest};

/// Describes a call to a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptCall {
    /// The attempt.
    pub nonce: AttemptNonce,
    /// The request.
    pub request: RequestId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The class.
    pub class: RequestClass,
    /// The server.
    pub server: ServerId,
    /// The address of the server.
    pub address: std::net::SocketAddr,
    /// The stage.
    pub stage: StageId,
    /// The work.
    pub work: StageKind,
    /// The point by which the answer is due; the call must not be sent after it.
    pub deadline: MonoTime,
    /// The caller's input.
    pub input: String,
    /// The output of the stage before, or empty.
    pub previous: String,
    /// The key, for a non-idempotent stage.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The model, for a stage that generates.
    pub model: Option<ModelId>,
    /// The most tokens, for a stage that generates.
    pub max_tokens: TokenCount,
    /// The first token wanted.
    pub start_index: TokenIndex,
    /// The text of the tokens before it.
    pub generated: String,
}

/// Says why a request got no complete answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The policy refused it.
    Policy(RefuseReason),
    /// The pipeline is not configured, or not for this workspace.
    NoPipeline,
    /// The host is shutting down.
    Draining,
    /// The host has no configuration yet.
    NotReady,
    /// The pipeline has a non-idempotent stage and the request has no key.
    KeyMissing,
    /// The key was used with another request.
    KeyReused,
    /// The key belongs to a request that is in progress on a host that does not answer, or
    /// that ended without a known answer.
    KeyTaken,
    /// The key names this process, and no request ran or can run under it: it expired unused or
    /// was never issued.
    KeyExpired,
    /// The host that issued the key was not reached, or its answer was lost.
    IssuerUnreachable,
    /// The table service could not record the claim.
    StoreUnavailable,
    /// The backend servers failed.
    BackendFailed,
    /// The deadline passed.
    DeadlinePassed,
}

impl RefusalReason {
    /// Returns the name used in answers and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Policy(reason) => reason.name(),
            Self::NoPipeline => "no-pipeline",
            Self::Draining => "draining",
            Self::NotReady => "not-ready",
            Self::KeyMissing => "key-missing",
            Self::KeyReused => "key-reused",
            Self::KeyTaken => "key-taken",
            Self::KeyExpired => "key-expired",
            Self::IssuerUnreachable => "issuer-unreachable",
            Self::StoreUnavailable => "store-unavailable",
            Self::BackendFailed => "backend-failed",
            Self::DeadlinePassed => "deadline-passed",
        }
    }
}

impl RefusalReason {
    /// Lists every reason.
    pub const ALL: &'static [Self] = &[
        Self::Policy(RefuseReason::DeadlineTooShort),
        Self::Policy(RefuseReason::NoServer),
        Self::Policy(RefuseReason::Overloaded),
        Self::Policy(RefuseReason::RateLimited),
        Self::NoPipeline,
        Self::Draining,
        Self::NotReady,
        Self::KeyMissing,
        Self::KeyReused,
        Self::KeyTaken,
        Self::KeyExpired,
        Self::IssuerUnreachable,
        Self::StoreUnavailable,
        Self::BackendFailed,
        Self::DeadlinePassed,
    ];

    /// Finds a reason by its name.
    pub fn find(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|one| one.name() == name)
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Tells a caller that there is no complete answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: ExecutionVerdict,
    /// Why.
    pub reason: RefusalReason,
    /// When to ask again, if that makes sense.
    pub retry_after: Option<Duration>,
}

/// Holds a key that was issued to a workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantedKey {
    /// The key.
    pub key: IdempotencyKey,
    /// The time in which it must be used.
    pub expires: Duration,
}

/// Holds one part of the reply to a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "part")]
pub enum ReplyPart {
    /// A token, for callers who asked for a stream.
    Token {
        /// The position.
        index: TokenIndex,
        /// The text.
        text: String,
    },
    /// The complete answer; the last part.
    Complete {
        /// The output of the last stage; the text of every token for a stage that generates.
        output: String,
        /// The tokens generated, zero for other stages.
        tokens: TokenCount,
        /// Whether the answer comes from an earlier request with the same key.
        replayed: bool,
    },
    /// No complete answer; the last part.
    Refused(Refusal),
}

/// Sums up a request for metrics.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestSummary {
    /// The request.
    pub request: RequestId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The pipeline.
    pub pipeline: PipelineId,
    /// The class.
    pub class: RequestClass,
    /// How it ended.
    pub end: RequestEnd,
    /// What the caller was told.
    pub verdict: ExecutionVerdict,
    /// Why there is no complete answer.
    pub reason: Option<RefusalReason>,
    /// The time from receipt to the last part.
    pub total: Duration,
    /// The time from receipt to the first token.
    pub first_token: Option<Duration>,
    /// The longest time between two tokens.
    pub longest_gap: Option<Duration>,
    /// The attempts sent.
    pub attempts: u32,
}

/// Tells logs, metrics and traces what was decided.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum NodeEvent {
    /// A request was received.
    Received {
        /// The request.
        request: RequestId,
    },
    /// A request was admitted.
    Admitted {
        /// The request.
        request: RequestId,
    },
    /// An attempt was sent.
    Sent {
        /// The request.
        request: RequestId,
        /// The attempt.
        nonce: AttemptNonce,
        /// The stage.
        stage: StageId,
        /// The server.
        server: ServerId,
        /// Why it was made.
        kind: AttemptKind,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        nonce: AttemptNonce,
        /// The stage.
        stage: StageId,
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The time since it was sent.
        took: Duration,
    },
    /// An answer did not match its attempt and was dropped.
    Mismatched {
        /// The attempt, by the connection.
        nonce: AttemptNonce,
    },
    /// A claim was recorded.
    Claimed {
        /// The request.
        request: RequestId,
    },
    /// A request ended.
    Ended(RequestSummary),
}

/// Holds one output of the machine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "output", content = "with")]
pub enum NodeOutput {
    /// Sends an attempt.
    Dispatch(Box<AttemptCall>),
    /// Cancels an attempt: closes its connection and tells the server.
    Cancel {
        /// The attempt.
        nonce: AttemptNonce,
    },
    /// Calls the table service.
    Store {
        /// The call.
        ticket: CallTicket,
        /// The request.
        request: StoreRequest,
    },
    /// Asks another host.
    AskHost {
        /// The question.
        ticket: CallTicket,
        /// The host.
        host: HostId,
        /// The incarnation that must answer.
        incarnation: Incarnation,
        /// The question.
        question: ClaimQuestion,
    },
    /// Answers another host.
    AnswerHost {
        /// The question.
        ticket: CallTicket,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// Hands a request to the process that issued its key.
    Forward {
        /// The question.
        ticket: CallTicket,
        /// The host.
        host: HostId,
        /// The incarnation that must run it.
        incarnation: Incarnation,
        /// The request; its timeout is the time that is left.
        request: Box<CallerRequest>,
        /// The point after which it must not be sent.
        deadline: MonoTime,
    },
    /// Answers a request for a key.
    KeyIssued {
        /// The request for a key.
        ticket: CallTicket,
        /// The key.
        result: Result<GrantedKey, Refusal>,
    },
    /// Replies to a caller.
    Reply {
        /// The request.
        request: RequestId,
        /// The part.
        part: ReplyPart,
    },
    /// Tells logs and metrics.
    Event(NodeEvent),
    /// The graceful shutdown is complete.
    Drained,
}
