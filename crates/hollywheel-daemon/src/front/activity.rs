//! Whether a call is in progress on a connection.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

#[derive(Debug)]
struct CallCount {
    calls: usize,
    changed_at: Instant,
}

/// Follows the calls of one connection.
#[derive(Clone, Debug)]
pub(super) struct ConnectionActivity {
    count: Arc<Mutex<CallCount>>,
}

/// Stands for one call in progress.
#[derive(Debug)]
pub(super) struct CallGuard {
    activity: ConnectionActivity,
}

impl ConnectionActivity {
    /// Begins with a connection that was just accepted.
    pub(super) fn new() -> Self {
        let count = CallCount {
            calls: 0,
            changed_at: Instant::now(),
        };
        Self {
            count: Arc::new(Mutex::new(count)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, CallCount> {
        self.count.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(usize) -> usize) {
        let mut count = self.lock();
        count.calls = change(count.calls);
        count.changed_at = Instant::now();
    }

    /// Counts a call until the guard is dropped.
    pub(super) fn begin_call(&self) -> CallGuard {
        self.change(|calls| calls + 1);
        CallGuard {
            activity: self.clone(),
        }
    }

    /// Returns the point since which there was no call; none while there is one.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        let count = self.lock();
        (count.calls == 0).then_some(count.changed_at)
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.activity.change(|calls| calls.saturating_sub(1));
    }
}
