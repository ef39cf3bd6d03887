//! The clocks and the randomness of a process.

use std::fs::File;
use std::io::{self, Read};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hollywheel_types::{Incarnation, MonoTime, WallTime};

/// Reads the clocks; every machine of the process gets its time from one value.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    start: Instant,
}

impl HostClock {
    /// Starts the monotonic clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> MonoTime {
        MonoTime(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the instant of a point in time, for timers.
    pub fn instant(&self, time: MonoTime) -> Instant {
        self.start + Duration::from_micros(time.0)
    }

    /// Returns the wall-clock time.
    pub fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime(since.map_or(0, |span| {
            u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
        }))
    }

    /// Returns the incarnation of a process that starts now.
    pub fn incarnation(&self) -> Incarnation {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Incarnation(since.map_or(1, |span| {
            u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
        }))
    }
}

/// Reads a seed from the system's source of randomness.
///
/// # Errors
///
/// Returns the error of the system if the source cannot be read.
pub fn random_seed() -> io::Result<[u8; 32]> {
    let mut seed = [0; 32];
    File::open("/dev/urandom")?.read_exact(&mut seed)?;
    Ok(seed)
}

/// Sleeps until a point in time, or forever if there is none.
pub async fn sleep_until(clock: &HostClock, wake: Option<MonoTime>) {
    match wake {
        Some(time) => tokio::time::sleep_until(clock.instant(time).into()).await,
        None => std::future::pending().await,
    }
}
