//! Compares detectors of slow servers at equal false-alarm rates.
//!
//! `cargo run --release -p hollywheel-policy --example detector_compare`

use std::time::Duration;

use hollywheel_policy::{CusumCharts, EwmaChart, LatencyBaseline, RunChart};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SERVERS: usize = 20;
/// Standard deviation of the logarithm of latency.
const SIGMA: f64 = 0.5;
/// One in this number of latencies is an outlier, ten times as long.
const OUTLIER_INTERVAL: f64 = 100.0;
/// Requests per server before samples are used.
const WARM_UP: usize = 200;
/// False alarms per 100,000 requests that the detectors are calibrated to.
const FALSE_ALARMS: f64 = 2.0;
/// Factors on the latency of the slow server.
const SLOWDOWNS: [f64; 6] = [1.2, 1.5, 2.0, 3.0, 5.0, 10.0];
const TRIALS: u64 = 100;
/// Requests to the slow server after which a trial ends without an alarm.
const MAX_REQUESTS: usize = 2000;

#[derive(Clone, Copy, Debug)]
enum DetectorKind {
    Cusum,
    Ewma,
    Run,
}

#[derive(Clone)]
enum Detector {
    Cusum(CusumCharts),
    Ewma(EwmaChart),
    Run(RunChart),
}

impl Detector {
    fn new(kind: DetectorKind, scale: f64) -> Self {
        match kind {
            DetectorKind::Cusum => Self::Cusum(CusumCharts::new(scale)),
            DetectorKind::Ewma => Self::Ewma(EwmaChart::new(0.1, scale)),
            DetectorKind::Run => Self::Run(RunChart::new(scale, 5)),
        }
    }

    fn record(&mut self, sample: f64) -> bool {
        match self {
            Self::Cusum(charts) => charts.record(sample),
            Self::Ewma(chart) => chart.record(sample),
            Self::Run(chart) => chart.record(sample),
        }
    }
}

/// Generates standardised latencies of a pool: lognormal, autocorrelated per server, with outliers.
struct LatencySource {
    rng: StdRng,
    autocorrelation: f64,
    log_deviations: [f64; SERVERS],
    baseline: LatencyBaseline,
}

impl LatencySource {
    fn new(seed: u64, autocorrelation: f64) -> Self {
        let mut source = Self {
            rng: StdRng::seed_from_u64(seed),
            autocorrelation,
            log_deviations: [0.0; SERVERS],
            baseline: LatencyBaseline::default(),
        };
        (0..WARM_UP * SERVERS).for_each(|index| {
            source.sample(index % SERVERS, 1.0);
        });
        source
    }

    fn sample(&mut self, server: usize, slowdown: f64) -> f64 {
        let uniform_sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        let step = (1.0 - self.autocorrelation * self.autocorrelation).sqrt() * (uniform_sum - 6.0);
        self.log_deviations[server] = self.autocorrelation * self.log_deviations[server] + step;
        let outlier = self.rng.random::<f64>() * OUTLIER_INTERVAL < 1.0;
        let factor = if outlier { 10.0 } else { 1.0 };
        let seconds = 0.1 * factor * slowdown * (SIGMA * self.log_deviations[server]).exp();
        let latency = Duration::from_secs_f64(seconds);
        let sample = self.baseline.standardise(latency).unwrap_or(0.0);
        self.baseline.record(latency);
        sample
    }
}

/// Returns the false alarms per 100,000 requests.
fn false_alarms(kind: DetectorKind, scale: f64, autocorrelation: f64, seed: u64) -> f64 {
    let requests = 400_000;
    let mut source = LatencySource::new(seed, autocorrelation);
    let mut detectors = vec![Detector::new(kind, scale); SERVERS];
    let mut alarms = 0;
    for index in 0..requests {
        let server = index % SERVERS;
        if detectors[server].record(source.sample(server, 1.0)) {
            detectors[server] = Detector::new(kind, scale);
            alarms += 1;
        }
    }
    f64::from(alarms) * 100_000.0 / requests as f64
}

/// Returns the smallest scale at which the false alarms stay within the allowed rate.
fn calibrate(kind: DetectorKind, autocorrelation: f64) -> f64 {
    let (mut lower, mut upper) = (0.1, 8.0);
    for _ in 0..12 {
        let midpoint = (lower + upper) / 2.0;
        if false_alarms(kind, midpoint, autocorrelation, 1) > FALSE_ALARMS {
            lower = midpoint;
        } else {
            upper = midpoint;
        }
    }
    upper
}

/// Returns the number of requests to the slow server until the alarm: mean and 95th percentile.
fn detection_delay(
    kind: DetectorKind,
    scale: f64,
    autocorrelation: f64,
    slowdown: f64,
) -> (f64, usize) {
    let trial = |seed| {
        let mut source = LatencySource::new(1000 + seed, autocorrelation);
        let mut detector = Detector::new(kind, scale);
        for request_count in 1..MAX_REQUESTS {
            (1..SERVERS).for_each(|server| {
                source.sample(server, 1.0);
            });
            if detector.record(source.sample(0, slowdown)) {
                return request_count;
            }
        }
        MAX_REQUESTS
    };
    let mut delays: Vec<usize> = (0..TRIALS).map(trial).collect();
    delays.sort_unstable();
    let mean = delays.iter().sum::<usize>() as f64 / TRIALS as f64;
    (mean, delays[TRIALS as usize * 95 / 100])
}

fn main() {
    println!("detector rho scale false/100k | requests to detect, mean (p95), for {SLOWDOWNS:?}");
    for kind in [DetectorKind::Cusum, DetectorKind::Ewma, DetectorKind::Run] {
        let autocorrelated_scale = calibrate(kind, 0.5);
        for (autocorrelation, scale) in [
            (0.0, calibrate(kind, 0.0)),
            (0.5, autocorrelated_scale),
            (0.0, autocorrelated_scale),
        ] {
            let alarms = false_alarms(kind, scale, autocorrelation, 2);
            let mut line = format!("{kind:?} {autocorrelation} {scale:.2} {alarms:.1}");
            for slowdown in SLOWDOWNS {
                let (mean_delay, percentile_95) =
                    detection_delay(kind, scale, autocorrelation, slowdown);
                line += &format!(" | {mean_delay:.1} ({percentile_95})");
            }
            println!("{line}");
        }
    }
}
