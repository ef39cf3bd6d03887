//! Clocks, timers and random seeds of a process.

use std::fs::File;
use std::io::{self, Read};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hollywheel_types::{Incarnation, MonoTime, WallTime};

/// Reads the monotonic clock and the wall clock. All components of a process share one instance, so
/// that their times are comparable.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    start: Instant,
}

impl HostClock {
    /// Creates a clock whose monotonic time starts at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the monotonic time since the clock was created, in microseconds.
    pub fn now(&self) -> MonoTime {
        MonoTime(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Converts a monotonic time to an `Instant` for use with timers.
    pub fn instant(&self, time: MonoTime) -> Instant {
        self.start + Duration::from_micros(time.0)
    }

    /// Returns the wall-clock time, in Unix milliseconds.
    pub fn wall(&self) -> WallTime {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime(elapsed.map_or(0, |duration| {
            u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
        }))
    }

    /// Returns the incarnation number of a process that starts now: the Unix time in microseconds,
    /// so that it increases with every restart.
    pub fn incarnation(&self) -> Incarnation {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        Incarnation(elapsed.map_or(1, |duration| {
            u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
        }))
    }
}

/// Returns a random seed from `/dev/urandom`.
///
/// # Errors
///
/// Returns the I/O error if the device cannot be read.
pub fn random_seed() -> io::Result<[u8; 32]> {
    let mut seed = [0; 32];
    File::open("/dev/urandom")?.read_exact(&mut seed)?;
    Ok(seed)
}

/// Sleeps until a monotonic time, or forever if none is given.
pub async fn sleep_until(clock: &HostClock, deadline: Option<MonoTime>) {
    match deadline {
        Some(time) => tokio::time::sleep_until(clock.instant(time).into()).await,
        None => std::future::pending().await,
    }
}
