//! Counts that operators are shown.

use hdrhistogram::Histogram;
use hollywheel_admin::{ClassStatus, WorkspaceStatus};
use hollywheel_node::RequestSummary;
use hollywheel_policy::RequestEnd;
use hollywheel_types::{RequestClass, SortedMap, WorkspaceId};

/// Bounds the workspaces that are counted; requests of others count for their class alone.
const MAX_WORKSPACES: usize = 8192;
/// Gives the longest time told apart, in milliseconds.
const LONGEST_MS: u64 = 3_600_000;
/// Gives the digits that times are kept with.
const DIGITS: u8 = 2;

/// Counts the requests of a class.
#[derive(Debug)]
pub struct ClassBook {
    attained: u64,
    late: u64,
    refused: u64,
    failed: u64,
    times: Histogram<u64>,
}

impl Default for ClassBook {
    fn default() -> Self {
        let times = Histogram::new_with_bounds(1, LONGEST_MS, DIGITS);
        Self {
            attained: 0,
            late: 0,
            refused: 0,
            failed: 0,
            times: times.expect("the bounds are valid"),
        }
    }
}

impl ClassBook {
    fn record(&mut self, summary: &RequestSummary) {
        match summary.end {
            RequestEnd::Attained => self.attained += 1,
            RequestEnd::Late => self.late += 1,
            RequestEnd::Refused => self.refused += 1,
            RequestEnd::Failed => self.failed += 1,
        }
        if matches!(summary.end, RequestEnd::Attained | RequestEnd::Late) {
            let millis = u64::try_from(summary.total.as_millis()).unwrap_or(u64::MAX);
            self.times.saturating_record(millis.max(1));
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
            p50_ms: self.times.value_at_quantile(0.50),
            p99_ms: self.times.value_at_quantile(0.99),
        }
    }
}

/// Counts the requests of a workspace.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkspaceBook {
    received: u64,
    attained: u64,
    refused: u64,
}

/// Counts requests that ended by class and workspace.
#[derive(Debug, Default)]
pub struct StatusBook {
    classes: [ClassBook; 4],
    workspaces: SortedMap<WorkspaceId, WorkspaceBook>,
}

impl StatusBook {
    /// Counts a request.
    pub fn record(&mut self, summary: &RequestSummary) {
        self.classes[summary.class.index()].record(summary);
        let workspace = &summary.workspace;
        if self.workspaces.len() >= MAX_WORKSPACES && !self.workspaces.contains_key(workspace) {
            return;
        }
        let book = self
            .workspaces
            .get_or_insert_with(workspace.clone(), WorkspaceBook::default);
        book.received += 1;
        book.attained += u64::from(summary.end == RequestEnd::Attained);
        book.refused += u64::from(summary.end == RequestEnd::Refused);
    }

    /// Returns the classes, highest priority first.
    pub fn classes(&self) -> Vec<ClassStatus> {
        RequestClass::ALL
            .into_iter()
            .map(|class| self.classes[class.index()].status(class))
            .collect()
    }

    /// Returns the workspaces with the most requests.
    pub fn busiest(&self, limit: usize) -> Vec<WorkspaceStatus> {
        let mut list: Vec<WorkspaceStatus> = self
            .workspaces
            .iter()
            .map(|(workspace, book)| WorkspaceStatus {
                workspace: workspace.clone(),
                received: book.received,
                attained: book.attained,
                refused: book.refused,
            })
            .collect();
        list.sort_by_key(|status| std::cmp::Reverse(status.received));
        list.truncate(limit);
        list
    }
}
