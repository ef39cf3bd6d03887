//! Online estimates of the time that stages take.

use std::time::Duration;

use hollywheel_types::{MonoTime, RequestClass, SortedMap, StageId};

use crate::baseline::LatencyBaseline;

/// Samples before an estimate is used.
const MIN_SAMPLES: u32 = 10;
/// Weight of a sample in the average.
const GAIN: f64 = 0.05;
/// The quantile after which a hedge makes sense.
const HEDGE_QUANTILE: f64 = 0.95;
/// Without samples an estimate loses half of its excess in this time, so that work is tried again.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Estimates the time from sending an attempt to its complete answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimeEstimate {
    mean: f64,
    deviation: f64,
    quantile: f64,
    baseline: LatencyBaseline,
    samples: u32,
    sampled_at: MonoTime,
}

impl TimeEstimate {
    pub(crate) fn record(&mut self, now: MonoTime, took: Duration) {
        let millis = took.as_secs_f64() * 1000.0;
        self.sampled_at = self.sampled_at.max(now);
        if self.samples == 0 {
            self.mean = millis;
            self.deviation = millis / 2.0;
            self.quantile = millis * 2.0;
        }
        self.samples = self.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.deviation += gain * ((millis - self.mean).abs() - self.deviation);
        self.mean += gain * (millis - self.mean);
        self.move_quantile(millis);
        self.baseline.record(took);
    }

    fn move_quantile(&mut self, millis: f64) {
        let step = GAIN * self.deviation.max(0.01);
        if millis > self.quantile {
            self.quantile += step * HEDGE_QUANTILE;
        } else {
            self.quantile -= step * (1.0 - HEDGE_QUANTILE);
        }
        self.quantile = self.quantile.max(self.mean);
    }

    /// Returns the usual latency and its spread.
    pub(crate) const fn baseline(&self) -> &LatencyBaseline {
        &self.baseline
    }

    fn expected_ms(&self, now: MonoTime, min_ms: f64) -> f64 {
        if self.samples < MIN_SAMPLES {
            return min_ms;
        }
        let halvings = now.since(self.sampled_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let excess = (self.mean - min_ms).max(0.0);
        min_ms + excess * (-halvings).exp2()
    }

    fn least_ms(&self, now: MonoTime, min_ms: f64) -> f64 {
        let expected = self.expected_ms(now, min_ms);
        (expected - self.deviation).max(min_ms).min(expected)
    }
}

/// Holds the estimates of every stage by class.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimeTable {
    entries: SortedMap<StageId, [TimeEstimate; 4]>,
}

impl TimeTable {
    pub(crate) fn retain(&mut self, test: impl Fn(&StageId) -> bool) {
        self.entries.retain(|stage, _| test(stage));
    }

    pub(crate) fn get(&self, stage: &StageId, class: RequestClass) -> Option<&TimeEstimate> {
        Some(&self.entries.get(stage)?[class.index()])
    }

    pub(crate) fn record(
        &mut self,
        now: MonoTime,
        stage: &StageId,
        class: RequestClass,
        took: Duration,
    ) {
        let estimates = self
            .entries
            .get_or_insert_with(stage.clone(), Default::default);
        estimates[class.index()].record(now, took);
    }

    /// Returns the mean time of a stage.
    pub(crate) fn expected(
        &self,
        now: MonoTime,
        stage: &StageId,
        class: RequestClass,
        min_ms: u64,
    ) -> Duration {
        let min_ms = min_ms as f64;
        let millis = self
            .get(stage, class)
            .map_or(min_ms, |estimate| estimate.expected_ms(now, min_ms));
        Duration::from_secs_f64(millis / 1000.0)
    }

    /// Returns the time below which a stage has little chance to be complete.
    pub(crate) fn least(
        &self,
        now: MonoTime,
        stage: &StageId,
        class: RequestClass,
        min_ms: u64,
    ) -> Duration {
        let min_ms = min_ms as f64;
        let millis = self
            .get(stage, class)
            .map_or(min_ms, |estimate| estimate.least_ms(now, min_ms));
        Duration::from_secs_f64(millis / 1000.0)
    }

    /// Returns the time after which an attempt counts as slow.
    pub(crate) fn hedge_after(&self, stage: &StageId, class: RequestClass) -> Option<Duration> {
        let estimate = self.get(stage, class)?;
        if estimate.samples < MIN_SAMPLES {
            return None;
        }
        Some(Duration::from_secs_f64(estimate.quantile / 1000.0))
    }
}
