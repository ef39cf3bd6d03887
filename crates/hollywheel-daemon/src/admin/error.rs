//! Errors of operators' calls and their HTTP statuses.

use std::fmt;
use std::time::Duration;

use hollywheel_claims::ResolveError;
use hollywheel_config::InstallError;
use hollywheel_store::StoreFailure;
use hollywheel_types::ExecutionVerdict;

use crate::web::{BodyReadError, ProblemReply};

/// Error of an operator's call.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminError {
    /// The token is missing or unknown.
    NoToken,
    /// The role of the token does not permit the call.
    RoleTooLow,
    /// The path is unknown.
    NoPath,
    /// The path does not accept the method.
    WrongMethod,
    /// A query parameter is invalid.
    BadQuery {
        /// Name of the parameter.
        name: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// The body is invalid.
    BadBody {
        /// Description of the error.
        message: String,
    },
    /// The body was not received completely.
    Body(BodyReadError),
    /// The requested item does not exist.
    NotFound {
        /// Requested item.
        what: String,
        /// Place that was searched, with its preposition.
        place: &'static str,
    },
    /// The install state machine returned an error.
    Install(InstallError),
    /// The call to the table service failed.
    Store(StoreFailure),
    /// The claim cannot be resolved.
    Resolve(ResolveError),
    /// The process that made the claim may be alive and may still send the request to a backend
    /// server.
    ClaimantAlive {
        /// Host of the process.
        host: String,
    },
    /// The claim changed between the read and the write.
    ClaimChanged,
    /// A secret is invalid.
    BadSecret {
        /// Description of the error.
        message: String,
    },
    /// A task of the host did not reply.
    Unavailable,
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoToken => {
                f.write_str("header authorization: expected Bearer and an operator's token")
            }
            Self::RoleTooLow => f.write_str("the token has the role viewer; expected publisher"),
            Self::NoPath => f.write_str("the path is unknown; see docs/API.md"),
            Self::WrongMethod => f.write_str("method not allowed for path; see docs/API.md"),
            Self::BadQuery { name, expected } => write!(f, "query {name}: expected {expected}"),
            Self::BadBody { message } => write!(f, "body: {message}"),
            Self::Body(fault) => fault.fmt(f),
            Self::NotFound { what, place } => write!(f, "{what} is not known {place}"),
            Self::Install(error) => error.fmt(f),
            Self::Store(failure) => failure.fmt(f),
            Self::Resolve(error) => error.fmt(f),
            Self::ClaimantAlive { host } => write!(
                f,
                "host {host} made the claim and may be alive; stop it before resolving the claim"
            ),
            Self::ClaimChanged => f.write_str("the claim was changed concurrently; list it again"),
            Self::BadSecret { message } => write!(f, "secrets: {message}"),
            Self::Unavailable => f.write_str("a part of the host did not reply; try again"),
        }
    }
}

impl std::error::Error for AdminError {}

impl AdminError {
    /// Returns the HTTP status, the kind and the title.
    const fn status_kind_title(&self) -> (u16, &'static str, &'static str) {
        match self {
            Self::NoToken => (401, "no-token", "No valid token"),
            Self::RoleTooLow => (403, "role-too-low", "Not allowed"),
            Self::NoPath => (404, "no-path", "Not found"),
            Self::WrongMethod => (405, "wrong-method", "Wrong method"),
            Self::BadQuery { .. } => (422, "bad-query", "Query not valid"),
            Self::BadBody { .. } => (422, "bad-body", "Body not valid"),
            Self::Body(BodyReadError::TooLarge { .. }) => (413, "body-too-large", "Body too large"),
            Self::Body(_) => (408, "body-broken", "Body not received"),
            Self::NotFound { .. } => (404, "not-found", "Not known"),
            Self::Install(error) => install_status_kind_title(error),
            Self::Store(StoreFailure::Refused { .. }) => {
                (503, "store-unavailable", "Table service unavailable")
            }
            Self::Store(StoreFailure::Unknown) => (503, "store-unknown", "Outcome not known"),
            Self::Resolve(ResolveError::NotOpen { .. }) => (409, "claim-not-open", "Not open"),
            Self::Resolve(_) => (422, "claim-not-resolved", "Claim not resolved"),
            Self::ClaimantAlive { .. } => (409, "claimant-alive", "Claimant may be alive"),
            Self::ClaimChanged => (409, "claim-changed", "Claim changed"),
            Self::BadSecret { .. } => (422, "bad-secret", "Secret not valid"),
            Self::Unavailable => (503, "unavailable", "Not available"),
        }
    }

    /// Returns whether the call may have had an effect, or `None` for errors that precede any
    /// effect.
    const fn verdict(&self) -> Option<ExecutionVerdict> {
        match self {
            Self::Install(InstallError::Unknown) | Self::Store(StoreFailure::Unknown) => {
                Some(ExecutionVerdict::MayHaveRun)
            }
            Self::Install(_) | Self::Store(_) => Some(ExecutionVerdict::NotRun),
            _ => None,
        }
    }

    const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Install(InstallError::Refused { retry_after })
            | Self::Store(StoreFailure::Refused { retry_after }) => Some(*retry_after),
            Self::Install(InstallError::Busy | InstallError::Unknown)
            | Self::Store(StoreFailure::Unknown)
            | Self::Unavailable => Some(Duration::from_secs(1)),
            _ => None,
        }
    }

    /// Builds the problem document of the error.
    pub fn problem(&self) -> ProblemReply {
        let (status, kind, title) = self.status_kind_title();
        let faults = match self {
            Self::Install(InstallError::Faulty(report)) => report.faults.clone(),
            _ => Vec::new(),
        };
        ProblemReply {
            status,
            kind,
            title,
            detail: self.to_string(),
            verdict: self.verdict(),
            retry_after: self.retry_after(),
            request: None,
            faults,
        }
    }
}

const fn install_status_kind_title(error: &InstallError) -> (u16, &'static str, &'static str) {
    match error {
        InstallError::Conflict { .. } => (409, "config-conflict", "Another version is published"),
        InstallError::Faulty(_) => (422, "config-faulty", "The set has faults"),
        InstallError::Unchanged(_) => (422, "config-unchanged", "Nothing differs"),
        InstallError::TooLarge { .. } => (413, "config-too-large", "Change too large"),
        InstallError::Busy => (503, "busy", "Busy"),
        InstallError::NoVersion(_) => (404, "no-version", "No such version"),
        InstallError::NotReady => (503, "not-ready", "Not ready"),
        InstallError::Refused { .. } => (503, "store-unavailable", "Table service unavailable"),
        InstallError::Unknown => (503, "store-unknown", "Outcome not known"),
    }
}
