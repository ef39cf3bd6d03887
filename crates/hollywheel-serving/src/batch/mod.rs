//! Batching of pieces of many requests, from all hosts, into calls to one pool.
//!
//! The servers of a piece pool need a fixed time for each call in addition to the time of its
//! pieces, so the pool reaches its capacity only if pieces of many requests share calls. One host,
//! or one for each shard, collects the pieces for a pool. This state machine decides which pieces
//! go into which call, and when.

mod choose;
mod fair_shares;
mod message;
mod queue;
mod results;
mod servers;

use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, RequestRate, ServerId, SortedMap};

use choose::SLOW_RATIO;
pub use message::{
    CallOutcome, CallPlan, GroupRequest, GroupTicket, GroupVerdict, PieceDelivery, PieceResult,
    WorkPiece,
};
use queue::{OrderedGroup, PoolOccupancy, PoolRate, WorkClass, WorkQueue};
use results::UnneededResults;
use servers::PieceServer;

use crate::call_time::CallTimes;
use crate::serving_set::PiecePool;
use crate::slowdown::ReportedSlowdown;
use crate::stage_graph::PieceHandle;

/// The retry delay given to a request while the pool has no known server. Server entries are read
/// within this time.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The fraction by which retry delays are spread, so that callers that were refused together do not
/// return in the same call.
const RETRY_SPREAD: f64 = 0.25;

/// The number of calls in which a piece is sent before it is reported as failed.
const MAX_PIECE_ATTEMPTS: u32 = 4;
/// The time-out of a call as a multiple of its expected time.
const TIMEOUT_FACTOR: f64 = 2.5;
/// The minimum delay from the expected end of a call to its time-out, so that retransmissions on a
/// lossy link do not end calls that would succeed.
const TIMEOUT_SLACK: Duration = Duration::from_millis(350);
/// Weight of the most recent call in the moving average of the share of late work. The average
/// follows a burst within about eight calls, which a pool of some servers starts in half a second.
const LATE_SHARE_WEIGHT: f64 = 0.12;
/// The minimum assumed share of late work in calls, since every burst ends.
const MIN_LATE_SHARE: f64 = 0.1;
/// The share of late work in calls from which timely work counts as not delaying it.
const FULL_LATE_SHARE: f64 = 0.9;
/// The least time between two searches for late groups that would expire behind the work ahead of
/// them. A search orders the whole queue; calls of a pool start less often than this.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The initial estimate of how long a result is needed, as a multiple of the fixed time of a call:
/// its own call and the next stage.
const INITIAL_HOLD_CALLS: u32 = 3;

/// Holds the settings of a batcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchPolicy {
    /// The limits of the servers of the pool.
    pub pool: PiecePool,
}

/// Holds a call in progress.
#[derive(Clone, Debug)]
struct RunningCall {
    server: ServerId,
    pieces: Vec<WorkPiece>,
    /// The number of pieces of each kind of work.
    kinds: Vec<(String, usize)>,
    /// The expected result size of each piece.
    bytes: Vec<u64>,
    started: MonoTime,
    /// The expected duration on a server of normal speed.
    expected: Duration,
    /// The slowdown that the server had reported before the call.
    slowdown_before: Option<ReportedSlowdown>,
}

/// Decides which pieces go into which call, for one pool or one of its shards.
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
    /// The mean time from the start of a call until its results are no longer needed.
    hold_time: Duration,
    /// The mean share of late work in calls that start while late work waits.
    late_share: f64,
    /// The time since which timely work has delayed late work.
    late_delayed_since: MonoTime,
    /// The time of the last search for late groups that would expire.
    expiry_checked_at: Option<MonoTime>,
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
            hold_time: policy.pool.call_time * INITIAL_HOLD_CALLS,
            late_share: 1.0,
            late_delayed_since: MonoTime::default(),
            expiry_checked_at: None,
        }
    }

    /// Replaces the limits of the pool.
    pub fn set_policy(&mut self, policy: BatchPolicy) {
        if policy != self.policy {
            self.times = CallTimes::new(policy.pool.call_time, policy.pool.piece_time);
            self.policy = policy;
        }
    }

    /// Replaces the list of servers, each with its failure domain and the start of its process.
    /// Calls in progress on a server that is no longer listed continue.
    pub fn set_servers(
        &mut self,
        listed: impl IntoIterator<Item = (ServerId, DomainId, Option<u64>)>,
    ) {
        for state in self.servers.values_mut() {
            state.mark_absent();
        }
        for (server, domain, born) in listed {
            match self.servers.get_mut(&server) {
                Some(state) => state.refresh(domain, born),
                None => {
                    self.servers.insert(server, PieceServer::new(domain, born));
                }
            }
        }
        self.servers.retain(|_, state| !state.is_removable());
    }

    /// Updates the limits on requests that the servers have named.
    pub fn set_limits(&mut self, limit: impl Fn(&ServerId) -> Option<RequestRate>) {
        for (server, state) in self.servers.iter_mut() {
            state.limit = limit(server);
        }
    }

    /// Records the slowdown that a server reported last, before the end of the call that it came with.
    pub fn note_slowdown(&mut self, server: &ServerId, reported: Option<ReportedSlowdown>) {
        if let Some(state) = self.servers.get_mut(server) {
            state.set_reported_slowdown(reported);
        }
    }

    /// Admits a group of pieces, or refuses it if it would expire before it is executed.
    ///
    /// In a burst above the capacity of the pool, a group that misses its objective waits behind
    /// those that can meet theirs. It is kept as long as the work ahead of it ends before its
    /// deadline; more urgent work is never behind it, so keeping it makes none of that expire.
    pub fn offer(&mut self, now: MonoTime, request: GroupRequest) -> GroupVerdict {
        let Some(expected) = self.expected_time(now, &request) else {
            return GroupVerdict::Refused {
                retry_after: NO_SERVER_RETRY_AFTER,
            };
        };
        if now + expected > request.expires {
            return GroupVerdict::Refused {
                retry_after: self.retry_after(now, request.ticket),
            };
        }
        self.queue.push(now, request);
        GroupVerdict::Queued { expected }
    }

    /// Returns the retry delay for a group that is refused or dropped now: the time in which the
    /// pool executes everything that waits, and up to a quarter more, by the ticket.
    ///
    /// It counts no work that is still to come: a caller that returns too early is told again, while
    /// one that returns after its deadline gets nothing.
    pub fn retry_after(&self, now: MonoTime, ticket: GroupTicket) -> Duration {
        let rate = self.rate(now);
        if !rate.has_servers() {
            return NO_SERVER_RETRY_AFTER;
        }
        let (mut backlog, late) = self.queue.work(now, &self.times, &rate);
        backlog.add(late);
        let idle = rate.wait + backlog.duration();
        let delay = idle.max(self.policy.pool.call_time);
        delay.mul_f64(1.0 + RETRY_SPREAD * spread_fraction(ticket))
    }

    /// Estimates the time until a group would be done: the work ahead of it at the throughput of
    /// the pool, and its own call; none if the pool has no server.
    fn expected_time(&self, now: MonoTime, request: &GroupRequest) -> Option<Duration> {
        let call_time = self.times.call([(request.kind.as_str(), request.pieces)]);
        let late = now + call_time > request.due;
        let rate = self.rate(now);
        let (timely, ahead) = self
            .queue
            .work_ahead(now, request, late, &self.times, &rate);
        let ahead = self.late_duration(now, ahead);
        rate.has_servers()
            .then_some(rate.wait + timely.duration() + ahead + call_time)
    }

    /// Estimates the time in which the pool executes late work beside the timely work that arrives.
    ///
    /// Timely work is expected to leave late work its recent share of the calls for half as long as it
    /// has done so, and the whole pool after that: bursts last a few seconds, while callers wait for
    /// 6 s or more. In a sustained overload this becomes the recent share.
    fn late_duration(&self, now: MonoTime, late: PoolOccupancy) -> Duration {
        let late = late.duration();
        let lost_share = 1.0 - self.late_share;
        let delayed_for = now.since(self.late_delayed_since) / 2;
        (late + delayed_for.mul_f64(lost_share)).min(late.div_f64(self.late_share))
    }

    /// Returns the throughput of the servers that are present.
    fn rate(&self, now: MonoTime) -> PoolRate {
        let servers = || self.servers.values().filter(|server| server.is_present());
        let free_at = servers().map(|server| server.free_at(now)).min();
        let batch = u32::try_from(self.policy.pool.batch.max(1)).unwrap_or(u32::MAX);
        let full_call = self.policy.pool.call_time + self.policy.pool.piece_time * batch;
        PoolRate {
            wait: free_at.map_or(Duration::ZERO, |at| at.since(now)),
            servers: servers().map(|server| server.throughput(full_call)).sum(),
            fixed_time: self.policy.pool.call_time / batch,
            hold_time: self.hold_time,
            room_bytes: self.policy.pool.room_bytes.max(1),
            batch: self.policy.pool.batch,
            call_time: self.policy.pool.call_time,
        }
    }

    /// Returns the expected queueing time of a timely group that would be offered now, for the
    /// deadline plans of requests that reach this pool in a later stage.
    pub fn forecast(&self, now: MonoTime) -> Duration {
        let rate = self.rate(now);
        if !rate.has_servers() {
            return NO_SERVER_RETRY_AFTER;
        }
        let (timely, _) = self.queue.work(now, &self.times, &rate);
        rate.wait + timely.duration()
    }

    /// Removes a group whose request has ended. Results that calls in progress still produce for it
    /// are freed.
    pub fn withdraw(&mut self, ticket: GroupTicket) {
        self.queue.remove(ticket);
    }

    /// Starts the next call that should be sent now. Callers repeat this until it returns none.
    pub fn next_call(&mut self, now: MonoTime) -> Option<CallPlan> {
        for server in self.servers.values_mut() {
            server.remove_expired(now);
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
        if self.should_delay_call(now, idle.len(), &order) {
            return None;
        }
        let server = self.choose_server(now, &idle, &order)?;
        let pieces = self.fill_call(now, &server, &order);
        if pieces.is_empty() {
            return None;
        }
        let fraction = late_fraction(&order, &pieces);
        self.learn_late_share(now, fraction);
        let rate = self.rate(now);
        self.queue.charge_call(&pieces, &self.times, &rate);
        Some(self.start_call(now, server, pieces))
    }

    /// Records which share of a call is late work; none if no late work waited.
    fn learn_late_share(&mut self, now: MonoTime, fraction: Option<f64>) {
        if fraction.is_none() || self.late_share > FULL_LATE_SHARE {
            self.late_delayed_since = now;
        }
        if let Some(fraction) = fraction {
            let share = self.late_share + LATE_SHARE_WEIGHT * (fraction - self.late_share);
            self.late_share = share.max(MIN_LATE_SHARE);
        }
    }

    /// Removes the pieces of a call from the queue and marks its server as busy.
    fn start_call(&mut self, now: MonoTime, server: ServerId, pieces: Vec<WorkPiece>) -> CallPlan {
        let mut kinds: Vec<(String, usize)> = Vec::new();
        let mut bytes = Vec::with_capacity(pieces.len());
        for piece in &pieces {
            let (kind, size) = self.queue.take_piece(*piece);
            bytes.push(size);
            match kinds.iter_mut().find(|(known, _)| *known == kind) {
                Some((_, count)) => *count += 1,
                None => kinds.push((kind, 1)),
            }
        }
        let counts = kinds.iter().map(|(kind, count)| (kind.as_str(), *count));
        let expected = self.times.call(counts);
        let mut longest = 1.0_f64;
        let mut slowdown_before = None;
        if let Some(state) = self.servers.get_mut(&server) {
            let slowness = state.slowness_at(now).max(1.0);
            // The slowdown of the last calls may return at any time.
            longest = slowness.max(state.slowness());
            slowdown_before = state.reported_slowdown();
            state.begin_call(now + expected.mul_f64(slowness), bytes.iter().sum());
        }
        self.last_call += 1;
        self.last_start = now;
        let scaled = expected.mul_f64(longest);
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
            slowdown_before,
        };
        self.calls.insert(self.last_call, running);
        plan
    }

    /// Records how a call ended; returns the outcomes of the pieces that are not retried.
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
            let slowdown = ReportedSlowdown::during_call(
                running.started,
                running.slowdown_before,
                state.reported_slowdown(),
            );
            match &outcome {
                CallOutcome::Answered(_) => state.note_answer(taken, running.expected, slowdown),
                CallOutcome::Refused { pause } => state.note_refused(now, *pause),
                CallOutcome::AtLimit { wait } => state.note_at_limit(now, *wait),
                CallOutcome::Failed | CallOutcome::ServerLost => {
                    state.note_answer(taken.max(running.expected), running.expected, slowdown);
                    state.note_failed(now);
                }
            }
            let ordinary = (0.6..=SLOW_RATIO).contains(&state.unexplained_slowness());
            if ordinary && matches!(outcome, CallOutcome::Answered(_)) {
                self.times.learn(&running.kinds, taken.div_f64(slowdown));
            }
        }
        match outcome {
            CallOutcome::Answered(results) => self.deliver(now, &running, results),
            CallOutcome::AtLimit { .. } => {
                for piece in &running.pieces {
                    self.queue.requeue_unexecuted(*piece);
                }
                Vec::new()
            }
            CallOutcome::Refused { .. } | CallOutcome::Failed | CallOutcome::ServerLost => {
                let pieces = running.pieces.iter();
                pieces
                    .filter_map(|piece| self.retry_piece(*piece))
                    .collect()
            }
        }
    }

    /// Requeues or finishes each piece of an answered call; returns the final outcomes.
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
                    if let Some(delivery) = self.accept_result(now, running, *piece, handle, *bytes)
                    {
                        deliveries.push(delivery);
                    }
                }
                PieceResult::NoRoom => {
                    if let Some(state) = self.servers.get_mut(&running.server) {
                        state.note_no_room(now);
                    }
                    self.queue.requeue_unexecuted(*piece);
                }
                PieceResult::Failed => deliveries.extend(self.retry_piece(*piece)),
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

    /// Records a result; it is released at once if its group was withdrawn.
    fn accept_result(
        &mut self,
        now: MonoTime,
        running: &RunningCall,
        piece: WorkPiece,
        handle: PieceHandle,
        bytes: u64,
    ) -> Option<PieceDelivery> {
        if let Some(state) = self.servers.get_mut(&running.server) {
            let until = now + self.policy.pool.result_lifetime;
            state.add_result(handle.clone(), bytes, running.started, until);
        }
        if !self.queue.finish(piece) {
            // No handle is unknown here: the result was recorded just above.
            let _ = self.release(now, &[handle]);
            return None;
        }
        Some(PieceDelivery {
            piece,
            result: PieceResult::Made(handle),
        })
    }

    /// Requeues a piece, or returns it as failed if no attempt is left.
    fn retry_piece(&mut self, piece: WorkPiece) -> Option<PieceDelivery> {
        if self.queue.requeue(piece, MAX_PIECE_ATTEMPTS) || !self.queue.finish(piece) {
            return None;
        }
        Some(PieceDelivery {
            piece,
            result: PieceResult::Failed,
        })
    }

    /// Removes the waiting pieces that can't be executed before their group expires; of late groups
    /// also those that would expire behind the work ahead of them.
    pub fn drop_expired(&mut self, now: MonoTime) -> Vec<PieceDelivery> {
        let mut expired = self.queue.expired(now, &self.times);
        let checked_at = self.expiry_checked_at;
        if checked_at.is_none_or(|at| now.since(at) >= EXPIRY_CHECK_INTERVAL) {
            self.expiry_checked_at = Some(now);
            expired.extend(self.certain_to_expire(now));
        }
        let pieces = expired
            .into_iter()
            .flat_map(|ticket| self.queue.take_group(ticket));
        pieces
            .map(|piece| PieceDelivery {
                piece,
                result: PieceResult::Late,
            })
            .collect()
    }

    /// Lists the late groups that would expire behind the work ahead of them. Groups whose request
    /// holds no results cost nothing while they wait, so they are kept as long as they could be served
    /// if no more timely work came.
    fn certain_to_expire(&self, now: MonoTime) -> Vec<GroupTicket> {
        let rate = self.rate(now);
        let (mut timely, mut late) = (PoolOccupancy::default(), PoolOccupancy::default());
        let mut expiring_groups = Vec::new();
        for OrderedGroup { group, class, .. } in self.queue.order(now, &self.times, &rate) {
            let work = rate.work(group, &self.times);
            if class <= WorkClass::Deferred {
                timely.add(work);
                continue;
            }
            let call_time = self.times.call([(group.kind.as_str(), group.waiting())]);
            let late_time = match class {
                WorkClass::LateHolding => self.late_duration(now, late),
                WorkClass::Timely | WorkClass::Deferred | WorkClass::Late => late.duration(),
            };
            let ahead = timely.duration() + late_time;
            if rate.has_servers() && now + rate.wait + ahead + call_time > group.expires {
                expiring_groups.push(group.ticket);
            } else {
                late.add(work);
            }
        }
        expiring_groups
    }

    /// Returns the next time at which [`PoolBatcher::next_call`] may start a call without any other
    /// event: the end of the first pause of a server. None if no piece waits.
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

    /// Returns whether the pool has a server that is present.
    pub fn has_servers(&self, now: MonoTime) -> bool {
        self.rate(now).has_servers()
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

/// Returns a number in 0..1 by which consecutive tickets are spread evenly (multiples of the golden
/// ratio).
fn spread_fraction(ticket: GroupTicket) -> f64 {
    const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
    (ticket.0 as f64 * GOLDEN_RATIO).fract()
}

/// Returns the fraction of a call that is late work; none if no late work waits.
fn late_fraction(order: &[OrderedGroup<'_>], pieces: &[WorkPiece]) -> Option<f64> {
    let mut late: Vec<GroupTicket> = order
        .iter()
        .filter(|ordered| ordered.class > WorkClass::Deferred)
        .map(|ordered| ordered.group.ticket)
        .collect();
    late.sort_unstable();
    let is_late = |piece: &&WorkPiece| late.binary_search(&piece.ticket).is_ok();
    let count = pieces.iter().filter(is_late).count();
    (!late.is_empty()).then(|| count as f64 / pieces.len().max(1) as f64)
}
