//! Verdict on the execution of a request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Whether a request, or one attempt at it, has been executed.
///
/// Variants are ordered by precedence: of two verdicts on the same request the larger one wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionVerdict {
    /// It has not run and this attempt will never run it.
    NotRun,
    /// It may have run or may still run.
    MayHaveRun,
    /// It ran, and its complete answer is known.
    Ran,
}

impl ExecutionVerdict {
    /// Returns the name used in responses, rows and traces.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Returns whether a non-idempotent request may be retried after this verdict.
    pub const fn allows_retry(self) -> bool {
        matches!(self, Self::NotRun)
    }

    /// Combines the verdicts on two attempts at one request.
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

/// Error parsing an execution verdict.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VerdictError {
    /// The text that was given.
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
