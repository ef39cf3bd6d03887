//! Runs an experiment against running daemons and stand-ins.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::check::{CheckReport, check_outcomes};
use crate::cost::stage_costs;
use crate::error::BenchError;
use crate::fetch::get_text;
use crate::ledger::{LedgerBook, read_ledger};
use crate::load::run_load;
use crate::objects::ObjectView;
use crate::record::RequestRecord;
use crate::result::RunResult;
use crate::scenario::{ExperimentPlan, PolicyTarget, ScenarioPlan};
use crate::summary::summarize;
use crate::timeline::{clear_faults, run_timeline};

/// Maximum number of violations listed in a result.
const LISTED_DIFFERENCES: usize = 5;

/// The results of an experiment.
#[derive(Clone, Debug, Default)]
pub struct ExperimentEnd {
    /// The results of the runs.
    pub results: Vec<RunResult>,
    /// The checks over all runs, which also cover work that started after its run.
    pub reports: Vec<PolicyReport>,
}

/// The check over all runs of one policy.
#[derive(Clone, Debug, Default)]
pub struct PolicyReport {
    /// The policy.
    pub policy: String,
    /// The check.
    pub report: CheckReport,
}

/// The ledger of one stand-in over all runs.
#[derive(Debug)]
struct ServerArchive {
    address: SocketAddr,
    books: Vec<LedgerBook>,
}

/// The ledgers of all stand-ins. Policies may share stand-ins.
#[derive(Debug, Default)]
struct LedgerArchive {
    servers: Vec<ServerArchive>,
}

impl LedgerArchive {
    fn server(&mut self, address: SocketAddr) -> &mut ServerArchive {
        let found = self.servers.iter().position(|one| one.address == address);
        let at = found.unwrap_or(self.servers.len());
        if found.is_none() {
            let books = Vec::new();
            self.servers.push(ServerArchive { address, books });
        }
        &mut self.servers[at]
    }

    /// Reads the entries that were added to the ledgers of a policy since the last call.
    async fn read(&mut self, view: &ObjectView) -> Result<Vec<LedgerBook>, BenchError> {
        let mut gained = Vec::new();
        for server in &view.servers {
            let archive = self.server(server.address);
            let after = archive.books.last().map_or(0, LedgerBook::last_seq);
            let path = format!("/standin/ledger?after={after}");
            let text = get_text(server.address, &path).await?;
            let book = read_ledger(&server.name, after, &text)?;
            archive.books.push(book.clone());
            gained.push(book);
        }
        Ok(gained)
    }

    /// Returns the complete ledgers of a policy.
    fn books(&self, view: &ObjectView) -> Vec<LedgerBook> {
        let used = |one: &&ServerArchive| {
            let mut servers = view.servers.iter();
            servers.any(|server| server.address == one.address)
        };
        let servers = self.servers.iter().filter(used);
        servers.flat_map(|one| one.books.clone()).collect()
    }
}

/// Runs every scenario with every policy. Within a repetition the policies run one after another
/// with the same arrivals, and each repetition begins with another policy. Each result is passed to
/// the caller when its run has ended.
///
/// # Errors
///
/// Returns [`BenchError`] if a plan is out of range or a ledger cannot be read.
pub async fn run_experiment(
    plan: &ExperimentPlan,
    targets: &[PolicyTarget],
    mut on_result: impl FnMut(&RunResult) -> Result<(), BenchError>,
) -> Result<ExperimentEnd, BenchError> {
    plan.check(targets)?;
    let mut ledgers = LedgerArchive::default();
    for target in targets {
        ledgers.read(&target.view).await?;
    }
    let mut results = Vec::new();
    let mut records: Vec<Vec<RequestRecord>> = vec![Vec::new(); targets.len()];
    for repeat in 0..plan.repeats {
        for scenario in &plan.scenarios {
            for offset in 0..targets.len() {
                let at = (offset + repeat as usize) % targets.len();
                let run = run_one(plan, &targets[at], scenario, repeat, &mut ledgers).await?;
                on_result(&run.result)?;
                results.push(run.result);
                records[at].extend(run.records);
            }
        }
    }
    let mut reports = Vec::new();
    for (target, records) in targets.iter().zip(&records) {
        ledgers.read(&target.view).await?;
        let report = check_outcomes(&target.view, records, &ledgers.books(&target.view));
        reports.push(PolicyReport {
            policy: target.name.clone(),
            report,
        });
    }
    Ok(ExperimentEnd { results, reports })
}

/// One run of a scenario with a policy.
struct RunEnd {
    result: RunResult,
    records: Vec<RequestRecord>,
}

async fn run_one(
    plan: &ExperimentPlan,
    target: &PolicyTarget,
    scenario: &ScenarioPlan,
    repeat: u32,
    archive: &mut LedgerArchive,
) -> Result<RunEnd, BenchError> {
    let load = plan.load_of(scenario, target, repeat);
    let run = run_name();
    let timeline = run_timeline(scenario, target);
    let (records, mut failed_orders) = tokio::join!(run_load(&load, &run), timeline);
    let records = records?;
    failed_orders.extend(clear_faults(scenario, target).await);
    tokio::time::sleep(Duration::from_millis(plan.settle_ms)).await;
    let ledgers = archive.read(&target.view).await?;
    let report = check_outcomes(&target.view, &records, &ledgers);
    let listed = report.differences.iter().take(LISTED_DIFFERENCES);
    let result = RunResult {
        scenario: scenario.name.clone(),
        policy: target.name.clone(),
        repeat,
        seed: load.seed,
        summary: summarize(&load, &records),
        costs: stage_costs(&ledgers),
        violations: report.violations,
        differences: listed.map(ToString::to_string).collect(),
        failed_orders,
    };
    Ok(RunEnd { result, records })
}

/// Returns a name that differs from those of earlier runs, so that no key is used twice.
fn run_name() -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("run-{:x}", since.as_micros())
}
