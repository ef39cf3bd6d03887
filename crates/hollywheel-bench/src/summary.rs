//! Summary of a load: counts and quantiles.

use std::fmt;

use hdrhistogram::Histogram;
use hollywheel_types::SortedMap;
use serde::{Deserialize, Serialize};

use crate::plan::{LoadPlan, PipelinePlan};
use crate::record::RequestRecord;

const MAX_LATENCY_US: u64 = 3_600_000_000;
const DIGITS: u8 = 3;

/// Summary of the requests of one pipeline, one class or the whole load. Latencies are those of
/// complete answers, in milliseconds since the intended time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SummaryRow {
    /// The pipeline or class.
    pub name: String,
    /// The number of requests.
    pub requests: u64,
    /// The number of requests with a complete answer.
    pub complete: u64,
    /// The number of requests with a complete answer that meets all targets.
    pub attained: u64,
    /// The ratio of `attained` to `requests`.
    pub attainment: f64,
    /// The number of requests whose last verdict is that they have not run.
    pub not_run: u64,
    /// The number of requests whose last verdict is that they may have run.
    pub may_have_run: u64,
    /// The number of requests without a verdict.
    pub unanswered: u64,
    /// The number of requests that reached no host.
    pub not_sent: u64,
    /// The median latency.
    pub p50_ms: f64,
    /// The 90th percentile of the latency.
    pub p90_ms: f64,
    /// The 99th percentile of the latency.
    pub p99_ms: f64,
    /// The longest latency.
    pub max_ms: f64,
    /// The 99th percentile of the time to the first token.
    pub first_token_p99_ms: f64,
    /// The 99th percentile of the longest time between two tokens.
    pub token_gap_p99_ms: f64,
}

/// Summary of a load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadSummary {
    /// The whole load.
    pub total: SummaryRow,
    /// The classes.
    pub classes: Vec<SummaryRow>,
    /// The pipelines.
    pub pipelines: Vec<SummaryRow>,
    /// The number of complete answers that meet all targets, per second of the load.
    pub goodput: f64,
    /// The 99th percentile of the delay with which requests were sent, in milliseconds.
    pub send_delay_p99_ms: f64,
}

struct RowBuilder {
    row: SummaryRow,
    latency: Histogram<u64>,
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
}

impl RowBuilder {
    fn new(name: &str) -> Self {
        let row = SummaryRow {
            name: name.to_owned(),
            ..SummaryRow::default()
        };
        Self {
            row,
            latency: histogram(),
            first_token: histogram(),
            token_gap: histogram(),
        }
    }

    fn add(&mut self, last: &RequestRecord, attained: bool) {
        let row = &mut self.row;
        row.requests += 1;
        row.attained += u64::from(attained);
        match last.verdict.as_str() {
            _ if last.complete => row.complete += 1,
            "not-run" => row.not_run += 1,
            "may-have-run" | "ran" => row.may_have_run += 1,
            "not-sent" => row.not_sent += 1,
            _ => row.unanswered += 1,
        }
        if !last.complete {
            return;
        }
        self.latency.saturating_record(last.latency_us);
        if let Some(first) = last.first_token_us {
            self.first_token.saturating_record(first);
        }
        if let Some(gap) = last.longest_gap_us {
            self.token_gap.saturating_record(gap);
        }
    }

    fn finish(self) -> SummaryRow {
        let share = self.row.attained as f64 / (self.row.requests.max(1)) as f64;
        SummaryRow {
            attainment: share,
            p50_ms: quantile_ms(&self.latency, 0.5),
            p90_ms: quantile_ms(&self.latency, 0.9),
            p99_ms: quantile_ms(&self.latency, 0.99),
            max_ms: self.latency.max() as f64 / 1000.0,
            first_token_p99_ms: quantile_ms(&self.first_token, 0.99),
            token_gap_p99_ms: quantile_ms(&self.token_gap, 0.99),
            ..self.row
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS).expect("the bounds are valid")
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    if histogram.is_empty() {
        return 0.0;
    }
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// Returns whether a complete answer meets all targets of its pipeline.
fn attains(record: &RequestRecord, pipeline: &PipelinePlan) -> bool {
    let within = |given: Option<u64>, limit_ms: Option<u64>| match (given, limit_ms) {
        (Some(given), Some(limit)) => given <= limit * 1000,
        _ => true,
    };
    record.complete
        && record.latency_us <= pipeline.deadline_ms * 1000
        && within(record.first_token_us, pipeline.first_token_ms)
        && within(record.longest_gap_us, pipeline.token_gap_ms)
}

/// Summarizes the records of a load, sorted by number and attempt. Only the last attempt of a
/// request counts, with its latency since the intended time of the request.
///
/// # Panics
///
/// Never panics: the bounds of the histograms are valid.
pub fn summarize(plan: &LoadPlan, records: &[RequestRecord]) -> LoadSummary {
    let mut total = RowBuilder::new("total");
    let mut classes: SortedMap<String, RowBuilder> = SortedMap::new();
    let mut pipelines: SortedMap<String, RowBuilder> = SortedMap::new();
    let mut delays = histogram();
    for attempts in records.chunk_by(|one, other| one.number == other.number) {
        let (first, last) = (&attempts[0], &attempts[attempts.len() - 1]);
        let object = plan.pipelines.iter().find(|p| p.name == last.pipeline);
        let attained = object.is_some_and(|pipeline| attains(last, pipeline));
        total.add(last, attained);
        let class = last.class.clone();
        classes
            .get_or_insert_with(class, || RowBuilder::new(&last.class))
            .add(last, attained);
        let pipeline = last.pipeline.clone();
        pipelines
            .get_or_insert_with(pipeline, || RowBuilder::new(&last.pipeline))
            .add(last, attained);
        delays.saturating_record(first.sent_us.saturating_sub(first.intended_us));
    }
    let total = total.finish();
    LoadSummary {
        goodput: total.attained as f64 / plan.seconds,
        total,
        classes: finish_rows(classes),
        pipelines: finish_rows(pipelines),
        send_delay_p99_ms: quantile_ms(&delays, 0.99),
    }
}

fn finish_rows(mut rows: SortedMap<String, RowBuilder>) -> Vec<SummaryRow> {
    let rows = rows
        .values_mut()
        .map(|row| std::mem::replace(row, RowBuilder::new("")));
    rows.map(RowBuilder::finish).collect()
}

impl fmt::Display for SummaryRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<24} {:>7} {:>8.4} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9.1} {:>9.1} {:>9.1} {:>9.1}",
            self.name,
            self.requests,
            self.attainment,
            self.complete,
            self.not_run,
            self.may_have_run,
            self.unanswered,
            self.not_sent,
            self.p50_ms,
            self.p99_ms,
            self.max_ms,
            self.first_token_p99_ms,
        )
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<24} {:>7} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9} {:>9} {:>9} {:>9}",
            "",
            "sent",
            "attained",
            "whole",
            "not-run",
            "may-run",
            "silent",
            "unsent",
            "p50 ms",
            "p99 ms",
            "max ms",
            "first p99",
        )?;
        for row in self.pipelines.iter().chain(&self.classes) {
            writeln!(f, "{row}")?;
        }
        writeln!(f, "{}", self.total)?;
        write!(
            f,
            "goodput {:.2}/s, send delay p99 {:.1} ms",
            self.goodput, self.send_delay_p99_ms
        )
    }
}
