//! Means over repetitions and their confidence intervals.

use serde::{Deserialize, Serialize};

/// The 0.975 quantiles of Student's t distribution for 1 to 30 degrees of freedom.
const T_QUANTILES: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045, 2.042,
];

/// The quantile that is used for more degrees of freedom.
const NORMAL_QUANTILE: f64 = 1.96;

/// A mean with its 95 % confidence interval.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct MeanInterval {
    /// The mean.
    pub mean: f64,
    /// The lower bound; equal to the mean for fewer than two values.
    pub low: f64,
    /// The upper bound; equal to the mean for fewer than two values.
    pub high: f64,
    /// The number of values.
    pub count: usize,
}

/// Computes the mean and its confidence interval from Student's t distribution.
pub fn mean_interval(values: &[f64]) -> MeanInterval {
    let count = values.len();
    if count == 0 {
        return MeanInterval::default();
    }
    let mean = values.iter().sum::<f64>() / count as f64;
    let half = half_width(values, mean);
    MeanInterval {
        mean,
        low: mean - half,
        high: mean + half,
        count,
    }
}

fn half_width(values: &[f64], mean: f64) -> f64 {
    if values.len() < 2 {
        return 0.0;
    }
    let freedom = values.len() - 1;
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let error = (squares / freedom as f64 / values.len() as f64).sqrt();
    let quantile = T_QUANTILES.get(freedom - 1).copied();
    quantile.unwrap_or(NORMAL_QUANTILE) * error
}
