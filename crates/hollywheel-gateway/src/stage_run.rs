//! Runs the stages of a request whose results are the inputs of its final call.

use std::rc::Rc;
use std::time::Duration;

use fail::fail_point;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use prost::Message;

use hollywheel_serving::{
    CallerAttempt, HostRecord, PieceHandle, PipelineRoute, PoolShard, RequestRank, ServerRecord,
    ServingSet, StageGraph, StageInput, StagePlan, StageTimes, choose_shard, least_wait,
};
use hollywheel_types::{DomainId, HostId, MonoTime, PipelineId, PoolId, ServerId, SortedMap};
use hollywheel_wire::serving::{PieceAnswer, PieceEnd, PieceOrder};

use crate::batch_coordinator::{GroupOutcome, PieceGroup};
use crate::host::Host;
use crate::log::{log_line, millis};
use crate::peer_client::{PIECES_PATH, PeerFailure};
use crate::peer_server::micros;
use crate::results::{HeldResults, ResultOwner};

/// Number of coordinators that may fail to answer before the stage fails.
const MAX_UNANSWERED_HOSTS: usize = 3;
/// Time past its expiry for which a remote group may still be answered.
const ANSWER_SLACK: Duration = Duration::from_millis(50);

/// Properties of a request that its stages use.
#[derive(Clone)]
pub(crate) struct StageContext {
    pub(crate) set: Rc<ServingSet>,
    pub(crate) pipeline: Rc<PipelineRoute>,
    /// Id that the caller gave to its request.
    pub(crate) attempt_id: String,
    /// Key from the caller by which servers find the data of the request.
    pub(crate) piece_key: String,
    /// Time by which the answer should start.
    pub(crate) objective: MonoTime,
    /// Time by which the answer must start.
    pub(crate) deadline: MonoTime,
    pub(crate) rank: RequestRank,
    /// Digest of the name of the workspace; 0 if unknown.
    pub(crate) workspace: u64,
    /// Failure domain of the model engine that the final call would go to now.
    pub(crate) domain: Option<DomainId>,
    pub(crate) tie_breaker: u64,
}

/// Reason why the stages of a request have no results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StageFailure {
    /// Admission control of a pool rejected a stage: it cannot finish in time.
    Refused {
        /// Time after which a retry is likely to be admitted.
        retry_after: Duration,
    },
    /// A stage expired while it was queued.
    Late {
        /// Time after which a retry is likely to be admitted, if the coordinator told it.
        retry_after: Option<Duration>,
    },
    /// The result of an earlier stage is no longer stored.
    InputGone,
    /// No server produced the results, or no coordinator answered.
    Failed,
}

impl StageFailure {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Refused { .. } => "pool cannot finish the stage in time",
            Self::Late { .. } => "stage expired while queued",
            Self::InputGone => "stage input no longer stored",
            Self::Failed => "no server produced the results",
        }
    }
}

/// Result of one stage: the host that coordinated it and the handles, or the failure.
struct StageOutcome {
    /// Index of the stage in its pipeline.
    stage: usize,
    shard: PoolShard,
    started: MonoTime,
    result: Result<(HostId, Vec<PieceHandle>), StageFailure>,
}

/// Runs all stages and returns the inputs of the final call. The results stay in `held_results`.
///
/// # Errors
///
/// Returns the failure of the first stage that fails.
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
        let Some(outcome) = running.next().await else {
            return Ok(graph.final_handles());
        };
        fail_point!("stages.made");
        let pool = &context.pipeline.stages[outcome.stage].pool;
        let elapsed = host.now().since(outcome.started);
        let (coordinator, handles) = match outcome.result {
            Ok(made) => made,
            Err(failure) => {
                log_stage_failure(host, context, outcome.stage, failure, elapsed);
                return Err(failure);
            }
        };
        let label = host.metrics.label(pool.as_str());
        let seconds = host.metrics.stage_seconds.get_or_create(&label);
        seconds.observe(elapsed.as_secs_f64());
        host.forecast
            .borrow_mut()
            .learn_stage(&context.pipeline.name, outcome.stage, elapsed);
        let owner = ResultOwner {
            host: coordinator,
            pool: pool.clone(),
            shard: outcome.shard,
        };
        held_results.hold(owner, handles.clone());
        let unneeded = graph.finish(outcome.stage, handles);
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
        StageFailure::Late { retry_after } => retry_after.map(millis),
        StageFailure::InputGone | StageFailure::Failed => None,
    };
    log_line!(
        host,
        info,
        StageEnded,
        request = context.attempt_id,
        pool = %context.pipeline.stages[stage].pool,
        stage,
        reason = failure.name(),
        took_ms = millis(elapsed),
        retry_after_ms = retry_after
    );
}

/// Returns the host that coordinates a shard; this host if there is no other candidate.
fn find_coordinator(host: &Host, pool: &PoolId, shard: &PoolShard) -> HostRecord {
    let hosts = host.hosts.borrow();
    let domain = shard.domain();
    let name = domain.map(ToString::to_string).unwrap_or_default();
    let order = hosts.duty_order(host.now(), &format!("pieces/{pool}/{name}"), domain);
    let first = order.into_iter().next();
    first.unwrap_or_else(|| host.own_record())
}

/// Returns the service time of each stage of a request, without queueing.
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

/// Returns the expected time of each stage of a request: the larger of the learned time and of
/// the service time plus the queueing delay that coordinators last reported.
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

/// Returns the name of a stage of a pipeline, which separates its pieces from those of other stages.
pub(crate) fn stage_name(pipeline: &PipelineId, stage: usize) -> String {
    format!("{pipeline}/{stage}")
}

/// Returns a future that runs one stage; its deadlines and its shard are chosen at once.
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
    let servers = host.pool_servers(&step.pool, None);
    let input = graph.input(stage);
    let placement = choose_placement(host, context, graph, stage, &input);
    let shard = choose_shard(
        host.now(),
        &servers,
        placement.domain.as_ref(),
        host.pool_waits.borrow().get(&step.pool),
        context.tie_breaker,
    );
    let group = PieceGroup {
        pool: step.pool.clone(),
        shard: shard.clone(),
        kind: stage_name(&context.pipeline.name, stage),
        attempt_id: context.attempt_id.clone(),
        stage,
        piece_count: graph.pieces(stage),
        piece_key: context.piece_key.clone(),
        input,
        result_bytes: step.result_bytes,
        goal: plan.goal,
        due: plan.due,
        expires: plan.expires,
        rank: context.rank,
        workspace: context.workspace,
        holding,
        domain: placement.domain,
        pull_bytes: placement.pull_bytes,
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

/// Preferred failure domain of a stage's pieces.
struct PiecePlacement {
    domain: Option<DomainId>,
    /// Bytes that cross failure domains if the pieces run in another domain.
    pull_bytes: u64,
}

/// Chooses the failure domain in which a stage moves the fewest bytes between domains: where most
/// inputs are stored, or where the engine that reads the results is. Each piece reads all inputs.
fn choose_placement(
    host: &Host,
    context: &StageContext,
    graph: &StageGraph,
    stage: usize,
    input: &StageInput,
) -> PiecePlacement {
    let pieces = u64::try_from(graph.pieces(stage)).unwrap_or(u64::MAX);
    let written_bytes = context.pipeline.stages[stage]
        .result_bytes
        .saturating_mul(pieces);
    let is_last = graph.is_final(stage);
    let (source_domain, read_bytes) = match input {
        StageInput::Key => (None, 0),
        StageInput::Results(handles) => {
            let sizes = graph.needed(stage).iter().map(|needed| {
                let count = u64::try_from(graph.pieces(*needed)).unwrap_or(u64::MAX);
                context.pipeline.stages[*needed]
                    .result_bytes
                    .saturating_mul(count)
            });
            let read_bytes = sizes.sum::<u64>().saturating_mul(pieces);
            (majority_domain(host, handles), read_bytes)
        }
    };
    let written_bytes = if is_last { written_bytes } else { 0 };
    if source_domain.is_some() && read_bytes >= written_bytes {
        return PiecePlacement {
            domain: source_domain,
            pull_bytes: read_bytes,
        };
    }
    PiecePlacement {
        domain: context.domain.clone(),
        pull_bytes: written_bytes,
    }
}

/// Returns the failure domain that stores the most of these results.
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

/// Sends a group to the coordinator of its shard, and to the next candidate if that host does not
/// answer. A piece may therefore be processed twice.
async fn request_pieces(
    host: &Host,
    group: PieceGroup,
) -> Result<(HostId, Vec<PieceHandle>), StageFailure> {
    fail_point!("stages.order");
    let mut unanswered = 0;
    while unanswered < MAX_UNANSWERED_HOSTS {
        let record = find_coordinator(host, &group.pool, &group.shard);
        let is_own = *host.hosts.borrow().own() == record.name;
        let outcome = if is_own {
            OrderOutcome::Ended(host.coordinator.produce_group(host, group.clone()).await)
        } else {
            request_from_peer(host, &record, &group).await
        };
        match outcome {
            OrderOutcome::Ended(GroupOutcome::Made(handles)) => return Ok((record.name, handles)),
            OrderOutcome::Ended(GroupOutcome::Refused { retry_after }) => {
                return Err(StageFailure::Refused { retry_after });
            }
            OrderOutcome::Ended(GroupOutcome::Late { retry_after }) => {
                return Err(StageFailure::Late { retry_after });
            }
            OrderOutcome::Ended(GroupOutcome::InputGone) => return Err(StageFailure::InputGone),
            OrderOutcome::Ended(GroupOutcome::Failed) => return Err(StageFailure::Failed),
            // Another host coordinates the shard from now on.
            OrderOutcome::Leaving => host.mark_host_leaving(&record.name),
            OrderOutcome::Unanswered => unanswered += 1,
        }
    }
    Err(StageFailure::Failed)
}

/// Outcome of sending a group to a coordinator.
enum OrderOutcome {
    /// The coordinator processed or refused the group.
    Ended(GroupOutcome),
    /// The coordinator is shutting down and did not take the group.
    Leaving,
    /// No answer, or one that could not be decoded.
    Unanswered,
}

/// Sends a group to another host and records the queueing delay that it reports.
async fn request_from_peer(host: &Host, record: &HostRecord, group: &PieceGroup) -> OrderOutcome {
    let now = host.now();
    let limit = group.expires.since(now) + ANSWER_SLACK;
    let body = encode_order(now, group).encode_to_vec();
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
        PieceEnd::Late => GroupOutcome::Late {
            retry_after: Some(Duration::from_micros(answer.retry_after_us))
                .filter(|retry_after| !retry_after.is_zero()),
        },
        PieceEnd::InputGone => GroupOutcome::InputGone,
        PieceEnd::Failed | PieceEnd::Unspecified => GroupOutcome::Failed,
    })
}

/// Encodes a group as a message; its times become relative to now, and `due_us` is negative if
/// the time has passed.
fn encode_order(now: MonoTime, group: &PieceGroup) -> PieceOrder {
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
        attempt: group.attempt_id.clone(),
        stage: u32::try_from(group.stage).unwrap_or(u32::MAX),
        pieces: u32::try_from(group.piece_count).unwrap_or(u32::MAX),
        key: group.piece_key.clone(),
        inputs: match &group.input {
            StageInput::Key => Vec::new(),
            StageInput::Results(handles) => handles.clone(),
        },
        result_bytes: group.result_bytes,
        due_us: due,
        expires_us: micros(group.expires.since(now)),
        workspace_rank: u32::from(group.rank.workspace),
        pipeline_rank: u32::from(group.rank.pipeline),
        workspace: group.workspace,
        domain: group
            .domain
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        pull_bytes: group.pull_bytes,
        holding: group.holding,
        returned: group.rank.attempt == CallerAttempt::Retry,
        shard: group
            .shard
            .domain()
            .map(ToString::to_string)
            .unwrap_or_default(),
    }
}
