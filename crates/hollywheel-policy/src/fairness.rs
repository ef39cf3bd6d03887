//! Fair queueing of workspaces in proportion to their shares.

use hollywheel_types::{RequestClass, SortedMap, WorkspaceId};

/// Bound on the workspaces that are tracked; requests of further ones get the current virtual time
/// as their start tag.
const MAX_WORKSPACES: usize = 8192;

/// Assigns start tags in virtual time to requests (start-time fair queueing), separately for each
/// class.
#[derive(Clone, Debug, Default)]
pub(crate) struct VirtualClock {
    virtual_time: [f64; 4],
    /// The finish tag of the latest request of each workspace, by class.
    workspaces: SortedMap<WorkspaceId, [f64; 4]>,
}

impl VirtualClock {
    /// Returns the start tag of a request and charges its cost to the workspace.
    pub(crate) fn assign_tag(
        &mut self,
        class: RequestClass,
        workspace: &WorkspaceId,
        cost_ms: f64,
        share: u32,
    ) -> f64 {
        let index = class.index();
        let virtual_time = self.virtual_time[index];
        if self.workspaces.len() >= MAX_WORKSPACES && !self.workspaces.contains_key(workspace) {
            self.evict_idle_workspaces();
            if self.workspaces.len() >= MAX_WORKSPACES {
                return virtual_time;
            }
        }
        let finish_tags = self
            .workspaces
            .get_or_insert_with(workspace.clone(), Default::default);
        let start_tag = finish_tags[index].max(virtual_time);
        finish_tags[index] = start_tag + cost_ms / f64::from(share.max(1));
        start_tag
    }

    /// Refunds the cost of a request that did not start.
    pub(crate) fn refund(
        &mut self,
        class: RequestClass,
        workspace: &WorkspaceId,
        cost_ms: f64,
        share: u32,
    ) {
        if let Some(finish_tags) = self.workspaces.get_mut(workspace) {
            finish_tags[class.index()] -= cost_ms / f64::from(share.max(1));
        }
    }

    /// Advances virtual time to the start tag of a request that starts.
    pub(crate) fn advance(&mut self, class: RequestClass, start_tag: f64) {
        let virtual_time = &mut self.virtual_time[class.index()];
        *virtual_time = virtual_time.max(start_tag);
    }

    fn evict_idle_workspaces(&mut self) {
        let virtual_time = self.virtual_time;
        self.workspaces
            .retain(|_, tags| tags.iter().zip(virtual_time).any(|(tag, now)| *tag > now));
    }
}
