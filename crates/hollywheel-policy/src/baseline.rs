//! Usual latency of a stage over all backend servers of its pool.

use std::time::Duration;

/// Number of samples required before a latency is standardised.
const MIN_SAMPLES: u32 = 10;
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Largest deviation of a sample that counts, in standard deviations, so that a single outlier
/// moves the averages little.
const MAX_STEP_DEVIATIONS: f64 = 2.0;
/// Variance of the log latency before the first sample.
const INITIAL_VARIANCE: f64 = 0.25;
/// Lower bound on the standard deviation of the log latency.
const MIN_DEVIATION: f64 = 0.05;

/// Outlier-resistant moving mean and variance of the logarithm of latency.
#[derive(Clone, Debug, Default)]
pub struct LatencyBaseline {
    mean: f64,
    variance: f64,
    samples: u32,
}

impl LatencyBaseline {
    /// Records the latency of one answer.
    pub fn record(&mut self, latency: Duration) {
        let log_latency = log_millis(latency);
        if self.samples == 0 {
            self.mean = log_latency;
            self.variance = INITIAL_VARIANCE;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let limit = MAX_STEP_DEVIATIONS * self.deviation();
        let step = (log_latency - self.mean).clamp(-limit, limit);
        self.mean += weight * step;
        self.variance += weight * (step * step - self.variance);
    }

    /// Returns how far a latency is above the mean, in standard deviations of its logarithm, or
    /// `None` if there are too few samples.
    pub fn standardise(&self, latency: Duration) -> Option<f64> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        Some((log_millis(latency) - self.mean) / self.deviation())
    }

    fn deviation(&self) -> f64 {
        self.variance.sqrt().max(MIN_DEVIATION)
    }
}

fn log_millis(latency: Duration) -> f64 {
    (latency.as_secs_f64() * 1000.0).max(0.001).ln()
}
