//! Random service times with a heavy tail.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Upper limit of a service time, in seconds.
const MAX_SERVICE_SECS: f64 = 60.0;

/// Generates lognormal times whose logarithms follow an AR(1) process.
#[derive(Debug)]
pub(crate) struct ServiceTimes {
    random: StdRng,
    median: Duration,
    sigma: f64,
    correlation: f64,
    level: f64,
}

impl ServiceTimes {
    pub(crate) fn new(seed: u64, median: Duration, sigma: f64, correlation: f64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let level = normal(&mut random);
        Self {
            random,
            median,
            sigma,
            correlation: correlation.clamp(0.0, 0.999),
            level,
        }
    }

    /// Returns the next service time.
    pub(crate) fn draw(&mut self, slow_factor: f64) -> Duration {
        let fresh = (1.0 - self.correlation * self.correlation).sqrt();
        self.level = self.correlation * self.level + fresh * normal(&mut self.random);
        let seconds = self.median.as_secs_f64() * (self.sigma * self.level).exp();
        let seconds = seconds * slow_factor.max(0.0);
        Duration::from_secs_f64(seconds.min(MAX_SERVICE_SECS))
    }
}

/// Returns a number from the standard normal distribution by the Box-Muller transform.
fn normal(random: &mut StdRng) -> f64 {
    let radius: f64 = 1.0 - random.random::<f64>();
    let angle: f64 = random.random();
    (-2.0 * radius.ln()).sqrt() * (TAU * angle).cos()
}
