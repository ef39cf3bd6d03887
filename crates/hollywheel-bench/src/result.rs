//! Results of runs, and their means.

use std::fmt;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::cost::StageCost;
use crate::error::{BenchError, read_file};
use crate::interval::{MeanInterval, mean_interval};
use crate::record::read_lines;
use crate::summary::{LoadSummary, SummaryRow};

/// Metrics of one request class.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClassResult {
    /// The request class.
    pub class: String,
    /// The fraction of requests that meet all targets.
    pub attainment: f64,
    /// The 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
}

impl ClassResult {
    pub(crate) fn of(row: &SummaryRow) -> Self {
        Self {
            class: row.name.clone(),
            attainment: row.attainment,
            p99_ms: row.p99_ms,
        }
    }
}

/// The result of one run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RunResult {
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// The number of the repetition, starting at zero.
    pub repeat: u32,
    /// The seed of the load.
    pub seed: u64,
    /// The counts and quantiles of the load.
    pub summary: LoadSummary,
    /// The work by stage.
    pub costs: Vec<StageCost>,
    /// The number of violations that the checker found.
    pub violations: u64,
    /// The first violations.
    pub differences: Vec<String>,
    /// The fault orders that failed.
    pub failed_orders: Vec<String>,
}

impl RunResult {
    /// Returns the metrics with their names.
    fn metrics(&self) -> Vec<(String, f64)> {
        let mut metrics = vec![
            ("attainment".to_owned(), self.summary.total.attainment),
            ("goodput /s".to_owned(), self.summary.goodput),
            ("p99 ms".to_owned(), self.summary.total.p99_ms),
            ("violations".to_owned(), self.violations as f64),
        ];
        for class in self.summary.classes.iter().map(ClassResult::of) {
            metrics.push((format!("attainment {}", class.class), class.attainment));
            metrics.push((format!("p99 ms {}", class.class), class.p99_ms));
        }
        let attained = self.summary.total.attained.max(1) as f64;
        for cost in &self.costs {
            let name = format!("busy ms an attained request, {}", cost.stage);
            metrics.push((name, cost.busy_ms / attained));
        }
        metrics
    }
}

/// The mean of a metric over the repetitions of a scenario with a policy.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MetricRow {
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// The metric.
    pub metric: String,
    /// The mean and its confidence interval.
    #[serde(flatten)]
    pub interval: MeanInterval,
}

impl fmt::Display for MetricRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let MeanInterval {
            mean,
            low,
            high,
            count,
        } = self.interval;
        write!(
            f,
            "{:<22} {:<14} {:<44} {mean:>10.4} [{low:.4}, {high:.4}] n={count}",
            self.scenario, self.policy, self.metric
        )
    }
}

/// Computes the means of all metrics, in the order of the first runs.
pub fn metric_rows(results: &[RunResult]) -> Vec<MetricRow> {
    let mut rows: Vec<(MetricRow, Vec<f64>)> = Vec::new();
    for result in results {
        for (metric, value) in result.metrics() {
            let same = |row: &&mut (MetricRow, Vec<f64>)| {
                let row = &row.0;
                row.scenario == result.scenario
                    && row.policy == result.policy
                    && row.metric == metric
            };
            match rows.iter_mut().find(same) {
                Some((_, values)) => values.push(value),
                None => {
                    let row = MetricRow {
                        scenario: result.scenario.clone(),
                        policy: result.policy.clone(),
                        metric,
                        interval: MeanInterval::default(),
                    };
                    rows.push((row, vec![value]));
                }
            }
        }
    }
    let finish = |(row, values): (MetricRow, Vec<f64>)| MetricRow {
        interval: mean_interval(&values),
        ..row
    };
    rows.into_iter().map(finish).collect()
}

/// Reads the results of an experiment, one JSON object per line.
///
/// # Errors
///
/// Returns [`BenchError`] with the file and the invalid line.
pub fn read_results(path: &Path) -> Result<Vec<RunResult>, BenchError> {
    read_lines(path, &read_file(path)?)
}
