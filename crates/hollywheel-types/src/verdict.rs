//! What may be said about the execution of a request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Says whether a request, or one attempt at it, has run.
///
/// The order is that of knowledge to be kept: of two verdicts about the same request the
/// larger one holds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionVerdict {
    /// It has not run and never will under this attempt.
    NotRun,
    /// It may have run, or may still run.
    MayHaveRun,
    /// It ran, and its complete answer is known.
    Ran,
}

impl ExecutionVerdict {
    /// Returns the name used in answers, rows and traces.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Says whether a non-idempotent request may be sent again after this verdict.
    pub const fn allows_retry(self) -> bool {
        matches!(self, Self::NotRun)
    }

    /// Joins the verdicts of two attempts at one request.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }
}

impl fmt::Display for ExecutionVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Says that a text is not a verdict.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VerdictError {
    /// The text.
    pub given: String,
}

impl fmt::Display for VerdictError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "verdict {:?} is not known; expected not-run, may-have-run or ran",
            self.given
        )
    }
}

impl std::error::Error for VerdictError {}

impl FromStr for ExecutionVerdict {
    type Err = VerdictError;

    fn from_str(text: &str) -> Result<Self, VerdictError> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err(VerdictError {
                given: text.to_owned(),
            }),
        }
    }
}
