//! The busiest workspaces, which get series of their own.

use hollywheel_types::{SortedMap, WorkspaceId};

/// Bounds the workspaces that have series of their own.
pub const TRACKED_WORKSPACES: usize = 32;
/// Bounds the workspaces that are counted; others are folded.
const COUNTED_WORKSPACES: usize = 8192;
/// Counts the requests between two rankings.
const RANK_INTERVAL: u32 = 1024;

/// Ranks workspaces by their recent requests.
#[derive(Debug, Default)]
pub struct WorkspaceRank {
    counts: SortedMap<WorkspaceId, u32>,
    tracked: Vec<WorkspaceId>,
    since_rank: u32,
}

impl WorkspaceRank {
    /// Counts a request and returns the workspaces that lose their series.
    pub fn count(&mut self, workspace: &WorkspaceId) -> Vec<WorkspaceId> {
        self.add(workspace);
        if self.tracked.len() < TRACKED_WORKSPACES
            && let Err(at) = self.tracked.binary_search(workspace)
        {
            self.tracked.insert(at, workspace.clone());
        }
        self.since_rank += 1;
        if self.since_rank < RANK_INTERVAL {
            return Vec::new();
        }
        self.since_rank = 0;
        self.rank()
    }

    /// Says whether a workspace has series of its own.
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

    /// Chooses the busiest workspaces and halves all counts, so that old load fades.
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
