//! Placement of streams on engines by the estimate of `hollywheel_serving::rank_engines`, and the
//! records of what runs where on which the estimate rests.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use hollywheel_serving::{
    EngineChoice, EngineQuery, EngineTable, EngineTicket, EngineVerdict, LoadReport,
    PlacementVerdict, PopularityChange, PrefillCause, RequestSize, ServerRecord, choose_ranked,
    rank_engines,
};
use hollywheel_types::{ExecutionVerdict, PoolId, ServerId};

use crate::cold_servers::admitted_servers;
use crate::host::{Host, HostState};
use crate::log::log_line;
use crate::metrics::PrefillLabels;
use crate::request::RequestContext;
use crate::stream_call::{FULL_LOAD, OpenFailure, StreamJob};

/// Reason for the log of a request that no engine can begin in time.
pub(crate) const LATE_REASON: &str = "no engine can begin before the caller gives up";

/// What a request keeps of its choices by the estimate.
#[derive(Default)]
pub(crate) struct EstimateState {
    /// Last choice.
    chosen: RefCell<Option<ChosenEngine>>,
    /// Time after which an engine could begin, if none can before the caller gives up.
    pub(crate) late_wait: Cell<Option<Duration>>,
    /// Whether the request was counted towards the demand for its prompt parts.
    is_counted: Cell<bool>,
}

/// An engine that was chosen by the estimate.
#[derive(Clone, Debug)]
pub(crate) struct ChosenEngine {
    server: ServerId,
    choice: EngineChoice,
}

/// Result of the choice of an engine by the estimate.
pub(crate) enum EstimatedPlace {
    Chosen(ChosenEngine),
    /// No engine can begin before the caller gives up; one could after this time.
    Late(Duration),
    /// The request is larger than the memory of every engine.
    TooLarge,
    Full,
    NoServer,
}

impl EstimatedPlace {
    pub(crate) fn verdict(&self) -> PlacementVerdict {
        match self {
            Self::Chosen(chosen) => PlacementVerdict::Server(chosen.server.clone()),
            Self::Late(_) | Self::TooLarge | Self::Full => PlacementVerdict::Full,
            Self::NoServer => PlacementVerdict::NoServer,
        }
    }
}

/// Returns the memory in tokens of the engines of a request's pool; `None` if its engine is not chosen
/// by the estimate.
fn estimated_memory(host: &HostState, context: &RequestContext) -> Option<u64> {
    let applies = host.settings().memory_pressure && context.pipeline.prompt_affinity;
    let pool = context.set.model_pool(&context.pool).filter(|_| applies)?;
    (pool.cache_tokens > 0).then_some(pool.cache_tokens)
}

impl StreamJob {
    /// Refuses the request before its stages run if no engine can begin it before its caller gives
    /// up, or if it is larger than the memory of every engine.
    pub(crate) fn check_engines(&mut self) -> Result<(), OpenFailure> {
        if estimated_memory(&self.host, &self.context).is_none() {
            return Ok(());
        }
        if !self.estimate_state.is_counted.replace(true) {
            self.host.count_demand(&self.context);
        }
        let servers = self.warm_servers();
        match self.estimate(&servers) {
            Some(EstimatedPlace::TooLarge) => {
                self.reason = hollywheel_adapter::OVERSIZED_REASON;
                Err(match self.context.run.verdict() {
                    ExecutionVerdict::NotRun => OpenFailure::TooLarge,
                    ExecutionVerdict::MayHaveRun | ExecutionVerdict::Ran => OpenFailure::Failed,
                })
            }
            Some(EstimatedPlace::Late(wait)) => {
                self.estimate_state.late_wait.set(Some(wait));
                self.reason = LATE_REASON;
                Err(self.give_up())
            }
            Some(EstimatedPlace::Chosen(_) | EstimatedPlace::Full | EstimatedPlace::NoServer)
            | None => Ok(()),
        }
    }

    /// Chooses an engine among the given servers by the estimate; `None` if the request's engine is
    /// not chosen by it. Engines that were cold get a growing fraction of the prompt parts, and the
    /// others only if no other engine takes the request.
    pub(crate) fn estimate(&self, servers: &[(ServerId, ServerRecord)]) -> Option<EstimatedPlace> {
        let context = &self.context;
        let admitted = admitted_servers(&self.host, &context.pool, &context.head.parts, servers);
        if let Some(admitted) = admitted {
            let place = self.estimate_among(&admitted)?;
            if matches!(place, EstimatedPlace::Chosen(_)) {
                return Some(place);
            }
        }
        self.estimate_among(servers)
    }

    fn estimate_among(&self, servers: &[(ServerId, ServerRecord)]) -> Option<EstimatedPlace> {
        let (host, context) = (&self.host, &self.context);
        let cache_tokens = estimated_memory(host, context)?;
        let settings = host.settings();
        let now = host.now();
        // The caller of a stream that has begun waits for its end.
        let caller_leaves = match self.first_byte_time {
            Some(_) => context.deadline,
            None => context.start_deadline,
        };
        let query = EngineQuery {
            now,
            servers,
            exclude: &self.excluded,
            cold: &[],
            tie: context.tie_breaker,
            domain: Some(&settings.domain),
            parts: &context.head.parts,
            counts: context.head.token_counts,
            time_left: caller_leaves.since(now),
            full_load: FULL_LOAD,
            hosts: host.hosts.borrow().known_count(),
            cache_tokens,
        };
        let mut tables = host.engines.borrow_mut();
        let table = tables.get_or_insert_with(context.pool.clone(), EngineTable::new);
        let ranked = rank_engines(&query, table, &host.loads.borrow());
        Some(match choose_ranked(&query, &ranked) {
            EngineVerdict::Chosen(choice) => match servers.get(choice.index) {
                Some((server, _)) => EstimatedPlace::Chosen(ChosenEngine {
                    server: server.clone(),
                    choice,
                }),
                None => EstimatedPlace::NoServer,
            },
            EngineVerdict::Late { wait } => EstimatedPlace::Late(wait),
            EngineVerdict::TooLarge => EstimatedPlace::TooLarge,
            EngineVerdict::Full => EstimatedPlace::Full,
            EngineVerdict::NoServer => EstimatedPlace::NoServer,
        })
    }

    /// Chooses an engine as [`Self::place`] does, and keeps what the estimate expects for the attempt.
    pub(crate) fn place_kept(&self, servers: &[(ServerId, ServerRecord)]) -> PlacementVerdict {
        let Some(place) = self.estimate(servers) else {
            return self.place(servers);
        };
        let verdict = place.verdict();
        let state = &self.estimate_state;
        state.late_wait.set(None);
        match place {
            EstimatedPlace::Chosen(chosen) => *state.chosen.borrow_mut() = Some(chosen),
            EstimatedPlace::Late(wait) => state.late_wait.set(Some(wait)),
            EstimatedPlace::TooLarge | EstimatedPlace::Full | EstimatedPlace::NoServer => (),
        }
        verdict
    }

    /// Records that the request is sent to an engine, if its engine is chosen by the estimate.
    pub(crate) fn record_placed(
        &self,
        server: &ServerId,
        record: &ServerRecord,
    ) -> Option<EngineGuard> {
        estimated_memory(&self.host, &self.context)?;
        let chosen = self.estimate_state.chosen.borrow();
        let chosen = chosen.as_ref();
        let guard = EngineGuard::new(&self.host, &self.context, server, record, chosen);
        Some(guard)
    }
}

/// Counts a request on an engine until dropped.
pub(crate) struct EngineGuard {
    host: Host,
    pool: PoolId,
    server: ServerId,
    ticket: EngineTicket,
}

impl EngineGuard {
    /// Records that a request is sent to an engine. `chosen` is the last choice by the estimate.
    fn new(
        host: &Host,
        context: &RequestContext,
        server: &ServerId,
        record: &ServerRecord,
        chosen: Option<&ChosenEngine>,
    ) -> Self {
        let parts = &context.head.parts;
        let size = RequestSize::new(parts, context.head.token_counts);
        let chosen = chosen.filter(|chosen| chosen.server == *server);
        let choice = chosen.map_or_else(EngineChoice::default, |chosen| chosen.choice.clone());
        let mut tables = host.engines.borrow_mut();
        let table = tables.get_or_insert_with(context.pool.clone(), EngineTable::new);
        let ticket = table.note_placed(host.now(), (server, record), parts, size, &choice);
        drop(tables);
        host.count_reuse(&context.pool, &choice);
        Self {
            host: host.clone(),
            pool: context.pool.clone(),
            server: server.clone(),
            ticket,
        }
    }

    /// Records the first event of the request.
    pub(crate) fn note_begun(&self) {
        if let Some(table) = self.host.engines.borrow_mut().get_mut(&self.pool) {
            table.note_begun(self.host.now(), &self.server, self.ticket);
        }
    }
}

impl Drop for EngineGuard {
    fn drop(&mut self) {
        if let Some(table) = self.host.engines.borrow_mut().get_mut(&self.pool) {
            table.note_ended(self.host.now(), &self.server, self.ticket);
        }
    }
}

const fn cause_name(cause: PrefillCause) -> &'static str {
    match cause {
        PrefillCause::Unknown => "unknown",
        PrefillCause::Evicted => "evicted",
        PrefillCause::Overloaded => "overloaded",
        PrefillCause::Unavailable => "unavailable",
    }
}

impl HostState {
    /// Counts what a choice means for the reuse of prompts.
    fn count_reuse(&self, pool: &PoolId, choice: &EngineChoice) {
        let label = self.metrics.label(pool.as_str());
        let metrics = &self.metrics;
        let saved = metrics.saved_tokens.get_or_create(&label);
        saved.inc_by(u64::from(choice.saved_tokens));
        metrics
            .reuse_wait_seconds
            .get_or_create(&label)
            .observe(choice.reuse_wait_ms.max(0.0) / 1000.0);
        if let Some((tokens, cause)) = choice.prefilled {
            let labels = PrefillLabels {
                name: label.name,
                cause: cause_name(cause),
            };
            let prefilled = metrics.prefilled_tokens.get_or_create(&labels);
            prefilled.inc_by(u64::from(tokens));
        }
    }

    /// Counts a request towards the demand for its prompt parts.
    pub(crate) fn count_demand(&self, context: &RequestContext) {
        let now = self.now();
        let mut tables = self.engines.borrow_mut();
        let table = tables.get_or_insert_with(context.pool.clone(), EngineTable::new);
        table.note_request(now, &context.head.parts);
        drop(tables);
        self.check_popularity(&context.pool);
    }

    /// Logs whether the most popular prompt part of a pool has changed.
    fn check_popularity(&self, pool: &PoolId) {
        let now = self.now();
        let engines = self.registry.borrow().pool_servers(now, pool).count();
        let hosts = self.hosts.borrow().known_count();
        let mut tables = self.engines.borrow_mut();
        let Some(table) = tables.get_mut(pool) else {
            return;
        };
        let change = table.popularity_change(now, hosts, engines);
        let holders = table
            .most_popular(now, hosts, engines)
            .map_or(0, |(_, holders)| holders);
        drop(tables);
        let label = self.metrics.label(pool.as_str());
        let gauge = self.metrics.popular_holders.get_or_create(&label);
        gauge.set(i64::try_from(holders).unwrap_or(i64::MAX));
        match change {
            Some(PopularityChange::Popular { part, holders }) => {
                let part = format!("{part:x}");
                log_line!(self, info, PartPopular, part, pool = %pool, holders, hosts);
            }
            Some(PopularityChange::Usual { part }) => {
                let part = format!("{part:x}");
                log_line!(self, info, PartUsual, part, pool = %pool);
            }
            None => (),
        }
    }

    /// Applies a load report to the record of an engine.
    pub(crate) fn note_engine_report(&self, server: &ServerId, report: LoadReport) {
        let now = self.now();
        let registry = self.registry.borrow();
        let Some(record) = registry.usable(now, server) else {
            return;
        };
        if let Some(table) = self.engines.borrow_mut().get_mut(&record.pool) {
            table.note_report(now, server, report, record.slots);
        }
    }

    /// Applies a change of a server's entry to the record of an engine.
    pub(crate) fn note_engine_change(&self, server: &ServerId) {
        let now = self.now();
        let registry = self.registry.borrow();
        let Some(record) = registry.usable(now, server) else {
            return;
        };
        if let Some(table) = self.engines.borrow_mut().get_mut(&record.pool) {
            table.note_change(now, server, record);
        }
    }

    /// Records that an engine ended a connection without an answer, so that its cache may be lost.
    pub(crate) fn note_engine_lost(&self, pool: &PoolId, server: &ServerId) {
        if let Some(table) = self.engines.borrow_mut().get_mut(pool) {
            table.note_lost(self.now(), server);
        }
    }

    /// Removes engines that are gone, and logs parts that are no longer popular.
    pub(crate) fn sweep_engines(&self) {
        let now = self.now();
        let pools: Vec<PoolId> = self.engines.borrow().keys().cloned().collect();
        for pool in &pools {
            self.check_popularity(pool);
        }
        let registry = self.registry.borrow();
        for table in self.engines.borrow_mut().values_mut() {
            table.retain(|server| registry.usable(now, server).is_some());
        }
    }
}
