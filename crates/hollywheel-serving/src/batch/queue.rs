//! The queue of groups that wait for a call, and the order in which they are served.

use std::collections::BinaryHeap;
use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, SortedMap};

use super::fair_shares::{FairShares, PlacedWork, WorkspaceDigest};
use super::message::{GroupRequest, GroupTicket, WorkPiece};
use crate::call_time::CallTimes;
use crate::rank::RequestRank;
use crate::retry_detector::CallerAttempt;

/// A group that must start within this time to meet its objective goes into the next call in any
/// failure domain, since calls of a pool start about this far apart.
const URGENT_WINDOW: Duration = Duration::from_millis(120);

/// Holds a group with its pieces that wait for a call.
#[derive(Clone, Debug)]
pub(super) struct QueuedGroup {
    pub(super) ticket: GroupTicket,
    pub(super) kind: String,
    pub(super) result_bytes: u64,
    /// See [`GroupRequest::goal`].
    goal: MonoTime,
    pub(super) due: MonoTime,
    pub(super) expires: MonoTime,
    arrived_at: MonoTime,
    rank: RequestRank,
    /// See [`GroupRequest::workspace`].
    pub(super) workspace: WorkspaceDigest,
    /// See [`GroupRequest::holding`].
    holds_results: bool,
    pub(super) domain: Option<DomainId>,
    pub(super) pull_bytes: u64,
    /// The positions of the pieces that wait for a call.
    waiting: Vec<usize>,
    /// The number of pieces without a final outcome.
    unfinished: usize,
    /// The number of calls in which each piece was sent, by position.
    attempts: Vec<u32>,
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
            arrived_at: now,
            rank: request.rank,
            workspace: request.workspace,
            holds_results: request.holding,
            domain: request.domain,
            pull_bytes: request.pull_bytes,
            waiting: (0..request.pieces).collect(),
            unfinished: request.pieces,
            attempts: vec![0; request.pieces],
        }
    }

    /// Returns the number of pieces that wait for a call.
    pub(super) const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn waiting_positions(&self) -> impl Iterator<Item = usize> + '_ {
        self.waiting.iter().copied()
    }

    /// Returns whether the group's data is in a failure domain, or the group prefers no domain.
    pub(super) fn prefers(&self, domain: &DomainId) -> bool {
        self.domain.as_ref().is_none_or(|wanted| wanted == domain)
    }

    /// Returns the place of the group among late groups.
    const fn late_place(&self) -> (u8, u8, bool, CallerAttempt) {
        late_place(self.rank, self.holds_results)
    }

    /// Returns the time by which late groups in the same place are ordered: results that are held
    /// expire, others are served by arrival.
    const fn late_point(&self) -> MonoTime {
        match self.holds_results {
            true => self.due,
            false => self.arrived_at,
        }
    }

    /// Returns whether a call of this duration that starts now would miss the latency objective.
    pub(super) fn is_late(&self, now: MonoTime, call_time: Duration) -> bool {
        now + call_time > self.due
    }
}

/// Classifies groups by urgency, the most urgent class first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum WorkClass {
    /// The group meets its goal, and thus its objective, if served in order.
    Timely,
    /// The group could meet its goal only if higher-ranked work missed its own.
    Deferred,
    /// The group misses its objective, and results of other stages of its request occupy server
    /// memory while it waits. It precedes other late groups of its priority only.
    LateHolding,
    /// The group misses its objective, and its request occupies no server memory.
    Late,
}

/// Holds a group with its class in the service order.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderedGroup<'a> {
    pub(super) group: &'a QueuedGroup,
    pub(super) class: WorkClass,
    /// Whether the group meets its objective only if it goes into the next call.
    pub(super) urgent: bool,
}

/// The least number of servers that estimates assume, equal to one server at maximum slowness, so
/// that the estimated time of work in a pool without servers stays finite.
const MIN_SERVERS: f64 = 0.05;

/// Describes the throughput of a pool when its calls are full.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolRate {
    /// The time until the first server is free.
    pub(super) wait: Duration,
    /// The number of servers at normal speed with the same throughput as those present.
    pub(super) servers: f64,
    /// The fixed time of a call divided by the number of pieces in a full call.
    pub(super) fixed_time: Duration,
    /// The mean time for which a result occupies memory on its server.
    pub(super) hold_time: Duration,
    /// The memory for results on each server, in bytes.
    pub(super) room_bytes: u64,
    /// The number of pieces in a full call.
    pub(super) batch: usize,
    /// The fixed time of a call. A workspace that is ahead of its fair share by less pool time than
    /// this is not put back.
    pub(super) call_time: Duration,
}

/// Holds the time for which work occupies a whole pool: its execution time and its result memory.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct PoolOccupancy {
    /// The execution time, divided among the servers.
    call_time: Duration,
    /// The time for which results occupy the memory of all servers.
    memory_time: Duration,
}

impl PoolOccupancy {
    pub(super) fn add(&mut self, other: Self) {
        self.call_time += other.call_time;
        self.memory_time += other.memory_time;
    }

    fn subtract(&mut self, other: Self) {
        self.call_time = self.call_time.saturating_sub(other.call_time);
        self.memory_time = self.memory_time.saturating_sub(other.memory_time);
    }

    /// Returns the execution time.
    pub(super) const fn call_time(&self) -> Duration {
        self.call_time
    }

    /// Returns the time until the work is done, which the scarcer resource determines.
    pub(super) fn duration(&self) -> Duration {
        self.call_time.max(self.memory_time)
    }
}

impl PoolRate {
    /// Returns whether the pool has servers.
    pub(super) fn has_servers(&self) -> bool {
        self.servers > 0.0
    }

    /// Returns the time from the end of the work ahead of a group to the end of its call, which it
    /// shares with other groups: as many pieces as wait, up to a full call. Those ahead of it in the
    /// same call are already part of the work ahead. `waiting` and `ahead` are numbers of pieces.
    fn shared_call(
        &self,
        group: &QueuedGroup,
        times: &CallTimes,
        waiting: usize,
        ahead: usize,
    ) -> Duration {
        let others = waiting.min(self.batch).saturating_sub(group.waiting());
        let call = times.call([(group.kind.as_str(), group.waiting()), ("", others)]);
        let in_same_call = (ahead % self.batch.max(1)).min(others);
        let piece_time = self.fixed_time + times.piece("");
        let counted = piece_time.mul_f64(in_same_call as f64 / self.servers.max(MIN_SERVERS));
        let own = times.call([(group.kind.as_str(), group.waiting())]);
        call.saturating_sub(counted).max(own)
    }

    /// Returns the pool time of one piece in a full call.
    fn piece_share(&self, kind: &str, times: &CallTimes) -> Duration {
        (self.fixed_time + times.piece(kind)).div_f64(self.servers.max(MIN_SERVERS))
    }

    /// Returns the time for which the waiting pieces of a group occupy the pool.
    pub(super) fn work(&self, group: &QueuedGroup, times: &CallTimes) -> PoolOccupancy {
        let pieces = group.waiting() as f64 / self.servers.max(MIN_SERVERS);
        let piece_time = self.fixed_time + times.piece(&group.kind);
        let memory_fraction = (group.result_bytes as f64 / self.room_bytes as f64).min(1.0);
        PoolOccupancy {
            call_time: piece_time.mul_f64(pieces),
            memory_time: self.hold_time.mul_f64(pieces * memory_fraction),
        }
    }
}

/// Returns the place of a late group in the service order, the lowest first: by priority, then
/// requests that hold results, which have taken capacity and occupy memory, then retries, whose
/// callers have been refused once.
const fn late_place(rank: RequestRank, holds_results: bool) -> (u8, u8, bool, CallerAttempt) {
    (rank.workspace, rank.pipeline, !holds_results, rank.attempt)
}

/// Returns the time for which groups occupy the pool in total.
fn sum_work<'a>(
    groups: impl Iterator<Item = &'a QueuedGroup>,
    times: &CallTimes,
    rate: &PoolRate,
) -> PoolOccupancy {
    let mut sum = PoolOccupancy::default();
    for group in groups {
        sum.add(rate.work(group, times));
    }
    sum
}

/// Splits groups into timely ones, which meet their goals if served in the returned order (earliest
/// goal first), and deferred ones.
///
/// In a burst above the capacity of the pool, earliest-deadline-first order alone would make every
/// group slightly late. Whenever a group would miss its goal, the lowest-ranked group before it is
/// deferred, the largest first among equals (the Moore-Hodgson algorithm, by rank). Among equal
/// ranks, workspaces that are ahead of their fair share come first.
///
/// A group that misses its goal, but could still meet its objective, gives way only to work of its
/// rank or a more urgent one. Otherwise a request with several stages, whose goals are earlier than
/// its objective, would wait for all timely work of less urgent requests with one stage.
fn split_deferred<'a>(
    now: MonoTime,
    mut groups: Vec<&'a QueuedGroup>,
    placed: &PlacedWork<'_>,
    times: &CallTimes,
    rate: &PoolRate,
) -> (Vec<&'a QueuedGroup>, Vec<&'a QueuedGroup>) {
    groups.sort_by_key(|group| (group.goal, group.ticket));
    let mut deferred = find_deferred(now, &groups, &[], placed, times, rate);
    let is_listed =
        |list: &[GroupTicket], group: &QueuedGroup| list.binary_search(&group.ticket).is_ok();
    let timely = groups.iter().filter(|group| !is_listed(&deferred, group));
    if let Some(least_urgent) = timely.map(|group| group.rank).max() {
        let outranking = groups.iter().filter(|group| {
            is_listed(&deferred, group) && group.rank < least_urgent && group.goal < group.due
        });
        let mut outranking: Vec<GroupTicket> = outranking.map(|group| group.ticket).collect();
        outranking.sort_unstable();
        if !outranking.is_empty() {
            deferred = find_deferred(now, &groups, &outranking, placed, times, rate);
        }
    }
    let is_deferred = |group: &&QueuedGroup| is_listed(&deferred, group);
    let (deferred, timely) = groups.into_iter().partition(is_deferred);
    (timely, deferred)
}

/// Returns the tickets of the groups to defer, in order, so that the others meet their goals if served
/// in the given order; the groups in `outranking` need to finish only by their latest finish time.
fn find_deferred(
    now: MonoTime,
    groups: &[&QueuedGroup],
    outranking: &[GroupTicket],
    placed: &PlacedWork<'_>,
    times: &CallTimes,
    rate: &PoolRate,
) -> Vec<GroupTicket> {
    let mut placed = placed.clone();
    let mut candidates = BinaryHeap::new();
    let mut deferred: Vec<GroupTicket> = Vec::new();
    let mut ahead = PoolOccupancy::default();
    let mut ahead_pieces = 0;
    let waiting = groups.iter().map(|group| group.waiting()).sum();
    for group in groups {
        let work = rate.work(group, times);
        let finish_by = match outranking.binary_search(&group.ticket) {
            Ok(_) => group.due,
            Err(_) => group.goal,
        };
        let over_share = !placed.place(group.workspace, work.call_time()).is_zero();
        candidates.push((
            group.rank,
            over_share,
            work.duration(),
            work,
            group.ticket,
            group.waiting(),
        ));
        let mut before = ahead;
        let mut is_timely = true;
        ahead.add(work);
        let shared_call = |pieces| rate.shared_call(group, times, waiting, pieces);
        while now + rate.wait + before.duration() + shared_call(ahead_pieces) > finish_by {
            let Some((_, _, _, work, ticket, pieces)) = candidates.pop() else {
                break;
            };
            ahead.subtract(work);
            deferred.push(ticket);
            if ticket == group.ticket {
                is_timely = false;
                break;
            }
            before.subtract(work);
            ahead_pieces -= pieces;
        }
        if is_timely {
            ahead_pieces += group.waiting();
        }
    }
    deferred.sort_unstable();
    deferred
}

/// Holds the groups of a pool with unfinished pieces.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkQueue {
    groups: SortedMap<GroupTicket, QueuedGroup>,
    waiting: usize,
    shares: FairShares,
}

impl WorkQueue {
    pub(super) fn push(&mut self, now: MonoTime, request: GroupRequest) {
        if self.waiting == 0 {
            self.shares.reset();
        }
        self.waiting += request.pieces;
        let group = QueuedGroup::new(now, request);
        self.groups.insert(group.ticket, group);
    }

    pub(super) fn remove(&mut self, ticket: GroupTicket) {
        if let Some(group) = self.groups.remove(&ticket) {
            self.waiting -= group.waiting.len();
        }
    }

    /// Returns the number of pieces that wait for a call.
    pub(super) const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Sums up the timely and the late work that is served before a new group. `late` tells whether
    /// the new group misses its objective.
    pub(super) fn work_ahead(
        &self,
        now: MonoTime,
        request: &GroupRequest,
        late: bool,
        times: &CallTimes,
        rate: &PoolRate,
    ) -> (PoolOccupancy, PoolOccupancy) {
        let timely = self.groups.values().filter(|group| {
            group.due > now
                && (late
                    || group.rank < request.rank
                    || (group.rank == request.rank && group.due <= request.due))
        });
        let place = late_place(request.rank, request.holding);
        let before = self
            .groups
            .values()
            .filter(|group| late && group.due <= now && group.late_place() <= place);
        (sum_work(timely, times, rate), sum_work(before, times, rate))
    }

    /// Sums up the work of the groups that can still meet their objectives, and of the late ones.
    pub(super) fn work(
        &self,
        now: MonoTime,
        times: &CallTimes,
        rate: &PoolRate,
    ) -> (PoolOccupancy, PoolOccupancy) {
        let (late, timely): (Vec<&QueuedGroup>, Vec<&QueuedGroup>) =
            self.groups.values().partition(|group| {
                let call_time = times.call([(group.kind.as_str(), group.waiting())]);
                group.is_late(now, call_time)
            });
        (
            sum_work(timely.into_iter(), times, rate),
            sum_work(late.into_iter(), times, rate),
        )
    }

    /// Lists the waiting groups in the order in which they should be served.
    ///
    /// Groups that can meet their goals come first, the earliest goal first. They are followed by
    /// deferred groups, the most urgent rank first, and by late groups. Of these the most urgent
    /// priority comes first; within it, groups whose requests hold results in server memory, then
    /// retries, then first attempts. Among equals, workspaces ahead of their fair share wait.
    pub(super) fn order(
        &self,
        now: MonoTime,
        times: &CallTimes,
        rate: &PoolRate,
    ) -> Vec<OrderedGroup<'_>> {
        let waiting = self.groups.values().filter(|group| group.waiting() > 0);
        let (late, timely): (Vec<&QueuedGroup>, Vec<&QueuedGroup>) = waiting.partition(|group| {
            let call_time = times.call([(group.kind.as_str(), group.waiting())]);
            group.is_late(now, call_time)
        });
        let active = self.active_workspaces().len();
        let mut placed = PlacedWork::new(&self.shares, active, rate.call_time);
        let (timely, deferred) = split_deferred(now, timely, &placed, times, rate);
        let mut place = |group: &QueuedGroup| {
            placed.place(group.workspace, rate.work(group, times).call_time())
        };
        for group in &timely {
            place(group);
        }
        let timely = timely.into_iter().map(|group| {
            let call_time = times.call([(group.kind.as_str(), group.waiting())]);
            OrderedGroup {
                group,
                class: WorkClass::Timely,
                urgent: group.is_late(now + URGENT_WINDOW, call_time),
            }
        });
        let mut deferred = deferred;
        deferred.sort_by_key(|group| (group.rank, group.due, group.ticket));
        let mut deferred: Vec<(Duration, &QueuedGroup)> = deferred
            .into_iter()
            .map(|group| (place(group), group))
            .collect();
        deferred.sort_by_key(|(lead, group)| (group.rank, *lead, group.due, group.ticket));
        let deferred = deferred
            .into_iter()
            .map(|(_, group)| (WorkClass::Deferred, group));
        let mut late = late;
        late.sort_by_key(|group| (group.late_place(), group.late_point(), group.ticket));
        let mut late: Vec<(Duration, &QueuedGroup)> = late
            .into_iter()
            .map(|group| (place(group), group))
            .collect();
        late.sort_by_key(|(lead, group)| {
            let place = group.late_place();
            (place, *lead, group.late_point(), group.ticket)
        });
        let late = late
            .into_iter()
            .map(|(_, group)| match group.holds_results {
                true => (WorkClass::LateHolding, group),
                false => (WorkClass::Late, group),
            });
        let rest = deferred.chain(late).map(|(class, group)| OrderedGroup {
            group,
            class,
            urgent: false,
        });
        timely.chain(rest).collect()
    }

    /// Charges the pool time of a call to the workspaces of its pieces.
    pub(super) fn charge_call(&mut self, pieces: &[WorkPiece], times: &CallTimes, rate: &PoolRate) {
        let mut work: SortedMap<WorkspaceDigest, Duration> = SortedMap::new();
        for piece in pieces {
            if let Some(group) = self.groups.get(&piece.ticket) {
                let time = rate.piece_share(&group.kind, times);
                *work.get_or_insert_with(group.workspace, || Duration::ZERO) += time;
            }
        }
        let work: Vec<(WorkspaceDigest, Duration)> = work
            .iter()
            .map(|(workspace, time)| (*workspace, *time))
            .collect();
        let active = self.active_workspaces().len();
        self.shares.charge(&work, active);
    }

    /// Lists the workspaces that have waiting pieces.
    fn active_workspaces(&self) -> Vec<WorkspaceDigest> {
        let waiting = self.groups.values().filter(|group| group.waiting() > 0);
        let mut active: Vec<WorkspaceDigest> = waiting.map(|group| group.workspace).collect();
        active.sort_unstable();
        active.dedup();
        active
    }

    /// Removes a piece from the queue for a call; returns its kind of work and its result size.
    pub(super) fn take_piece(&mut self, piece: WorkPiece) -> (String, u64) {
        let Some(group) = self.groups.get_mut(&piece.ticket) else {
            return (String::new(), 0);
        };
        group.waiting.retain(|position| *position != piece.position);
        self.waiting -= 1;
        group.attempts[piece.position] += 1;
        (group.kind.clone(), group.result_bytes)
    }

    /// Returns a piece to the queue; false if its group was withdrawn or no attempt is left.
    pub(super) fn requeue(&mut self, piece: WorkPiece, max_attempts: u32) -> bool {
        let Some(group) = self.groups.get_mut(&piece.ticket) else {
            return false;
        };
        if group.attempts[piece.position] >= max_attempts {
            return false;
        }
        group.waiting.push(piece.position);
        self.waiting += 1;
        true
    }

    /// Returns a piece that its server did not execute to the queue without counting an attempt,
    /// unless its group was withdrawn.
    pub(super) fn requeue_unexecuted(&mut self, piece: WorkPiece) {
        if let Some(group) = self.groups.get_mut(&piece.ticket) {
            group.attempts[piece.position] -= 1;
            group.waiting.push(piece.position);
            self.waiting += 1;
        }
    }

    /// Marks a piece as finished; returns false if its group was withdrawn.
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

    /// Lists the groups with waiting pieces that would expire before a call with one piece ends.
    pub(super) fn expired(&self, now: MonoTime, times: &CallTimes) -> Vec<GroupTicket> {
        let waiting = self.groups.values().filter(|group| group.waiting() > 0);
        waiting
            .filter(|group| now + times.call([(group.kind.as_str(), 1)]) > group.expires)
            .map(|group| group.ticket)
            .collect()
    }

    /// Removes a group; returns its waiting pieces.
    pub(super) fn take_group(&mut self, ticket: GroupTicket) -> Vec<WorkPiece> {
        let positions = self.groups.get(&ticket).map(|group| group.waiting.clone());
        self.remove(ticket);
        let positions = positions.unwrap_or_default().into_iter();
        positions
            .map(|position| WorkPiece { ticket, position })
            .collect()
    }
}
