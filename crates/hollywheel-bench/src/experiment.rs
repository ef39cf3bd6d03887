//! Running an experiment against daemons and stand-ins that already run.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hollywheel_types::SortedMap;

use crate::check::{CheckReport, check_outcomes};
use crate::cost::stage_costs;
use crate::error::BenchError;
use crate::fetch::get_text;
use crate::ledger::{LedgerBook, read_ledger};
use crate::load::run_load;
use crate::objects::ObjectView;
use crate::record::RequestRecord;
use crate::result::RunResult;
use crate::scenario::{ExperimentPlan, PolicyPlan, ScenarioPlan};
use crate::summary::summarize;
use crate::timeline::{clear_faults, run_timeline};

/// Bounds the violations that a result lists.
const LISTED_DIFFERENCES: usize = 5;

/// Holds the results of an experiment.
#[derive(Clone, Debug, Default)]
pub struct ExperimentEnd {
    /// The results of the runs.
    pub results: Vec<RunResult>,
    /// The check of every run together, which also sees work that started late.
    pub report: CheckReport,
}

/// Holds what all runs left behind.
#[derive(Debug, Default)]
struct RunArchive {
    seqs: SortedMap<String, u64>,
    records: Vec<RequestRecord>,
    ledgers: Vec<LedgerBook>,
}

impl RunArchive {
    /// Reads what every ledger has gained since the last call.
    async fn read(&mut self, view: &ObjectView) -> Result<Vec<LedgerBook>, BenchError> {
        let mut books = Vec::new();
        for server in &view.servers {
            let after = self.seqs.get(&server.name).copied().unwrap_or(0);
            let path = format!("/standin/ledger?after={after}");
            let text = get_text(server.address, &path).await?;
            let book = read_ledger(&server.name, after, &text)?;
            self.seqs.insert(server.name.clone(), book.last_seq());
            books.push(book);
        }
        Ok(books)
    }
}

/// Runs every scenario with every policy. Within a repeat the policies follow one another
/// on the same arrivals, and each repeat begins with another policy. Every result is
/// passed on at once.
///
/// # Errors
///
/// Returns [`BenchError`] if a plan is out of range or a ledger cannot be read.
pub async fn run_experiment(
    plan: &ExperimentPlan,
    view: &ObjectView,
    mut on_result: impl FnMut(&RunResult) -> Result<(), BenchError>,
) -> Result<ExperimentEnd, BenchError> {
    plan.check(view)?;
    let mut archive = RunArchive::default();
    archive.read(view).await?;
    let mut results = Vec::new();
    for repeat in 0..plan.repeats {
        for scenario in &plan.scenarios {
            let mut policies: Vec<&PolicyPlan> = plan.policies.iter().collect();
            policies.rotate_left(repeat as usize % plan.policies.len());
            for policy in policies {
                let result = run_one(plan, view, scenario, policy, repeat, &mut archive).await?;
                on_result(&result)?;
                results.push(result);
            }
        }
    }
    let late = archive.read(view).await?;
    archive.ledgers.extend(late);
    let report = check_outcomes(view, &archive.records, &archive.ledgers);
    Ok(ExperimentEnd { results, report })
}

async fn run_one(
    plan: &ExperimentPlan,
    view: &ObjectView,
    scenario: &ScenarioPlan,
    policy: &PolicyPlan,
    repeat: u32,
    archive: &mut RunArchive,
) -> Result<RunResult, BenchError> {
    let load = plan.load_of(scenario, policy, repeat);
    let run = run_name();
    let timeline = run_timeline(scenario, view, plan.platform);
    let (records, mut failed_orders) = tokio::join!(run_load(&load, &run), timeline);
    let records = records?;
    failed_orders.extend(clear_faults(scenario, view, plan.platform).await);
    tokio::time::sleep(Duration::from_millis(plan.settle_ms)).await;
    let ledgers = archive.read(view).await?;
    let report = check_outcomes(view, &records, &ledgers);
    let listed = report.differences.iter().take(LISTED_DIFFERENCES);
    let costs = stage_costs(&ledgers);
    let summary = summarize(&load, &records);
    archive.ledgers.extend(ledgers);
    archive.records.extend(records);
    Ok(RunResult {
        scenario: scenario.name.clone(),
        policy: policy.name.clone(),
        repeat,
        seed: load.seed,
        summary,
        costs,
        violations: report.violations,
        differences: listed.map(ToString::to_string).collect(),
        failed_orders,
    })
}

/// Returns a name that no earlier run has, so that no key is used twice.
fn run_name() -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("run-{:x}", since.as_micros())
}
