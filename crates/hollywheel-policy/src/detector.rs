//! Change detectors for backend servers that become slower than the others of their pool.

/// Reference values of the charts: half of the shift that each chart detects fastest, in standard
/// deviations.
const REFERENCE_SHIFTS: [f64; 3] = [0.5, 1.0, 1.5];
/// Alarm limits of the charts at scale 1. For independent, normally distributed samples they give
/// the charts about equal false alarm rates.
const ALARM_LIMITS: [f64; 3] = [9.0, 4.6, 3.0];
/// Default scale of the alarm limits, which allows for autocorrelated latencies with a long tail.
const DEFAULT_SCALE: f64 = 2.6;
/// Cap on samples, in standard deviations, so that a few outliers raise no alarm.
const MAX_SAMPLE: f64 = 3.0;

/// Detects an upward shift of unknown size with several one-sided CUSUM charts.
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
    /// Creates charts whose alarm limits are multiplied by `scale`.
    pub const fn new(scale: f64) -> Self {
        Self {
            scale,
            sums: [0.0; 3],
        }
    }

    /// Records a standardised sample and returns whether any chart raises an alarm.
    pub fn record(&mut self, sample: f64) -> bool {
        let sample = sample.min(MAX_SAMPLE);
        let mut has_alarm = false;
        for ((sum, reference), limit) in
            self.sums.iter_mut().zip(REFERENCE_SHIFTS).zip(ALARM_LIMITS)
        {
            *sum = (*sum + sample - reference).max(0.0);
            has_alarm |= *sum > limit * self.scale;
        }
        has_alarm
    }

    /// Discards all samples.
    pub const fn reset(&mut self) {
        self.sums = [0.0; 3];
    }
}

/// Detects an upward shift with an exponentially weighted moving average.
#[derive(Clone, Debug)]
pub struct EwmaChart {
    gain: f64,
    limit: f64,
    mean: f64,
}

impl EwmaChart {
    /// Creates a chart; `gain` is the weight of a new sample, `limit` the alarm limit in standard
    /// deviations.
    pub const fn new(gain: f64, limit: f64) -> Self {
        Self {
            gain,
            limit,
            mean: 0.0,
        }
    }

    /// Records a standardised sample and returns whether the chart raises an alarm.
    pub fn record(&mut self, sample: f64) -> bool {
        self.mean += self.gain * (sample.min(MAX_SAMPLE) - self.mean);
        self.mean > self.limit
    }
}

/// Detects a run of consecutive samples above a limit.
#[derive(Clone, Debug)]
pub struct RunChart {
    limit: f64,
    length: u32,
    run_length: u32,
}

impl RunChart {
    /// Creates a chart that raises an alarm after `length` consecutive samples above `limit`, which
    /// is in standard deviations.
    pub const fn new(limit: f64, length: u32) -> Self {
        Self {
            limit,
            length,
            run_length: 0,
        }
    }

    /// Records a standardised sample and returns whether the chart raises an alarm.
    pub const fn record(&mut self, sample: f64) -> bool {
        self.run_length = if sample > self.limit {
            self.run_length + 1
        } else {
            0
        };
        self.run_length >= self.length
    }
}
