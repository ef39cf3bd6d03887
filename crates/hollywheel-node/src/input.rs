//! Inputs of the state machine.

use std::sync::Arc;
use std::time::Duration;

use hollywheel_claims::{ClaimAnswer, ClaimQuestion};
use hollywheel_config::PublishedSet;
use hollywheel_policy::ServerReport;
use hollywheel_store::{StoreFailure, StoreReply};
use hollywheel_types::{
    AttemptNonce, DomainId, HostId, IdempotencyKey, Incarnation, PipelineId, RequestId, ServerId,
    StageId, TokenCount, TokenIndex, WallTime, WorkspaceId,
};
use serde::{Deserialize, Serialize};

use crate::output::Refusal;

/// Correlates calls of the table service, questions between hosts and forwards with their
/// answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallTicket(pub u64);

/// Request as received from an authenticated caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Requested pipeline.
    pub pipeline: PipelineId,
    /// Input of the first stage.
    pub input: String,
    /// Idempotency key of the caller; required if the pipeline has a non-idempotent stage.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Time-out set by the caller; it can only shorten the deadline of the target.
    pub timeout: Option<Duration>,
    /// Token limit set by the caller; it can only lower the limit of the stage.
    pub max_tokens: Option<TokenCount>,
    /// Whether the caller wants tokens streamed one by one.
    pub stream: bool,
    /// Wall-clock time of receipt, stored in claim rows; the state machine itself does not use it.
    pub received_at: WallTime,
}

/// Identifiers that a backend server echoes; they must match those of the attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerEcho {
    /// Identifier of the request.
    pub request: RequestId,
    /// Stage of the attempt.
    pub stage: StageId,
    /// Nonce of the attempt.
    pub nonce: AttemptNonce,
}

/// Event of an attempt. The attempt is identified by its connection; the echoed identifiers are
/// what the backend server sent and are checked against it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum AttemptEvent {
    /// No byte of the request left this host.
    NotSent,
    /// The backend server refused the call before processing any of it.
    Refused {
        /// Delay after which the call may be sent again.
        retry_after: Duration,
    },
    /// Complete answer of a stage that does not stream.
    Answer {
        /// Identifiers echoed by the server.
        echo: AnswerEcho,
        /// Output of the stage.
        output: String,
    },
    /// One token of a stream.
    Token {
        /// Attempt nonce echoed by the server.
        nonce: AttemptNonce,
        /// Zero-based position of the token.
        index: TokenIndex,
        /// Text of the token.
        text: String,
    },
    /// Explicit end of a token stream.
    StreamEnd {
        /// Identifiers echoed by the server.
        echo: AnswerEcho,
        /// Total number of tokens, counted from position zero.
        tokens: TokenCount,
    },
    /// The connection or the answer broke off after part of the request had been sent.
    Broken,
}

/// Host that the failure detector considers alive.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostInfo {
    /// Name of the host.
    pub host: HostId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub domain: DomainId,
}

/// Hosts considered alive, including this one, sorted by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostView {
    /// Hosts considered alive.
    pub hosts: Vec<HostInfo>,
}

/// Outcome of a request that was forwarded to the issuer of its key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "end")]
pub enum ForwardEnd {
    /// No byte of the request left this host.
    NotSent,
    /// The request may have arrived, but no answer came back.
    Lost,
    /// The issuer returned a complete answer.
    Complete {
        /// Output of the last stage.
        output: String,
        /// Number of tokens generated.
        tokens: TokenCount,
        /// Whether the answer is that of an earlier request with the same key.
        replayed: bool,
    },
    /// The issuer refused the request.
    Refused(Refusal),
}

/// Input of the state machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "input", content = "with")]
pub enum NodeInput {
    /// Installs a configuration version; one that is not newer than that in force is ignored.
    Config(Arc<PublishedSet>),
    /// Replaces the list of hosts considered alive.
    Hosts(HostView),
    /// Load report of a backend server.
    Report {
        /// The load report.
        report: ServerReport,
        /// Age of the report.
        age: Duration,
    },
    /// A backend server announced that it is leaving.
    ServerLeaving(ServerId),
    /// A caller sent a request.
    Request(CallerRequest),
    /// The caller of a request disconnected.
    CallerGone(RequestId),
    /// An attempt reported an event.
    Attempt {
        /// Nonce of the attempt, as known from its connection.
        nonce: AttemptNonce,
        /// Event of the attempt.
        event: AttemptEvent,
    },
    /// The table service answered a call.
    Store {
        /// Ticket of the call.
        ticket: CallTicket,
        /// Answer of the table service, or the failure of the call.
        result: Result<StoreReply, StoreFailure>,
    },
    /// Another host asks about a claim.
    HostAsks {
        /// Ticket that the answer must carry.
        ticket: CallTicket,
        /// Host that asks.
        from: HostId,
        /// Question about the claim.
        question: ClaimQuestion,
    },
    /// Another host answered a question, or could not be reached.
    HostAnswers {
        /// Ticket of the question.
        ticket: CallTicket,
        /// The answer, or `None` if the host was not reached.
        answer: Option<ClaimAnswer>,
    },
    /// A caller asks for an idempotency key whose requests only this process will run.
    IssueKey {
        /// Ticket that the answer must carry.
        ticket: CallTicket,
        /// Workspace that the key is issued to.
        workspace: WorkspaceId,
    },
    /// A request that was forwarded to another host ended.
    Forwarded {
        /// Ticket of the forward.
        ticket: CallTicket,
        /// Outcome of the forward.
        end: ForwardEnd,
    },
    /// Begins the graceful shutdown; requests not complete after the given time are refused.
    Drain(Duration),
    /// Handles the timers that are due.
    Tick,
}
