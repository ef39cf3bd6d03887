//! Cost accounting: ledger of the backend time spent by stage, class and workspace.

use std::time::Duration;

use hollywheel_types::{RequestClass, SortedMap, StageId, WorkspaceId};

use crate::message::{AttemptKind, AttemptOutcome, RequestEnd};
use crate::status::{CostReport, CostSplit, StageCost, WorkspaceCost};

/// Number of workspaces that remain listed by name when the ledger is compacted.
const MAX_LISTED_WORKSPACES: usize = 128;
/// Bound on the pairs of stage and class that are listed; the time of further ones counts only for
/// their workspace.
const MAX_STAGES: usize = 4096;
/// Bound on the answers of one request whose cost is kept until the request ends; further ones
/// count as useful immediately.
const MAX_PENDING_ANSWERS: usize = 64;

/// Cost of the answered attempts of a request in progress, whose use depends on how the request
/// ends.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingCost {
    answers: Vec<AttemptCost>,
    /// Whether an attempt of the request was a hedge.
    hedged: bool,
}

/// Backend time of one attempt and what it is charged to.
#[derive(Clone, Debug)]
pub(crate) struct AttemptCost {
    pub(crate) stage: StageId,
    pub(crate) class: RequestClass,
    pub(crate) workspace: WorkspaceId,
    pub(crate) kind: AttemptKind,
    pub(crate) latency: Duration,
}

/// Sums up backend time by stage and class and by workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct CostLedger {
    stages: SortedMap<(StageId, RequestClass), CostSplit>,
    workspaces: SortedMap<WorkspaceId, CostSplit>,
    other_workspaces: CostSplit,
}

impl CostLedger {
    /// Records the cost of a finished attempt; `pending` is that of its request, if it is still in
    /// progress.
    pub(crate) fn record_attempt(
        &mut self,
        cost: AttemptCost,
        outcome: AttemptOutcome,
        pending: Option<&mut PendingCost>,
    ) {
        let is_hedge = cost.kind == AttemptKind::Hedge;
        match (outcome, pending) {
            (AttemptOutcome::Answered, Some(pending))
                if pending.answers.len() < MAX_PENDING_ANSWERS =>
            {
                pending.answers.push(cost);
            }
            (AttemptOutcome::Answered, _) => self.charge(&cost, |split| &mut split.useful),
            (AttemptOutcome::Cancelled, pending) => {
                if is_hedge || pending.is_some_and(|pending| pending.hedged) {
                    self.charge(&cost, |split| &mut split.hedged);
                } else {
                    self.charge(&cost, |split| &mut split.cancelled);
                }
            }
            (AttemptOutcome::Refused | AttemptOutcome::Failed | AttemptOutcome::TimedOut, _) => {
                self.charge(&cost, |split| &mut split.retried);
            }
        }
    }

    /// Charges the answers of a request that has ended.
    pub(crate) fn record_request_end(&mut self, pending: PendingCost, end: RequestEnd) {
        for cost in &pending.answers {
            match end {
                RequestEnd::Attained => self.charge(cost, |split| &mut split.useful),
                _ => self.charge(cost, |split| &mut split.late),
            }
        }
    }

    fn charge(&mut self, cost: &AttemptCost, field: impl Fn(&mut CostSplit) -> &mut Duration) {
        let key = (cost.stage.clone(), cost.class);
        if self.stages.len() < MAX_STAGES || self.stages.contains_key(&key) {
            *field(self.stages.get_or_insert_with(key, CostSplit::default)) += cost.latency;
        }
        let name = cost.workspace.clone();
        *field(self.workspaces.get_or_insert_with(name, CostSplit::default)) += cost.latency;
        if self.workspaces.len() > 2 * MAX_LISTED_WORKSPACES {
            self.merge_small_workspaces();
        }
    }

    /// Keeps the workspaces with the most backend time and merges the others into one entry.
    fn merge_small_workspaces(&mut self) {
        let mut totals: Vec<Duration> = self.workspaces.values().map(CostSplit::total).collect();
        totals.sort_unstable_by(|a, b| b.cmp(a));
        let limit = totals[MAX_LISTED_WORKSPACES];
        let other_workspaces = &mut self.other_workspaces;
        self.workspaces.retain(|_, split| {
            let is_listed = split.total() > limit;
            if !is_listed {
                other_workspaces.add(split);
            }
            is_listed
        });
    }

    pub(crate) fn report(&self) -> CostReport {
        let stages = self.stages.iter().map(|((stage, class), split)| StageCost {
            stage: stage.clone(),
            class: *class,
            split: *split,
        });
        let workspaces = self.workspaces.iter();
        let workspaces = workspaces.map(|(workspace, split)| WorkspaceCost {
            workspace: workspace.clone(),
            split: *split,
        });
        CostReport {
            stages: stages.collect(),
            workspaces: workspaces.collect(),
            other_workspaces: self.other_workspaces,
        }
    }
}

impl PendingCost {
    pub(crate) fn record_sent(&mut self, kind: AttemptKind) {
        self.hedged |= kind == AttemptKind::Hedge;
    }
}
