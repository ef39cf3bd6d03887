//! Errors of the tool.

use std::fmt;
use std::path::PathBuf;

/// Says why a fleet can't be started or run.
#[derive(Debug)]
pub enum FleetError {
    /// A file can't be read or written.
    File {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        message: String,
    },
    /// The object file or the timeline is wrong.
    Input {
        /// The file.
        path: PathBuf,
        /// What is wrong, with line and field.
        message: String,
    },
    /// A process did not start; is it built?
    Start {
        /// The program.
        program: PathBuf,
        /// What the system or the program reported.
        message: String,
    },
    /// A process is not ready in time.
    NotReady {
        /// The process.
        name: String,
        /// The file that holds its log.
        log: PathBuf,
    },
    /// An operator command failed.
    Operator {
        /// The command.
        command: String,
        /// What it printed.
        message: String,
    },
    /// A stand-in did not take an order for faults.
    Order {
        /// The stand-in.
        process: String,
        /// The order.
        order: String,
    },
    /// A fault names a process that is not in the fleet.
    NoProcess(String),
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
                "{name} is not ready in time; its log is {}",
                log.display()
            ),
            Self::Operator { command, message } => write!(f, "{command}: {message}"),
            Self::Order { process, order } => write!(
                f,
                "{process} did not take the order {order}; docs/PLATFORM.md lists the fields"
            ),
            Self::NoProcess(name) => write!(
                f,
                "the timeline names {name:?}, which is no host or stand-in that can do this"
            ),
        }
    }
}

impl std::error::Error for FleetError {}

impl FleetError {
    /// Makes the error for a file from what the system reported.
    pub(crate) fn file(path: impl Into<PathBuf>, error: &std::io::Error) -> Self {
        Self::File {
            path: path.into(),
            message: error.to_string(),
        }
    }
}
