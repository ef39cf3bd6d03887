//! Fair order of workspaces by share.

use hollywheel_types::{RequestClass, SortedMap, WorkspaceId};

/// Workspaces whose virtual time is remembered; further ones start at the present.
const MAX_FLOWS: usize = 8192;

/// Gives requests start tags in virtual time (start-time fair queueing), by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairClock {
    present: [f64; 4],
    flows: SortedMap<WorkspaceId, [f64; 4]>,
}

impl FairClock {
    /// Returns the start tag of a request and charges its cost to the workspace.
    pub(crate) fn tag(
        &mut self,
        class: RequestClass,
        workspace: &WorkspaceId,
        cost: f64,
        share: u32,
    ) -> f64 {
        let at = class.index();
        let present = self.present[at];
        if self.flows.len() >= MAX_FLOWS && !self.flows.contains_key(workspace) {
            self.forget_past();
            if self.flows.len() >= MAX_FLOWS {
                return present;
            }
        }
        let flow = self
            .flows
            .get_or_insert_with(workspace.clone(), Default::default);
        let start = flow[at].max(present);
        flow[at] = start + cost / f64::from(share.max(1));
        start
    }

    /// Gives back the cost of a request that did not start.
    pub(crate) fn give_back(
        &mut self,
        class: RequestClass,
        workspace: &WorkspaceId,
        cost: f64,
        share: u32,
    ) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow[class.index()] -= cost / f64::from(share.max(1));
        }
    }

    /// Moves the present to the start tag of a request that starts.
    pub(crate) fn start(&mut self, class: RequestClass, tag: f64) {
        let present = &mut self.present[class.index()];
        *present = present.max(tag);
    }

    fn forget_past(&mut self) {
        let present = self.present;
        self.flows
            .retain(|_, flow| flow.iter().zip(present).any(|(tag, now)| *tag > now));
    }
}
