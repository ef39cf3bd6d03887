//! The estimate of when each engine can begin a request, and the choice between them.

use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, ServerId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::load::LoadTable;
use crate::placement::{PromptPart, TokenCounts};
use crate::registry::ServerRecord;

use super::engine_load::EngineLoad;
use super::{EngineTable, RequestSize, millis, shared_parts};

/// Shared prompts with fewer tokens than this may also go to a second engine that is drawn for the
/// request: prefilling them again takes a few milliseconds.
const MIN_SHARED_TOKENS: u32 = 1000;
/// The part of an engine's memory that is filled while another engine has room. The rest is for
/// requests of other hosts that no report has shown yet.
const ROOM_SHARE: f64 = 0.9;
/// The cost of a full memory, in milliseconds, in proportion to the part in use: requests in
/// execution slow each other down, and what is cached is evicted.
const MEMORY_MS: f64 = 300.0;
/// The network latency to another failure domain and back, in milliseconds.
const NETWORK_MS: f64 = 2.0;
/// The cost of one more copy of a part on an engine that is not among its holders, and for each place
/// further down in its order, in milliseconds. It makes hosts with slightly different estimates choose
/// the same engine: a copy elsewhere is of no use to them.
const COPY_MS: f64 = 20.0;
const ORDER_MS: f64 = 1.0;
/// The rank from which that cost no longer grows.
const MAX_ORDER: usize = 20;

/// Describes a request to place on an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineQuery<'a> {
    /// The current time.
    pub now: MonoTime,
    /// The engines that are in use.
    pub servers: &'a [(ServerId, ServerRecord)],
    /// Engines to which this request was already sent.
    pub exclude: &'a [ServerId],
    /// Engines that are cold; they get the request only if no other can begin it in time.
    pub cold: &'a [ServerId],
    /// A number that differs between requests and hosts.
    pub tie: u64,
    /// The failure domain that is preferred.
    pub domain: Option<&'a DomainId>,
    /// The parts of the prompt.
    pub parts: &'a [PromptPart],
    /// The stated size of the request.
    pub counts: Option<TokenCounts>,
    /// The time after which the caller gives up.
    pub time_left: Duration,
    /// The load, as a multiple of an engine's slots, from which it gets no requests.
    pub full_load: f64,
    /// The number of hosts that send requests to these engines.
    pub hosts: usize,
    /// An engine's memory in tokens.
    pub cache_tokens: u64,
}

/// Describes whether an engine may take a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineState {
    /// The engine may take it.
    Usable,
    /// The engine is cold.
    Cold,
    /// The engine is ejected after failures.
    Ejected,
    /// The memory of the engine is too full for it.
    NoRoom,
    /// The engine has as many requests as it runs and queues.
    Full,
    /// The engine has asked for a pause.
    Paused,
    /// The request was already sent to the engine.
    Excluded,
}

/// Holds the estimate for one engine with all of its terms.
#[derive(Clone, Copy, Debug)]
pub struct RankedEngine<'a> {
    /// The engine.
    pub server: &'a ServerId,
    /// The position of the engine in [`EngineQuery::servers`].
    pub index: usize,
    /// Whether the engine may take the request.
    pub state: EngineState,
    /// Whether the engine is one of the holders of the last shared part.
    pub is_holder: bool,
    /// The shared tokens that the engine has probably cached.
    pub held_tokens: u32,
    /// The tokens that the engine prefills.
    pub prefill_tokens: u32,
    /// The part of the engine's memory in use, including the request.
    pub memory_share: f64,
    /// How much longer work takes on the engine than usual.
    pub slowdown: f64,
    /// The time of the prefill, in milliseconds.
    pub prefill_ms: f64,
    /// The time of the prefill that is queued before it, in milliseconds.
    pub wait_ms: f64,
    /// The cost of a filled memory, in milliseconds.
    pub memory_ms: f64,
    /// The network latency to another failure domain, in milliseconds.
    pub network_ms: f64,
    /// The cost of one more copy of the part, in milliseconds.
    pub order_ms: f64,
    /// Whether the engine has lost its cache or replaces one that is not usable.
    is_displaced: bool,
    /// Whether a record of the last shared part is too old to count.
    is_outdated: bool,
}

impl RankedEngine<'_> {
    /// Returns the expected time to the first event, in milliseconds.
    pub fn begin_ms(&self) -> f64 {
        self.prefill_ms + self.wait_ms + self.network_ms
    }

    /// Returns the estimate by which engines are compared, in milliseconds.
    pub fn total_ms(&self) -> f64 {
        self.begin_ms() + self.memory_ms + self.order_ms
    }
}

/// Describes why shared tokens are prefilled although an engine may have had them cached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PrefillCause {
    /// No engine is known to have the parts.
    Unknown,
    /// The parts were cached so long ago that they are probably evicted.
    Evicted,
    /// Waiting for an engine with the parts would take longer.
    Overloaded,
    /// The engine with the parts is gone, is not used now, or has lost its cache.
    Unavailable,
}

/// Describes where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineVerdict {
    /// The request goes to an engine.
    Chosen(EngineChoice),
    /// Every engine is at its limit of requests or memory.
    Full,
    /// No engine can begin the request before its caller gives up; the first one could after
    /// `wait`.
    Late {
        /// The time until an engine can begin the request.
        wait: Duration,
    },
    /// The request is larger than the memory of every engine.
    TooLarge,
    /// No engine is left.
    NoServer,
}

/// Describes the engine that was chosen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineChoice {
    /// The position of the engine in [`EngineQuery::servers`].
    pub index: usize,
    /// The tokens that the engine prefills.
    pub prefill_tokens: u32,
    /// The expected time to the first event at normal speed, in milliseconds.
    pub expected_ms: f64,
    /// The shared tokens that need no prefill.
    pub saved_tokens: u32,
    /// The shared tokens that are prefilled, and why.
    pub prefilled: Option<(u32, PrefillCause)>,
    /// How much longer the request waits than on the engine with the shortest queue, in
    /// milliseconds, to use what is cached.
    pub reuse_wait_ms: f64,
}

/// Returns a pseudo-random weight of a pair, for rendezvous hashing. Hashing in one call is several
/// times as fast as with a hasher, which counts with 90 engines.
fn pair_weight(left: u64, right: &str) -> u64 {
    xxh3_64_with_seed(right.as_bytes(), left)
}

/// Ranks the engines of a pool for a request in the rendezvous order of its last shared part, each
/// with its estimate.
///
/// Handles many hosts that see few requests each and have outdated reports: the order is equal on all
/// hosts, and only the estimates differ.
pub fn rank_engines<'a>(
    query: &EngineQuery<'a>,
    table: &EngineTable,
    loads: &LoadTable,
) -> Vec<RankedEngine<'a>> {
    let now = query.now;
    let size = RequestSize::new(query.parts, query.counts);
    let shared = shared_parts(query.parts);
    // Without a shared part the order is that of the request's own number.
    let key = shared.last().map_or(query.tie, |part| part.id);
    let mut order: Vec<(u64, usize)> = query
        .servers
        .iter()
        .enumerate()
        .map(|(index, (server, _))| (pair_weight(key, server.as_str()), index))
        .collect();
    order.sort_unstable_by(|left, right| right.cmp(left));
    let holders = match shared.last() {
        Some(part) => table.holders(now, part.id, query.hosts, order.len()),
        None => 1,
    };
    let unknown = EngineLoad::default();
    let mut ranked = Vec::with_capacity(order.len());
    let mut usable = 0;
    for (rank, (_, index)) in order.into_iter().enumerate() {
        let (server, record) = &query.servers[index];
        let engine = table.engines.get(server).unwrap_or(&unknown);
        let is_holder = usable < holders;
        let is_assumed = rank < holders && !engine.is_empty_since_loss(now);
        let known_tokens = engine.cache.cached_tokens(now, shared);
        let held_tokens = if is_assumed {
            size.shared
        } else {
            known_tokens
        };
        let prefill_tokens = (size.shared - held_tokens).saturating_add(size.own);
        let work = engine.work(now, table.rate, &table.mean, table.mean_others);
        let needs =
            f64::from(size.own) + f64::from(size.output) + f64::from(size.shared - held_tokens);
        let memory_share = (work.held_tokens + needs) / query.cache_tokens.max(1) as f64;
        // A request that fills most of a memory has room on an engine with hardly any other.
        let is_empty = memory_share <= 1.0
            && work.held_tokens <= (1.0 - ROOM_SHARE) * query.cache_tokens as f64;
        let has_room = memory_share <= ROOM_SHARE || is_empty;
        let load = (work.requests + 1.0) / f64::from(record.slots.max(1));
        let state = engine_state(query, loads, server, load, has_room);
        let slowdown = loads.slowdown(now, server).max(engine.slowness(now));
        let is_far = query.domain.is_some_and(|domain| record.domain != *domain);
        // Prefilling the part again delays the requests that run on the engine by the same time.
        let copy_ms = f64::from(size.shared - held_tokens) / table.rate;
        let beyond = (usable + 1).saturating_sub(holders).min(MAX_ORDER);
        ranked.push(RankedEngine {
            server,
            index,
            state,
            is_holder,
            held_tokens,
            prefill_tokens,
            memory_share,
            slowdown,
            prefill_ms: f64::from(prefill_tokens) / table.rate * slowdown,
            wait_ms: work.queued_tokens / table.rate * slowdown,
            memory_ms: memory_share * MEMORY_MS,
            network_ms: if is_far { NETWORK_MS } else { 0.0 },
            order_ms: if beyond == 0 {
                0.0
            } else {
                COPY_MS + beyond as f64 * ORDER_MS + copy_ms
            },
            is_displaced: is_holder && !is_assumed && held_tokens < size.shared,
            is_outdated: shared
                .last()
                .is_some_and(|part| engine.cache.is_outdated(now, part.id)),
        });
        let is_present = matches!(
            state,
            EngineState::Usable | EngineState::NoRoom | EngineState::Full
        );
        usable += usize::from(is_present);
    }
    ranked
}

fn engine_state(
    query: &EngineQuery<'_>,
    loads: &LoadTable,
    server: &ServerId,
    load: f64,
    has_room: bool,
) -> EngineState {
    let (is_paused, is_ejected) = loads.availability(query.now, server);
    let is_ejected = is_ejected || loads.is_avoided(query.now, server);
    if query.exclude.contains(server) {
        EngineState::Excluded
    } else if is_paused {
        EngineState::Paused
    } else if !has_room {
        EngineState::NoRoom
    } else if load > query.full_load {
        EngineState::Full
    } else if is_ejected {
        EngineState::Ejected
    } else if query.cold.contains(server) {
        EngineState::Cold
    } else {
        EngineState::Usable
    }
}

/// Chooses one of the ranked engines.
///
/// Two of the holders are drawn by the request's number and the one with the lower estimate is
/// taken, so that hosts with the same outdated report spread their requests. An engine without the
/// part is taken if its estimate is lower still. Cold and ejected engines are taken only if no other
/// can begin the request in time.
pub fn choose_ranked(query: &EngineQuery<'_>, ranked: &[RankedEngine<'_>]) -> EngineVerdict {
    let size = RequestSize::new(query.parts, query.counts);
    if size.total() > query.cache_tokens {
        return EngineVerdict::TooLarge;
    }
    let mut least: Option<f64> = None;
    for state in [EngineState::Usable, EngineState::Cold, EngineState::Ejected] {
        let Some(chosen) = choose_in_state(query, ranked, &size, state) else {
            continue;
        };
        if chosen.begin_ms() <= millis(query.time_left) {
            return EngineVerdict::Chosen(describe(ranked, &size, chosen));
        }
        let begin = chosen.begin_ms();
        least = Some(least.map_or(begin, |known| known.min(begin)));
    }
    if let Some(begin) = least {
        let wait = Duration::from_secs_f64((begin / 1000.0).min(60.0));
        return EngineVerdict::Late {
            wait: wait.saturating_sub(query.time_left),
        };
    }
    let is_present =
        |engine: &RankedEngine<'_>| matches!(engine.state, EngineState::NoRoom | EngineState::Full);
    if ranked.iter().any(is_present) {
        EngineVerdict::Full
    } else {
        EngineVerdict::NoServer
    }
}

/// Returns the best engine in a state; one that can begin in time if there is one.
fn choose_in_state<'r, 'a>(
    query: &EngineQuery<'_>,
    ranked: &'r [RankedEngine<'a>],
    size: &RequestSize,
    state: EngineState,
) -> Option<&'r RankedEngine<'a>> {
    let by_total = |left: &&RankedEngine<'_>, right: &&RankedEngine<'_>| {
        left.total_ms().total_cmp(&right.total_ms())
    };
    let is_in_state = |engine: &&RankedEngine<'_>| engine.state == state;
    let drawn = draw_engines(query, ranked, size);
    let drawn = drawn.into_iter().flatten().filter(is_in_state);
    let drawn = drawn.min_by(by_total);
    let others = ranked.iter().filter(is_in_state);
    // Engines without the part, for which the prefill of the part is in the estimate.
    let other = match drawn {
        Some(_) if size.shared < MIN_SHARED_TOKENS => None,
        Some(_) => others.filter(|engine| !engine.is_holder).min_by(by_total),
        None => others.min_by(by_total),
    };
    let chosen = [drawn, other].into_iter().flatten().min_by(by_total)?;
    let time_left = millis(query.time_left);
    if chosen.begin_ms() <= time_left {
        return Some(chosen);
    }
    let by_begin = |left: &&RankedEngine<'_>, right: &&RankedEngine<'_>| {
        left.begin_ms().total_cmp(&right.begin_ms())
    };
    ranked.iter().filter(is_in_state).min_by(by_begin)
}

/// Draws engines by the request's number: two holders of its last shared part, or, if the part is
/// small, a holder and any two engines.
fn draw_engines<'r, 'a>(
    query: &EngineQuery<'_>,
    ranked: &'r [RankedEngine<'a>],
    size: &RequestSize,
) -> [Option<&'r RankedEngine<'a>>; 3] {
    let is_candidate = |engine: &&RankedEngine<'_>| {
        engine.is_holder
            && !matches!(
                engine.state,
                EngineState::Excluded
                    | EngineState::Paused
                    | EngineState::Ejected
                    | EngineState::Cold
            )
    };
    let count = ranked.iter().filter(is_candidate).count();
    let nth = |position: usize| ranked.iter().filter(is_candidate).nth(position);
    let [first, second, third] = [0, 1, 2].map(|number| draw(query.tie, number));
    if count == 0 {
        return [None; 3];
    }
    let position = first % count;
    if size.shared < MIN_SHARED_TOKENS {
        let any = |number: usize| ranked.get(number % ranked.len());
        return [nth(position), any(second), any(third)];
    }
    if count == 1 {
        return [nth(0), None, None];
    }
    let other = (position + 1 + second % (count - 1)) % count;
    [nth(position), nth(other), None]
}

/// Returns a pseudo-random number of a request.
fn draw(tie: u64, number: u64) -> usize {
    pair_weight(tie.wrapping_add(number), "draw") as usize
}

/// Returns the choice with what it means for prompt reuse.
fn describe(
    ranked: &[RankedEngine<'_>],
    size: &RequestSize,
    chosen: &RankedEngine<'_>,
) -> EngineChoice {
    let usable = ranked
        .iter()
        .filter(|engine| engine.state == EngineState::Usable);
    let shortest = usable
        .map(|engine| engine.wait_ms)
        .fold(chosen.wait_ms, f64::min);
    let missing = size.shared - chosen.held_tokens;
    let cause = || {
        let holds_more = |engine: &&RankedEngine<'_>| engine.held_tokens > chosen.held_tokens;
        let mut better = ranked.iter().filter(holds_more);
        match better.next() {
            Some(holder) => match holder.state {
                EngineState::Usable | EngineState::NoRoom | EngineState::Full => {
                    PrefillCause::Overloaded
                }
                _ => PrefillCause::Unavailable,
            },
            None if chosen.is_outdated => PrefillCause::Evicted,
            None if ranked.iter().any(|engine| engine.is_displaced) => PrefillCause::Unavailable,
            None => PrefillCause::Unknown,
        }
    };
    EngineChoice {
        index: chosen.index,
        prefill_tokens: chosen.prefill_tokens,
        expected_ms: chosen.begin_ms() / chosen.slowdown,
        saved_tokens: chosen.held_tokens,
        prefilled: (missing > 0).then(|| (missing, cause())),
        reuse_wait_ms: if chosen.held_tokens > 0 {
            chosen.wait_ms - shortest
        } else {
            0.0
        },
    }
}
