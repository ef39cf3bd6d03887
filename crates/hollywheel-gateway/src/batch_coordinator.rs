//! Batching of stage work: queues the pieces (work items) of many requests and sends them to
//! stage servers in batched calls.
//!
//! One host coordinates each shard of a pool. `PoolBatcher` decides what is admitted, batched and
//! sent where; this module performs the calls and reports their outcome.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use fail::fail_point;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use hollywheel_adapter::StagePiece;
use hollywheel_serving::{
    BatchPolicy, CallOutcome, CallPlan, CallerAttempt, GroupRequest, GroupTicket, GroupVerdict,
    PieceDelivery, PieceHandle, PieceResult, PoolBatcher, PoolShard, RequestRank, ServerRecord,
    StageInput, WorkPiece,
};
use hollywheel_types::{DomainId, MonoTime, PoolId, ServerId, SortedMap};

use crate::cold_servers::least_rate;
use crate::containment::TaskKind;
use crate::crash_evidence::{record_call_crash, record_pieces_made};
use crate::host::Host;
use crate::log::{log_line, millis};
use crate::metrics::{RankLabel, RefusalLabels};
use crate::stage_client::{FreeOutcome, free_at_servers, free_results, send_call, usable_server};

/// Interval at which waiting groups are checked for expiry and for servers whose pause has ended.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which the server list is read again even if no row has changed, since an entry
/// can also lapse with time.
const SERVER_REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Describes the pieces of one stage of one request, which are admitted or refused together.
#[derive(Clone, Debug)]
pub(crate) struct PieceGroup {
    pub(crate) pool: PoolId,
    pub(crate) shard: PoolShard,
    /// Pipeline and stage, which separate pieces of different cost.
    pub(crate) kind: String,
    /// Id that the caller gave to its request.
    pub(crate) attempt_id: String,
    pub(crate) stage: usize,
    pub(crate) piece_count: usize,
    /// Key from the caller by which servers find the data of the request.
    pub(crate) piece_key: String,
    pub(crate) input: StageInput,
    /// Size of the result of one piece.
    pub(crate) result_bytes: u64,
    /// Finish time that leaves later stages their share of the time until the objective.
    pub(crate) goal: MonoTime,
    /// Latest finish time at which the request is expected to meet its objective.
    pub(crate) due: MonoTime,
    /// Latest finish time at which the request is expected to meet its deadline.
    pub(crate) expires: MonoTime,
    pub(crate) rank: RequestRank,
    /// Digest of the name of the workspace; 0 if unknown.
    pub(crate) workspace: u64,
    /// Whether the request holds results of earlier stages, which occupy memory of their servers
    /// while this group waits.
    pub(crate) holding: bool,
    /// Failure domain in which the pieces move the fewest bytes between domains.
    pub(crate) domain: Option<DomainId>,
    /// Bytes that cross failure domains if the pieces run in another domain.
    pub(crate) pull_bytes: u64,
}

/// Outcome of a group of pieces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum GroupOutcome {
    /// Every piece has a result.
    Made(Vec<PieceHandle>),
    /// Admission control rejected the group: it cannot finish before it expires.
    Refused {
        /// Time after which a retry is likely to be admitted.
        retry_after: Duration,
    },
    /// The group expired before it finished.
    Late {
        /// Time after which the pool has executed what waits now; `None` if a host of an earlier
        /// version coordinates it.
        retry_after: Option<Duration>,
    },
    /// An input of the group is no longer stored.
    InputGone,
    /// No server produced the results.
    Failed,
}

/// A group whose request waits for its outcome, with the results produced so far.
struct PendingGroup {
    group: PieceGroup,
    admitted_at: MonoTime,
    /// Results by position; `None` for a piece without one so far.
    handles: Vec<Option<PieceHandle>>,
    reply: oneshot::Sender<GroupOutcome>,
}

/// Batcher of one pool shard and the groups that were admitted to it.
struct ShardQueue {
    /// Number of the queue, unique within the process; a call belongs to the queue that planned it.
    number: u64,
    batcher: PoolBatcher,
    groups: SortedMap<GroupTicket, PendingGroup>,
    /// Change number of the server registry when the server list was last read.
    listed_change: (u64, u64),
    listed_at: MonoTime,
}

/// Identifies a queue: a pool and a shard of it.
type ShardKey = (PoolId, PoolShard);

/// Queues of the pool shards that this host coordinates.
#[derive(Default)]
pub(crate) struct BatchCoordinator {
    queues: RefCell<SortedMap<ShardKey, ShardQueue>>,
    last_queue: Cell<u64>,
    last_ticket: Cell<u64>,
    group_added: Notify,
}

/// Withdraws a group when its request ends first.
struct GroupGuard<'a> {
    host: &'a Host,
    coordinator: &'a BatchCoordinator,
    key: ShardKey,
    ticket: GroupTicket,
}

impl Drop for GroupGuard<'_> {
    fn drop(&mut self) {
        let (host, ticket) = (self.host, self.ticket);
        let abandon = |queue: &mut ShardQueue| queue.abandon(host.now(), ticket);
        self.coordinator.with_queue(host, &self.key, abandon);
    }
}

impl ShardQueue {
    fn new(number: u64, policy: BatchPolicy) -> Self {
        Self {
            number,
            batcher: PoolBatcher::new(policy),
            groups: SortedMap::new(),
            listed_change: (0, 0),
            listed_at: MonoTime::default(),
        }
    }

    /// Withdraws a group and releases the results that were produced for it.
    fn abandon(&mut self, now: MonoTime, ticket: GroupTicket) {
        self.batcher.withdraw(ticket);
        if let Some(pending) = self.groups.remove(&ticket) {
            let made: Vec<PieceHandle> = pending.handles.into_iter().flatten().collect();
            // Every handle came from this batcher, so it returns none as unknown.
            let _ = self.batcher.release(now, &made);
        }
    }

    /// Records the outcome of pieces in their groups and ends the groups that are decided.
    fn deliver(&mut self, host: &Host, now: MonoTime, deliveries: Vec<PieceDelivery>) {
        for delivery in deliveries {
            let ticket = delivery.piece.ticket;
            let outcome = match delivery.result {
                PieceResult::Made(handle) => {
                    self.record_piece(now, ticket, delivery.piece.position, handle)
                }
                PieceResult::Late => Some(GroupOutcome::Late {
                    retry_after: Some(self.batcher.retry_after(now, ticket)),
                }),
                PieceResult::InputGone => Some(GroupOutcome::InputGone),
                PieceResult::NoRoom | PieceResult::Failed => Some(GroupOutcome::Failed),
            };
            if let Some(outcome) = outcome {
                self.end_group(host, now, ticket, outcome);
            }
        }
    }

    /// Records the result of a piece; returns the outcome of its group if that was the last one.
    fn record_piece(
        &mut self,
        now: MonoTime,
        ticket: GroupTicket,
        position: usize,
        handle: PieceHandle,
    ) -> Option<GroupOutcome> {
        let Some(pending) = self.groups.get_mut(&ticket) else {
            let _ = self.batcher.release(now, &[handle]);
            return None;
        };
        pending.handles[position] = Some(handle);
        let made: Option<Vec<PieceHandle>> = pending.handles.iter().cloned().collect();
        made.map(GroupOutcome::Made)
    }

    /// Removes a group and sends its outcome to the waiting request. Releases the results if the
    /// group failed or nobody waits.
    fn end_group(
        &mut self,
        host: &Host,
        now: MonoTime,
        ticket: GroupTicket,
        outcome: GroupOutcome,
    ) {
        let Some(pending) = self.groups.remove(&ticket) else {
            return;
        };
        count_outcome(host, &pending, &outcome);
        self.batcher.withdraw(ticket);
        let made: Vec<PieceHandle> = pending.handles.into_iter().flatten().collect();
        let complete = matches!(outcome, GroupOutcome::Made(_));
        // A request that has ended in the meantime no longer needs its results.
        if pending.reply.send(outcome).is_err() || !complete {
            let _ = self.batcher.release(now, &made);
        }
    }
}

impl BatchCoordinator {
    /// Adds the queue of a shard if it has none.
    fn add_queue(&self, key: &ShardKey, policy: BatchPolicy) {
        let mut queues = self.queues.borrow_mut();
        queues.get_or_insert_with(key.clone(), || {
            self.last_queue.set(self.last_queue.get() + 1);
            ShardQueue::new(self.last_queue.get(), policy)
        });
    }

    /// Calls a function with the queue of a shard, if it has one.
    ///
    /// A panic may leave the queue half changed: calls without an end would keep their servers busy
    /// and their pieces waiting for good. Such a queue is dropped, which fails its groups; the next
    /// group starts a new one.
    fn with_queue<T>(
        &self,
        host: &Host,
        key: &ShardKey,
        act: impl FnOnce(&mut ShardQueue) -> T,
    ) -> Option<T> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.get_mut(key)?;
        let panics = &host.panics;
        let acted = panics.contain_call(TaskKind::BatchQueue, "", || act(queue));
        if acted.is_err() {
            let half_changed = queues.remove(key);
            drop(queues);
            drop(half_changed);
        }
        acted.ok()
    }

    /// Lists the shards that have queues.
    fn shards(&self) -> Vec<ShardKey> {
        let queues = self.queues.borrow();
        queues.iter().map(|(key, _)| key.clone()).collect()
    }

    /// Admits a group and waits for its outcome. Dropping the future withdraws the group.
    pub(crate) async fn produce_group(&self, host: &Host, group: PieceGroup) -> GroupOutcome {
        let key = (group.pool.clone(), group.shard.clone());
        let Some(policy) = current_policy(host, &group.pool) else {
            return GroupOutcome::Failed;
        };
        let ticket = GroupTicket(self.last_ticket.get() + 1);
        self.last_ticket.set(ticket.0);
        let (reply, outcome) = oneshot::channel();
        self.add_queue(&key, policy);
        let admitted = self.with_queue(host, &key, |queue| {
            queue.batcher.set_policy(policy);
            refresh_servers(host, &key, queue);
            admit_group(host, queue, ticket, group, reply)
        });
        match admitted {
            Some(GroupVerdict::Queued { .. }) => {}
            Some(GroupVerdict::Refused { retry_after }) => {
                return GroupOutcome::Refused { retry_after };
            }
            None => return GroupOutcome::Failed,
        }
        let _guard = GroupGuard {
            host,
            coordinator: self,
            key: key.clone(),
            ticket,
        };
        self.dispatch_calls(host, &key);
        self.group_added.notify_one();
        outcome.await.unwrap_or(GroupOutcome::Failed)
    }

    /// Returns the queueing delay that a new group of a shard would see.
    pub(crate) fn forecast(
        &self,
        now: MonoTime,
        pool: &PoolId,
        shard: &PoolShard,
    ) -> Option<Duration> {
        let queues = self.queues.borrow();
        let queue = queues.get(&(pool.clone(), shard.clone()))?;
        Some(queue.batcher.forecast(now))
    }

    /// Releases results that are no longer needed. Those that the shard's batcher does not know
    /// are freed directly at their servers.
    pub(crate) fn release(
        &self,
        host: &Host,
        pool: &PoolId,
        shard: &PoolShard,
        handles: &[PieceHandle],
    ) {
        let key = (pool.clone(), shard.clone());
        let unknown = self.with_queue(host, &key, |queue| {
            fail_point!("batch.release");
            queue.batcher.release(host.now(), handles)
        });
        free_at_servers(host, unknown.as_deref().unwrap_or(handles));
    }

    /// Frees the released results that the batchers want freed now, such as those at servers that
    /// have little memory left.
    pub(crate) fn free_unneeded(&self, host: &Host) {
        let now = host.now();
        for key in self.shards() {
            let unneeded = self.with_queue(host, &key, |queue| queue.batcher.take_unneeded(now));
            for (server, handles) in unneeded.into_iter().flatten() {
                let free = free_and_confirm(host.clone(), key.clone(), server, handles);
                host.panics.spawn(TaskKind::ResultRelease, free);
            }
        }
    }

    /// Fails expired groups of a shard and sends every call that its batcher has ready.
    fn dispatch_calls(&self, host: &Host, key: &ShardKey) {
        self.with_queue(host, key, |queue| {
            let now = host.now();
            let expired = queue.batcher.drop_expired(now);
            queue.deliver(host, now, expired);
            while let Some(plan) = queue.batcher.next_call(now) {
                fail_point!("batch.planned");
                let pieces = plan_pieces(now, queue, &plan);
                let label = host.metrics.label(key.0.as_str());
                host.metrics.calls.get_or_create(&label).inc();
                let count = u64::try_from(pieces.len()).unwrap_or(u64::MAX);
                host.metrics.call_pieces.get_or_create(&label).inc_by(count);
                let call = run_call(host.clone(), key.clone(), queue.number, plan, pieces);
                tokio::task::spawn_local(call);
            }
        });
    }

    /// Records what the outcome of a call says about pieces that crash servers.
    fn record_evidence(
        &self,
        host: &Host,
        key: &ShardKey,
        plan: &CallPlan,
        record: &ServerRecord,
        outcome: &CallOutcome,
    ) {
        let queues = self.queues.borrow();
        let groups = queues.get(key).map(|queue| &queue.groups);
        let stage_key = |piece: &WorkPiece| {
            let group = &groups?.get(&piece.ticket)?.group;
            Some((group.kind.as_str(), group.piece_key.as_str()))
        };
        match outcome {
            CallOutcome::ServerLost => {
                let pieces = plan.pieces.iter().filter_map(stage_key);
                record_call_crash(host, &plan.server, record, pieces);
            }
            CallOutcome::Answered(results) => {
                let made = plan.pieces.iter().zip(results);
                let made = made.filter(|(_, result)| matches!(result, PieceResult::Made(_)));
                record_pieces_made(host, made.filter_map(|(piece, _)| stage_key(piece)));
            }
            CallOutcome::AtLimit { .. } | CallOutcome::Failed | CallOutcome::Refused { .. } => {}
        }
    }

    /// Reports the outcome of a call to its batcher and sends the calls that it makes possible. The
    /// results of a call whose queue was dropped are freed.
    fn finish(
        &self,
        host: &Host,
        key: &ShardKey,
        number: u64,
        plan: &CallPlan,
        outcome: CallOutcome,
    ) {
        let (call, server) = (plan.call, &plan.server);
        let is_current = |queue: &ShardQueue| queue.number == number;
        if !self.queues.borrow().get(key).is_some_and(is_current) {
            free_at_servers(host, &outcome.into_handles());
            return;
        }
        self.with_queue(host, key, |queue| {
            fail_point!("batch.finish");
            let now = host.now();
            note_slowdown(host, queue, server);
            let deliveries = queue.batcher.finish_call(now, call, outcome);
            queue.deliver(host, now, deliveries);
        });
        self.dispatch_calls(host, key);
    }
}

/// Offers a group to the batcher of a queue, and keeps it there if it is admitted.
fn admit_group(
    host: &Host,
    queue: &mut ShardQueue,
    ticket: GroupTicket,
    group: PieceGroup,
    reply: oneshot::Sender<GroupOutcome>,
) -> GroupVerdict {
    fail_point!("batch.offer");
    let request = GroupRequest {
        ticket,
        kind: group.kind.clone(),
        pieces: group.piece_count,
        result_bytes: group.result_bytes,
        goal: group.goal,
        due: group.due,
        expires: group.expires,
        rank: group.rank,
        workspace: group.workspace,
        holding: group.holding,
        domain: group.domain.clone(),
        pull_bytes: group.pull_bytes,
    };
    let verdict = queue.batcher.offer(host.now(), request);
    if let GroupVerdict::Refused { retry_after } = verdict {
        let reason = match queue.batcher.has_servers(host.now()) {
            true => "would-expire",
            false => "no-server",
        };
        count_refusal(host, &group.pool, reason);
        log_refusal(host, &queue.batcher, &group, retry_after);
        return verdict;
    }
    let now = host.now();
    if group.due < now {
        let label = host.metrics.label(group.pool.as_str());
        host.metrics.late_groups.get_or_create(&label).inc();
    }
    let pending = PendingGroup {
        admitted_at: now,
        handles: vec![None; group.piece_count],
        group,
        reply,
    };
    queue.groups.insert(ticket, pending);
    verdict
}

/// Counts a group that gets no results from its pool.
fn count_refusal(host: &Host, pool: &PoolId, reason: &'static str) {
    let labels = RefusalLabels {
        name: host.metrics.label(pool.as_str()).name,
        reason,
    };
    host.metrics.refused_groups.get_or_create(&labels).inc();
}

/// Counts the outcome of an admitted group.
fn count_outcome(host: &Host, pending: &PendingGroup, outcome: &GroupOutcome) {
    match outcome {
        GroupOutcome::Made(_) => {
            let label = RankLabel {
                rank: u32::from(pending.group.rank.workspace),
            };
            let took = host.now().since(pending.admitted_at);
            let seconds = host.metrics.group_seconds.get_or_create(&label);
            seconds.observe(took.as_secs_f64());
        }
        GroupOutcome::Late { .. } => count_refusal(host, &pending.group.pool, "expired"),
        GroupOutcome::Refused { .. } | GroupOutcome::InputGone | GroupOutcome::Failed => {}
    }
}

fn log_refusal(host: &Host, batcher: &PoolBatcher, group: &PieceGroup, retry_after: Duration) {
    let now = host.now();
    log_line!(
        host,
        info,
        PiecesRefused,
        request = group.attempt_id,
        pool = %group.pool,
        stage = group.stage,
        pieces = group.piece_count,
        workspace_rank = group.rank.workspace,
        pipeline_rank = group.rank.pipeline,
        returned = group.rank.attempt == CallerAttempt::Retry,
        waiting = batcher.waiting(),
        running = batcher.running(),
        late_ms = millis(now.since(group.due)),
        remaining_ms = millis(group.expires.since(now)),
        retry_after_ms = millis(retry_after)
    );
}

/// Returns the batching policy of a pool in the active configuration.
fn current_policy(host: &Host, pool: &PoolId) -> Option<BatchPolicy> {
    let set = host.serving_set()?;
    set.piece_pool(pool).map(|pool| BatchPolicy { pool: *pool })
}

/// Passes the usable servers of a shard to its batcher if the list may have changed.
fn refresh_servers(host: &Host, key: &ShardKey, queue: &mut ShardQueue) {
    let limits = host.limits.borrow();
    queue
        .batcher
        .set_limits(|server| least_rate(limits.limit(server), host.cold_rate(server)));
    let is_cold = |server: &ServerId| host.cold_rate(server).is_some();
    queue.batcher.set_cold(is_cold);
    let change = (
        host.registry.borrow().change(),
        host.evacuations.borrow().change(),
    );
    let now = host.now();
    if queue.listed_change == change && now.since(queue.listed_at) < SERVER_REFRESH_INTERVAL {
        return;
    }
    queue.listed_change = change;
    queue.listed_at = now;
    // The shard of an evacuated failure domain gets no new pieces; those that wait are sent to the
    // other servers of the pool.
    let shard_domain = key.1.domain();
    let is_evacuated = shard_domain.is_some_and(|domain| host.is_evacuated(domain));
    let servers = host.pool_servers(&key.0, None).into_iter();
    let servers = servers.filter(|(_, record)| is_evacuated || key.1.holds(record));
    queue
        .batcher
        .set_servers(servers.map(|(server, record)| (server, record.domain, record.born)));
    // A server that was just added may be cold.
    queue.batcher.set_cold(is_cold);
}

/// Passes the slowdown that a server reported last to the batcher.
fn note_slowdown(host: &Host, queue: &mut ShardQueue, server: &ServerId) {
    let reported = host.loads.borrow().reported_slowdown(server);
    queue.batcher.note_slowdown(server, reported);
}

/// Builds the request entries for the pieces of a planned call.
fn plan_pieces(now: MonoTime, queue: &ShardQueue, plan: &CallPlan) -> Vec<StagePiece> {
    let pieces = plan.pieces.iter().filter_map(|piece| {
        let group = &queue.groups.get(&piece.ticket)?.group;
        let remaining = group.expires.since(now).as_millis();
        Some(StagePiece {
            attempt: group.attempt_id.clone(),
            stage: group.stage,
            position: piece.position,
            remaining_ms: u64::try_from(remaining).unwrap_or(u64::MAX),
            key: group.piece_key.clone(),
            input: group.input.clone(),
        })
    });
    pieces.collect()
}

/// Dispatches waiting groups at a fixed interval, so that they also make progress while no call
/// ends and no new group arrives.
pub(crate) async fn run_dispatch_timer(host: Host) {
    loop {
        fail_point!("batches.round");
        let coordinator = &host.coordinator;
        let mut waiting = coordinator.shards();
        waiting.retain(|key| {
            let has_work = coordinator.with_queue(&host, key, |queue| {
                let has_work = queue.batcher.waiting() > 0;
                if has_work {
                    refresh_servers(&host, key, queue);
                }
                has_work
            });
            has_work.unwrap_or(false)
        });
        if waiting.is_empty() {
            host.coordinator.group_added.notified().await;
        }
        for key in &waiting {
            host.coordinator.dispatch_calls(&host, key);
        }
        tokio::time::sleep(DISPATCH_INTERVAL).await;
    }
}

/// Performs one batched call and reports its outcome to the queue with the given number. A call that
/// panics has failed, so that its pieces are made again.
async fn run_call(host: Host, key: ShardKey, number: u64, plan: CallPlan, pieces: Vec<StagePiece>) {
    let call = perform_call(&host, &key, &plan, &pieces);
    let outcome = host.panics.contain(TaskKind::StageCall, "", call).await;
    let outcome = outcome.unwrap_or(CallOutcome::Failed);
    host.coordinator.finish(&host, &key, number, &plan, outcome);
}

/// Sends one batched call and waits for its answer within its time-out.
async fn perform_call(
    host: &Host,
    key: &ShardKey,
    plan: &CallPlan,
    pieces: &[StagePiece],
) -> CallOutcome {
    fail_point!("batch.call");
    let started = host.now();
    let record = usable_server(host, &plan.server, None);
    let call = send_call(host, &plan.server, record.clone(), pieces);
    let outcome = timeout(plan.timeout, call)
        .await
        .unwrap_or(CallOutcome::Failed);
    fail_point!("batch.answered");
    let all_produced = matches!(&outcome, CallOutcome::Answered(results)
        if results.iter().all(|result| matches!(result, PieceResult::Made(_))));
    // A call that was not sent because of a limit is planned again, in most cases for another server.
    let at_limit = matches!(&outcome, CallOutcome::AtLimit { .. });
    if !all_produced && !at_limit {
        log_line!(
            host,
            info,
            CallEnded,
            pool = %key.0,
            server = %plan.server,
            pieces = pieces.len(),
            outcome = outcome_name(&outcome),
            took_ms = millis(host.now().since(started)),
            timeout_ms = millis(plan.timeout)
        );
    }
    if let Some(record) = record {
        host.coordinator
            .record_evidence(host, key, plan, &record, &outcome);
    }
    outcome
}

/// Returns the logged name of a call's outcome; an answered call is named by its first piece
/// without a result.
fn outcome_name(outcome: &CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Refused { .. } => "refused",
        CallOutcome::AtLimit { .. } => "at limit",
        CallOutcome::Failed => "failed",
        CallOutcome::ServerLost => "server lost",
        CallOutcome::Answered(results) => results
            .iter()
            .find_map(|result| match result {
                PieceResult::Made(_) => None,
                PieceResult::Late => Some("late"),
                PieceResult::InputGone => Some("input gone"),
                PieceResult::NoRoom => Some("no room"),
                PieceResult::Failed => Some("piece failed"),
            })
            .unwrap_or("made"),
    }
}

/// Frees results at a server; the batcher counts their memory as free once the server has
/// confirmed it.
async fn free_and_confirm(host: Host, key: ShardKey, server: ServerId, handles: Vec<PieceHandle>) {
    fail_point!("release.call");
    let outcome = free_results(&host, &server, &handles).await;
    host.coordinator.with_queue(&host, &key, |queue| {
        note_slowdown(&host, queue, &server);
        match outcome {
            FreeOutcome::Freed => queue.batcher.confirm_freed(&server, &handles),
            FreeOutcome::AtLimit => queue.batcher.defer_unneeded(&server, handles),
            FreeOutcome::Failed => {}
        }
    });
    if outcome != FreeOutcome::Freed {
        return;
    }
    host.coordinator.dispatch_calls(&host, &key);
}
