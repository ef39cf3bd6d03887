//! Records of sent requests and their outcomes, one JSON object per line.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::error::{BenchError, read_file};

/// Record of one attempt of a caller. Times are in microseconds since the start of the load.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct RequestRecord {
    /// The position of the request in the load.
    pub number: u64,
    /// The number of the attempt, starting at one.
    #[serde(rename = "try")]
    pub try_number: u32,
    /// The pipeline.
    pub pipeline: String,
    /// The request class.
    pub class: String,
    /// The workspace.
    pub workspace: String,
    /// The idempotency key, empty for none.
    pub key: String,
    /// The trace id that was sent.
    pub trace: String,
    /// The host to which the attempt was sent; empty if no host was reached.
    pub host: String,
    /// The intended time of the request.
    pub intended_us: u64,
    /// The time at which the attempt was sent.
    pub sent_us: u64,
    /// The input.
    pub input: String,
    /// The requested maximum number of tokens.
    pub max_tokens: Option<u32>,
    /// Whether a stream of tokens was requested.
    pub stream: bool,
    /// The HTTP status; zero if there was no answer.
    pub status: u16,
    /// The verdict: `not-run`, `may-have-run` or `ran`; `not-sent` if no host was reached; empty if
    /// the answer had no verdict.
    pub verdict: String,
    /// The reason why there is no complete answer.
    pub reason: String,
    /// The retry time in the answer.
    pub retry_after_ms: Option<u64>,
    /// The request id in the answer.
    pub request: String,
    /// Whether the complete answer was received.
    pub complete: bool,
    /// The output of the complete answer.
    pub output: String,
    /// The number of tokens according to the complete answer.
    pub tokens: u32,
    /// Whether the answer is that of an earlier attempt.
    pub replayed: bool,
    /// The indices of the streamed tokens, in order of arrival.
    pub indices: Vec<u32>,
    /// The streamed text.
    pub streamed: String,
    /// The time from the intended time to the first token.
    pub first_token_us: Option<u64>,
    /// The longest time between two tokens.
    pub longest_gap_us: Option<u64>,
    /// The time from the intended time to the end of the attempt.
    pub latency_us: u64,
}

/// Writes records, one JSON object per line.
///
/// # Errors
///
/// Returns [`BenchError::File`] if the file cannot be written.
///
/// # Panics
///
/// Never panics: every record can be written as JSON.
pub fn write_records(path: &Path, records: &[RequestRecord]) -> Result<(), BenchError> {
    let write = || {
        let mut file = BufWriter::new(File::create(path)?);
        for record in records {
            let line = serde_json::to_string(record).expect("records hold text and numbers");
            writeln!(file, "{line}")?;
        }
        file.flush()
    };
    write().map_err(|error| BenchError::file(path, error))
}

/// Reads records.
///
/// # Errors
///
/// Returns [`BenchError`] with the file and the invalid line.
pub fn read_records(path: &Path) -> Result<Vec<RequestRecord>, BenchError> {
    read_lines(path, &read_file(path)?)
}

/// Parses JSON objects, one per line.
pub(crate) fn read_lines<T>(path: &Path, text: &str) -> Result<Vec<T>, BenchError>
where
    T: serde::de::DeserializeOwned,
{
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(at, line)| {
            serde_json::from_str(line)
                .map_err(|error| BenchError::syntax(path, format!("line {}: {error}", at + 1)))
        })
        .collect()
}
