//! Request counters for the host status that operators read.

use hdrhistogram::Histogram;
use hollywheel_admin::{ClassStatus, WorkspaceStatus};
use hollywheel_node::RequestSummary;
use hollywheel_policy::RequestEnd;
use hollywheel_types::{RequestClass, SortedMap, WorkspaceId};

/// Maximum number of workspaces with counters. Requests of further workspaces are counted for their
/// class only.
const MAX_WORKSPACES: usize = 8192;
/// Upper bound of the latency histogram, in milliseconds. Longer latencies are recorded as this.
const MAX_LATENCY_MS: u64 = 3_600_000;
/// Significant decimal digits of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Counters and latencies of the requests of one class.
#[derive(Debug)]
pub struct ClassCounters {
    attained: u64,
    late: u64,
    refused: u64,
    failed: u64,
    latencies: Histogram<u64>,
}

impl Default for ClassCounters {
    fn default() -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
        Self {
            attained: 0,
            late: 0,
            refused: 0,
            failed: 0,
            latencies: latencies.expect("the bounds are valid"),
        }
    }
}

impl ClassCounters {
    fn record(&mut self, summary: &RequestSummary) {
        match summary.end {
            RequestEnd::Attained => self.attained += 1,
            RequestEnd::Late => self.late += 1,
            RequestEnd::Refused => self.refused += 1,
            RequestEnd::Failed => self.failed += 1,
        }
        if matches!(summary.end, RequestEnd::Attained | RequestEnd::Late) {
            let millis = u64::try_from(summary.total.as_millis()).unwrap_or(u64::MAX);
            self.latencies.saturating_record(millis.max(1));
        }
    }

    fn status(&self, class: RequestClass) -> ClassStatus {
        ClassStatus {
            class,
            received: self.attained + self.late + self.refused + self.failed,
            attained: self.attained,
            late: self.late,
            refused: self.refused,
            failed: self.failed,
            p50_ms: self.latencies.value_at_quantile(0.50),
            p99_ms: self.latencies.value_at_quantile(0.99),
        }
    }
}

/// Counters of the requests of one workspace.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkspaceCounters {
    received: u64,
    attained: u64,
    refused: u64,
}

/// Counters of ended requests by class and by workspace.
#[derive(Debug, Default)]
pub struct StatusCounters {
    classes: [ClassCounters; 4],
    workspaces: SortedMap<WorkspaceId, WorkspaceCounters>,
}

impl StatusCounters {
    /// Records a request that ended.
    pub fn record(&mut self, summary: &RequestSummary) {
        self.classes[summary.class.index()].record(summary);
        let workspace = &summary.workspace;
        if self.workspaces.len() >= MAX_WORKSPACES && !self.workspaces.contains_key(workspace) {
            return;
        }
        let counters = self
            .workspaces
            .get_or_insert_with(workspace.clone(), WorkspaceCounters::default);
        counters.received += 1;
        counters.attained += u64::from(summary.end == RequestEnd::Attained);
        counters.refused += u64::from(summary.end == RequestEnd::Refused);
    }

    /// Returns the status of each class, highest priority first.
    pub fn classes(&self) -> Vec<ClassStatus> {
        RequestClass::ALL
            .into_iter()
            .map(|class| self.classes[class.index()].status(class))
            .collect()
    }

    /// Returns the workspaces with the most requests, at most `limit` of them.
    pub fn busiest(&self, limit: usize) -> Vec<WorkspaceStatus> {
        let mut list: Vec<WorkspaceStatus> = self
            .workspaces
            .iter()
            .map(|(workspace, counters)| WorkspaceStatus {
                workspace: workspace.clone(),
                received: counters.received,
                attained: counters.attained,
                refused: counters.refused,
            })
            .collect();
        list.sort_by_key(|status| std::cmp::Reverse(status.received));
        list.truncate(limit);
        list
    }
}
