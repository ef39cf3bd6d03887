//! Load reports, live and with a lag.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Interval between two stored reports.
pub(crate) const SAMPLE_EVERY: Duration = Duration::from_millis(50);

/// Maximum number of stored reports; the oldest one is dropped.
const SAMPLES: usize = 1200;

/// Load report of a backend server.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The name of the server.
    pub server: String,
    /// The incarnation: the start time of its process.
    pub incarnation: u64,
    /// The number of running calls.
    pub running: u32,
    /// The number of queued calls.
    pub queued: u32,
    /// The number of calls that are executed at once.
    pub slots: u32,
    /// Whether the server is leaving and accepts no new work.
    pub leaving: bool,
    /// The loaded models.
    pub models: Vec<String>,
    /// The number of cached prompt prefixes.
    pub cache_used: u32,
    /// The capacity of the cache, in prompt prefixes.
    pub cache_size: u32,
    /// The most recently used prompt prefixes, as 16 hexadecimal digits each.
    pub prefixes: Vec<String>,
}

/// Stores recent reports, so that reports with a lag can be returned.
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

    /// Returns the newest report that is at least as old as the lag, or else the oldest one.
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
