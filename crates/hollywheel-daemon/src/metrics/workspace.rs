//! Selection of the busiest workspaces, which have their own series.

use hollywheel_types::{SortedMap, WorkspaceId};

/// Maximum number of workspaces with their own series.
pub const TRACKED_WORKSPACES: usize = 32;
/// Maximum number of workspaces whose requests are counted. Others are not ranked.
const COUNTED_WORKSPACES: usize = 8192;
/// Number of requests between two rankings.
const RANKING_INTERVAL: u32 = 1024;

/// Ranking of workspaces by recent requests.
#[derive(Debug, Default)]
pub struct WorkspaceRank {
    counts: SortedMap<WorkspaceId, u32>,
    tracked: Vec<WorkspaceId>,
    requests_since_ranking: u32,
}

impl WorkspaceRank {
    /// Counts a request. Returns the workspaces that lose their series.
    pub fn count(&mut self, workspace: &WorkspaceId) -> Vec<WorkspaceId> {
        self.add(workspace);
        if self.tracked.len() < TRACKED_WORKSPACES
            && let Err(at) = self.tracked.binary_search(workspace)
        {
            self.tracked.insert(at, workspace.clone());
        }
        self.requests_since_ranking += 1;
        if self.requests_since_ranking < RANKING_INTERVAL {
            return Vec::new();
        }
        self.requests_since_ranking = 0;
        self.rank()
    }

    /// Returns whether a workspace has its own series.
    pub fn is_tracked(&self, workspace: &WorkspaceId) -> bool {
        self.tracked.binary_search(workspace).is_ok()
    }

    fn add(&mut self, workspace: &WorkspaceId) {
        if let Some(count) = self.counts.get_mut(workspace) {
            *count = count.saturating_add(1);
        } else if self.counts.len() < COUNTED_WORKSPACES {
            self.counts.insert(workspace.clone(), 1);
        }
    }

    /// Selects the busiest workspaces and halves all counts, so that old requests weigh less.
    /// Returns the workspaces that lose their series.
    fn rank(&mut self) -> Vec<WorkspaceId> {
        let mut ranked: Vec<(u32, WorkspaceId)> = self
            .counts
            .iter()
            .map(|(workspace, count)| (*count, workspace.clone()))
            .collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let mut busiest: Vec<WorkspaceId> = ranked
            .into_iter()
            .take(TRACKED_WORKSPACES)
            .map(|(_, workspace)| workspace)
            .collect();
        busiest.sort();
        let demoted = self
            .tracked
            .iter()
            .filter(|workspace| busiest.binary_search(workspace).is_err())
            .cloned()
            .collect();
        self.tracked = busiest;
        self.counts.retain(|_, count| {
            *count /= 2;
            *count > 0
        });
        demoted
    }
}
