//! Start-time fair queueing of workspaces over the time of a pool.

use std::time::Duration;

use hollywheel_types::SortedMap;

/// Identifies the workspace of a group by a digest of its name; 0 is unknown.
pub(super) type WorkspaceDigest = u64;

/// Holds how far workspaces are ahead of their fair share of a pool, while work waits.
///
/// In virtual time every workspace with waiting work is served at the same rate. A workspace that was
/// served more than that is ahead of it.
#[derive(Clone, Debug, Default)]
pub(super) struct FairShares {
    /// The pool time that a workspace with waiting work is entitled to so far.
    virtual_time: Duration,
    /// The virtual time up to which workspaces were served that are ahead.
    served: SortedMap<WorkspaceDigest, Duration>,
}

impl FairShares {
    /// Forgets what was served, at the start of a period in which work waits.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records the pool time of a call by workspace, while `active` workspaces have waiting work.
    pub(super) fn charge(&mut self, work: &[(WorkspaceDigest, Duration)], active: usize) {
        for (workspace, time) in work {
            if *workspace != 0 {
                let virtual_time = self.virtual_time;
                let served = self.served.get_or_insert_with(*workspace, || virtual_time);
                *served += *time;
            }
        }
        let total: Duration = work.iter().map(|(_, time)| *time).sum();
        self.virtual_time += total.div_f64(active.max(1) as f64);
        let virtual_time = self.virtual_time;
        self.served.retain(|_, served| *served > virtual_time);
    }

    /// Returns the pool time by which a workspace is ahead of its fair share; zero if unknown.
    pub(super) fn lead(&self, workspace: WorkspaceDigest) -> Duration {
        let served = self.served.get(&workspace).copied().unwrap_or_default();
        served.saturating_sub(self.virtual_time)
    }
}

/// Adds up the work that is placed in the service order, to find the lead that each workspace would
/// have when a group starts.
#[derive(Clone, Debug)]
pub(super) struct PlacedWork<'a> {
    shares: &'a FairShares,
    /// The number of workspaces with waiting work.
    active: usize,
    /// The lead that orders nothing.
    slack: Duration,
    total: Duration,
    /// The lead at the beginning and the placed work of each workspace.
    placed: SortedMap<WorkspaceDigest, Duration>,
}

impl<'a> PlacedWork<'a> {
    pub(super) fn new(shares: &'a FairShares, active: usize, slack: Duration) -> Self {
        Self {
            shares,
            active: active.max(1),
            slack,
            total: Duration::ZERO,
            placed: SortedMap::new(),
        }
    }

    /// Adds the work of the next group; returns the lead of its workspace beyond the slack when it
    /// starts. It is zero for all work if one workspace alone has work.
    pub(super) fn place(&mut self, workspace: WorkspaceDigest, work: Duration) -> Duration {
        let fair_share = self.total.div_f64(self.active as f64);
        self.total += work;
        if workspace == 0 {
            return Duration::ZERO;
        }
        let shares = self.shares;
        let ahead = self
            .placed
            .get_or_insert_with(workspace, || shares.lead(workspace));
        let lead = *ahead;
        *ahead += work;
        lead.saturating_sub(fair_share + self.slack)
    }
}
