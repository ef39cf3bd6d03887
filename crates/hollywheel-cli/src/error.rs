//! Errors of the commands and their exit codes.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

use hollywheel_admin::ProblemDetails;
use hollywheel_config::{CheckFault, ReadError};

/// Describes why a command failed and what the operator can do about it.
#[derive(Debug)]
pub enum CliError {
    /// The object set is invalid; nothing was published.
    Faults(Vec<CheckFault>),
    /// Another operator published in the meantime, or the claim is in use or has changed.
    Conflict(Box<ProblemDetails>),
    /// The token is missing or unknown, or its role does not allow the command.
    Denied(Box<ProblemDetails>),
    /// The host does not have the requested object.
    NotFound(Box<ProblemDetails>),
    /// The host rejected the request or could not execute it.
    Rejected(Box<ProblemDetails>),
    /// The host could not be reached; nothing was done.
    Unreachable {
        /// The address of the host.
        address: String,
        /// The error of the connection.
        message: String,
    },
    /// The response was lost; the request may have been executed.
    ResponseLost {
        /// The address of the host.
        address: String,
        /// The error of the connection.
        message: String,
        /// What the operator should do to find out.
        advice: String,
    },
    /// The response can't be parsed by this version of the tool.
    InvalidResponse {
        /// The path of the request.
        path: String,
        /// The error of the parser.
        message: String,
    },
    /// A file could not be read or written.
    File {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        message: String,
    },
    /// A file is not an object set.
    Objects(ReadError),
    /// The files contain no object.
    NoObjects,
    /// An argument is invalid in a way that only the command itself can detect.
    Argument(String),
    /// Standard output could not be written.
    Output(std::io::Error),
}

impl CliError {
    /// Returns the exit code. docs/CLI.md documents these codes for scripts.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Faults(_) => 1,
            Self::Argument(_) | Self::File { .. } | Self::NoObjects | Self::Objects(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unreachable { .. } => 4,
            Self::Denied(_) => 5,
            Self::ResponseLost { .. } => 6,
            Self::InvalidResponse { .. } | Self::NotFound(_) | Self::Rejected(_) => 7,
            Self::Output(_) => 8,
        })
    }

    /// Creates the error for an object that the document of a host does not contain.
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

    /// Classifies an error response of a host by its status.
    pub fn from_problem(problem: ProblemDetails) -> Self {
        let problem = Box::new(problem);
        match problem.status {
            401 | 403 => Self::Denied(problem),
            404 => Self::NotFound(problem),
            409 => Self::Conflict(problem),
            422 if !problem.faults.is_empty() => Self::Faults(problem.faults),
            _ => Self::Rejected(problem),
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
            Self::Rejected(problem) => write_rejection(f, problem),
            Self::Unreachable { address, message } => write!(
                f,
                "host {address} could not be reached ({message}); nothing was done\nselect another host with --admin"
            ),
            Self::ResponseLost {
                address,
                message,
                advice,
            } => write!(
                f,
                "the response of host {address} was lost ({message}); the request may have been executed\n{advice}"
            ),
            Self::InvalidResponse { path, message } => write!(
                f,
                "the response to {path} can't be parsed ({message}); check that the versions of the tool and the host match"
            ),
            Self::File { path, message } => write!(f, "{}: {message}", path.display()),
            Self::Objects(error) => error.fmt(f),
            Self::NoObjects => f.write_str(
                "the files contain no object; expected tables such as [[pool]] or [[pipeline]]",
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
            f.write_str("\nrun `hollywheelctl claims list --all` to see its state")
        }
        _ => Ok(()),
    }
}

fn write_rejection(f: &mut fmt::Formatter<'_>, problem: &ProblemDetails) -> fmt::Result {
    f.write_str(&problem.detail)?;
    if let Some(verdict) = problem.verdict {
        write!(f, "\nverdict: {verdict}")?;
    }
    if let Some(millis) = problem.retry_after_ms {
        write!(f, "\ntry again in {millis} ms")?;
    }
    Ok(())
}
