//! Load reports, live and with a lag.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Gives the time between two kept reports.
pub(crate) const SAMPLE_EVERY: Duration = Duration::from_millis(50);

/// Bounds the kept reports; the oldest is dropped.
const SAMPLES: usize = 1200;

/// Holds what a backend server says of its load.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The name of the server.
    pub server: String,
    /// The start of its process.
    pub incarnation: u64,
    /// Calls running.
    pub running: u32,
    /// Calls queued.
    pub queued: u32,
    /// Calls that run at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// The models that it holds.
    pub models: Vec<String>,
    /// Prompt prefixes that are cached.
    pub cache_used: u32,
    /// Prompt prefixes that the cache can hold.
    pub cache_size: u32,
    /// The cached prompt prefixes, 16 hexadecimal digits each.
    pub prefixes: Vec<String>,
}

/// Keeps reports so that old ones can be served.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: Mutex<VecDeque<(Instant, LoadReport)>>,
}

impl LoadHistory {
    pub(crate) fn push(&self, now: Instant, report: LoadReport) {
        let mut samples = self.samples.lock().expect("no holder panics");
        if samples.len() >= SAMPLES {
            samples.pop_front();
        }
        samples.push_back((now, report));
    }

    /// Returns the newest report that is at least so old, or the oldest one.
    pub(crate) fn lagged(&self, now: Instant, lag: Duration) -> Option<LoadReport> {
        let samples = self.samples.lock().expect("no holder panics");
        let old_enough = |sample: &&(Instant, LoadReport)| now.duration_since(sample.0) >= lag;
        samples
            .iter()
            .rev()
            .find(old_enough)
            .or_else(|| samples.front())
            .map(|(_, report)| report.clone())
    }
}
