//! The usual latency of a stage over all backend servers of its pool.

use std::time::Duration;

/// Samples before a latency is compared.
const MIN_SAMPLES: u32 = 10;
/// Weight of a sample.
const GAIN: f64 = 0.02;
/// The largest step in standard deviations, so that one outlier moves little.
const MAX_STEP: f64 = 2.0;
/// The variance of the log latency before there are samples.
const FIRST_VARIANCE: f64 = 0.25;
/// The smallest standard deviation of the log latency.
const MIN_DEVIATION: f64 = 0.05;

/// Follows the mean and the deviation of log latency, with little regard to outliers.
#[derive(Clone, Debug, Default)]
pub struct LatencyBaseline {
    mean: f64,
    variance: f64,
    samples: u32,
}

impl LatencyBaseline {
    /// Takes a latency.
    pub fn record(&mut self, took: Duration) {
        let log = log_millis(took);
        if self.samples == 0 {
            self.mean = log;
            self.variance = FIRST_VARIANCE;
        }
        self.samples = self.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        let limit = MAX_STEP * self.deviation();
        let step = (log - self.mean).clamp(-limit, limit);
        self.mean += gain * step;
        self.variance += gain * (step * step - self.variance);
    }

    /// Returns how far a latency lies above the usual one, in standard deviations of its
    /// logarithm; none without enough samples.
    pub fn standardise(&self, took: Duration) -> Option<f64> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        Some((log_millis(took) - self.mean) / self.deviation())
    }

    fn deviation(&self) -> f64 {
        self.variance.sqrt().max(MIN_DEVIATION)
    }
}

fn log_millis(took: Duration) -> f64 {
    (took.as_secs_f64() * 1000.0).max(0.001).ln()
}
