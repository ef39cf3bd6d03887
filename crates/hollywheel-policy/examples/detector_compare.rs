//! Compares detectors of slow servers at equal false alarm rates.
//!
//! `cargo run --release -p hollywheel-policy --example detector_compare`

use std::time::Duration;

use hollywheel_policy::{CusumCharts, EwmaChart, LatencyBaseline, RunChart};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SERVERS: usize = 20;
const SIGMA: f64 = 0.5;
/// One latency in so many is ten times as long.
const OUTLIER: f64 = 100.0;
const WARM_UP: usize = 200;
/// The false alarms allowed in 100,000 requests of calibration.
const FALSE_ALARMS: f64 = 2.0;
const SLOWDOWNS: [f64; 6] = [1.2, 1.5, 2.0, 3.0, 5.0, 10.0];
const TRIALS: u64 = 100;
const LIMIT: usize = 2000;

#[derive(Clone, Copy, Debug)]
enum Kind {
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
    fn new(kind: Kind, scale: f64) -> Self {
        match kind {
            Kind::Cusum => Self::Cusum(CusumCharts::new(scale)),
            Kind::Ewma => Self::Ewma(EwmaChart::new(0.1, scale)),
            Kind::Run => Self::Run(RunChart::new(scale, 5)),
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

/// Gives latencies of a pool: lognormal, autocorrelated within a server, with outliers.
struct Pool {
    random: StdRng,
    rho: f64,
    state: [f64; SERVERS],
    baseline: LatencyBaseline,
}

impl Pool {
    fn new(seed: u64, rho: f64) -> Self {
        let mut pool = Self {
            random: StdRng::seed_from_u64(seed),
            rho,
            state: [0.0; SERVERS],
            baseline: LatencyBaseline::default(),
        };
        (0..WARM_UP * SERVERS).for_each(|at| {
            pool.sample(at % SERVERS, 1.0);
        });
        pool
    }

    fn sample(&mut self, server: usize, slowdown: f64) -> f64 {
        let sum: f64 = (0..12).map(|_| self.random.random::<f64>()).sum();
        let step = (1.0 - self.rho * self.rho).sqrt() * (sum - 6.0);
        self.state[server] = self.rho * self.state[server] + step;
        let outlier = self.random.random::<f64>() * OUTLIER < 1.0;
        let factor = if outlier { 10.0 } else { 1.0 };
        let seconds = 0.1 * factor * slowdown * (SIGMA * self.state[server]).exp();
        let took = Duration::from_secs_f64(seconds);
        let sample = self.baseline.standardise(took).unwrap_or(0.0);
        self.baseline.record(took);
        sample
    }
}

fn false_alarms(kind: Kind, scale: f64, rho: f64, seed: u64) -> f64 {
    let requests = 400_000;
    let mut pool = Pool::new(seed, rho);
    let mut detectors = vec![Detector::new(kind, scale); SERVERS];
    let mut alarms = 0;
    for at in 0..requests {
        let server = at % SERVERS;
        if detectors[server].record(pool.sample(server, 1.0)) {
            detectors[server] = Detector::new(kind, scale);
            alarms += 1;
        }
    }
    f64::from(alarms) * 100_000.0 / requests as f64
}

fn calibrate(kind: Kind, rho: f64) -> f64 {
    let (mut low, mut high) = (0.1, 8.0);
    for _ in 0..12 {
        let middle = (low + high) / 2.0;
        if false_alarms(kind, middle, rho, 1) > FALSE_ALARMS {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Returns the requests of the slow server until the alarm: mean and 95th percentile.
fn delay(kind: Kind, scale: f64, rho: f64, slowdown: f64) -> (f64, usize) {
    let trial = |seed| {
        let mut pool = Pool::new(1000 + seed, rho);
        let mut detector = Detector::new(kind, scale);
        for count in 1..LIMIT {
            (1..SERVERS).for_each(|server| {
                pool.sample(server, 1.0);
            });
            if detector.record(pool.sample(0, slowdown)) {
                return count;
            }
        }
        LIMIT
    };
    let mut delays: Vec<usize> = (0..TRIALS).map(trial).collect();
    delays.sort_unstable();
    let mean = delays.iter().sum::<usize>() as f64 / TRIALS as f64;
    (mean, delays[TRIALS as usize * 95 / 100])
}

fn main() {
    println!("detector rho scale false/100k | requests to detect, mean (p95), for {SLOWDOWNS:?}");
    for kind in [Kind::Cusum, Kind::Ewma, Kind::Run] {
        let strict = calibrate(kind, 0.5);
        for (rho, scale) in [(0.0, calibrate(kind, 0.0)), (0.5, strict), (0.0, strict)] {
            let alarms = false_alarms(kind, scale, rho, 2);
            let mut line = format!("{kind:?} {rho} {scale:.2} {alarms:.1}");
            for slowdown in SLOWDOWNS {
                let (mean, high) = delay(kind, scale, rho, slowdown);
                line += &format!(" | {mean:.1} ({high})");
            }
            println!("{line}");
        }
    }
}
