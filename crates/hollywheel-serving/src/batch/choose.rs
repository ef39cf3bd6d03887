//! Selection of the server for the next call and of the pieces in it.

use std::time::Duration;

use hollywheel_types::{MonoTime, ServerId};

use super::PoolBatcher;
use super::message::WorkPiece;
use super::queue::{OrderedGroup, QueuedGroup, WorkClass};
use super::servers::PieceServer;

/// A server whose calls take more than this multiple of the expected time counts as slow. It gets
/// work only if the objective is met there or no fast server would finish the work earlier.
pub(super) const SLOW_RATIO: f64 = 1.6;
/// Late pieces are added to a call with timely ones only while the total execution time of its
/// pieces stays below this fraction of the fixed time of a call, so that late work delays timely
/// work by less than one call.
const MAX_LATE_FILL: f64 = 0.5;
/// A group that would transfer fewer bytes than this between failure domains may run in any domain.
const MIN_PULL_BYTES: u64 = 500_000;
/// A group waits for a server in its own failure domain only if it meets its objective there with
/// this margin, which is slightly longer than the fixed time of a call.
const LOCAL_MARGIN: Duration = Duration::from_millis(200);

impl PoolBatcher {
    /// Updates which servers are cold. A cold server gets a call only if no warm one is expected to
    /// finish the work in time.
    pub fn set_cold(&mut self, is_cold: impl Fn(&ServerId) -> bool) {
        for (server, state) in self.servers.iter_mut() {
            state.is_cold = is_cold(server);
        }
    }

    /// Chooses the server for the most urgent group that an idle server can take: fast servers
    /// before slow ones, then servers in the failure domain that the group prefers.
    pub(super) fn choose_server(
        &self,
        now: MonoTime,
        idle: &[ServerId],
        order: &[OrderedGroup<'_>],
    ) -> Option<ServerId> {
        order.iter().find_map(|OrderedGroup { group, .. }| {
            let fits = idle.iter().filter_map(|server| {
                let state = self.servers.get(server)?;
                let free_bytes = state.free_bytes(now, self.policy.pool.room_bytes);
                let fits = free_bytes >= group.result_bytes && self.may_assign(now, state, group);
                fits.then_some((server, state))
            });
            let best = fits.min_by(|(_, left), (_, right)| {
                let is_slow = |state: &PieceServer| state.slowness_at(now) > SLOW_RATIO;
                let in_other_domain = |state: &PieceServer| !group.prefers(&state.domain);
                left.is_cold
                    .cmp(&right.is_cold)
                    .then_with(|| is_slow(left).cmp(&is_slow(right)))
                    .then_with(|| in_other_domain(left).cmp(&in_other_domain(right)))
                    .then_with(|| left.slowness_at(now).total_cmp(&right.slowness_at(now)))
            });
            best.map(|(server, _)| server.clone())
        })
    }

    /// Returns whether a whole group fits into a call that already has `pieces` pieces, or is too
    /// large for any call. A request waits for the last of its pieces, so running part of a group
    /// in an earlier call gains nothing.
    fn fits_whole(&self, group: &QueuedGroup, pieces: usize, free_bytes: u64) -> bool {
        let pool = &self.policy.pool;
        let count = group.waiting();
        let bytes = group.result_bytes.saturating_mul(count as u64);
        let exceeds_any_call = count > pool.batch || bytes > pool.room_bytes;
        exceeds_any_call || (pieces + count <= pool.batch && bytes <= free_bytes)
    }

    /// Returns whether a call that is less than half full should wait for more pieces, so that
    /// calls of the pool start evenly spaced when most servers are busy.
    ///
    /// A call of the preceding stage delivers its pieces all at once. Without this delay every
    /// server would start a small call at the same time, and pieces that arrive next would wait
    /// for a whole call.
    pub(super) fn should_delay_call(
        &self,
        now: MonoTime,
        idle: usize,
        order: &[OrderedGroup<'_>],
    ) -> bool {
        if 2 * self.queue.waiting() >= self.policy.pool.batch {
            return false;
        }
        let start = self.next_spaced_start(idle);
        let is_first_late = order
            .first()
            .is_some_and(|OrderedGroup { group, class, .. }| {
                let call_time = self.times.call([(group.kind.as_str(), group.waiting())]);
                *class == WorkClass::Timely && group.is_late(start, call_time)
            });
        now < start && !is_first_late
    }

    /// Returns the earliest start of the next call that keeps starts evenly spaced: the time of a
    /// call divided by the number of servers, scaled by the fraction of them that is busy.
    fn next_spaced_start(&self, idle: usize) -> MonoTime {
        let waiting = self.queue.waiting();
        let present = self.servers.values().filter(|server| server.is_present());
        let servers = present.count().max(1) as f64;
        let busy = (servers - idle as f64).max(0.0);
        let call = self.times.call([("", waiting)]);
        self.last_start + call.mul_f64(busy / (servers * servers))
    }

    /// Returns whether a server may take a group. A slow server, or one in another failure domain
    /// than the group's data, may take it only if waiting for a better server is not worthwhile.
    fn may_assign(&self, now: MonoTime, server: &PieceServer, group: &QueuedGroup) -> bool {
        if server.is_cold && self.can_wait_for_warm(now, group) {
            return false;
        }
        let slowness = server.slowness_at(now);
        let is_slow = slowness > SLOW_RATIO;
        let is_remote = group.pull_bytes >= MIN_PULL_BYTES && !group.prefers(&server.domain);
        if !is_slow && !is_remote {
            return true;
        }
        let call_time = self.times.call([(group.kind.as_str(), group.waiting())]);
        let finish = now + call_time.mul_f64(slowness);
        if is_slow
            && finish > group.due
            && !self.is_slow_server_acceptable(now, group, call_time, finish)
        {
            return false;
        }
        !is_remote || !self.can_wait_for_local(now, group, call_time)
    }

    /// Returns whether a slow server is acceptable for a group that would be late there: no fast
    /// server would finish it earlier, or the pool has a backlog and the group is late anyway.
    fn is_slow_server_acceptable(
        &self,
        now: MonoTime,
        group: &QueuedGroup,
        call_time: Duration,
        finish: MonoTime,
    ) -> bool {
        let fast_servers = self
            .servers
            .values()
            .filter(|other| other.is_present() && other.is_fast_when_free(now));
        let next_free = fast_servers.map(|other| other.free_at(now)).min();
        let fast_finish = next_free.map(|at| at + call_time);
        fast_finish.is_none_or(|at| at > finish)
            || (self.has_backlog() && group.is_late(now, call_time))
    }

    /// Returns whether a fast server in the group's own failure domain becomes free early enough
    /// for the group to meet its objective; false while the pool has a backlog.
    fn can_wait_for_local(&self, now: MonoTime, group: &QueuedGroup, call_time: Duration) -> bool {
        if self.has_backlog() {
            return false;
        }
        let local = self.servers.values().filter(|other| {
            other.is_present() && other.is_fast_when_free(now) && group.prefers(&other.domain)
        });
        let next_free = local.map(|other| other.free_at(now)).min();
        next_free.is_some_and(|at| at + call_time + LOCAL_MARGIN <= group.due)
    }

    /// Returns whether a warm server becomes free early enough for the group to meet its objective;
    /// false while the pool has a backlog.
    fn can_wait_for_warm(&self, now: MonoTime, group: &QueuedGroup) -> bool {
        if self.has_backlog() {
            return false;
        }
        let call_time = self.times.call([(group.kind.as_str(), group.waiting())]);
        let warm = self
            .servers
            .values()
            .filter(|other| other.is_present() && !other.is_cold);
        let finish = warm.map(|other| other.free_at(now) + call_time.mul_f64(other.slowness()));
        finish.min().is_some_and(|at| at <= group.due)
    }

    /// Returns whether more pieces wait than half of what one full call on each server takes.
    fn has_backlog(&self) -> bool {
        let present = self.servers.values().filter(|server| server.is_present());
        2 * self.queue.waiting() > self.policy.pool.batch * present.count()
    }

    /// Selects the pieces of a call in the order of the groups. Late work is added to a call with
    /// timely work only while the call stays short (see [`MAX_LATE_FILL`]).
    pub(super) fn fill_call(
        &self,
        now: MonoTime,
        server: &ServerId,
        order: &[OrderedGroup<'_>],
    ) -> Vec<WorkPiece> {
        let Some(state) = self.servers.get(server) else {
            return Vec::new();
        };
        let mut free_bytes = state.free_bytes(now, self.policy.pool.room_bytes);
        let limit = self.policy.pool.batch;
        let mut pieces = Vec::new();
        let mut has_timely = false;
        let mut fill_time = Duration::ZERO;
        let max_fill_time = self.policy.pool.call_time.mul_f64(MAX_LATE_FILL);
        let is_preferred =
            |ordered: &&OrderedGroup<'_>| ordered.urgent || ordered.group.prefers(&state.domain);
        let preferred = order.iter().filter(is_preferred);
        let others = order.iter().filter(|ordered| !is_preferred(ordered));
        for OrderedGroup { group, class, .. } in preferred.chain(others) {
            if !self.may_assign(now, state, group) {
                continue;
            }
            if !pieces.is_empty() && !self.fits_whole(group, pieces.len(), free_bytes) {
                continue;
            }
            for position in group.waiting_positions() {
                if pieces.len() >= limit || free_bytes < group.result_bytes {
                    break;
                }
                let piece_time = self.times.piece(&group.kind);
                if *class != WorkClass::Timely
                    && has_timely
                    && fill_time + piece_time > max_fill_time
                {
                    break;
                }
                has_timely |= *class == WorkClass::Timely;
                fill_time += piece_time;
                free_bytes -= group.result_bytes;
                pieces.push(WorkPiece {
                    ticket: group.ticket,
                    position,
                });
            }
        }
        pieces
    }
}
