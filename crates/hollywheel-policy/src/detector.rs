//! Detectors of backend servers that became slower than their peers.

/// The reference values of the charts: half of the shift that each finds fastest, in
/// standard deviations.
const REFERENCES: [f64; 3] = [0.5, 1.0, 1.5];
/// The alarm limits of the charts at scale 1, of about equal false alarm rates for
/// independent normal samples.
const LIMITS: [f64; 3] = [9.0, 4.6, 3.0];
/// The scale that allows for autocorrelated latencies with a long tail.
const DEFAULT_SCALE: f64 = 2.6;
/// The largest sample, in standard deviations, so that a few outliers raise no alarm.
const MAX_SAMPLE: f64 = 3.0;

/// Watches for an upward shift of unknown size with several one-sided CUSUM charts.
#[derive(Clone, Debug)]
pub struct CusumCharts {
    scale: f64,
    sums: [f64; 3],
}

impl Default for CusumCharts {
    fn default() -> Self {
        Self::new(DEFAULT_SCALE)
    }
}

impl CusumCharts {
    /// Creates charts whose alarm limits are multiplied by a scale.
    pub const fn new(scale: f64) -> Self {
        Self {
            scale,
            sums: [0.0; 3],
        }
    }

    /// Takes a standardised sample and says whether a chart raises an alarm.
    pub fn record(&mut self, sample: f64) -> bool {
        let sample = sample.min(MAX_SAMPLE);
        let mut alarm = false;
        for ((sum, reference), limit) in self.sums.iter_mut().zip(REFERENCES).zip(LIMITS) {
            *sum = (*sum + sample - reference).max(0.0);
            alarm |= *sum > limit * self.scale;
        }
        alarm
    }

    /// Forgets every sample.
    pub const fn reset(&mut self) {
        self.sums = [0.0; 3];
    }
}

/// Watches for an upward shift with an exponentially weighted moving average.
#[derive(Clone, Debug)]
pub struct EwmaChart {
    gain: f64,
    limit: f64,
    mean: f64,
}

impl EwmaChart {
    /// Creates a chart with the weight of a sample and the alarm limit in standard deviations.
    pub const fn new(gain: f64, limit: f64) -> Self {
        Self {
            gain,
            limit,
            mean: 0.0,
        }
    }

    /// Takes a standardised sample and says whether the chart raises an alarm.
    pub fn record(&mut self, sample: f64) -> bool {
        self.mean += self.gain * (sample.min(MAX_SAMPLE) - self.mean);
        self.mean > self.limit
    }
}

/// Watches for consecutive samples above a limit.
#[derive(Clone, Debug)]
pub struct RunChart {
    limit: f64,
    length: u32,
    run: u32,
}

impl RunChart {
    /// Creates a chart with the limit of a sample and the length of a run that raises an alarm.
    pub const fn new(limit: f64, length: u32) -> Self {
        Self {
            limit,
            length,
            run: 0,
        }
    }

    /// Takes a standardised sample and says whether the chart raises an alarm.
    pub const fn record(&mut self, sample: f64) -> bool {
        self.run = if sample > self.limit { self.run + 1 } else { 0 };
        self.run >= self.length
    }
}
