//! Load generator, outcome checker and experiments.
//!
//! No code is shared with the serving crates: the checker computes the expected answers itself and
//! reads from the ledgers of the stand-ins what was executed.

mod arrival;
mod caller;
mod check;
mod cost;
mod error;
mod event_text;
mod expect;
mod experiment;
mod fetch;
mod interval;
mod ledger;
mod load;
mod objects;
mod plan;
mod plot;
mod record;
mod result;
mod scenario;
mod summary;
mod timeline;

pub use arrival::{PlannedRequest, arrivals};
pub use check::{CheckReport, CheckRule, Difference, check_outcomes};
pub use cost::{StageCost, stage_costs};
pub use error::BenchError;
pub use event_text::{EventReader, ServerEvent};
pub use expect::{ExpectedAnswer, expected_answer};
pub use experiment::{ExperimentEnd, PolicyReport, run_experiment};
pub use fetch::{HttpReply, get_text, post_json};
pub use interval::{MeanInterval, mean_interval};
pub use ledger::{LedgerBook, LedgerLine, read_ledger};
pub use load::run_load;
pub use objects::{ObjectView, PipelineView, ServerView, StageView, read_objects};
pub use plan::{BurstPlan, KeySource, LoadPlan, PipelinePlan, WorkspacePlan, read_plan};
pub use plot::draw_results;
pub use record::{RequestRecord, read_records, write_records};
pub use result::{ClassResult, MetricRow, RunResult, metric_rows, read_results};
pub use scenario::{
    ExperimentPlan, FaultPlan, PolicyPlan, PolicyTarget, ScenarioPlan, read_experiment,
};
pub use summary::{LoadSummary, SummaryRow, summarize};
