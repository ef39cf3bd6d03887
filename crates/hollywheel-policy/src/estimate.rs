//! Online estimates of stage latency.

use std::time::Duration;

use hollywheel_types::{MonoTime, RequestClass, SortedMap, StageId};

use crate::baseline::LatencyBaseline;

/// Number of samples required before an estimate is used.
const MIN_SAMPLES: u32 = 10;
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Latency quantile after which an attempt is hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// Time without samples in which the excess of an estimate over the minimum halves, so that a high
/// estimate does not reject requests forever.
const EXCESS_HALF_LIFE: Duration = Duration::from_secs(5);

/// Latency estimate of one stage and class, from sending an attempt to its complete answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyEstimate {
    mean_ms: f64,
    /// The mean absolute deviation.
    deviation_ms: f64,
    /// The estimate of the hedge quantile.
    quantile_ms: f64,
    baseline: LatencyBaseline,
    samples: u32,
    sampled_at: MonoTime,
}

impl LatencyEstimate {
    pub(crate) fn record(&mut self, now: MonoTime, latency: Duration) {
        let latency_ms = latency.as_secs_f64() * 1000.0;
        self.sampled_at = self.sampled_at.max(now);
        if self.samples == 0 {
            self.mean_ms = latency_ms;
            self.deviation_ms = latency_ms / 2.0;
            self.quantile_ms = latency_ms * 2.0;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.deviation_ms += weight * ((latency_ms - self.mean_ms).abs() - self.deviation_ms);
        self.mean_ms += weight * (latency_ms - self.mean_ms);
        self.update_quantile(latency_ms);
        self.baseline.record(latency);
    }

    fn update_quantile(&mut self, latency_ms: f64) {
        let step = SAMPLE_WEIGHT * self.deviation_ms.max(0.01);
        if latency_ms > self.quantile_ms {
            self.quantile_ms += step * HEDGE_QUANTILE;
        } else {
            self.quantile_ms -= step * (1.0 - HEDGE_QUANTILE);
        }
        self.quantile_ms = self.quantile_ms.max(self.mean_ms);
    }

    /// Returns the baseline that latencies are standardised against.
    pub(crate) const fn baseline(&self) -> &LatencyBaseline {
        &self.baseline
    }

    fn expected_ms(&self, now: MonoTime, min_ms: f64) -> f64 {
        if self.samples < MIN_SAMPLES {
            return min_ms;
        }
        let halvings = now.since(self.sampled_at).as_secs_f64() / EXCESS_HALF_LIFE.as_secs_f64();
        let excess = (self.mean_ms - min_ms).max(0.0);
        min_ms + excess * (-halvings).exp2()
    }

    fn optimistic_ms(&self, now: MonoTime, min_ms: f64) -> f64 {
        let expected = self.expected_ms(now, min_ms);
        (expected - self.deviation_ms).max(min_ms).min(expected)
    }
}

/// Latency estimates of all stages by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct EstimateTable {
    entries: SortedMap<StageId, [LatencyEstimate; 4]>,
}

impl EstimateTable {
    pub(crate) fn retain(&mut self, keep: impl Fn(&StageId) -> bool) {
        self.entries.retain(|stage, _| keep(stage));
    }

    pub(crate) fn get(&self, stage: &StageId, class: RequestClass) -> Option<&LatencyEstimate> {
        Some(&self.entries.get(stage)?[class.index()])
    }

    pub(crate) fn record(
        &mut self,
        now: MonoTime,
        stage: &StageId,
        class: RequestClass,
        latency: Duration,
    ) {
        let estimates = self
            .entries
            .get_or_insert_with(stage.clone(), Default::default);
        estimates[class.index()].record(now, latency);
    }

    /// Returns the expected latency of a stage, at least `min_ms`.
    pub(crate) fn expected(
        &self,
        now: MonoTime,
        stage: &StageId,
        class: RequestClass,
        min_ms: u64,
    ) -> Duration {
        let min_ms = min_ms as f64;
        let latency_ms = self
            .get(stage, class)
            .map_or(min_ms, |estimate| estimate.expected_ms(now, min_ms));
        Duration::from_secs_f64(latency_ms / 1000.0)
    }

    /// Returns an optimistic latency, within which a stage is unlikely to complete.
    pub(crate) fn optimistic(
        &self,
        now: MonoTime,
        stage: &StageId,
        class: RequestClass,
        min_ms: u64,
    ) -> Duration {
        let min_ms = min_ms as f64;
        let latency_ms = self
            .get(stage, class)
            .map_or(min_ms, |estimate| estimate.optimistic_ms(now, min_ms));
        Duration::from_secs_f64(latency_ms / 1000.0)
    }

    /// Returns the time after which an attempt counts as slow and may be hedged.
    pub(crate) fn hedge_after(&self, stage: &StageId, class: RequestClass) -> Option<Duration> {
        let estimate = self.get(stage, class)?;
        if estimate.samples < MIN_SAMPLES {
            return None;
        }
        Some(Duration::from_secs_f64(estimate.quantile_ms / 1000.0))
    }
}
