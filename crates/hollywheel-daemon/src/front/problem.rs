//! HTTP status, kind and title of every problem that callers are sent.

use std::fmt;
use std::time::Duration;

use hollywheel_node::{Refusal, RefusalReason};
use hollywheel_policy::RefuseReason;
use hollywheel_types::{ExecutionVerdict, RequestId};

use crate::web::{BodyReadError, ProblemReply};

/// Retry delay sent to callers if no better estimate is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason for which a call was rejected before it became a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallFault {
    /// The API key is missing or belongs to no workspace.
    NoKey,
    /// The pipeline is not available to the workspace.
    NotAllowed {
        /// Name of the pipeline.
        pipeline: String,
    },
    /// No endpoint has this path.
    NoPath,
    /// The endpoint does not support this method.
    WrongMethod,
    /// A header is not valid.
    BadHeader {
        /// Name of the header.
        name: &'static str,
        /// Description of the valid values.
        expected: &'static str,
    },
    /// The body is not a valid request.
    BadBody {
        /// Description of the error, with the field that it is in.
        message: String,
    },
    /// The body could not be read.
    Body(BodyReadError),
    /// The host has no configuration yet, so that no API key can be checked.
    NotReady,
    /// The request queue of the host is full.
    Busy,
    /// The reply channel closed before the last part: the caller read too slowly or the decision
    /// machine ended.
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
            Self::NotReady => f.write_str("the host has no configuration yet; try another host"),
            Self::Busy => f.write_str("the request queue of the host is full; retry later"),
            Self::ReplyLost => f.write_str("the host dropped the reply before it was complete"),
        }
    }
}

impl std::error::Error for CallFault {}

/// Returns the HTTP status, kind and title for a rejected call.
const fn rejection_status(fault: &CallFault) -> (u16, &'static str, &'static str) {
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

/// Returns the HTTP status and title for a refused request.
const fn refusal_status(reason: RefusalReason) -> (u16, &'static str) {
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

/// Returns how the caller can correct the request, for refusals that are due to the caller.
const fn refusal_hint(reason: RefusalReason) -> Option<&'static str> {
    match reason {
        RefusalReason::NoPipeline => Some("no pipeline of this name is configured"),
        RefusalReason::KeyMissing => Some(
            "header idempotency-key: expected a key, since a stage of the pipeline is not idempotent",
        ),
        RefusalReason::KeyReused => {
            Some("header idempotency-key: the key was used with another pipeline or input")
        }
        RefusalReason::KeyTaken => {
            Some("header idempotency-key: another request has the key; retry with the same key")
        }
        RefusalReason::KeyExpired => {
            Some("header idempotency-key: the key expired before it was used; request a new one")
        }
        _ => None,
    }
}

/// Describes the problem of a call that was rejected before it became a request.
pub fn fault_problem(fault: &CallFault) -> ProblemReply {
    let (status, kind, title) = rejection_status(fault);
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

/// Describes the problem of an idempotency key that was not issued.
pub fn key_problem(refusal: &Refusal) -> ProblemReply {
    let (status, title) = refusal_status(refusal.reason);
    ProblemReply {
        status,
        kind: refusal.reason.name(),
        title,
        detail: "no idempotency key was issued".to_owned(),
        verdict: Some(refusal.verdict),
        retry_after: refusal.retry_after,
        ..ProblemReply::default()
    }
}

/// Describes the problem of a request that was refused.
pub fn refusal_problem(request: RequestId, refusal: &Refusal) -> ProblemReply {
    let (status, title) = refusal_status(refusal.reason);
    let detail = match refusal.verdict {
        ExecutionVerdict::NotRun => "the request has not run and will not",
        ExecutionVerdict::MayHaveRun => "the request may have run",
        ExecutionVerdict::Ran => "the request ran, but its answer is not available",
    };
    ProblemReply {
        status,
        kind: refusal.reason.name(),
        title,
        detail: match refusal_hint(refusal.reason) {
            Some(hint) => format!("{detail}; {hint}"),
            None => detail.to_owned(),
        },
        verdict: Some(refusal.verdict),
        retry_after: refusal.retry_after,
        request: Some(request),
        ..ProblemReply::default()
    }
}
