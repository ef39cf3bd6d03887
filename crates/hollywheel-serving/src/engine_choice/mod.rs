//! Choice of a model engine by an estimate of when it can begin a request.
//!
//! Handles popular prompts and long prompts on engines whose memory is limited: a request goes where
//! its shared prompt parts are cached, unless the requests queued there cost more than prefilling
//! the parts again.

mod cache_model;
mod engine_load;
mod estimate;
mod part_demand;

use std::time::Duration;

use hollywheel_types::{MonoTime, ServerId, SortedMap};

use crate::load::LoadReport;
use crate::placement::{PromptPart, TokenCounts};
use crate::registry::ServerRecord;

use engine_load::{EngineLoad, MeanRequest};
use part_demand::PartDemand;

pub use estimate::{
    EngineChoice, EngineQuery, EngineState, EngineVerdict, PrefillCause, RankedEngine,
    choose_ranked, rank_engines,
};

/// The tokens per millisecond that an engine prefills until the rate was observed.
const INITIAL_RATE: f64 = 100.0;
/// Limits of the learned rate, in tokens per millisecond.
const RATE_RANGE: (f64, f64) = (25.0, 400.0);
/// The smallest prefill from whose time the rate is learned; that of smaller ones is mostly the time
/// of the network and of the requests in execution.
const MIN_LEARNED_TOKENS: u32 = 4000;
/// The relative steps by which the learned rate follows faster and slower observations. It settles
/// where 3 in 10 observations are faster, since queues of other hosts make most of them slower.
const RATE_STEPS: (f64, f64) = (0.07, 0.03);
/// Weight of the most recent request in the mean of own requests.
const MEAN_WEIGHT: f64 = 0.05;
/// The number of holders from which a part counts as popular, and the one at which it no longer does.
const POPULAR_HOLDERS: (usize, usize) = (3, 1);

/// Identifies a request of this host on an engine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EngineTicket(pub u64);

/// Holds the size of a request in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestSize {
    /// The tokens of the parts that other requests may share.
    pub shared: u32,
    /// The other tokens of the prompt.
    pub own: u32,
    /// The largest number of generated tokens; zero if unknown.
    pub output: u32,
}

impl RequestSize {
    /// Returns the size of a request from its parts, the last of which belongs to it alone, and its
    /// stated size.
    pub fn new(parts: &[PromptPart], counts: Option<TokenCounts>) -> Self {
        let sum = |parts: &[PromptPart]| {
            let tokens = parts.iter().map(|part| part.tokens);
            tokens.fold(0_u32, u32::saturating_add)
        };
        let shared = sum(shared_parts(parts));
        let listed = sum(parts).saturating_sub(shared);
        Self {
            shared,
            own: counts.map_or(listed, |counts| {
                counts.prompt.saturating_sub(shared).max(listed)
            }),
            output: counts.map_or(0, |counts| counts.output),
        }
    }

    /// Returns the tokens that the request holds on an engine at its end.
    pub fn total(&self) -> u64 {
        u64::from(self.shared) + u64::from(self.own) + u64::from(self.output)
    }
}

/// Returns the parts of a prompt that other requests may share.
fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// Describes how the demand for the most popular part has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PopularityChange {
    /// A part needs several engines.
    Popular {
        /// The part.
        part: u64,
        /// The number of engines that hold it.
        holders: usize,
    },
    /// A part that was popular needs one engine.
    Usual {
        /// The part.
        part: u64,
    },
}

/// Holds what one host knows about the engines of a pool: its own requests, the reports of the
/// engines, and the demand for prompt parts.
#[derive(Clone, Debug)]
pub struct EngineTable {
    engines: SortedMap<ServerId, EngineLoad>,
    demand: PartDemand,
    /// The learned prefill rate of the pool's engines, in tokens per millisecond.
    rate: f64,
    mean: MeanRequest,
    /// The mean number of requests of other hosts on an engine.
    mean_others: f64,
    next_ticket: u64,
    popular: Option<u64>,
}

impl Default for EngineTable {
    fn default() -> Self {
        Self {
            engines: SortedMap::new(),
            demand: PartDemand::default(),
            rate: INITIAL_RATE,
            mean: MeanRequest {
                prefill: 0.0,
                held: 0.0,
                shared: 0.0,
                prefill_share: 0.1,
            },
            mean_others: 0.0,
            next_ticket: 0,
            popular: None,
        }
    }
}

impl EngineTable {
    /// Creates a table without engines.
    pub fn new() -> Self {
        Self::default()
    }

    fn engine(&mut self, server: &ServerId) -> &mut EngineLoad {
        self.engines
            .get_or_insert_with(server.clone(), EngineLoad::default)
    }

    /// Counts a request towards the demand for its last shared part, once for each request.
    pub fn note_request(&mut self, now: MonoTime, parts: &[PromptPart]) {
        if let Some(last) = shared_parts(parts).last() {
            self.demand.note_request(now, last.id);
        }
    }

    /// Records that a request was sent to an engine that was chosen for it.
    pub fn note_placed(
        &mut self,
        now: MonoTime,
        (server, record): (&ServerId, &ServerRecord),
        parts: &[PromptPart],
        size: RequestSize,
        choice: &EngineChoice,
    ) -> EngineTicket {
        let engine = self.engine(server);
        match engine.born {
            Some(_) if engine.born != record.born => engine.restart(now, record.born),
            Some(_) | None => engine.born = record.born,
        }
        self.next_ticket += 1;
        let ticket = EngineTicket(self.next_ticket);
        let prefill = choice.prefill_tokens;
        self.demand.note_work(now, prefill);
        let is_first = self.mean.prefill == 0.0;
        let weight = if is_first { 1.0 } else { MEAN_WEIGHT };
        let held = f64::from(size.own) + f64::from(size.output);
        self.mean.prefill += weight * (f64::from(prefill) - self.mean.prefill);
        self.mean.held += weight * (held - self.mean.held);
        self.mean.shared += weight * (f64::from(size.shared) - self.mean.shared);
        let shared = shared_parts(parts);
        let last = shared.last().map(|part| part.id);
        let engine = self.engine(server);
        engine.note_placed(now, ticket, size, last, prefill, choice.expected_ms);
        engine.cache.note_parts(now, shared);
        ticket
    }

    /// Records a change of an engine's entry. An engine that is new, or a new incarnation of a known
    /// one, has an empty cache.
    pub fn note_change(&mut self, now: MonoTime, server: &ServerId, record: &ServerRecord) {
        let known = self.engines.get(server);
        if known.is_none_or(|engine| engine.born.is_some() && engine.born != record.born) {
            self.engine(server).restart(now, record.born);
        }
    }

    /// Records the first event of a request, from which the prefill rate is learned.
    pub fn note_begun(&mut self, now: MonoTime, server: &ServerId, ticket: EngineTicket) {
        let engine = self.engines.get_mut(server);
        let Some(event) = engine.and_then(|engine| engine.note_begun(now, ticket)) else {
            return;
        };
        if event.is_alone && event.prefill >= MIN_LEARNED_TOKENS {
            let observed = f64::from(event.prefill) / event.elapsed_ms.max(1.0);
            let step = if observed > self.rate {
                1.0 + RATE_STEPS.0
            } else {
                1.0 - RATE_STEPS.1
            };
            self.rate = (self.rate * step).clamp(RATE_RANGE.0, RATE_RANGE.1);
        }
    }

    /// Records the end of a request, successful or not.
    pub fn note_ended(&mut self, now: MonoTime, server: &ServerId, ticket: EngineTicket) {
        let engine = self.engines.get_mut(server);
        let Some(ended) = engine.and_then(|engine| engine.note_ended(now, ticket)) else {
            return;
        };
        let (first, whole) = (millis(ended.first), millis(ended.whole).max(1.0));
        let share = (first / whole).min(1.0);
        self.mean.prefill_share += MEAN_WEIGHT * (share - self.mean.prefill_share);
    }

    /// Records that an engine ended a connection without an answer, as one does that crashes: its
    /// cache may be lost.
    pub fn note_lost(&mut self, now: MonoTime, server: &ServerId) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.note_empty(now);
        }
    }

    /// Records a load report of an engine with a number of slots. More than its slots and its queue
    /// can hold counts as that.
    pub fn note_report(
        &mut self,
        now: MonoTime,
        server: &ServerId,
        report: LoadReport,
        slots: u32,
    ) {
        let most = f64::from(slots.max(1));
        let running = f64::from(report.running).min(most);
        let waiting = f64::from(report.waiting).min(most);
        let engine = self.engine(server);
        engine.note_report(now, running, waiting);
        let others = engine.mean_others().unwrap_or_default();
        self.mean_others += MEAN_WEIGHT * (others - self.mean_others);
    }

    /// Returns the learned prefill rate in tokens per millisecond.
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the number of engines that hold a part.
    fn holders(&self, now: MonoTime, part: u64, hosts: usize, engines: usize) -> usize {
        self.count_holders(now, self.demand.rate(now, part), hosts, engines)
    }

    /// Returns the number of holders of a part with a rate of requests of this host. Each counts with
    /// the mean of all requests, so that it does not depend on the size of the one to place.
    fn count_holders(&self, now: MonoTime, rate: f64, hosts: usize, engines: usize) -> usize {
        let (tokens, engine_rate) = (self.mean.prefill, self.rate * 1000.0);
        let demand = &self.demand;
        demand.holder_count(now, rate, tokens, engine_rate, hosts, engines)
    }

    /// Returns the most popular part and the number of engines that hold it.
    pub fn most_popular(
        &self,
        now: MonoTime,
        hosts: usize,
        engines: usize,
    ) -> Option<(u64, usize)> {
        let (part, rate) = self.demand.most_popular(now)?;
        let holders = self.count_holders(now, rate, hosts, engines);
        Some((part, holders))
    }

    /// Returns how the most popular part has changed since the last call, for the log.
    pub fn popularity_change(
        &mut self,
        now: MonoTime,
        hosts: usize,
        engines: usize,
    ) -> Option<PopularityChange> {
        let (part, holders) = self.most_popular(now, hosts, engines)?;
        let (begin, end) = POPULAR_HOLDERS;
        match self.popular {
            None if holders >= begin => {
                self.popular = Some(part);
                Some(PopularityChange::Popular { part, holders })
            }
            Some(known) if holders <= end => {
                self.popular = None;
                Some(PopularityChange::Usual { part: known })
            }
            None | Some(_) => None,
        }
    }

    /// Removes the engines for which the predicate is false and that have no own request.
    pub fn retain(&mut self, mut predicate: impl FnMut(&ServerId) -> bool) {
        self.engines
            .retain(|server, engine| engine.is_used() || predicate(server));
    }
}

/// Returns a time in milliseconds.
fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
