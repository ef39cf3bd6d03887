//! Calls that hold pieces of many requests, from all hosts.
//!
//! A pool whose servers need a fixed time for each call, whatever it holds, carries its load
//! only if pieces of many requests share a call. One host, or a few, collect the pieces for a
//! pool. This state machine decides what goes into which call, and when.

mod choose;
mod message;
mod queue;
mod results;
mod servers;

use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, ServerId, SortedMap};

use choose::SLOW_RATIO;
pub use message::{
    CallOutcome, CallPlan, GroupRequest, GroupTicket, GroupVerdict, PieceDelivery, PieceResult,
    WorkPiece,
};
use queue::{OrderedGroup, PoolRate, PoolWork, WorkClass, WorkQueue};
use results::UnneededResults;
use servers::PieceServer;

use crate::call_time::CallTimes;
use crate::patience::CallerAttempt;
use crate::serving_set::PiecePool;
use crate::stage_graph::PieceHandle;

/// Told to a request when no server of the pool is known; entries are read within this time.
const NO_SERVER_RETRY: Duration = Duration::from_millis(500);
/// A refused request is told to wait at least this long: it has lost its objective, and most of a
/// burst of some seconds is over when it returns.
const MIN_RETRY: Duration = Duration::from_millis(2500);

/// A piece is tried at so many servers before its request is told that it failed.
const MAX_TRIES: u32 = 4;
/// A call is given up after so many times its expected time.
const TIMEOUT_FACTOR: f64 = 2.5;
/// A call is given up at the earliest this long after its expected end, so that the delays of a
/// lossy link do not end good calls.
const TIMEOUT_SLACK: Duration = Duration::from_millis(350);
/// Work that has lost its objective is kept up to this much time of the whole pool: what the pool
/// can make up for between two bursts, before callers leave (2 s and more).
const MAX_LATE_BACKLOG: Duration = Duration::from_millis(1000);
/// The part that a new call has in the mean pace of late work; it follows a burst within about
/// eight calls, which a pool of some servers starts in half a second.
const NEW_PACE_PART: f64 = 0.12;
/// Late work is taken to have at least this part of the pool, since bursts end.
const MIN_LATE_PACE: f64 = 0.1;
/// Results are taken to be needed for so many fixed times of a call until the first are freed:
/// their own call and the next step.
const FIRST_HOLD_CALLS: u32 = 3;

/// Holds the settings of a batcher that are its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchPolicy {
    /// The limits of the pool.
    pub pool: PiecePool,
}

#[derive(Clone, Debug)]
struct RunningCall {
    server: ServerId,
    pieces: Vec<WorkPiece>,
    kinds: Vec<(String, usize)>,
    bytes: Vec<u64>,
    started: MonoTime,
    expected: Duration,
}

/// Decides which pieces go into which call of one pool.
#[derive(Clone, Debug)]
pub struct PoolBatcher {
    policy: BatchPolicy,
    times: CallTimes,
    queue: WorkQueue,
    servers: SortedMap<ServerId, PieceServer>,
    calls: SortedMap<u64, RunningCall>,
    last_call: u64,
    last_start: MonoTime,
    unneeded: SortedMap<ServerId, UnneededResults>,
    /// The mean time from the start of a call until its results are not needed any more.
    hold_time: Duration,
    /// The mean part of a call that late work has while some waits.
    late_pace: f64,
}

impl PoolBatcher {
    /// Creates a batcher without servers.
    pub fn new(policy: BatchPolicy) -> Self {
        Self {
            times: CallTimes::new(policy.pool.call_time, policy.pool.piece_time),
            policy,
            queue: WorkQueue::default(),
            servers: SortedMap::new(),
            calls: SortedMap::new(),
            last_call: 0,
            last_start: MonoTime::default(),
            unneeded: SortedMap::new(),
            hold_time: policy.pool.call_time * FIRST_HOLD_CALLS,
            late_pace: 1.0,
        }
    }

    /// Replaces the limits of the pool.
    pub fn set_policy(&mut self, policy: BatchPolicy) {
        if policy != self.policy {
            self.times = CallTimes::new(policy.pool.call_time, policy.pool.piece_time);
            self.policy = policy;
        }
    }

    /// Replaces the list of servers. Calls at a server that is not listed any more go on.
    pub fn set_servers(
        &mut self,
        listed: impl IntoIterator<Item = (ServerId, DomainId, Option<u64>)>,
    ) {
        for state in self.servers.values_mut() {
            state.set_absent();
        }
        for (server, domain, born) in listed {
            match self.servers.get_mut(&server) {
                Some(state) => state.refresh(domain, born),
                None => {
                    self.servers.insert(server, PieceServer::new(domain, born));
                }
            }
        }
        self.servers.retain(|_, state| !state.is_forgotten());
    }

    /// Takes a group of pieces, or refuses it if it can't be done before it expires.
    ///
    /// Answers a burst beyond what the pool carries: a group whose objective is lost still
    /// waits behind those that can meet theirs, and is refused at once when the work ahead of
    /// it outlasts its deadline.
    pub fn offer(&mut self, now: MonoTime, request: GroupRequest) -> GroupVerdict {
        let Some(expected) = self.expected_time(now, &request) else {
            return GroupVerdict::Refused {
                retry_after: NO_SERVER_RETRY,
            };
        };
        if now + expected > request.expires {
            let excess = expected.saturating_sub(request.expires.since(now));
            return GroupVerdict::Refused {
                retry_after: excess.max(MIN_RETRY),
            };
        }
        let returned = request.rank.attempt == CallerAttempt::Retry;
        if !request.holding && !returned && now + expected > request.due {
            let backlog = self.late_backlog(now);
            if backlog > MAX_LATE_BACKLOG {
                return GroupVerdict::Refused {
                    retry_after: backlog - MAX_LATE_BACKLOG + MIN_RETRY,
                };
            }
        }
        self.queue.push(now, request);
        GroupVerdict::Queued { expected }
    }

    /// Estimates the time until a group would be done: the work ahead of it at the pace of the
    /// pool, and its own call; none if the pool has no server.
    fn expected_time(&self, now: MonoTime, request: &GroupRequest) -> Option<Duration> {
        let own = self.times.call([(request.kind.as_str(), request.pieces)]);
        let late = now + own > request.due;
        let rate = self.rate(now);
        let (timely, ahead) = self
            .queue
            .work_ahead(now, request, late, &self.times, &rate);
        let ahead = ahead.span().div_f64(self.late_pace);
        rate.has_servers()
            .then_some(rate.wait + timely.span() + ahead + own)
    }

    /// Returns how fast the servers that are present make pieces.
    fn rate(&self, now: MonoTime) -> PoolRate {
        let servers = || self.servers.values().filter(|server| server.is_present());
        let free_at = servers().map(|server| server.free_at(now)).min();
        let batch = u32::try_from(self.policy.pool.batch.max(1)).unwrap_or(u32::MAX);
        PoolRate {
            wait: free_at.map_or(Duration::ZERO, |at| at.since(now)),
            servers: servers().map(|server| 1.0 / server.slowness()).sum(),
            fixed_time: self.policy.pool.call_time / batch,
            hold_time: self.hold_time,
            room_bytes: self.policy.pool.room_bytes.max(1),
        }
    }

    /// Returns the time that the pool needs for the groups that wait although they have lost
    /// their objective.
    fn late_backlog(&self, now: MonoTime) -> Duration {
        let rate = self.rate(now);
        let (_, late) = self.queue.work(now, &self.times, &rate);
        late.span()
    }

    /// Returns the expected wait of a timely group that would be offered now, for the deadline
    /// plan of requests that come to this pool later.
    pub fn forecast(&self, now: MonoTime) -> Duration {
        let rate = self.rate(now);
        if !rate.has_servers() {
            return NO_SERVER_RETRY;
        }
        let (timely, _) = self.queue.work(now, &self.times, &rate);
        rate.wait + timely.span()
    }

    /// Forgets a group whose request has ended. Results that are made for it later are freed.
    pub fn withdraw(&mut self, ticket: GroupTicket) {
        self.queue.remove(ticket);
    }

    /// Returns a call that should be sent now; called until there is none.
    pub fn next_call(&mut self, now: MonoTime) -> Option<CallPlan> {
        for server in self.servers.values_mut() {
            server.drop_expired(now);
        }
        let idle: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(_, state)| state.is_idle(now))
            .map(|(server, _)| server.clone())
            .collect();
        if idle.is_empty() || self.queue.waiting() == 0 {
            return None;
        }
        let order = self.queue.order(now, &self.times, &self.rate(now));
        if self.can_wait(now, idle.len(), &order) {
            return None;
        }
        let server = self.choose_server(now, &idle, &order)?;
        let pieces = self.fill_call(now, &server, &order);
        if pieces.is_empty() {
            return None;
        }
        if let Some(part) = late_part(&order, &pieces) {
            let pace = self.late_pace + NEW_PACE_PART * (part - self.late_pace);
            self.late_pace = pace.max(MIN_LATE_PACE);
        }
        Some(self.start_call(now, server, pieces))
    }

    fn start_call(&mut self, now: MonoTime, server: ServerId, pieces: Vec<WorkPiece>) -> CallPlan {
        let mut kinds: Vec<(String, usize)> = Vec::new();
        let mut bytes = Vec::with_capacity(pieces.len());
        for piece in &pieces {
            let (kind, size) = self.queue.take(*piece);
            bytes.push(size);
            match kinds.iter_mut().find(|(known, _)| *known == kind) {
                Some((_, count)) => *count += 1,
                None => kinds.push((kind, 1)),
            }
        }
        let counts = kinds.iter().map(|(kind, count)| (kind.as_str(), *count));
        let expected = self.times.call(counts);
        let mut slowness = 1.0;
        if let Some(state) = self.servers.get_mut(&server) {
            slowness = state.slowness().max(1.0);
            state.begin_call(now + expected.mul_f64(slowness), bytes.iter().sum());
        }
        self.last_call += 1;
        self.last_start = now;
        let scaled = expected.mul_f64(slowness);
        let plan = CallPlan {
            call: self.last_call,
            server: server.clone(),
            pieces: pieces.clone(),
            timeout: scaled.mul_f64(TIMEOUT_FACTOR).max(scaled + TIMEOUT_SLACK),
        };
        let running = RunningCall {
            server,
            pieces,
            kinds,
            bytes,
            started: now,
            expected,
        };
        self.calls.insert(self.last_call, running);
        plan
    }

    /// Notes how a call ended and returns what became of pieces that are not tried again.
    pub fn finish_call(
        &mut self,
        now: MonoTime,
        call: u64,
        outcome: CallOutcome,
    ) -> Vec<PieceDelivery> {
        let Some(running) = self.calls.remove(&call) else {
            return Vec::new();
        };
        let taken = now.since(running.started);
        if let Some(state) = self.servers.get_mut(&running.server) {
            state.end_call(running.bytes.iter().sum());
            match &outcome {
                CallOutcome::Answered(_) => state.note_answer(taken, running.expected),
                CallOutcome::Refused { pause } => state.note_refused(now, *pause),
                CallOutcome::Failed => {
                    state.note_answer(taken.max(running.expected), running.expected);
                    state.note_failed(now);
                }
            }
            let ordinary = (0.6..=SLOW_RATIO).contains(&state.slowness());
            if ordinary && matches!(outcome, CallOutcome::Answered(_)) {
                self.times.learn(&running.kinds, taken);
            }
        }
        match outcome {
            CallOutcome::Answered(results) => self.deliver(now, &running, results),
            CallOutcome::Refused { .. } | CallOutcome::Failed => {
                let again = running.pieces.iter();
                again.filter_map(|piece| self.try_again(*piece)).collect()
            }
        }
    }

    fn deliver(
        &mut self,
        now: MonoTime,
        running: &RunningCall,
        results: Vec<PieceResult>,
    ) -> Vec<PieceDelivery> {
        let mut deliveries = Vec::new();
        let all = results
            .into_iter()
            .chain(std::iter::repeat(PieceResult::Failed));
        for ((piece, bytes), result) in running.pieces.iter().zip(&running.bytes).zip(all) {
            match result {
                PieceResult::Made(handle) => {
                    if let Some(delivery) = self.take_result(now, running, *piece, handle, *bytes) {
                        deliveries.push(delivery);
                    }
                }
                PieceResult::NoRoom => {
                    if let Some(state) = self.servers.get_mut(&running.server) {
                        state.note_no_room(now);
                    }
                    self.queue.put_back_untried(*piece);
                }
                PieceResult::Failed => deliveries.extend(self.try_again(*piece)),
                PieceResult::Late | PieceResult::InputGone => {
                    if self.queue.finish(*piece) {
                        deliveries.push(PieceDelivery {
                            piece: *piece,
                            result,
                        });
                    }
                }
            }
        }
        deliveries
    }

    fn take_result(
        &mut self,
        now: MonoTime,
        running: &RunningCall,
        piece: WorkPiece,
        handle: PieceHandle,
        bytes: u64,
    ) -> Option<PieceDelivery> {
        if let Some(state) = self.servers.get_mut(&running.server) {
            let until = now + self.policy.pool.result_lifetime;
            state.hold(handle.clone(), bytes, running.started, until);
        }
        if !self.queue.finish(piece) {
            // It was noted as held just before.
            let _ = self.release(now, &[handle]);
            return None;
        }
        Some(PieceDelivery {
            piece,
            result: PieceResult::Made(handle),
        })
    }

    fn try_again(&mut self, piece: WorkPiece) -> Option<PieceDelivery> {
        if self.queue.put_back(piece, MAX_TRIES) || !self.queue.finish(piece) {
            return None;
        }
        Some(PieceDelivery {
            piece,
            result: PieceResult::Failed,
        })
    }

    /// Removes the waiting pieces that can't be made before their group expires, as soon as that
    /// is known: late groups also when the work ahead of them outlasts their time.
    pub fn drop_expired(&mut self, now: MonoTime) -> Vec<PieceDelivery> {
        let mut expired = self.queue.expired(now, &self.times);
        expired.extend(self.hopeless(now));
        let pieces = expired
            .into_iter()
            .flat_map(|ticket| self.queue.take_all(ticket));
        pieces
            .map(|piece| PieceDelivery {
                piece,
                result: PieceResult::Late,
            })
            .collect()
    }

    /// Lists the late groups for which too much work is ahead.
    fn hopeless(&self, now: MonoTime) -> Vec<GroupTicket> {
        let rate = self.rate(now);
        let (mut timely, mut late) = (PoolWork::default(), PoolWork::default());
        let mut hopeless = Vec::new();
        for OrderedGroup { group, class, .. } in self.queue.order(now, &self.times, &rate) {
            let work = rate.work(group, &self.times);
            if class <= WorkClass::Yielding {
                timely.add(work);
                continue;
            }
            let own = self.times.call([(group.kind.as_str(), group.waiting())]);
            let ahead = timely.span() + late.span().div_f64(self.late_pace);
            if rate.has_servers() && now + rate.wait + ahead + own > group.expires {
                hopeless.push(group.ticket);
            } else {
                late.add(work);
            }
        }
        hopeless
    }

    /// Returns the next point at which [`PoolBatcher::next_call`] may have a call although no
    /// call has ended and no group has come.
    pub fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        if self.queue.waiting() == 0 {
            return None;
        }
        let pauses = self.servers.values().filter(|server| server.is_present());
        pauses
            .map(PieceServer::paused_until)
            .filter(|until| *until > now)
            .min()
    }

    /// Returns the number of pieces that wait for a call.
    pub const fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Returns the number of calls in progress.
    pub const fn running(&self) -> usize {
        self.calls.len()
    }
}

/// Returns the part of a call that late work has; none if no late work waits.
fn late_part(order: &[OrderedGroup<'_>], pieces: &[WorkPiece]) -> Option<f64> {
    let mut late: Vec<GroupTicket> = order
        .iter()
        .filter(|ordered| ordered.class > WorkClass::Yielding)
        .map(|ordered| ordered.group.ticket)
        .collect();
    late.sort_unstable();
    let is_late = |piece: &&WorkPiece| late.binary_search(&piece.ticket).is_ok();
    let count = pieces.iter().filter(is_late).count();
    (!late.is_empty()).then(|| count as f64 / pieces.len().max(1) as f64)
}
