//! Outputs of the state machine.

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

/// Call to a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptCall {
    /// Nonce of the attempt.
    pub nonce: AttemptNonce,
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Class of the request.
    pub class: RequestClass,
    /// Backend server.
    pub server: ServerId,
    /// Address of the server.
    pub address: std::net::SocketAddr,
    /// Stage of the attempt.
    pub stage: StageId,
    /// Kind of the stage.
    pub work: StageKind,
    /// Deadline of the request; the call must not be sent after it.
    pub deadline: MonoTime,
    /// Input of the caller.
    pub input: String,
    /// Output of the previous stage, empty at the first stage.
    pub previous: String,
    /// Idempotency key, only set for a non-idempotent stage.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Model, only set for a stage that generates.
    pub model: Option<ModelId>,
    /// Maximum number of tokens, zero for a stage that does not generate.
    pub max_tokens: TokenCount,
    /// Position of the first token to send; above zero when a stream is resumed.
    pub start_index: TokenIndex,
    /// Text of the tokens before `start_index`.
    pub generated: String,
}

/// Reason for which a request got no complete answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The policy refused the request.
    Policy(RefuseReason),
    /// The pipeline does not exist or is not available to the workspace.
    NoPipeline,
    /// The host is shutting down.
    Draining,
    /// The host has no configuration yet.
    NotReady,
    /// The pipeline has a non-idempotent stage and the request has no idempotency key.
    KeyMissing,
    /// The key was already used with a different request body or pipeline.
    KeyReused,
    /// The key is held by a request on a host that does not answer, or by one that ended without
    /// a recorded answer.
    KeyTaken,
    /// The key names this process as its issuer but expired unused or was never issued, so no
    /// request ran or can run under it.
    KeyExpired,
    /// The host that issued the key was not reached, or its answer was lost.
    IssuerUnreachable,
    /// The table service could not record the claim.
    StoreUnavailable,
    /// The calls to the backend servers failed.
    BackendFailed,
    /// The deadline of the request passed.
    DeadlinePassed,
}

impl RefusalReason {
    /// Returns the name used in replies and metrics.
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
    /// Every reason, including those of the policy.
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

    /// Finds a reason by its [`name`](Self::name).
    pub fn find(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|one| one.name() == name)
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Refusal of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// What is known of the execution.
    pub verdict: ExecutionVerdict,
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Delay after which a retry may succeed, if it can.
    pub retry_after: Option<Duration>,
}

/// Idempotency key issued to a workspace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantedKey {
    /// The issued key.
    pub key: IdempotencyKey,
    /// How long the key can be used for a first request.
    pub expires: Duration,
}

/// Part of the reply to a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "part")]
pub enum ReplyPart {
    /// One token, only sent to callers that asked for a stream.
    Token {
        /// Zero-based position of the token.
        index: TokenIndex,
        /// Text of the token.
        text: String,
    },
    /// Complete answer; always the last part.
    Complete {
        /// Output of the last stage; for a stage that generates, the text of all tokens.
        output: String,
        /// Number of tokens generated, zero if the last stage does not generate.
        tokens: TokenCount,
        /// Whether the answer is that of an earlier request with the same key.
        replayed: bool,
    },
    /// Refusal; always the last part.
    Refused(Refusal),
}

/// Summary of an ended request, for metrics.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestSummary {
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Requested pipeline.
    pub pipeline: PipelineId,
    /// Class of the request.
    pub class: RequestClass,
    /// How the request ended.
    pub end: RequestEnd,
    /// Execution verdict given to the caller.
    pub verdict: ExecutionVerdict,
    /// Reason for the refusal, if the request was refused.
    pub reason: Option<RefusalReason>,
    /// Time from receipt to the last reply part.
    pub total: Duration,
    /// Time from receipt to the first token.
    pub first_token: Option<Duration>,
    /// Longest time between two consecutive tokens.
    pub longest_gap: Option<Duration>,
    /// Number of attempts sent.
    pub attempts: u32,
}

/// Event for logs, metrics and traces.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum NodeEvent {
    /// A request was received.
    Received {
        /// Identifier of the request.
        request: RequestId,
    },
    /// A request was admitted.
    Admitted {
        /// Identifier of the request.
        request: RequestId,
    },
    /// An attempt was sent.
    Sent {
        /// Identifier of the request.
        request: RequestId,
        /// Nonce of the attempt.
        nonce: AttemptNonce,
        /// Stage of the attempt.
        stage: StageId,
        /// Backend server.
        server: ServerId,
        /// Whether it is a first attempt, a retry or a hedge.
        kind: AttemptKind,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Identifier of the request.
        request: RequestId,
        /// Nonce of the attempt.
        nonce: AttemptNonce,
        /// Stage of the attempt.
        stage: StageId,
        /// Backend server.
        server: ServerId,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
        /// Time since the attempt was sent.
        took: Duration,
    },
    /// An answer did not match an attempt in flight and was dropped.
    Mismatched {
        /// Nonce of the attempt, as known from its connection.
        nonce: AttemptNonce,
    },
    /// A request was granted the claim of its idempotency key.
    Claimed {
        /// Identifier of the request.
        request: RequestId,
    },
    /// A request ended.
    Ended(RequestSummary),
}

/// Output of the state machine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "output", content = "with")]
pub enum NodeOutput {
    /// Sends an attempt to a backend server.
    Dispatch(Box<AttemptCall>),
    /// Cancels an attempt: closes its connection and notifies the server.
    Cancel {
        /// Nonce of the attempt.
        nonce: AttemptNonce,
    },
    /// Calls the table service.
    Store {
        /// Ticket that the answer must carry.
        ticket: CallTicket,
        /// Request to the table service.
        request: StoreRequest,
    },
    /// Asks another host about a claim.
    AskHost {
        /// Ticket that the answer must carry.
        ticket: CallTicket,
        /// Host to ask.
        host: HostId,
        /// Incarnation that must answer.
        incarnation: Incarnation,
        /// Question about the claim.
        question: ClaimQuestion,
    },
    /// Answers the question of another host.
    AnswerHost {
        /// Ticket of the question.
        ticket: CallTicket,
        /// State of the claim.
        answer: ClaimAnswer,
    },
    /// Forwards a request to the process that issued its idempotency key.
    Forward {
        /// Ticket that the outcome must carry.
        ticket: CallTicket,
        /// Host that issued the key.
        host: HostId,
        /// Incarnation that must run the request.
        incarnation: Incarnation,
        /// The request, with the remaining time as its time-out.
        request: Box<CallerRequest>,
        /// Time after which the request must not be sent.
        deadline: MonoTime,
    },
    /// Answers a request for a key.
    KeyIssued {
        /// Ticket of the key request.
        ticket: CallTicket,
        /// The issued key, or the refusal.
        result: Result<GrantedKey, Refusal>,
    },
    /// Replies to a caller.
    Reply {
        /// Identifier of the request.
        request: RequestId,
        /// Part of the reply.
        part: ReplyPart,
    },
    /// Reports an event to logs, metrics and traces.
    Event(NodeEvent),
    /// The graceful shutdown is complete; the process may exit.
    Drained,
}
