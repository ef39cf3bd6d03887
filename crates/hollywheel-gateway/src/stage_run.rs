//! The stages of one request, up to its final call.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use prost::Message;

use hollywheel_serving::{
    CallerAttempt, HostRecord, PieceHandle, PipelineRoute, PoolShard, RequestRank, ServerRecord,
    ServingSet, StageGraph, StageInput, StagePlan, StageTimes, choose_shard, least_wait,
};
use hollywheel_types::{DomainId, HostId, MonoTime, PoolId, ServerId, SortedMap};
use hollywheel_wire::serving::{PieceAnswer, PieceEnd, PieceOrder};

use crate::batch_coordinator::{GroupOutcome, PieceGroup};
use crate::host::Host;
use crate::log::{log_line, millis};
use crate::peer_client::{PIECES_PATH, PeerFailure};
use crate::peer_server::micros;
use crate::results::{HeldResults, ResultOwner};

/// Hosts that do not answer an order for pieces before its stage is given up.
const MAX_UNANSWERED_HOSTS: usize = 3;
/// Another host answers an order this long after its expiry at the latest.
const ANSWER_SLACK: Duration = Duration::from_millis(50);

/// Holds what the stages of a request need to know of it.
#[derive(Clone)]
pub(crate) struct StageContext {
    pub(crate) set: Rc<ServingSet>,
    pub(crate) pipeline: Rc<PipelineRoute>,
    pub(crate) attempt: String,
    pub(crate) piece_key: String,
    pub(crate) objective: MonoTime,
    pub(crate) deadline: MonoTime,
    pub(crate) rank: RequestRank,
    /// The domain of the engine that the final call will probably go to.
    pub(crate) domain: Option<DomainId>,
    pub(crate) tie_breaker: u64,
}

/// Says why the stages of a request have no results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StageFailure {
    /// A pool can't make the pieces in time.
    Refused {
        /// When the request may come back with hope.
        retry_after: Duration,
    },
    /// The time was over while they waited.
    Late,
    /// A result that others are made from is gone.
    InputGone,
    /// No server, or no host, could make them.
    Failed,
}

impl StageFailure {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Refused { .. } => "pool can't make it in time",
            Self::Late => "time was over while waiting",
            Self::InputGone => "input gone",
            Self::Failed => "no server could make it",
        }
    }
}

struct StageOutcome {
    stage: usize,
    shard: PoolShard,
    started: MonoTime,
    result: Result<(HostId, Vec<PieceHandle>), StageFailure>,
}

/// Runs all stages; returns the results that the final call takes, which stay held.
pub(crate) async fn run_stages(
    host: &Host,
    context: &StageContext,
    graph: &mut StageGraph,
    held_results: &HeldResults,
) -> Result<Vec<PieceHandle>, StageFailure> {
    let mut running = FuturesUnordered::new();
    loop {
        let times = stage_times(host, &context.set, &context.pipeline, graph);
        for stage in graph.start_ready(&times) {
            let holding = !held_results.is_empty();
            running.push(run_stage(host, context, graph, stage, &times, holding));
        }
        let Some(end) = running.next().await else {
            return Ok(graph.final_handles());
        };
        let pool = &context.pipeline.stages[end.stage].pool;
        let elapsed = host.now().since(end.started);
        let (coordinator, handles) = match end.result {
            Ok(made) => made,
            Err(failure) => {
                log_stage_failure(host, context, end.stage, failure, elapsed);
                return Err(failure);
            }
        };
        let name = host.metrics.label(pool.as_str());
        let seconds = host.metrics.stage_seconds.get_or_create(&name);
        seconds.observe(elapsed.as_secs_f64());
        host.forecast
            .borrow_mut()
            .learn_stage(&context.pipeline.name, end.stage, elapsed);
        let owner = ResultOwner {
            host: coordinator,
            pool: pool.clone(),
            shard: end.shard,
        };
        held_results.hold(owner, handles.clone());
        let unneeded = graph.finish(end.stage, handles);
        held_results.release(&unneeded);
    }
}

fn log_stage_failure(
    host: &Host,
    context: &StageContext,
    stage: usize,
    failure: StageFailure,
    elapsed: Duration,
) {
    let retry_after = match failure {
        StageFailure::Refused { retry_after } => Some(millis(retry_after)),
        StageFailure::Late | StageFailure::InputGone | StageFailure::Failed => None,
    };
    log_line!(
        host,
        info,
        StageEnded,
        request = context.attempt,
        pool = %context.pipeline.stages[stage].pool,
        stage,
        reason = failure.name(),
        took_ms = millis(elapsed),
        retry_after_ms = retry_after
    );
}

/// Returns the host that collects the pieces of a shard: this one if no host takes duties.
fn find_coordinator(host: &Host, pool: &PoolId, shard: &PoolShard) -> HostRecord {
    let hosts = host.hosts.borrow();
    let domain = shard.domain();
    let name = domain.map(ToString::to_string).unwrap_or_default();
    let order = hosts.duty_order(host.now(), &format!("pieces/{pool}/{name}"), domain);
    let first = order.into_iter().next();
    first.unwrap_or_else(|| host.own_record())
}

/// Returns the time that each stage of a request needs without any waiting.
fn work_times(set: &ServingSet, pipeline: &PipelineRoute, graph: &StageGraph) -> Vec<Duration> {
    let stages = pipeline.stages.iter().enumerate();
    stages
        .map(|(stage, step)| match graph.pieces(stage) {
            0 => Duration::ZERO,
            pieces => set.piece_pool(&step.pool).map_or(Duration::ZERO, |pool| {
                pool.call_time + pool.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
            }),
        })
        .collect()
}

/// Returns the expected time of each stage of a request.
pub(crate) fn stage_times(
    host: &Host,
    set: &ServingSet,
    pipeline: &PipelineRoute,
    graph: &StageGraph,
) -> Vec<Duration> {
    let forecast = host.forecast.borrow();
    let waits = host.pool_waits.borrow();
    let work = work_times(set, pipeline, graph).into_iter().enumerate();
    work.map(|(stage, work_time)| {
        if work_time.is_zero() {
            return work_time;
        }
        let reported_wait = least_wait(host.now(), waits.get(&pipeline.stages[stage].pool));
        forecast
            .stage(&pipeline.name, stage, work_time)
            .max(work_time + reported_wait)
    })
    .collect()
}

fn run_stage<'a>(
    host: &'a Host,
    context: &'a StageContext,
    graph: &StageGraph,
    stage: usize,
    times: &[Duration],
    holding: bool,
) -> impl Future<Output = StageOutcome> + 'a {
    let work = work_times(&context.set, &context.pipeline, graph);
    let plan = StagePlan::new(
        host.now(),
        context.objective,
        context.deadline,
        &StageTimes {
            work: work[stage],
            later_work: graph.time_after(stage, &work),
            later: graph.time_after(stage, times),
            first_answer: host.forecast.borrow().first_answer(&context.pipeline.name),
        },
    );
    let step = &context.pipeline.stages[stage];
    let servers = host.pool_servers(&step.pool);
    let input = graph.input(stage);
    let place = place_pieces(host, context, graph, stage, &input);
    let shard = choose_shard(
        host.now(),
        &servers,
        place.domain.as_ref(),
        host.pool_waits.borrow().get(&step.pool),
        context.tie_breaker,
    );
    let group = PieceGroup {
        pool: step.pool.clone(),
        shard: shard.clone(),
        kind: format!("{}/{stage}", context.pipeline.name),
        attempt: context.attempt.clone(),
        stage,
        pieces: graph.pieces(stage),
        key: context.piece_key.clone(),
        input,
        result_bytes: step.result_bytes,
        goal: plan.goal,
        due: plan.due,
        expires: plan.expires,
        rank: context.rank,
        holding,
        domain: place.domain,
        pull_bytes: place.pull_bytes,
    };
    let started = host.now();
    async move {
        StageOutcome {
            stage,
            shard,
            started,
            result: request_pieces(host, group).await,
        }
    }
}

/// Says where the bytes are that a stage moves.
struct PiecePlacement {
    domain: Option<DomainId>,
    pull_bytes: u64,
}

/// Compares what the pieces read, each of them all inputs, with what the engine reads of them.
fn place_pieces(
    host: &Host,
    context: &StageContext,
    graph: &StageGraph,
    stage: usize,
    input: &StageInput,
) -> PiecePlacement {
    let pieces = u64::try_from(graph.pieces(stage)).unwrap_or(u64::MAX);
    let written = context.pipeline.stages[stage]
        .result_bytes
        .saturating_mul(pieces);
    let is_last = graph.is_final(stage);
    let (source, read) = match input {
        StageInput::Key => (None, 0),
        StageInput::Results(handles) => {
            let sizes = graph.needed(stage).iter().map(|needed| {
                let count = u64::try_from(graph.pieces(*needed)).unwrap_or(u64::MAX);
                context.pipeline.stages[*needed]
                    .result_bytes
                    .saturating_mul(count)
            });
            let read = sizes.sum::<u64>().saturating_mul(pieces);
            (majority_domain(host, handles), read)
        }
    };
    let written = if is_last { written } else { 0 };
    if source.is_some() && read >= written {
        return PiecePlacement {
            domain: source,
            pull_bytes: read,
        };
    }
    PiecePlacement {
        domain: context.domain.clone(),
        pull_bytes: written,
    }
}

/// Returns the domain of most of the servers that hold results.
fn majority_domain(host: &Host, handles: &[PieceHandle]) -> Option<DomainId> {
    let registry = host.registry.borrow();
    let mut counts: SortedMap<DomainId, usize> = SortedMap::new();
    for handle in handles {
        let address = hollywheel_adapter::handle_address(handle);
        let found: Option<(&ServerId, &ServerRecord)> =
            address.and_then(|address| registry.find_address(address));
        if let Some((_, record)) = found {
            *counts.get_or_insert_with(record.domain.clone(), || 0) += 1;
        }
    }
    let most = counts.iter().max_by_key(|(_, count)| **count)?;
    Some(most.0.clone())
}

/// Orders pieces from the host that collects those of their pool; if it doesn't answer, from the
/// next one in the pool's order. A piece may be made twice.
async fn request_pieces(
    host: &Host,
    group: PieceGroup,
) -> Result<(HostId, Vec<PieceHandle>), StageFailure> {
    let mut unanswered = 0;
    while unanswered < MAX_UNANSWERED_HOSTS {
        let record = find_coordinator(host, &group.pool, &group.shard);
        let is_own = *host.hosts.borrow().own() == record.name;
        let end = if is_own {
            OrderOutcome::Ended(host.batches.produce_group(host, group.clone()).await)
        } else {
            request_from_peer(host, &record, &group).await
        };
        match end {
            OrderOutcome::Ended(GroupOutcome::Made(handles)) => return Ok((record.name, handles)),
            OrderOutcome::Ended(GroupOutcome::Refused { retry_after }) => {
                return Err(StageFailure::Refused { retry_after });
            }
            OrderOutcome::Ended(GroupOutcome::Late) => return Err(StageFailure::Late),
            OrderOutcome::Ended(GroupOutcome::InputGone) => return Err(StageFailure::InputGone),
            OrderOutcome::Ended(GroupOutcome::Failed) => return Err(StageFailure::Failed),
            // The duty goes to another host from now on.
            OrderOutcome::Leaving => host.mark_host_leaving(&record.name),
            OrderOutcome::Unanswered => unanswered += 1,
        }
    }
    Err(StageFailure::Failed)
}

/// Says what another host answers to an order.
enum OrderOutcome {
    /// What became of the pieces.
    Ended(GroupOutcome),
    /// It stops and takes none.
    Leaving,
    /// Nothing that could be read.
    Unanswered,
}

/// Orders pieces from another host.
async fn request_from_peer(host: &Host, record: &HostRecord, group: &PieceGroup) -> OrderOutcome {
    let now = host.now();
    let limit = group.expires.since(now) + ANSWER_SLACK;
    let body = write_order(now, group).encode_to_vec();
    let answer = host.peers.call(record, PIECES_PATH, body, limit).await;
    let answer = match answer {
        Ok(body) => PieceAnswer::decode(body).ok(),
        Err(PeerFailure::Leaving) => return OrderOutcome::Leaving,
        Err(failure) => {
            host.mark_unreachable(&record.name, "pieces", failure.name());
            None
        }
    };
    let Some(answer) = answer else {
        return OrderOutcome::Unanswered;
    };
    host.hosts.borrow_mut().note_answer(&record.name);
    let wait = (Duration::from_micros(answer.forecast_us), host.now());
    host.pool_waits
        .borrow_mut()
        .get_or_insert_with(group.pool.clone(), SortedMap::new)
        .insert(group.shard.clone(), wait);
    OrderOutcome::Ended(match answer.end() {
        PieceEnd::Made => GroupOutcome::Made(answer.handles),
        PieceEnd::Refused => GroupOutcome::Refused {
            retry_after: Duration::from_micros(answer.retry_after_us),
        },
        PieceEnd::Late => GroupOutcome::Late,
        PieceEnd::InputGone => GroupOutcome::InputGone,
        PieceEnd::Failed | PieceEnd::Unspecified => GroupOutcome::Failed,
    })
}

fn write_order(now: MonoTime, group: &PieceGroup) -> PieceOrder {
    let due = if group.due >= now {
        i64::try_from(micros(group.due.since(now))).unwrap_or(i64::MAX)
    } else {
        -i64::try_from(micros(now.since(group.due))).unwrap_or(i64::MAX)
    };
    let goal = group.goal.since(now);
    PieceOrder {
        goal_us: micros(goal),
        pool: group.pool.to_string(),
        kind: group.kind.clone(),
        attempt: group.attempt.clone(),
        stage: u32::try_from(group.stage).unwrap_or(u32::MAX),
        pieces: u32::try_from(group.pieces).unwrap_or(u32::MAX),
        key: group.key.clone(),
        inputs: match &group.input {
            StageInput::Key => Vec::new(),
            StageInput::Results(handles) => handles.clone(),
        },
        result_bytes: group.result_bytes,
        due_us: due,
        expires_us: micros(group.expires.since(now)),
        workspace_rank: u32::from(group.rank.workspace),
        pipeline_rank: u32::from(group.rank.pipeline),
        domain: group
            .domain
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        pull_bytes: group.pull_bytes,
        holding: group.holding,
        returned: group.rank.attempt == CallerAttempt::Returned,
        shard: group
            .shard
            .domain()
            .map(ToString::to_string)
            .unwrap_or_default(),
    }
}
