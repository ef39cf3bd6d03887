//! Bounded record of executed calls.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Maximum number of entries of a ledger. Further events are only counted, and the ledger then ends
/// with a `truncated` entry.
pub const LEDGER_ENTRIES: usize = 500_000;

/// Kind of a ledger entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LedgerEvent {
    /// Work began.
    Started,
    /// Work ended.
    Finished,
    /// Work was cancelled, before or after it began.
    Cancelled,
    /// A call was refused before any work began.
    Refused,
    /// An order was accepted.
    OrderAccepted,
    /// An order was refused for its fencing number.
    OrderStale,
    /// Further events were not recorded.
    Truncated,
}

/// An entry of a ledger.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerEntry {
    /// The position in the ledger, starting at one.
    pub seq: u64,
    /// The kind of the event.
    pub event: LedgerEvent,
    /// The wall-clock time in microseconds since the Unix epoch.
    pub at_us: u64,
    /// The request id.
    #[serde(default)]
    pub request: String,
    /// The attempt id.
    #[serde(default)]
    pub attempt: String,
    /// The stage; the model for orders.
    #[serde(default)]
    pub stage: String,
    /// The kind of work; the action for orders.
    #[serde(default)]
    pub work: String,
    /// The workspace.
    #[serde(default)]
    pub workspace: String,
    /// The idempotency key, empty for idempotent stages.
    #[serde(default)]
    pub idempotency_key: String,
    /// The fencing number of an order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fencing: Option<u64>,
    /// The number of events that were not recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dropped: Option<u64>,
}

impl LedgerEntry {
    pub(crate) fn new(event: LedgerEvent) -> Self {
        Self {
            seq: 0,
            event,
            at_us: 0,
            request: String::new(),
            attempt: String::new(),
            stage: String::new(),
            work: String::new(),
            workspace: String::new(),
            idempotency_key: String::new(),
            fencing: None,
            dropped: None,
        }
    }
}

#[derive(Debug, Default)]
struct LedgerRecords {
    entries: Vec<LedgerEntry>,
    dropped: u64,
    copy: Option<File>,
}

/// Records events in memory.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pages: Mutex<LedgerRecords>,
}

impl Ledger {
    pub(crate) fn record(&self, mut entry: LedgerEntry) {
        let mut pages = self.pages.lock().expect("no holder panics");
        entry.seq = pages.entries.len() as u64 + 1;
        entry.at_us = wall_micros();
        if pages.entries.len() >= LEDGER_ENTRIES {
            pages.dropped += 1;
            // No further entry is copied, so this one ends the copy.
            if let Some(mut file) = pages.copy.take() {
                entry.event = LedgerEvent::Truncated;
                let _ = writeln!(file, "{}", entry_line(&entry));
            }
            return;
        }
        if let Some(file) = &mut pages.copy {
            // After a failed write an entry is missing, which the checker reports.
            let _ = writeln!(file, "{}", entry_line(&entry));
        }
        pages.entries.push(entry);
    }

    /// Also writes each later entry to a file, before its call continues.
    pub(crate) fn copy_to(&self, file: File) {
        self.pages.lock().expect("no holder panics").copy = Some(file);
    }

    /// Returns the entries after a position, with a `truncated` entry if some are missing.
    pub(crate) fn entries(&self, after: u64) -> Vec<LedgerEntry> {
        let pages = self.pages.lock().expect("no holder panics");
        let skip = usize::try_from(after).unwrap_or(usize::MAX);
        let mut entries: Vec<_> = pages.entries.iter().skip(skip).cloned().collect();
        if pages.dropped > 0 {
            entries.push(LedgerEntry {
                seq: pages.entries.len() as u64 + 1,
                at_us: wall_micros(),
                dropped: Some(pages.dropped),
                ..LedgerEntry::new(LedgerEvent::Truncated)
            });
        }
        entries
    }

    /// Returns the entries after a position, one JSON object per line.
    pub(crate) fn lines(&self, after: u64) -> String {
        let mut text = String::new();
        for entry in self.entries(after) {
            text.push_str(&entry_line(&entry));
            text.push('\n');
        }
        text
    }
}

fn entry_line(entry: &LedgerEntry) -> String {
    serde_json::to_string(entry).expect("entries hold only text and numbers")
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub(crate) fn wall_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
