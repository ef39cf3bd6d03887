//! Table of the attempts in execution, which can be cancelled.

use std::collections::VecDeque;
use std::sync::Mutex;

use hollywheel_types::SortedMap;
use tokio_util::sync::CancellationToken;

/// Maximum number of ended attempts that are remembered; the oldest one is dropped.
const ENDED_ATTEMPTS: usize = 4096;

#[derive(Debug)]
struct AttemptEntry {
    token: CancellationToken,
    running: bool,
}

#[derive(Debug, Default)]
struct AttemptList {
    open: SortedMap<String, AttemptEntry>,
    ended: VecDeque<String>,
}

/// Tracks the open attempts. Their number is limited by the queue and the slots.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    list: Mutex<AttemptList>,
}

impl AttemptTable {
    /// Adds an attempt and returns the token that cancels it.
    pub(crate) fn open(&self, attempt: &str) -> CancellationToken {
        let token = CancellationToken::new();
        let entry = AttemptEntry {
            token: token.clone(),
            running: false,
        };
        let mut list = self.list.lock().expect("no holder panics");
        list.open.insert(attempt.to_owned(), entry);
        token
    }

    /// Marks a queued attempt as running; returns false if it was cancelled.
    pub(crate) fn begin(&self, attempt: &str) -> bool {
        let mut list = self.list.lock().expect("no holder panics");
        match list.open.get_mut(attempt) {
            Some(entry) if !entry.token.is_cancelled() => {
                entry.running = true;
                true
            }
            _ => false,
        }
    }

    /// Moves an attempt from the open to the ended ones.
    pub(crate) fn end(&self, attempt: &str) {
        let mut list = self.list.lock().expect("no holder panics");
        if list.open.remove(attempt).is_none() {
            return;
        }
        if list.ended.len() >= ENDED_ATTEMPTS {
            list.ended.pop_front();
        }
        list.ended.push_back(attempt.to_owned());
    }

    /// Cancels an attempt and returns the state to report. Running work that cannot be stopped
    /// continues, and its state is `unknown`.
    pub(crate) fn cancel(&self, attempt: &str, stops_running: bool) -> &'static str {
        let list = self.list.lock().expect("no holder panics");
        match list.open.get(attempt) {
            Some(entry) if stops_running || !entry.running => {
                entry.token.cancel();
                "cancelled"
            }
            Some(_) => "unknown",
            None if list.ended.iter().any(|ended| ended == attempt) => "finished",
            None => "unknown",
        }
    }
}
