//! Errors of the commands.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Reason why a command failed.
#[derive(Debug)]
pub enum BenchError {
    /// A file cannot be read or written; check the path and the permissions.
    File {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A file has a syntax error or an invalid field; correct the file.
    Syntax {
        /// The file.
        path: PathBuf,
        /// The error of the parser, with the line.
        message: String,
    },
    /// A field is out of range; correct the value.
    Field {
        /// The object and its field.
        field: String,
        /// The expected value.
        expected: String,
    },
    /// A stand-in does not answer; check that it is running at the address.
    Call {
        /// The URL.
        url: String,
        /// The error.
        message: String,
    },
    /// A plot cannot be drawn.
    Plot {
        /// The error of the plotting library.
        message: String,
    },
}

impl BenchError {
    /// Creates an error for a field and its expected value.
    pub(crate) fn field(field: impl Into<String>, expected: impl Into<String>) -> Self {
        Self::Field {
            field: field.into(),
            expected: expected.into(),
        }
    }

    pub(crate) fn file(path: &Path, error: io::Error) -> Self {
        Self::File {
            path: path.to_owned(),
            error,
        }
    }

    pub(crate) fn syntax(path: &Path, error: impl fmt::Display) -> Self {
        Self::Syntax {
            path: path.to_owned(),
            message: error.to_string().trim_end().to_owned(),
        }
    }
}

impl fmt::Display for BenchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, error } => write!(f, "{}: {error}", path.display()),
            Self::Syntax { path, message } => write!(f, "{}: {message}", path.display()),
            Self::Field { field, expected } => write!(f, "{field}: expected {expected}"),
            Self::Call { url, message } => write!(f, "{url}: {message}"),
            Self::Plot { message } => write!(f, "cannot draw the plot: {message}"),
        }
    }
}

impl std::error::Error for BenchError {}

/// Reads a text file.
pub(crate) fn read_file(path: &Path) -> Result<String, BenchError> {
    std::fs::read_to_string(path).map_err(|error| BenchError::file(path, error))
}
