//! Which idle server gets the next call, and what goes into it.

use std::time::Duration;

use hollywheel_types::{MonoTime, ServerId};

use super::PoolBatcher;
use super::message::WorkPiece;
use super::queue::{OrderedGroup, QueuedGroup, WorkClass};
use super::servers::PieceServer;

/// A server that takes so many times the expected time gets only what can wait for it.
pub(super) const SLOW_RATIO: f64 = 1.6;
/// Pieces of a call that holds timely ones take at most this part of the fixed time of a call
/// once late ones are added, so that late work delays timely work by less than a call.
const LATE_RIDE_PART: f64 = 0.5;
/// A group whose pieces move fewer bytes than this between domains goes to any of them.
const MIN_PULL_BYTES: u64 = 500_000;
/// A group waits for a server in its own domain only if it meets its objective there with this
/// to spare, a little more than the fixed time of a call.
const NEAR_MARGIN: Duration = Duration::from_millis(200);

impl PoolBatcher {
    /// Chooses the server for the most urgent work that an idle server can take: a fast one
    /// before a slow one, and one in the domain where the results are read.
    pub(super) fn choose_server(
        &self,
        now: MonoTime,
        idle: &[ServerId],
        order: &[OrderedGroup<'_>],
    ) -> Option<ServerId> {
        order.iter().find_map(|OrderedGroup { group, .. }| {
            let fits = idle.iter().filter_map(|server| {
                let state = self.servers.get(server)?;
                let room = state.free_bytes(now, self.policy.pool.room_bytes);
                let fits = room >= group.result_bytes && self.may_use(now, state, group);
                fits.then_some((server, state))
            });
            let best = fits.min_by(|(_, left), (_, right)| {
                let is_slow = |state: &PieceServer| state.slowness() > SLOW_RATIO;
                let foreign = |state: &PieceServer| !group.prefers(&state.domain);
                is_slow(left)
                    .cmp(&is_slow(right))
                    .then_with(|| foreign(left).cmp(&foreign(right)))
                    .then_with(|| left.slowness().total_cmp(&right.slowness()))
            });
            best.map(|(server, _)| server.clone())
        })
    }

    /// Says whether a call with so many pieces still holds all of a group, or no call could. A
    /// request waits for the last of its pieces, so a part of a group gains nothing by an earlier
    /// call.
    fn holds_whole(&self, group: &QueuedGroup, pieces: usize, room: u64) -> bool {
        let pool = &self.policy.pool;
        let count = group.waiting();
        let bytes = group.result_bytes.saturating_mul(count as u64);
        let never = count > pool.batch || bytes > pool.room_bytes;
        never || (pieces + count <= pool.batch && bytes <= room)
    }

    /// Says whether a call that is less than half full should wait for more pieces, so that the
    /// calls of a pool begin evenly spaced when most servers are busy.
    ///
    /// Answers clumps of pieces, as a call of the stage before delivers them: without a pause all
    /// servers begin small calls together, and what comes next waits for a whole call.
    pub(super) fn can_wait(&self, now: MonoTime, idle: usize, order: &[OrderedGroup<'_>]) -> bool {
        if 2 * self.queue.waiting() >= self.policy.pool.batch {
            return false;
        }
        let start = self.spaced_start(idle);
        let would_be_late = order
            .first()
            .is_some_and(|OrderedGroup { group, class, .. }| {
                let own = self.times.call([(group.kind.as_str(), group.waiting())]);
                *class == WorkClass::Timely && group.is_late(start, own)
            });
        now < start && !would_be_late
    }

    /// Returns the point that is an even share of a call after the last start.
    fn spaced_start(&self, idle: usize) -> MonoTime {
        let waiting = self.queue.waiting();
        let present = self.servers.values().filter(|server| server.is_present());
        let servers = present.count().max(1) as f64;
        let busy = (servers - idle as f64).max(0.0);
        let call = self.times.call([("", waiting)]);
        self.last_start + call.mul_f64(busy / (servers * servers))
    }

    /// Says whether a server may take a group: one that is slow, or far from the bytes that the
    /// group reads, does only if the group can't wait for a better one.
    fn may_use(&self, now: MonoTime, server: &PieceServer, group: &QueuedGroup) -> bool {
        let is_slow = server.slowness() > SLOW_RATIO;
        let is_far = group.pull_bytes >= MIN_PULL_BYTES && !group.prefers(&server.domain);
        if !is_slow && !is_far {
            return true;
        }
        let own = self.times.call([(group.kind.as_str(), group.waiting())]);
        let finish = now + own.mul_f64(server.slowness());
        if is_slow && finish > group.due && !self.is_better_here(now, group, own, finish) {
            return false;
        }
        !is_far || !self.can_wait_near(now, group, own)
    }

    /// Says whether a group that is late at a slow server is not earlier done at a fast one.
    fn is_better_here(
        &self,
        now: MonoTime,
        group: &QueuedGroup,
        own: Duration,
        finish: MonoTime,
    ) -> bool {
        let fast = self
            .servers
            .values()
            .filter(|other| other.is_present() && other.slowness() <= SLOW_RATIO);
        let next = fast.map(|other| other.free_at(now)).min();
        let elsewhere = next.map(|at| at + own);
        elsewhere.is_none_or(|at| at > finish) || (self.is_crowded() && group.is_late(now, own))
    }

    /// Says whether a server in the group's own domain will be free in time for its objective.
    fn can_wait_near(&self, now: MonoTime, group: &QueuedGroup, own: Duration) -> bool {
        if self.is_crowded() {
            return false;
        }
        let near = self.servers.values().filter(|other| {
            other.is_present() && other.slowness() <= SLOW_RATIO && group.prefers(&other.domain)
        });
        let next = near.map(|other| other.free_at(now)).min();
        next.is_some_and(|at| at + own + NEAR_MARGIN <= group.due)
    }

    /// Says whether more waits than the servers take with their next calls.
    fn is_crowded(&self) -> bool {
        let present = self.servers.values().filter(|server| server.is_present());
        2 * self.queue.waiting() > self.policy.pool.batch * present.count()
    }

    /// Fills a call in the order of the groups. Work that has lost its objective rides along
    /// with work that can meet its own only while that does not lengthen the call much.
    pub(super) fn fill_call(
        &self,
        now: MonoTime,
        server: &ServerId,
        order: &[OrderedGroup<'_>],
    ) -> Vec<WorkPiece> {
        let Some(state) = self.servers.get(server) else {
            return Vec::new();
        };
        let mut room = state.free_bytes(now, self.policy.pool.room_bytes);
        let limit = self.policy.pool.batch;
        let mut pieces = Vec::new();
        let mut timely = false;
        let mut added = Duration::ZERO;
        let ride_time = self.policy.pool.call_time.mul_f64(LATE_RIDE_PART);
        let is_near =
            |ordered: &&OrderedGroup<'_>| ordered.urgent || ordered.group.prefers(&state.domain);
        let near = order.iter().filter(is_near);
        let far = order.iter().filter(|ordered| !is_near(ordered));
        for OrderedGroup { group, class, .. } in near.chain(far) {
            if !self.may_use(now, state, group) {
                continue;
            }
            if !pieces.is_empty() && !self.holds_whole(group, pieces.len(), room) {
                continue;
            }
            for position in group.waiting_positions() {
                if pieces.len() >= limit || room < group.result_bytes {
                    break;
                }
                let piece_time = self.times.piece(&group.kind);
                if *class != WorkClass::Timely && timely && added + piece_time > ride_time {
                    break;
                }
                timely |= *class == WorkClass::Timely;
                added += piece_time;
                room -= group.result_bytes;
                pieces.push(WorkPiece {
                    ticket: group.ticket,
                    position,
                });
            }
        }
        pieces
    }
}
