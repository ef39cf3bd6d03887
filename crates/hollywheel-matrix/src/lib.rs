//! Fault matrix and trace replay for the state machines that make decisions.

mod answer;
mod breaks;
mod cell;
mod check;
mod fixture;
mod matrix;
mod replay;
mod scene;
mod write_cost;

pub mod command;

pub use breaks::DeliberateBreak;
pub use cell::{CellError, CellFault, CellScenario, CellStep, FaultPoint, MatrixCell};
pub use check::{CheckFinding, CheckName, check_cell};
pub use matrix::{CellResult, MatrixSettings, MatrixSummary, run_break, run_cell, run_cells};
pub use replay::{ReplayError, ReplaySummary, read_trace, replay_trace, write_trace};
pub use scene::{
    FakeTable, FaultScene, LedgerEntry, LedgerEvent, ProcessEnd, SceneLog, SceneSettings, SeenPart,
    SentRequest, token_text, unary_output,
};
pub use write_cost::{CostSettings, WriteCost, measure_writes};
