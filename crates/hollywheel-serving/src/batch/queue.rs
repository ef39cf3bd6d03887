//! The groups of pieces that wait for a call.

use std::collections::BinaryHeap;
use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, SortedMap};

use super::message::{GroupRequest, GroupTicket, WorkPiece};
use crate::call_time::CallTimes;
use crate::rank::RequestRank;

/// A group that must start within this time to meet its objective goes into the next call
/// whatever the domain of its server; two calls of a pool begin about this far apart.
const URGENT_TIME: Duration = Duration::from_millis(120);

/// Holds one group.
#[derive(Clone, Debug)]
pub(super) struct QueuedGroup {
    pub(super) ticket: GroupTicket,
    pub(super) kind: String,
    pub(super) result_bytes: u64,
    goal: MonoTime,
    pub(super) due: MonoTime,
    pub(super) expires: MonoTime,
    arrived: MonoTime,
    rank: RequestRank,
    holding: bool,
    pub(super) domain: Option<DomainId>,
    pub(super) pull_bytes: u64,
    waiting: Vec<usize>,
    unfinished: usize,
    tries: Vec<u32>,
}

impl QueuedGroup {
    fn new(now: MonoTime, request: GroupRequest) -> Self {
        Self {
            ticket: request.ticket,
            kind: request.kind,
            result_bytes: request.result_bytes,
            goal: request.goal,
            due: request.due,
            expires: request.expires,
            arrived: now,
            rank: request.rank,
            holding: request.holding,
            domain: request.domain,
            pull_bytes: request.pull_bytes,
            waiting: (0..request.pieces).collect(),
            unfinished: request.pieces,
            tries: vec![0; request.pieces],
        }
    }

    pub(super) const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn waiting_positions(&self) -> impl Iterator<Item = usize> + '_ {
        self.waiting.iter().copied()
    }

    /// Says whether the results are read in a domain, or anywhere.
    pub(super) fn prefers(&self, domain: &DomainId) -> bool {
        self.domain.as_ref().is_none_or(|wanted| wanted == domain)
    }

    /// Says whether a call of this length would end after the objective.
    pub(super) fn is_late(&self, now: MonoTime, call: Duration) -> bool {
        now + call > self.due
    }
}

/// Ranks groups by what is lost while they wait.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum WorkClass {
    /// It meets its objective if it goes in its turn.
    Timely,
    /// It could meet its objective, but more urgent work would lose its own then.
    Yielding,
    /// It has lost its objective, and its inputs keep room while it waits.
    LateHolding,
    /// It has lost its objective.
    Late,
}

/// Holds a group at its place in the order of work.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderedGroup<'a> {
    pub(super) group: &'a QueuedGroup,
    pub(super) class: WorkClass,
    /// Whether it meets its objective only if it goes into the next call.
    pub(super) urgent: bool,
}

/// A pool counts as at least this part of a server, that of the slowest one: work that waits for a
/// pool without servers is late, not endless.
const MIN_SERVERS: f64 = 0.05;

/// Says how fast a pool makes pieces when its calls are full.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolRate {
    /// The time until a server is free.
    pub(super) wait: Duration,
    /// The number of servers of ordinary speed that do as much as those present.
    pub(super) servers: f64,
    /// The part of the fixed time of a call that one piece of a full call bears.
    pub(super) fixed_time: Duration,
    /// The time for which a result occupies the room of its server.
    pub(super) hold_time: Duration,
    /// The room of a server.
    pub(super) room_bytes: u64,
}

/// Holds the time for which work occupies the servers of a whole pool, and their room.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct PoolWork {
    calls: Duration,
    room: Duration,
}

impl PoolWork {
    pub(super) fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.room += other.room;
    }

    fn subtract(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.room = self.room.saturating_sub(other.room);
    }

    /// Returns the time after which the work is done.
    pub(super) fn span(&self) -> Duration {
        self.calls.max(self.room)
    }
}

impl PoolRate {
    /// Says whether the pool has servers.
    pub(super) fn has_servers(&self) -> bool {
        self.servers > 0.0
    }

    pub(super) fn work(&self, group: &QueuedGroup, times: &CallTimes) -> PoolWork {
        let pieces = group.waiting() as f64 / self.servers.max(MIN_SERVERS);
        let call = self.fixed_time + times.piece(&group.kind);
        let part = (group.result_bytes as f64 / self.room_bytes as f64).min(1.0);
        PoolWork {
            calls: call.mul_f64(pieces),
            room: self.hold_time.mul_f64(pieces * part),
        }
    }
}

fn sum_work<'a>(
    groups: impl Iterator<Item = &'a QueuedGroup>,
    times: &CallTimes,
    rate: &PoolRate,
) -> PoolWork {
    let mut sum = PoolWork::default();
    for group in groups {
        sum.add(rate.work(group, times));
    }
    sum
}

/// Splits groups into those that meet their objectives if they go by their points, which are
/// returned in that order, and those that give way.
///
/// Answers a burst beyond what the pool carries: by their points alone all groups would be a
/// little late. Whenever one is, the least urgent of those before it gives way, the largest first
/// among equals (the rule of Moore and Hodgson, by rank).
fn split_yielding<'a>(
    now: MonoTime,
    mut groups: Vec<&'a QueuedGroup>,
    times: &CallTimes,
    rate: &PoolRate,
) -> (Vec<&'a QueuedGroup>, Vec<&'a QueuedGroup>) {
    groups.sort_by_key(|group| (group.goal, group.ticket));
    let mut kept = BinaryHeap::new();
    let mut yielding: Vec<GroupTicket> = Vec::new();
    let mut ahead = PoolWork::default();
    for group in &groups {
        let work = rate.work(group, times);
        let own = times.call([(group.kind.as_str(), group.waiting())]);
        kept.push((group.rank, work.span(), work, group.ticket));
        let mut before = ahead;
        ahead.add(work);
        while now + rate.wait + before.span() + own > group.goal {
            let Some((_, _, work, ticket)) = kept.pop() else {
                break;
            };
            ahead.subtract(work);
            before.subtract(work);
            yielding.push(ticket);
            if ticket == group.ticket {
                break;
            }
        }
    }
    yielding.sort_unstable();
    let gives_way = |group: &&QueuedGroup| yielding.binary_search(&group.ticket).is_ok();
    let (yielding, timely) = groups.into_iter().partition(gives_way);
    (timely, yielding)
}

/// Holds the groups of a pool that have pieces to be made.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkQueue {
    groups: SortedMap<GroupTicket, QueuedGroup>,
    waiting: usize,
}

impl WorkQueue {
    pub(super) fn push(&mut self, now: MonoTime, request: GroupRequest) {
        self.waiting += request.pieces;
        let group = QueuedGroup::new(now, request);
        self.groups.insert(group.ticket, group);
    }

    pub(super) fn remove(&mut self, ticket: GroupTicket) {
        if let Some(group) = self.groups.remove(&ticket) {
            self.waiting -= group.waiting.len();
        }
    }

    pub(super) const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Sums up the timely and the late work that goes before a group.
    pub(super) fn work_ahead(
        &self,
        now: MonoTime,
        request: &GroupRequest,
        late: bool,
        times: &CallTimes,
        rate: &PoolRate,
    ) -> (PoolWork, PoolWork) {
        let timely = self.groups.values().filter(|group| {
            group.due > now
                && (late
                    || group.rank < request.rank
                    || (group.rank == request.rank && group.due <= request.due))
        });
        let before = self.groups.values().filter(|group| {
            let holding = request.holding.cmp(&group.holding);
            late && group.due <= now && holding.then(group.rank.cmp(&request.rank)).is_le()
        });
        (sum_work(timely, times, rate), sum_work(before, times, rate))
    }

    /// Sums up the work of the groups that can meet their objective, and of the others.
    pub(super) fn work(
        &self,
        now: MonoTime,
        times: &CallTimes,
        rate: &PoolRate,
    ) -> (PoolWork, PoolWork) {
        let (late, timely): (Vec<&QueuedGroup>, Vec<&QueuedGroup>) =
            self.groups.values().partition(|group| {
                let call = times.call([(group.kind.as_str(), group.waiting())]);
                group.is_late(now, call)
            });
        (
            sum_work(timely.into_iter(), times, rate),
            sum_work(late.into_iter(), times, rate),
        )
    }

    /// Lists the groups that wait in the order in which they should go.
    ///
    /// Those that can keep their goals go first, by these, then those that gave way to them. Then
    /// come late groups of requests that hold results, which keep room while they wait, then the
    /// others; all of these by their rank.
    pub(super) fn order(
        &self,
        now: MonoTime,
        times: &CallTimes,
        rate: &PoolRate,
    ) -> Vec<OrderedGroup<'_>> {
        let waiting = self.groups.values().filter(|group| group.waiting() > 0);
        let (late, timely): (Vec<&QueuedGroup>, Vec<&QueuedGroup>) = waiting.partition(|group| {
            let call = times.call([(group.kind.as_str(), group.waiting())]);
            group.is_late(now, call)
        });
        let (timely, yielding) = split_yielding(now, timely, times, rate);
        let timely = timely.into_iter().map(|group| {
            let call = times.call([(group.kind.as_str(), group.waiting())]);
            OrderedGroup {
                group,
                class: WorkClass::Timely,
                urgent: group.is_late(now + URGENT_TIME, call),
            }
        });
        let rest = yielding
            .into_iter()
            .map(|group| (WorkClass::Yielding, group.due, group));
        let late = late.into_iter().map(|group| match group.holding {
            true => (WorkClass::LateHolding, group.due, group),
            false => (WorkClass::Late, group.arrived, group),
        });
        let mut rest: Vec<(WorkClass, MonoTime, &QueuedGroup)> = rest.chain(late).collect();
        rest.sort_by_key(|(class, point, group)| (*class, group.rank, *point, group.ticket));
        let rest = rest.into_iter().map(|(class, _, group)| OrderedGroup {
            group,
            class,
            urgent: false,
        });
        timely.chain(rest).collect()
    }

    /// Takes a piece into a call; returns its kind of work and the size of its result.
    pub(super) fn take(&mut self, piece: WorkPiece) -> (String, u64) {
        let Some(group) = self.groups.get_mut(&piece.ticket) else {
            return (String::new(), 0);
        };
        group.waiting.retain(|position| *position != piece.position);
        self.waiting -= 1;
        group.tries[piece.position] += 1;
        (group.kind.clone(), group.result_bytes)
    }

    /// Puts a piece back if its group is still wanted and it has tries left.
    pub(super) fn put_back(&mut self, piece: WorkPiece, max_tries: u32) -> bool {
        let Some(group) = self.groups.get_mut(&piece.ticket) else {
            return false;
        };
        if group.tries[piece.position] >= max_tries {
            return false;
        }
        group.waiting.push(piece.position);
        self.waiting += 1;
        true
    }

    /// Puts a piece back that its server did not try, if its group is still wanted.
    pub(super) fn put_back_untried(&mut self, piece: WorkPiece) {
        if let Some(group) = self.groups.get_mut(&piece.ticket) {
            group.tries[piece.position] -= 1;
            group.waiting.push(piece.position);
            self.waiting += 1;
        }
    }

    /// Notes that a piece needs no more work; returns whether its group is still wanted.
    pub(super) fn finish(&mut self, piece: WorkPiece) -> bool {
        let Some(group) = self.groups.get_mut(&piece.ticket) else {
            return false;
        };
        group.unfinished -= 1;
        if group.unfinished == 0 {
            self.groups.remove(&piece.ticket);
        }
        true
    }

    /// Lists the groups with waiting pieces that can't be done any more.
    pub(super) fn expired(&self, now: MonoTime, times: &CallTimes) -> Vec<GroupTicket> {
        let waiting = self.groups.values().filter(|group| group.waiting() > 0);
        waiting
            .filter(|group| now + times.call([(group.kind.as_str(), 1)]) > group.expires)
            .map(|group| group.ticket)
            .collect()
    }

    /// Removes a group; returns its waiting pieces.
    pub(super) fn take_all(&mut self, ticket: GroupTicket) -> Vec<WorkPiece> {
        let positions = self.groups.get(&ticket).map(|group| group.waiting.clone());
        self.remove(ticket);
        let positions = positions.unwrap_or_default().into_iter();
        positions
            .map(|position| WorkPiece { ticket, position })
            .collect()
    }
}
