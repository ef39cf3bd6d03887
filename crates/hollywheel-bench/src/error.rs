//! What can go wrong, apart from outcomes.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Says why a command could not do its work.
#[derive(Debug)]
pub enum BenchError {
    /// A file cannot be read or written; check the path and the permissions.
    File {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        error: io::Error,
    },
    /// A file has a syntax error or a wrong field; mend the file.
    Syntax {
        /// The file.
        path: PathBuf,
        /// What the reader reported, with the line.
        message: String,
    },
    /// A field is out of its range; mend the field.
    Field {
        /// The object and its field.
        field: String,
        /// What was expected.
        expected: String,
    },
    /// A stand-in does not answer; check that it runs at the address.
    Call {
        /// The URL.
        url: String,
        /// What happened.
        message: String,
    },
    /// The picture cannot be drawn.
    Plot {
        /// What the library reported.
        message: String,
    },
}

impl BenchError {
    /// Names a field and what was expected of it.
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
            Self::Plot { message } => write!(f, "the picture cannot be drawn: {message}"),
        }
    }
}

impl std::error::Error for BenchError {}

/// Reads a file as text.
pub(crate) fn read_file(path: &Path) -> Result<String, BenchError> {
    std::fs::read_to_string(path).map_err(|error| BenchError::file(path, error))
}
