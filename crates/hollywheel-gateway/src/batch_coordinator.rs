//! The duty of collecting the pieces for a pool: the calls around its batcher.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use hollywheel_adapter::StagePiece;
use hollywheel_serving::{
    BatchPolicy, CallOutcome, CallPlan, CallerAttempt, GroupRequest, GroupTicket, GroupVerdict,
    PieceDelivery, PieceHandle, PieceResult, PoolBatcher, PoolShard, RequestRank, StageInput,
};
use hollywheel_types::{DomainId, MonoTime, PoolId, ServerId, SortedMap};

use crate::host::Host;
use crate::log::{log_line, millis};
use crate::stage_client::{free_at_servers, free_results, send_call, usable_server};

/// Groups that wait are looked at this often for those that have expired and for servers whose
/// pause has ended.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Servers whose entries may have lapsed are listed anew this often.
const SERVER_REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Holds the order of one stage's pieces.
#[derive(Clone, Debug)]
pub(crate) struct PieceGroup {
    pub(crate) pool: PoolId,
    pub(crate) shard: PoolShard,
    pub(crate) kind: String,
    pub(crate) attempt: String,
    pub(crate) stage: usize,
    pub(crate) pieces: usize,
    pub(crate) key: String,
    pub(crate) input: StageInput,
    pub(crate) result_bytes: u64,
    pub(crate) goal: MonoTime,
    pub(crate) due: MonoTime,
    pub(crate) expires: MonoTime,
    pub(crate) rank: RequestRank,
    /// Whether the request holds results of other stages, which keep room while it waits.
    pub(crate) holding: bool,
    pub(crate) domain: Option<DomainId>,
    pub(crate) pull_bytes: u64,
}

/// Says what became of the pieces of a stage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum GroupOutcome {
    /// All were made.
    Made(Vec<PieceHandle>),
    /// They can't be made in time.
    Refused {
        /// When the request may come back with hope.
        retry_after: Duration,
    },
    /// Their time was over.
    Late,
    /// A result that they are made from is gone.
    InputGone,
    /// No server could make them.
    Failed,
}

struct PendingGroup {
    group: PieceGroup,
    handles: Vec<Option<PieceHandle>>,
    reply: oneshot::Sender<GroupOutcome>,
}

struct ShardQueue {
    batcher: PoolBatcher,
    groups: SortedMap<GroupTicket, PendingGroup>,
    listed_change: u64,
    listed_at: MonoTime,
}

/// Names what one batcher works for.
type ShardKey = (PoolId, PoolShard);

/// Holds the shards of pools whose pieces this host collects.
#[derive(Default)]
pub(crate) struct BatchCoordinator {
    queues: RefCell<SortedMap<ShardKey, ShardQueue>>,
    last_ticket: Cell<u64>,
    group_added: Notify,
}

/// Withdraws a group whose request ends before it does.
struct GroupGuard<'a> {
    host: &'a Host,
    coordinator: &'a BatchCoordinator,
    key: ShardKey,
    ticket: GroupTicket,
}

impl Drop for GroupGuard<'_> {
    fn drop(&mut self) {
        if let Some(queue) = self.coordinator.queues.borrow_mut().get_mut(&self.key) {
            queue.abandon(self.host.now(), self.ticket);
        }
    }
}

impl ShardQueue {
    fn new(policy: BatchPolicy) -> Self {
        Self {
            batcher: PoolBatcher::new(policy),
            groups: SortedMap::new(),
            listed_change: 0,
            listed_at: MonoTime::default(),
        }
    }

    /// Forgets a group and frees what was made for it.
    fn abandon(&mut self, now: MonoTime, ticket: GroupTicket) {
        self.batcher.withdraw(ticket);
        if let Some(pending) = self.groups.remove(&ticket) {
            let made: Vec<PieceHandle> = pending.handles.into_iter().flatten().collect();
            // All were made by this batcher, which knows them.
            let _ = self.batcher.release(now, &made);
        }
    }

    /// Passes what became of pieces on to their groups.
    fn deliver(&mut self, now: MonoTime, deliveries: Vec<PieceDelivery>) {
        for delivery in deliveries {
            let ticket = delivery.piece.ticket;
            let end = match delivery.result {
                PieceResult::Made(handle) => {
                    self.record_piece(now, ticket, delivery.piece.position, handle)
                }
                PieceResult::Late => Some(GroupOutcome::Late),
                PieceResult::InputGone => Some(GroupOutcome::InputGone),
                PieceResult::NoRoom | PieceResult::Failed => Some(GroupOutcome::Failed),
            };
            if let Some(end) = end {
                self.end_group(now, ticket, end);
            }
        }
    }

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

    fn end_group(&mut self, now: MonoTime, ticket: GroupTicket, end: GroupOutcome) {
        let Some(pending) = self.groups.remove(&ticket) else {
            return;
        };
        self.batcher.withdraw(ticket);
        let made: Vec<PieceHandle> = pending.handles.into_iter().flatten().collect();
        let complete = matches!(end, GroupOutcome::Made(_));
        // The request may have ended in between; its results are not needed then.
        if pending.reply.send(end).is_err() || !complete {
            let _ = self.batcher.release(now, &made);
        }
    }
}

impl BatchCoordinator {
    /// Makes the pieces of a group. Dropping the future withdraws it.
    pub(crate) async fn produce_group(&self, host: &Host, group: PieceGroup) -> GroupOutcome {
        let key = (group.pool.clone(), group.shard.clone());
        let Some(policy) = current_policy(host, &group.pool) else {
            return GroupOutcome::Failed;
        };
        let ticket = GroupTicket(self.last_ticket.get() + 1);
        self.last_ticket.set(ticket.0);
        let now = host.now();
        let (reply, end) = oneshot::channel();
        {
            let mut queues = self.queues.borrow_mut();
            let queue = queues.get_or_insert_with(key.clone(), || ShardQueue::new(policy));
            queue.batcher.set_policy(policy);
            refresh_servers(host, &key, queue);
            let request = GroupRequest {
                ticket,
                kind: group.kind.clone(),
                pieces: group.pieces,
                result_bytes: group.result_bytes,
                goal: group.goal,
                due: group.due,
                expires: group.expires,
                rank: group.rank,
                holding: group.holding,
                domain: group.domain.clone(),
                pull_bytes: group.pull_bytes,
            };
            if let GroupVerdict::Refused { retry_after } = queue.batcher.offer(now, request) {
                log_refusal(host, &queue.batcher, &group, retry_after);
                return GroupOutcome::Refused { retry_after };
            }
            let pending = PendingGroup {
                handles: vec![None; group.pieces],
                group,
                reply,
            };
            queue.groups.insert(ticket, pending);
        }
        let _guard = GroupGuard {
            host,
            coordinator: self,
            key: key.clone(),
            ticket,
        };
        self.dispatch_calls(host, &key);
        self.group_added.notify_one();
        end.await.unwrap_or(GroupOutcome::Failed)
    }

    /// Returns the wait that a later group of a shard would meet.
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

    /// Notes that results are not needed any more. Those that were made for another batcher are
    /// freed at their servers.
    pub(crate) fn release(
        &self,
        host: &Host,
        pool: &PoolId,
        shard: &PoolShard,
        handles: &[PieceHandle],
    ) {
        let mut queues = self.queues.borrow_mut();
        match queues.get_mut(&(pool.clone(), shard.clone())) {
            Some(queue) => free_at_servers(host, &queue.batcher.release(host.now(), handles)),
            None => free_at_servers(host, handles),
        }
    }

    /// Frees results that are not needed any more at servers that have little room left.
    pub(crate) fn free_unneeded(&self, host: &Host) {
        let now = host.now();
        for (key, queue) in self.queues.borrow_mut().iter_mut() {
            for (server, handles) in queue.batcher.take_unneeded(now) {
                let free = free_and_confirm(host.clone(), key.clone(), server, handles);
                tokio::task::spawn_local(free);
            }
        }
    }

    /// Sends the calls that are due.
    fn dispatch_calls(&self, host: &Host, key: &ShardKey) {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(key) else {
            return;
        };
        let now = host.now();
        let expired = queue.batcher.drop_expired(now);
        queue.deliver(now, expired);
        while let Some(plan) = queue.batcher.next_call(now) {
            let pieces = plan_pieces(now, queue, &plan);
            let name = host.metrics.label(key.0.as_str());
            host.metrics.calls.get_or_create(&name).inc();
            let count = u64::try_from(pieces.len()).unwrap_or(u64::MAX);
            host.metrics.call_pieces.get_or_create(&name).inc_by(count);
            let call = run_call(host.clone(), key.clone(), plan, pieces);
            tokio::task::spawn_local(call);
        }
    }

    fn finish(&self, host: &Host, key: &ShardKey, call: u64, outcome: CallOutcome) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            let now = host.now();
            let deliveries = queue.batcher.finish_call(now, call, outcome);
            queue.deliver(now, deliveries);
        }
        self.dispatch_calls(host, key);
    }
}

fn log_refusal(host: &Host, batcher: &PoolBatcher, group: &PieceGroup, retry_after: Duration) {
    let now = host.now();
    log_line!(
        host,
        info,
        PiecesRefused,
        request = group.attempt,
        pool = %group.pool,
        stage = group.stage,
        pieces = group.pieces,
        workspace_rank = group.rank.workspace,
        pipeline_rank = group.rank.pipeline,
        returned = group.rank.attempt == CallerAttempt::Returned,
        waiting = batcher.waiting(),
        running = batcher.running(),
        late_ms = millis(now.since(group.due)),
        remaining_ms = millis(group.expires.since(now)),
        retry_after_ms = millis(retry_after)
    );
}

fn current_policy(host: &Host, pool: &PoolId) -> Option<BatchPolicy> {
    let set = host.serving_set()?;
    set.piece_pool(pool).map(|pool| BatchPolicy { pool: *pool })
}

fn refresh_servers(host: &Host, key: &ShardKey, queue: &mut ShardQueue) {
    let change = host.registry.borrow().change();
    let now = host.now();
    if queue.listed_change == change && now.since(queue.listed_at) < SERVER_REFRESH_INTERVAL {
        return;
    }
    queue.listed_change = change;
    queue.listed_at = now;
    let servers = host.pool_servers(&key.0).into_iter();
    let servers = servers.filter(|(_, record)| key.1.holds(record));
    queue
        .batcher
        .set_servers(servers.map(|(server, record)| (server, record.domain, record.born)));
}

fn plan_pieces(now: MonoTime, queue: &ShardQueue, plan: &CallPlan) -> Vec<StagePiece> {
    let pieces = plan.pieces.iter().filter_map(|piece| {
        let group = &queue.groups.get(&piece.ticket)?.group;
        let remaining = group.expires.since(now).as_millis();
        Some(StagePiece {
            attempt: group.attempt.clone(),
            stage: group.stage,
            position: piece.position,
            remaining_ms: u64::try_from(remaining).unwrap_or(u64::MAX),
            key: group.key.clone(),
            input: group.input.clone(),
        })
    });
    pieces.collect()
}

/// Looks after groups that wait while no call ends and no group comes.
pub(crate) async fn run_dispatch_timer(host: Host) {
    loop {
        let waiting: Vec<ShardKey> = {
            let mut queues = host.batches.queues.borrow_mut();
            queues
                .iter_mut()
                .filter(|(_, queue)| queue.batcher.waiting() > 0)
                .map(|(key, queue)| {
                    refresh_servers(&host, key, queue);
                    key.clone()
                })
                .collect()
        };
        if waiting.is_empty() {
            host.batches.group_added.notified().await;
        }
        for key in &waiting {
            host.batches.dispatch_calls(&host, key);
        }
        tokio::time::sleep(DISPATCH_INTERVAL).await;
    }
}

async fn run_call(host: Host, key: ShardKey, plan: CallPlan, pieces: Vec<StagePiece>) {
    let started = host.now();
    let record = usable_server(&host, &plan.server);
    let call = send_call(&host, &plan.server, record, &pieces);
    let outcome = timeout(plan.timeout, call)
        .await
        .unwrap_or(CallOutcome::Failed);
    let all_produced = matches!(&outcome, CallOutcome::Answered(results)
        if results.iter().all(|result| matches!(result, PieceResult::Made(_))));
    if !all_produced {
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
    host.batches.finish(&host, &key, plan.call, outcome);
}

/// Names the outcome of a call by the first piece that was not made.
fn outcome_name(outcome: &CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Refused { .. } => "refused",
        CallOutcome::Failed => "failed",
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

/// Frees results; their room counts as free once the server has answered.
async fn free_and_confirm(host: Host, key: ShardKey, server: ServerId, handles: Vec<PieceHandle>) {
    if !free_results(&host, &server, &handles).await {
        return;
    }
    if let Some(queue) = host.batches.queues.borrow_mut().get_mut(&key) {
        queue.batcher.confirm_freed(&server, &handles);
    }
    host.batches.dispatch_calls(&host, &key);
}
