//! Runs of the cells of the matrix.

use std::thread;

use hollywheel_types::SortedMap;

use crate::breaks::DeliberateBreak;
use crate::cell::{CellScenario, MatrixCell};
use crate::check::{CheckFinding, CheckName, check_cell};
use crate::scene::{FaultScene, SceneSettings};

/// Settings of a run of the matrix.
#[derive(Clone, Debug)]
pub struct MatrixSettings {
    /// The settings of each cell.
    pub scene: SceneSettings,
    /// The number of threads.
    pub threads: usize,
}

impl Default for MatrixSettings {
    fn default() -> Self {
        Self {
            scene: SceneSettings::default(),
            threads: 4,
        }
    }
}

/// The result of a cell.
#[derive(Clone, Debug)]
pub struct CellResult {
    /// The cell.
    pub cell: MatrixCell,
    /// Whether all faults of the cell were injected.
    pub reached: bool,
    /// The failures that the checks found.
    pub findings: Vec<CheckFinding>,
}

/// Runs one cell and all checks.
pub fn run_cell(cell: &MatrixCell, settings: &SceneSettings) -> CellResult {
    let log = FaultScene::new(cell, settings.clone()).run();
    CellResult {
        cell: cell.clone(),
        reached: log.reached == cell.points.len(),
        findings: check_cell(cell, &log),
    }
}

/// Summary of a run of the matrix.
#[derive(Clone, Debug, Default)]
pub struct MatrixSummary {
    /// The number of cells.
    pub run: usize,
    /// The number of cells in which all faults were injected.
    pub reached: usize,
    /// The number of cells by scenario.
    pub by_scenario: SortedMap<CellScenario, usize>,
    /// The number of cells with a failed check, by check.
    pub by_check: SortedMap<CheckName, usize>,
    /// The results of the failed cells.
    pub failing: Vec<CellResult>,
}

impl MatrixSummary {
    fn add(&mut self, result: CellResult) {
        self.run += 1;
        self.reached += usize::from(result.reached);
        *self
            .by_scenario
            .get_or_insert_with(result.cell.scenario, || 0) += 1;
        let mut failed: Vec<CheckName> = result.findings.iter().map(|one| one.check).collect();
        failed.sort();
        failed.dedup();
        for check in failed {
            *self.by_check.get_or_insert_with(check, || 0) += 1;
        }
        if !result.findings.is_empty() {
            self.failing.push(result);
        }
    }

    fn join(&mut self, other: Self) {
        self.run += other.run;
        self.reached += other.reached;
        for (scenario, cells) in other.by_scenario.iter() {
            *self.by_scenario.get_or_insert_with(*scenario, || 0) += cells;
        }
        for (check, cells) in other.by_check.iter() {
            *self.by_check.get_or_insert_with(*check, || 0) += cells;
        }
        self.failing.extend(other.failing);
    }
}

/// Runs cells on several threads; the summary does not depend on their number.
pub fn run_cells(cells: &[MatrixCell], settings: &MatrixSettings) -> MatrixSummary {
    let share = cells.len().div_ceil(settings.threads.max(1)).max(1);
    let mut summary = MatrixSummary::default();
    thread::scope(|scope| {
        let workers: Vec<_> = cells
            .chunks(share)
            .map(|chunk| scope.spawn(|| run_chunk(chunk, &settings.scene)))
            .collect();
        for worker in workers {
            if let Ok(part) = worker.join() {
                summary.join(part);
            }
        }
    });
    summary
}

fn run_chunk(cells: &[MatrixCell], settings: &SceneSettings) -> MatrixSummary {
    let mut summary = MatrixSummary::default();
    for cell in cells {
        summary.add(run_cell(cell, settings));
    }
    summary
}

/// Returns the checks that found a deliberate fault, with the number of cells.
pub fn run_break(
    cells: &[MatrixCell],
    broken: DeliberateBreak,
    settings: &MatrixSettings,
) -> MatrixSummary {
    let settings = MatrixSettings {
        scene: SceneSettings {
            broken: Some(broken),
            ..settings.scene.clone()
        },
        ..settings.clone()
    };
    run_cells(cells, &settings)
}
