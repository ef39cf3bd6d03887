//! Errors and the exit codes that scripts see.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

use hollywheel_admin::ProblemDetails;
use hollywheel_config::{CheckFault, ReadError};

/// Says why a command failed and what the operator can do.
#[derive(Debug)]
pub enum CliError {
    /// The set has faults; nothing was published.
    Faults(Vec<CheckFault>),
    /// Somebody else published, or a claim is in use or changed, meanwhile.
    Conflict(Box<ProblemDetails>),
    /// The token is missing, not known, or its role does not allow the command.
    Denied(Box<ProblemDetails>),
    /// The host has no such thing.
    NotFound(Box<ProblemDetails>),
    /// The host refused or could not do it.
    Refused(Box<ProblemDetails>),
    /// The host was not reached; nothing was done.
    NotReached {
        /// The address.
        address: String,
        /// What the connection reported.
        message: String,
    },
    /// The answer was lost; the order may have been carried out.
    AnswerLost {
        /// The address.
        address: String,
        /// What the connection reported.
        message: String,
        /// How to find out.
        advice: String,
    },
    /// The answer is not what this version of the tool understands.
    BadAnswer {
        /// The path that was asked.
        path: String,
        /// What is wrong with it.
        message: String,
    },
    /// A file could not be read.
    File {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        message: String,
    },
    /// A file is not an object set.
    Objects(ReadError),
    /// Files hold no object at all.
    NoObjects,
    /// An argument is wrong in a way that only the command can tell.
    Argument(String),
    /// Standard output could not be written.
    Output(std::io::Error),
}

impl CliError {
    /// Returns the exit code, as docs/CLI.md lists it.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Faults(_) => 1,
            Self::Argument(_) | Self::File { .. } | Self::NoObjects | Self::Objects(_) => 2,
            Self::Conflict(_) => 3,
            Self::NotReached { .. } => 4,
            Self::Denied(_) => 5,
            Self::AnswerLost { .. } => 6,
            Self::BadAnswer { .. } | Self::NotFound(_) | Self::Refused(_) => 7,
            Self::Output(_) => 8,
        })
    }

    /// Reports that a host answered, but holds no such thing.
    pub fn not_found(detail: String) -> Self {
        Self::NotFound(Box::new(ProblemDetails {
            kind: "/problems/not-found".to_owned(),
            title: "not found".to_owned(),
            status: 404,
            detail,
            verdict: None,
            retry_after_ms: None,
            request: None,
            faults: Vec::new(),
        }))
    }

    /// Sorts an error answer of a host into what the operator can do about it.
    pub fn from_problem(problem: ProblemDetails) -> Self {
        let problem = Box::new(problem);
        match problem.status {
            401 | 403 => Self::Denied(problem),
            404 => Self::NotFound(problem),
            409 => Self::Conflict(problem),
            422 if !problem.faults.is_empty() => Self::Faults(problem.faults),
            _ => Self::Refused(problem),
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Faults(faults) => write_faults(f, faults),
            Self::Conflict(problem) => write_conflict(f, problem),
            Self::Denied(problem) => write!(
                f,
                "{}\nset HOLLYWHEEL_TOKEN to a token whose role allows this command",
                problem.detail
            ),
            Self::NotFound(problem) => f.write_str(&problem.detail),
            Self::Refused(problem) => write_refusal(f, problem),
            Self::NotReached { address, message } => write!(
                f,
                "host {address} was not reached ({message}); nothing was done\nname another host with --admin"
            ),
            Self::AnswerLost {
                address,
                message,
                advice,
            } => write!(
                f,
                "the answer of host {address} was lost ({message}); the order may have been carried out\n{advice}"
            ),
            Self::BadAnswer { path, message } => write!(
                f,
                "the answer to {path} is not understood ({message}); do the versions of tool and host match?"
            ),
            Self::File { path, message } => write!(f, "{}: {message}", path.display()),
            Self::Objects(error) => error.fmt(f),
            Self::NoObjects => f.write_str(
                "the files hold no object; expected tables such as [[pool]] or [[pipeline]]",
            ),
            Self::Argument(message) => f.write_str(message),
            Self::Output(error) => write!(f, "standard output: {error}"),
        }
    }
}

impl std::error::Error for CliError {}

fn write_faults(f: &mut fmt::Formatter<'_>, faults: &[CheckFault]) -> fmt::Result {
    for fault in faults {
        writeln!(f, "{fault}")?;
    }
    match faults.len() {
        1 => f.write_str("1 fault; nothing was published"),
        count => write!(f, "{count} faults; nothing was published"),
    }
}

fn write_conflict(f: &mut fmt::Formatter<'_>, problem: &ProblemDetails) -> fmt::Result {
    f.write_str(&problem.detail)?;
    match problem.kind.as_str() {
        "/problems/config-conflict" => {
            f.write_str("\nrun `hollywheelctl diff` against the new version, then publish again")
        }
        "/problems/claim-not-open" => {
            f.write_str("\nrun `hollywheelctl claims list --all` to see what became of it")
        }
        _ => Ok(()),
    }
}

fn write_refusal(f: &mut fmt::Formatter<'_>, problem: &ProblemDetails) -> fmt::Result {
    f.write_str(&problem.detail)?;
    if let Some(verdict) = problem.verdict {
        write!(f, "\nverdict: {verdict}")?;
    }
    if let Some(millis) = problem.retry_after_ms {
        write!(f, "\ntry again in {millis} ms")?;
    }
    Ok(())
}
