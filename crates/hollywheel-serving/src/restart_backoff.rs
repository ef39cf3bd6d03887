//! Backoff of a task of the process that ends although it should run until the process does.

use std::time::Duration;

use hollywheel_types::MonoTime;

/// The pause before the first restart. It doubles with each further end in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The upper limit of the pause, so that a fault that has passed is noticed within seconds.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// The time for which a task must run before its earlier ends are forgotten.
const STABLE_TIME: Duration = Duration::from_secs(5);
/// The number of ends in a row from which a task counts as failing.
const ENDS_TO_FAIL: u32 = 3;

/// Decides when a task is restarted, and whether it counts as failing meanwhile.
#[derive(Clone, Debug, Default)]
pub struct RestartBackoff {
    /// The number of ends in a row.
    ends: u32,
    started_at: MonoTime,
}

impl RestartBackoff {
    /// Creates the state of a task that has not ended yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the task starts.
    pub const fn note_start(&mut self, now: MonoTime) {
        self.started_at = now;
    }

    /// Records that the task has ended; returns the pause before it is restarted.
    pub fn note_end(&mut self, now: MonoTime) -> Duration {
        if self.stable_in(now).is_zero() {
            self.ends = 0;
        }
        let pause = FIRST_PAUSE.saturating_mul(2u32.saturating_pow(self.ends));
        self.ends = self.ends.saturating_add(1);
        pause.min(MAX_PAUSE)
    }

    /// Returns whether the task keeps ending soon after its start.
    pub fn is_failing(&self, now: MonoTime) -> bool {
        self.ends >= ENDS_TO_FAIL && !self.stable_in(now).is_zero()
    }

    /// Returns the time for which the task must still run before it counts as sound.
    pub fn stable_in(&self, now: MonoTime) -> Duration {
        STABLE_TIME.saturating_sub(now.since(self.started_at))
    }
}
