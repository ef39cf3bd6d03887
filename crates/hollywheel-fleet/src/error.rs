//! Errors of the tool.

use std::fmt;
use std::path::PathBuf;

/// Errors of starting or running a fleet.
#[derive(Debug)]
pub enum FleetError {
    /// A file can't be read or written.
    File {
        /// The file.
        path: PathBuf,
        /// The error message of the operating system.
        message: String,
    },
    /// The object file or the timeline is invalid, or the fleet record can't be serialised.
    Input {
        /// The file.
        path: PathBuf,
        /// The error message of the parser or the serialiser.
        message: String,
    },
    /// A program could not be started, for example because it is not built.
    Start {
        /// The program.
        program: PathBuf,
        /// The error message of the operating system.
        message: String,
    },
    /// A process did not become ready within the time-out.
    NotReady {
        /// The host's name, or the output that was awaited from the process.
        name: String,
        /// The log file of the process.
        log: PathBuf,
    },
    /// An operator command exited with an error.
    Operator {
        /// The command line.
        command: String,
        /// The standard error output of the command.
        message: String,
    },
    /// A stand-in did not accept a fault-injection order.
    OrderRejected {
        /// The name of the stand-in.
        process: String,
        /// The order as JSON.
        order: String,
    },
    /// A fault names a process that the fleet lacks or that does not support the action.
    UnknownProcess(String),
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, message } | Self::Input { path, message } => {
                write!(f, "{}: {message}", path.display())
            }
            Self::Start { program, message } => write!(
                f,
                "{} did not start: {message}; build it with `cargo build --workspace`",
                program.display()
            ),
            Self::NotReady { name, log } => write!(
                f,
                "{name} did not become ready in time; see its log {}",
                log.display()
            ),
            Self::Operator { command, message } => write!(f, "{command}: {message}"),
            Self::OrderRejected { process, order } => write!(
                f,
                "{process} did not accept the fault order {order}; docs/PLATFORM.md lists the fields"
            ),
            Self::UnknownProcess(name) => write!(
                f,
                "the timeline names {name:?}, which is not a host or stand-in that supports this action"
            ),
        }
    }
}

impl std::error::Error for FleetError {}

impl FleetError {
    /// Creates a file error from an I/O error.
    pub(crate) fn file(path: impl Into<PathBuf>, error: &std::io::Error) -> Self {
        Self::File {
            path: path.into(),
            message: error.to_string(),
        }
    }
}
