//! Momentary slowdown of servers that share their machines with others.

use std::time::Duration;

use hollywheel_types::MonoTime;

/// The half-life of a reported slowdown. The machine's other work changes many times a second, so a
/// report says little about the server some tenths of a second later.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(150);

/// Holds the slowdown that a server reported last.
///
/// Suited to servers whose speed changes many times a second, where a mean over past responses is
/// outdated when it is used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedSlowdown {
    /// How long work takes on the server, as a multiple of the usual time.
    value: f64,
    reported_at: MonoTime,
}

impl ReportedSlowdown {
    /// Creates the slowdown of a report that was received at a time.
    pub const fn new(reported_at: MonoTime, value: f64) -> Self {
        Self { value, reported_at }
    }

    /// Returns the expected slowdown: the reported one at first, then less of it by halves, down to
    /// the usual speed of 1.0.
    pub fn at(&self, now: MonoTime) -> f64 {
        1.0 + (self.value - 1.0) * self.confidence(now)
    }

    /// Returns how far the report still describes the server: 1 when it was received, halved with
    /// each half-life since.
    fn confidence(&self, now: MonoTime) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        0.5f64.powf(age / SLOWDOWN_HALF_LIFE.as_secs_f64())
    }

    /// Returns the mean slowdown during a call, from the last report before it and the one that came
    /// with its response; 1.0 if there is neither.
    pub(crate) fn during_call(
        started: MonoTime,
        before: Option<Self>,
        latest: Option<Self>,
    ) -> f64 {
        let at_end = latest.filter(|report| report.reported_at >= started);
        match (before, at_end) {
            (Some(before), Some(at_end)) => {
                let weight = before.confidence(started);
                (before.value * weight + at_end.value) / (weight + 1.0)
            }
            (None, Some(at_end)) => at_end.value,
            (Some(before), None) => before.at(started),
            (None, None) => 1.0,
        }
    }
}
