//! The groups of pieces that wait for a call.

use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, SortedMap};

use super::message::{GroupRequest, GroupTicket, WorkPiece};
use crate::call_time::CallTimes;

/// A group that must start within this time to meet its objective goes into the next call
/// whatever the domain of its server; two calls of a pool begin about this far apart.
const URGENT_TIME: Duration = Duration::from_millis(120);

/// Holds one group.
#[derive(Clone, Debug)]
pub(super) struct QueuedGroup {
    pub(super) ticket: GroupTicket,
    pub(super) kind: String,
    pub(super) result_bytes: u64,
    pub(super) due: MonoTime,
    pub(super) expires: MonoTime,
    arrived: MonoTime,
    chained: bool,
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
            due: request.due,
            expires: request.expires,
            arrived: now,
            chained: request.chained,
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
    Timely,
    LateChained,
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

    /// Counts the waiting pieces that go before a group.
    pub(super) fn pieces_ahead(&self, now: MonoTime, request: &GroupRequest, late: bool) -> usize {
        let goes_before = |group: &&QueuedGroup| match (group.chained, request.chained) {
            (true, false) if late => true,
            (false, true) if late => group.due > now,
            _ => late || (group.due <= request.due && group.due > now),
        };
        let ahead = self.groups.values().filter(goes_before);
        ahead.map(QueuedGroup::waiting).sum()
    }

    /// Counts the waiting pieces of groups that have lost their objective.
    pub(super) fn late_pieces(&self, now: MonoTime, times: &CallTimes) -> usize {
        let groups = self.groups.values().filter(|group| {
            let call = times.call([(group.kind.as_str(), group.waiting())]);
            group.is_late(now, call)
        });
        groups.map(QueuedGroup::waiting).sum()
    }

    /// Lists the groups that wait in the order in which they should go.
    ///
    /// Those that can meet their objective go first, by its point. Then come groups that are
    /// made from results, since their inputs keep room while they wait, then the others by their
    /// arrival.
    pub(super) fn order(&self, now: MonoTime, times: &CallTimes) -> Vec<OrderedGroup<'_>> {
        let mut order: Vec<(WorkClass, MonoTime, OrderedGroup<'_>)> = Vec::new();
        let waiting = self.groups.values().filter(|group| group.waiting() > 0);
        for group in waiting {
            let call = times.call([(group.kind.as_str(), group.waiting())]);
            let late = group.is_late(now, call);
            let urgent = !late && group.is_late(now + URGENT_TIME, call);
            let (class, rank) = match (group.chained, late) {
                (_, false) => (WorkClass::Timely, group.due),
                (true, true) => (WorkClass::LateChained, group.due),
                (false, true) => (WorkClass::Late, group.arrived),
            };
            let ordered = OrderedGroup {
                group,
                class,
                urgent,
            };
            order.push((class, rank, ordered));
        }
        order.sort_by_key(|(class, rank, ordered)| (*class, *rank, ordered.group.ticket));
        order.into_iter().map(|(_, _, ordered)| ordered).collect()
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
