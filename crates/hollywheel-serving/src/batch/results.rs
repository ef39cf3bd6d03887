//! Release of results that no request needs any more, and of the server memory they occupy.

use std::time::Duration;

use hollywheel_types::{MonoTime, ServerId};

use super::PoolBatcher;
use super::servers::find_holder;
use crate::stage_graph::PieceHandle;

/// Unneeded results are freed at once when less than the total result memory divided by this is
/// free on their server. Half of the memory leaves time to free what a full call needs.
const LOW_MEMORY_DIVISOR: u64 = 2;
/// The delay after which unneeded results are freed on servers with enough memory, so that one call
/// frees many. It is a small fraction of the lifetime of results, which is some seconds.
const FREE_DELAY: Duration = Duration::from_millis(200);

/// Weight of the most recent result in the moving average of how long results are needed.
const HOLD_TIME_WEIGHT: f64 = 0.01;

/// Holds the results of one server that are no longer needed and not freed yet.
#[derive(Clone, Debug, Default)]
pub(super) struct UnneededResults {
    pub(super) handles: Vec<PieceHandle>,
    /// The time since which results wait to be freed.
    pending_since: Option<MonoTime>,
}

impl PoolBatcher {
    /// Records that results are not needed any more; returns those that no known server stores.
    pub fn release(&mut self, now: MonoTime, handles: &[PieceHandle]) -> Vec<PieceHandle> {
        let mut unknown = Vec::new();
        for handle in handles {
            match find_holder(&self.servers, handle) {
                Some((server, started)) => {
                    let server = server.clone();
                    self.learn_hold_time(now.since(started));
                    self.unneeded
                        .get_or_insert_with(server, UnneededResults::default)
                        .handles
                        .push(handle.clone());
                }
                None => unknown.push(handle.clone()),
            }
        }
        unknown
    }

    fn learn_hold_time(&mut self, hold_time: Duration) {
        let previous = self.hold_time.mul_f64(1.0 - HOLD_TIME_WEIGHT);
        self.hold_time = previous + hold_time.mul_f64(HOLD_TIME_WEIGHT);
    }

    /// Takes the results to free now, by server: at once where little memory is left, otherwise
    /// after a delay, so that one call frees many. Servers with a limit on their requests are only
    /// asked to free results when little memory is left; the others expire there.
    pub fn take_unneeded(&mut self, now: MonoTime) -> Vec<(ServerId, Vec<PieceHandle>)> {
        let memory_bytes = self.policy.pool.room_bytes;
        let mut taken = Vec::new();
        for (server, results) in self.unneeded.iter_mut() {
            let Some(state) = self.servers.get(server) else {
                results.handles.clear();
                continue;
            };
            results.handles.retain(|handle| state.has_result(handle));
            let pending_since = *results.pending_since.get_or_insert(now);
            let is_due = state.free_bytes(now, memory_bytes) < memory_bytes / LOW_MEMORY_DIVISOR
                || (state.limit.is_none() && now.since(pending_since) >= FREE_DELAY);
            if is_due && !results.handles.is_empty() {
                taken.push((server.clone(), std::mem::take(&mut results.handles)));
            }
        }
        self.unneeded
            .retain(|_, results| !results.handles.is_empty());
        taken
    }

    /// Keeps results that could not be freed yet because of their server's limit.
    pub fn defer_unneeded(&mut self, server: &ServerId, handles: Vec<PieceHandle>) {
        let results = self
            .unneeded
            .get_or_insert_with(server.clone(), UnneededResults::default);
        results.handles.extend(handles);
    }

    /// Records that a server has freed results; their memory is available from now on.
    pub fn confirm_freed(&mut self, server: &ServerId, handles: &[PieceHandle]) {
        if let Some(state) = self.servers.get_mut(server) {
            for handle in handles {
                state.remove_result(handle);
            }
        }
    }
}
