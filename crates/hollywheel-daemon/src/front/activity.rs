//! Tracks the calls in progress on a connection, so that idle connections can be closed.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// Number of calls in progress and the time of its last update.
#[derive(Debug)]
struct CallCount {
    calls: usize,
    changed_at: Instant,
}

/// Counter of the calls in progress on one connection. Clones share the count.
#[derive(Clone, Debug)]
pub(super) struct ConnectionActivity {
    count: Arc<Mutex<CallCount>>,
}

/// Counts one call as in progress until it is dropped.
#[derive(Debug)]
pub(super) struct CallGuard {
    activity: ConnectionActivity,
}

impl ConnectionActivity {
    /// Creates the counter of a new connection, without calls.
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

    fn update(&self, update: impl FnOnce(usize) -> usize) {
        let mut count = self.lock();
        count.calls = update(count.calls);
        count.changed_at = Instant::now();
    }

    /// Counts a call until the guard is dropped.
    pub(super) fn begin_call(&self) -> CallGuard {
        self.update(|calls| calls + 1);
        CallGuard {
            activity: self.clone(),
        }
    }

    /// Returns the time since which no call is in progress, or `None` while there is one.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        let count = self.lock();
        (count.calls == 0).then_some(count.changed_at)
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.activity.update(|calls| calls.saturating_sub(1));
    }
}
