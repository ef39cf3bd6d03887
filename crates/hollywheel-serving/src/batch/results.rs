//! Results that nothing needs any more, and the room that they give back.

use std::time::Duration;

use hollywheel_types::{MonoTime, ServerId};

use super::PoolBatcher;
use super::servers::find_holder;
use crate::stage_graph::PieceHandle;

/// Results that nothing needs are freed when less than this part of a server's room is left:
/// half, so that the room of a full call is free again before it is needed.
const TIGHT_DIVISOR: u64 = 2;
/// Results are freed after this time where there is room, a small part of their lifetime
/// (seconds).
const FREE_DELAY: Duration = Duration::from_millis(200);

/// The part that a new time has in the mean time for which results are needed.
const NEW_HOLD_PART: f64 = 0.01;

/// Holds results of one server that wait to be freed.
#[derive(Clone, Debug, Default)]
pub(super) struct UnneededResults {
    pub(super) handles: Vec<PieceHandle>,
    seen_at: Option<MonoTime>,
}

impl PoolBatcher {
    /// Notes that results are not needed any more; returns those that it does not know.
    pub fn release(&mut self, now: MonoTime, handles: &[PieceHandle]) -> Vec<PieceHandle> {
        let mut unknown = Vec::new();
        for handle in handles {
            match find_holder(&self.servers, handle) {
                Some((server, started)) => {
                    let server = server.clone();
                    self.learn_hold(now.since(started));
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

    fn learn_hold(&mut self, held: Duration) {
        let rest = self.hold_time.mul_f64(1.0 - NEW_HOLD_PART);
        self.hold_time = rest + held.mul_f64(NEW_HOLD_PART);
    }

    /// Takes the results that should be freed now, by server: at once where little room is left,
    /// otherwise after a while, so that one call frees many.
    pub fn take_unneeded(&mut self, now: MonoTime) -> Vec<(ServerId, Vec<PieceHandle>)> {
        let room = self.policy.pool.room_bytes;
        let mut taken = Vec::new();
        for (server, results) in self.unneeded.iter_mut() {
            let Some(state) = self.servers.get(server) else {
                results.handles.clear();
                continue;
            };
            results.handles.retain(|handle| state.holds(handle));
            let seen_at = *results.seen_at.get_or_insert(now);
            let is_due = state.free_bytes(now, room) < room / TIGHT_DIVISOR
                || now.since(seen_at) >= FREE_DELAY;
            if is_due && !results.handles.is_empty() {
                taken.push((server.clone(), std::mem::take(&mut results.handles)));
            }
        }
        self.unneeded
            .retain(|_, results| !results.handles.is_empty());
        taken
    }

    /// Notes that a server has freed results, whose room can be used from now on.
    pub fn confirm_freed(&mut self, server: &ServerId, handles: &[PieceHandle]) {
        if let Some(state) = self.servers.get_mut(server) {
            for handle in handles {
                state.drop_result(handle);
            }
        }
    }
}
