//! Inputs of the decision machine.

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

/// Numbers the calls of the table service and the questions to other hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallTicket(pub u64);

/// Holds a request as it was received. The caller's key has been checked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerRequest {
    /// The request.
    pub request: RequestId,
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// The pipeline.
    pub pipeline: PipelineId,
    /// The input of the first stage.
    pub input: String,
    /// The key that the caller gives a non-idempotent request.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The time that the caller allows, if it is shorter than the deadline of the target.
    pub timeout: Option<Duration>,
    /// The most tokens that the caller wants, if fewer than the stage allows.
    pub max_tokens: Option<TokenCount>,
    /// Whether tokens are delivered one by one.
    pub stream: bool,
    /// The wall-clock time, which is stored in claims for people to read.
    pub received_at: WallTime,
}

/// Holds what a backend server echoes; it must match the attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerEcho {
    /// The request.
    pub request: RequestId,
    /// The stage.
    pub stage: StageId,
    /// The attempt.
    pub nonce: AttemptNonce,
}

/// Tells of an attempt. The nonce of the connection is that of the call; the echo is the
/// backend server's own word.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum AttemptEvent {
    /// No byte of the request left this host.
    NotSent,
    /// The server refused it before any processing.
    Refused {
        /// When it may be sent again.
        retry_after: Duration,
    },
    /// The complete answer of a stage that does not stream.
    Answer {
        /// What the server echoes.
        echo: AnswerEcho,
        /// The output.
        output: String,
    },
    /// A token.
    Token {
        /// The attempt that the server echoes.
        nonce: AttemptNonce,
        /// The position.
        index: TokenIndex,
        /// The text.
        text: String,
    },
    /// The explicit end of a token stream.
    StreamEnd {
        /// What the server echoes.
        echo: AnswerEcho,
        /// The tokens from position zero.
        tokens: TokenCount,
    },
    /// The connection or the answer broke after bytes of the request had left.
    Broken,
}

/// Describes a host that is taken for alive.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostInfo {
    /// The host.
    pub host: HostId,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// The failure domain.
    pub domain: DomainId,
}

/// Lists the hosts taken for alive, this one included, sorted by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostView {
    /// The hosts.
    pub hosts: Vec<HostInfo>,
}

/// Says what became of a request that was handed to the issuer of its key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "end")]
pub enum ForwardEnd {
    /// No byte of it left this host.
    NotSent,
    /// It may have arrived; no answer came.
    Lost,
    /// The issuer's complete answer.
    Complete {
        /// The output of the last stage.
        output: String,
        /// The tokens generated.
        tokens: TokenCount,
        /// Whether the answer comes from an earlier request with the same key.
        replayed: bool,
    },
    /// The issuer's refusal.
    Refused(Refusal),
}

/// Holds one input of the machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "input", content = "with")]
pub enum NodeInput {
    /// Puts a version of the objects in force; an older version than that in force is ignored.
    Config(Arc<PublishedSet>),
    /// Replaces the view of the hosts.
    Hosts(HostView),
    /// Takes a backend server's report; `age` is the time since it held.
    Report {
        /// The report.
        report: ServerReport,
        /// Its age.
        age: Duration,
    },
    /// Tells that a backend server is leaving.
    ServerLeaving(ServerId),
    /// Takes a request.
    Request(CallerRequest),
    /// Tells that the caller of a request is gone.
    CallerGone(RequestId),
    /// Tells of an attempt.
    Attempt {
        /// The attempt, by the connection.
        nonce: AttemptNonce,
        /// What happened.
        event: AttemptEvent,
    },
    /// Answers a call of the table service.
    Store {
        /// The call.
        ticket: CallTicket,
        /// The answer.
        result: Result<StoreReply, StoreFailure>,
    },
    /// Takes a question of another host.
    HostAsks {
        /// The question, for the answer.
        ticket: CallTicket,
        /// The host that asks.
        from: HostId,
        /// The question.
        question: ClaimQuestion,
    },
    /// Answers a question to another host; none if it was not reached.
    HostAnswers {
        /// The question.
        ticket: CallTicket,
        /// The answer.
        answer: Option<ClaimAnswer>,
    },
    /// Asks for a key that only this process will send under.
    IssueKey {
        /// The question, for the answer.
        ticket: CallTicket,
        /// The workspace.
        workspace: WorkspaceId,
    },
    /// Tells what became of a request that was handed to another host.
    Forwarded {
        /// The question.
        ticket: CallTicket,
        /// What became of it.
        end: ForwardEnd,
    },
    /// Begins the graceful shutdown; what is not complete after the span is given up.
    Drain(Duration),
    /// Lets time pass.
    Tick,
}
