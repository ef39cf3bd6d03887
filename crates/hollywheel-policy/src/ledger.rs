//! The ledger of backend time.

use std::time::Duration;

use hollywheel_types::{RequestClass, SortedMap, StageId, WorkspaceId};

use crate::message::{AttemptKind, AttemptOutcome, RequestEnd};
use crate::status::{CostReport, CostSplit, StageCost, WorkspaceCost};

/// Workspaces that are listed by name.
const LISTED_WORKSPACES: usize = 128;
/// Stages by class that are listed; the time of further ones is in no list.
const MAX_STAGES: usize = 4096;
/// Answers of one request that wait for its end; further ones count as useful at once.
const MAX_ANSWERS: usize = 64;

/// Holds the answers of a request whose end is not known yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingCost {
    answers: Vec<AttemptCost>,
    hedged: bool,
}

/// Holds the backend time of one attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptCost {
    pub(crate) stage: StageId,
    pub(crate) class: RequestClass,
    pub(crate) workspace: WorkspaceId,
    pub(crate) kind: AttemptKind,
    pub(crate) took: Duration,
}

/// Adds up backend time by stage, class and workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct CostLedger {
    stages: SortedMap<(StageId, RequestClass), CostSplit>,
    workspaces: SortedMap<WorkspaceId, CostSplit>,
    others: CostSplit,
}

impl CostLedger {
    /// Takes the end of an attempt; `pending` belongs to its request if that goes on.
    pub(crate) fn finish(
        &mut self,
        cost: AttemptCost,
        outcome: AttemptOutcome,
        pending: Option<&mut PendingCost>,
    ) {
        let hedge = cost.kind == AttemptKind::Hedge;
        match (outcome, pending) {
            (AttemptOutcome::Answered, Some(pending)) if pending.answers.len() < MAX_ANSWERS => {
                pending.answers.push(cost);
            }
            (AttemptOutcome::Answered, _) => self.book(&cost, |split| &mut split.useful),
            (AttemptOutcome::Cancelled, pending) => {
                if hedge || pending.is_some_and(|pending| pending.hedged) {
                    self.book(&cost, |split| &mut split.hedged);
                } else {
                    self.book(&cost, |split| &mut split.cancelled);
                }
            }
            (AttemptOutcome::Refused | AttemptOutcome::Failed | AttemptOutcome::TimedOut, _) => {
                self.book(&cost, |split| &mut split.retried);
            }
        }
    }

    /// Takes the end of a request.
    pub(crate) fn settle(&mut self, pending: PendingCost, end: RequestEnd) {
        for cost in &pending.answers {
            match end {
                RequestEnd::Attained => self.book(cost, |split| &mut split.useful),
                _ => self.book(cost, |split| &mut split.late),
            }
        }
    }

    fn book(&mut self, cost: &AttemptCost, field: impl Fn(&mut CostSplit) -> &mut Duration) {
        let key = (cost.stage.clone(), cost.class);
        if self.stages.len() < MAX_STAGES || self.stages.contains_key(&key) {
            *field(self.stages.get_or_insert_with(key, CostSplit::default)) += cost.took;
        }
        let name = cost.workspace.clone();
        *field(self.workspaces.get_or_insert_with(name, CostSplit::default)) += cost.took;
        if self.workspaces.len() > 2 * LISTED_WORKSPACES {
            self.fold_workspaces();
        }
    }

    /// Keeps the busiest workspaces and folds the rest into one entry.
    fn fold_workspaces(&mut self) {
        let mut totals: Vec<Duration> = self.workspaces.values().map(CostSplit::total).collect();
        totals.sort_unstable_by(|a, b| b.cmp(a));
        let limit = totals[LISTED_WORKSPACES];
        let others = &mut self.others;
        self.workspaces.retain(|_, split| {
            let listed = split.total() > limit;
            if !listed {
                others.add(split);
            }
            listed
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
            other_workspaces: self.others,
        }
    }
}

impl PendingCost {
    pub(crate) fn note_sent(&mut self, kind: AttemptKind) {
        self.hedged |= kind == AttemptKind::Hedge;
    }
}
