//! Points in time, which state machines without I/O take as inputs.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Point on the monotonic clock of one process, in microseconds since its start.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Creates the point that many milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the time elapsed since an earlier point, or zero if that point is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for MonoTime {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// Point on the wall clock, in milliseconds since the Unix epoch.
///
/// Wall-clock times are displayed as RFC 3339 in UTC and stored in rows. No decision that safety
/// depends on compares two of them.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct WallTime(pub u64);

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let nanos = i128::from(self.0) * 1_000_000;
        let text = OffsetDateTime::from_unix_timestamp_nanos(nanos)
            .ok()
            .and_then(|time| time.format(&Rfc3339).ok());
        match text {
            Some(text) => f.write_str(&text),
            None => write!(f, "{}ms", self.0),
        }
    }
}
