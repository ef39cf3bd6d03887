//! The one table of problems and their statuses.

use std::fmt;
use std::time::Duration;

use hollywheel_node::{Refusal, RefusalReason};
use hollywheel_policy::RefuseReason;
use hollywheel_types::{ExecutionVerdict, RequestId};

use crate::web::{BodyReadError, ProblemReply};

/// Gives the wait that callers are asked for where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Says why a call was rejected before it became a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallFault {
    /// There is no key, or no workspace has it.
    NoKey,
    /// The workspace may not call the pipeline.
    NotAllowed {
        /// The pipeline.
        pipeline: String,
    },
    /// There is nothing at this path.
    NoPath,
    /// The path takes another method.
    WrongMethod,
    /// A header is not valid.
    BadHeader {
        /// The header.
        name: &'static str,
        /// What was expected.
        expected: &'static str,
    },
    /// The body is not a request.
    BadBody {
        /// What is wrong.
        message: String,
    },
    /// The body did not arrive.
    Body(BodyReadError),
    /// The host has no configuration, so no key can be checked.
    NotReady,
    /// The queue of the host is full.
    Busy,
    /// The reply was lost inside the host.
    ReplyLost,
}

impl fmt::Display for CallFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoKey => {
                f.write_str("header authorization: expected Bearer and a key of a workspace")
            }
            Self::NotAllowed { pipeline } => {
                write!(
                    f,
                    "pipeline {pipeline}: the workspace is not among its workspaces"
                )
            }
            Self::NoPath => {
                f.write_str("expected /v1/pipelines/NAME, /v1/keys, /healthz or /readyz")
            }
            Self::WrongMethod => {
                f.write_str("expected POST for pipelines and keys and GET for the rest")
            }
            Self::BadHeader { name, expected } => write!(f, "header {name}: expected {expected}"),
            Self::BadBody { message } => write!(f, "body: {message}"),
            Self::Body(fault) => fault.fmt(f),
            Self::NotReady => f.write_str("the host has no configuration yet; ask another host"),
            Self::Busy => f.write_str("the queue of the host is full; ask again"),
            Self::ReplyLost => f.write_str("the host lost the reply"),
        }
    }
}

impl std::error::Error for CallFault {}

/// Gives status, kind and title of a rejected call.
const fn fault_row(fault: &CallFault) -> (u16, &'static str, &'static str) {
    match fault {
        CallFault::NoKey => (401, "no-key", "No valid key"),
        CallFault::NotAllowed { .. } => (403, "not-allowed", "Not allowed"),
        CallFault::NoPath => (404, "no-path", "Not found"),
        CallFault::WrongMethod => (405, "wrong-method", "Wrong method"),
        CallFault::BadHeader { .. } => (422, "bad-header", "Header not valid"),
        CallFault::BadBody { .. } => (422, "bad-body", "Body not valid"),
        CallFault::Body(BodyReadError::TooLarge { .. }) => {
            (413, "body-too-large", "Body too large")
        }
        CallFault::Body(_) => (408, "body-broken", "Body not received"),
        CallFault::NotReady => (503, "not-ready", "Not ready"),
        CallFault::Busy => (503, "overloaded", "Overloaded"),
        CallFault::ReplyLost => (503, "reply-lost", "Reply lost"),
    }
}

/// Gives status and title of a refused request.
const fn refusal_row(reason: RefusalReason) -> (u16, &'static str) {
    match reason {
        RefusalReason::Policy(RefuseReason::DeadlineTooShort) => (503, "Not in time"),
        RefusalReason::Policy(RefuseReason::NoServer) => (503, "No backend server"),
        RefusalReason::Policy(RefuseReason::Overloaded) => (503, "Overloaded"),
        RefusalReason::Policy(RefuseReason::RateLimited) => (429, "Rate limited"),
        RefusalReason::NoPipeline => (404, "No such pipeline"),
        RefusalReason::Draining => (503, "Shutting down"),
        RefusalReason::NotReady => (503, "Not ready"),
        RefusalReason::KeyMissing => (422, "Idempotency key missing"),
        RefusalReason::KeyReused => (422, "Idempotency key reused"),
        RefusalReason::KeyTaken => (409, "Idempotency key taken"),
        RefusalReason::KeyExpired => (409, "Idempotency key expired"),
        RefusalReason::IssuerUnreachable => (503, "Issuer of the key not reached"),
        RefusalReason::StoreUnavailable => (503, "Claim not recorded"),
        RefusalReason::BackendFailed => (503, "Backend failed"),
        RefusalReason::DeadlinePassed => (504, "Deadline passed"),
    }
}

/// Names what the caller gave and what was expected, for refusals that the caller can mend.
const fn refusal_advice(reason: RefusalReason) -> Option<&'static str> {
    match reason {
        RefusalReason::NoPipeline => Some("no pipeline of this name is configured"),
        RefusalReason::KeyMissing => Some(
            "header idempotency-key: expected a key, since a stage of the pipeline is not idempotent",
        ),
        RefusalReason::KeyReused => {
            Some("header idempotency-key: the key was used with another pipeline or input")
        }
        RefusalReason::KeyTaken => {
            Some("header idempotency-key: another request has the key; ask again with the same key")
        }
        RefusalReason::KeyExpired => {
            Some("header idempotency-key: the key was not used in time; fetch another")
        }
        _ => None,
    }
}

/// Builds the answer for a call that never became a request.
pub fn fault_problem(fault: &CallFault) -> ProblemReply {
    let (status, kind, title) = fault_row(fault);
    let verdict = match fault {
        CallFault::ReplyLost => ExecutionVerdict::MayHaveRun,
        _ => ExecutionVerdict::NotRun,
    };
    ProblemReply {
        status,
        kind,
        title,
        detail: fault.to_string(),
        verdict: Some(verdict),
        retry_after: (status == 503).then_some(RETRY_AFTER),
        ..ProblemReply::default()
    }
}

/// Builds the answer for a key that was not issued.
pub fn key_problem(refusal: &Refusal) -> ProblemReply {
    let (status, title) = refusal_row(refusal.reason);
    ProblemReply {
        status,
        kind: refusal.reason.name(),
        title,
        detail: "no key was issued".to_owned(),
        verdict: Some(refusal.verdict),
        retry_after: refusal.retry_after,
        ..ProblemReply::default()
    }
}

/// Builds the answer for a request without a complete answer.
pub fn refusal_problem(request: RequestId, refusal: &Refusal) -> ProblemReply {
    let (status, title) = refusal_row(refusal.reason);
    let detail = match refusal.verdict {
        ExecutionVerdict::NotRun => "the request has not run and will not",
        ExecutionVerdict::MayHaveRun => "the request may have run",
        ExecutionVerdict::Ran => "the request ran, but its answer is not at hand",
    };
    ProblemReply {
        status,
        kind: refusal.reason.name(),
        title,
        detail: match refusal_advice(refusal.reason) {
            Some(advice) => format!("{detail}; {advice}"),
            None => detail.to_owned(),
        },
        verdict: Some(refusal.verdict),
        retry_after: refusal.retry_after,
        request: Some(request),
        ..ProblemReply::default()
    }
}
