//! The stages of one request, up to its final call.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use prost::Message;

use hollywheel_serving::{HostRecord, PieceHandle, PipelineRoute, ServingSet, StageGraph, StageInput};
use hollywheel_types::{DomainId, HostId, MonoTime, PoolId};
use hollywheel_wire::serving::{PieceAnswer, PieceEnd, PieceOrder};

use crate::batch_duty::{GroupEnd, PieceGroup};
use crate::host::Host;
use crate::log::log_line;
use crate::peer_client::PIECES_PATH;
use crate::peer_server::micros;
use crate::results::{HeldResults, ResultOwner};

/// Hosts that are asked in turn for the pieces of a stage.
const MAX_HOSTS: usize = 3;
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
    pub(crate) domain: Option<DomainId>,
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

struct StageEnd {
    stage: usize,
    started: MonoTime,
    result: Result<(HostId, Vec<PieceHandle>), StageFailure>,
}

/// Runs all stages; returns the results that the final call takes, which stay held.
pub(crate) async fn run_stages(
    host: &Host,
    context: &StageContext,
    graph: &mut StageGraph,
    held: &mut HeldResults,
) -> Result<Vec<PieceHandle>, StageFailure> {
    let mut running = FuturesUnordered::new();
    loop {
        for stage in graph.start_ready() {
            running.push(run_stage(host, context, graph, stage));
        }
        let Some(end) = running.next().await else {
            return Ok(graph.final_handles());
        };
        let pool = &context.pipeline.stages[end.stage].pool;
        let taken = host.now().since(end.started);
        let (maker, handles) = match end.result {
            Ok(made) => made,
            Err(failure) => {
                log_failure(host, context, pool, failure, taken);
                return Err(failure);
            }
        };
        let name = host.metrics.name(pool.as_str());
        let seconds = host.metrics.stage_seconds.get_or_create(&name);
        seconds.observe(taken.as_secs_f64());
        host.forecast
            .borrow_mut()
            .learn_stage(&context.pipeline.name, end.stage, taken);
        let owner = ResultOwner {
            host: maker,
            pool: pool.clone(),
        };
        held.hold(owner, handles.clone());
        let unneeded = graph.finish(end.stage, handles);
        held.release(&unneeded);
    }
}

fn log_failure(
    host: &Host,
    context: &StageContext,
    pool: &PoolId,
    failure: StageFailure,
    taken: Duration,
) {
    let retry_after = match failure {
        StageFailure::Refused { retry_after } => Some(micros(retry_after) / 1000),
        StageFailure::Late | StageFailure::InputGone | StageFailure::Failed => None,
    };
    let batcher = first_host(host, pool).map(|record| record.name.to_string());
    log_line!(
        host,
        info,
        StageEnded,
        request = context.attempt,
        pool = %pool,
        batcher,
        reason = failure.name(),
        took_ms = micros(taken) / 1000,
        retry_after_ms = retry_after
    );
}

fn first_host(host: &Host, pool: &PoolId) -> Option<HostRecord> {
    duty_order(host, pool).into_iter().next()
}

fn duty_order(host: &Host, pool: &PoolId) -> Vec<HostRecord> {
    let hosts = host.hosts.borrow();
    hosts.duty_order(host.now(), &format!("pieces/{pool}"))
}

/// Returns the expected time of each stage of a request.
pub(crate) fn stage_times(
    host: &Host,
    set: &ServingSet,
    pipeline: &PipelineRoute,
    graph: &StageGraph,
) -> Vec<Duration> {
    let forecast = host.forecast.borrow();
    let stages = pipeline.stages.iter().enumerate();
    stages
        .map(|(stage, step)| {
            if graph.pieces(stage) == 0 {
                return Duration::ZERO;
            }
            let guess = set.piece_pool(&step.pool).map_or(Duration::ZERO, |pool| {
                let pieces = u32::try_from(graph.pieces(stage)).unwrap_or(u32::MAX);
                pool.call_time + pool.piece_time * pieces
            });
            forecast.stage(&pipeline.name, stage, guess)
        })
        .collect()
}

fn run_stage<'a>(
    host: &'a Host,
    context: &'a StageContext,
    graph: &StageGraph,
    stage: usize,
) -> impl Future<Output = StageEnd> + 'a {
    let times = stage_times(host, &context.set, &context.pipeline, graph);
    let first_answer = host.forecast.borrow().first_answer(&context.pipeline.name);
    let rest = graph.time_after(stage, &times) + first_answer;
    let step = &context.pipeline.stages[stage];
    let group = PieceGroup {
        pool: step.pool.clone(),
        kind: format!("{}/{stage}", context.pipeline.name),
        attempt: context.attempt.clone(),
        stage,
        pieces: graph.pieces(stage),
        key: context.piece_key.clone(),
        input: graph.input(stage),
        result_bytes: step.result_bytes,
        due: context.objective - rest,
        expires: context.deadline - rest,
        domain: context.domain.clone(),
    };
    let started = host.now();
    async move {
        StageEnd {
            stage,
            started,
            result: order_pieces(host, group).await,
        }
    }
}

/// Orders pieces from the host that collects those of their pool; if it doesn't answer, from the
/// next one in the pool's order. A piece may be made twice.
async fn order_pieces(
    host: &Host,
    group: PieceGroup,
) -> Result<(HostId, Vec<PieceHandle>), StageFailure> {
    for _ in 0..MAX_HOSTS {
        let Some(record) = first_host(host, &group.pool) else {
            return Err(StageFailure::Failed);
        };
        let own = *host.hosts.borrow().own() == record.name;
        let end = if own {
            Some(host.batches.make(host, group.clone()).await)
        } else {
            order_remotely(host, &record, &group).await
        };
        match end {
            Some(GroupEnd::Made(handles)) => return Ok((record.name, handles)),
            Some(GroupEnd::Refused { retry_after }) => {
                return Err(StageFailure::Refused { retry_after });
            }
            Some(GroupEnd::Late) => return Err(StageFailure::Late),
            Some(GroupEnd::InputGone) => return Err(StageFailure::InputGone),
            Some(GroupEnd::Failed) => return Err(StageFailure::Failed),
            None => {}
        }
    }
    Err(StageFailure::Failed)
}

/// Orders pieces from another host; none if it did not answer.
async fn order_remotely(host: &Host, record: &HostRecord, group: &PieceGroup) -> Option<GroupEnd> {
    let now = host.now();
    let limit = group.expires.since(now) + ANSWER_SLACK;
    let body = write_order(now, group).encode_to_vec();
    let answer = host.peers.call(record, PIECES_PATH, body, limit).await;
    let answer = match answer {
        Ok(body) => PieceAnswer::decode(body).ok(),
        Err(failure) => {
            host.pass_over(&record.name, "pieces", failure.name());
            None
        }
    }?;
    host.hosts.borrow_mut().note_answer(&record.name);
    let wait = (Duration::from_micros(answer.forecast_us), host.now());
    host.pool_waits.borrow_mut().insert(group.pool.clone(), wait);
    match answer.end() {
        PieceEnd::Made => Some(GroupEnd::Made(answer.handles)),
        PieceEnd::Refused => Some(GroupEnd::Refused {
            retry_after: Duration::from_micros(answer.retry_after_us),
        }),
        PieceEnd::Late => Some(GroupEnd::Late),
        PieceEnd::InputGone => Some(GroupEnd::InputGone),
        PieceEnd::Failed | PieceEnd::Unspecified => Some(GroupEnd::Failed),
    }
}

fn write_order(now: MonoTime, group: &PieceGroup) -> PieceOrder {
    let due = if group.due >= now {
        i64::try_from(micros(group.due.since(now))).unwrap_or(i64::MAX)
    } else {
        -i64::try_from(micros(now.since(group.due))).unwrap_or(i64::MAX)
    };
    PieceOrder {
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
        domain: group.domain.as_ref().map(ToString::to_string).unwrap_or_default(),
    }
}
