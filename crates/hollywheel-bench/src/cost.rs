//! Cost by stage, computed from the ledgers.

use hollywheel_types::SortedMap;
use serde::{Deserialize, Serialize};

use crate::ledger::{LedgerBook, LedgerLine};

/// The work of one stage.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StageCost {
    /// The stage.
    pub stage: String,
    /// The number of attempts that started.
    pub starts: u64,
    /// The number of attempts that finished.
    pub finishes: u64,
    /// The total time from start to end of all attempts, in milliseconds.
    pub busy_ms: f64,
}

/// Computes the work of all stages, sorted by name.
pub fn stage_costs(ledgers: &[LedgerBook]) -> Vec<StageCost> {
    let mut costs: SortedMap<String, StageCost> = SortedMap::new();
    for ledger in ledgers {
        add_ledger(&mut costs, &ledger.lines);
    }
    costs.values().cloned().collect()
}

fn add_ledger(costs: &mut SortedMap<String, StageCost>, lines: &[LedgerLine]) {
    let mut open: SortedMap<&str, u64> = SortedMap::new();
    for line in lines {
        let known = matches!(line.event.as_str(), "started" | "finished" | "cancelled");
        if !known {
            continue;
        }
        let cost = costs.get_or_insert_with(line.stage.clone(), || StageCost {
            stage: line.stage.clone(),
            ..StageCost::default()
        });
        if line.event == "started" {
            cost.starts += 1;
            open.insert(&line.attempt, line.at_us);
            continue;
        }
        // Work that is cancelled in the queue has an end and no start.
        let Some(started) = open.remove(line.attempt.as_str()) else {
            continue;
        };
        cost.finishes += u64::from(line.event == "finished");
        cost.busy_ms += line.at_us.saturating_sub(started) as f64 / 1000.0;
    }
}
