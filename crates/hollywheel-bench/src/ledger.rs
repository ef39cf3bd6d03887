//! Ledgers of executed calls, read from the stand-ins.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::error::BenchError;
use crate::record::read_lines;

/// A line of a ledger.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LedgerLine {
    /// The position in the ledger, starting at one.
    pub seq: u64,
    /// The kind of the event.
    pub event: String,
    /// The wall-clock time in microseconds.
    pub at_us: u64,
    /// The request id.
    pub request: String,
    /// The attempt id.
    pub attempt: String,
    /// The stage.
    pub stage: String,
    /// The kind of work.
    pub work: String,
    /// The workspace.
    pub workspace: String,
    /// The idempotency key, empty for idempotent stages.
    pub idempotency_key: String,
}

/// The lines of one stand-in's ledger.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LedgerBook {
    /// The name, address or file of the stand-in.
    pub server: String,
    /// The position that precedes the first line.
    pub after: u64,
    /// The lines.
    pub lines: Vec<LedgerLine>,
}

impl LedgerBook {
    /// Returns the position of the last line.
    pub fn last_seq(&self) -> u64 {
        self.lines.last().map_or(self.after, |line| line.seq)
    }

    /// Returns why the ledger is incomplete; none if it is complete.
    pub fn missing_entry(&self) -> Option<String> {
        let mut expected = self.after;
        for line in &self.lines {
            expected += 1;
            if line.event == "truncated" {
                return Some(format!("the ledger is truncated at line {expected}"));
            }
            if line.seq != expected {
                return Some(format!("line {expected} is missing before {}", line.seq));
            }
        }
        None
    }
}

/// Parses a ledger, one JSON object per line.
///
/// # Errors
///
/// Returns [`BenchError::Syntax`] with the invalid line.
pub fn read_ledger(server: &str, after: u64, text: &str) -> Result<LedgerBook, BenchError> {
    Ok(LedgerBook {
        server: server.to_owned(),
        after,
        lines: read_lines(Path::new(server), text)?,
    })
}
