//! Routing: the choice of a backend server within a pool.

use hollywheel_types::{DomainId, ModelId, MonoTime, RequestClass, ServerId};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::hash::pair_weight;
use crate::pool::PoolState;
use crate::server::ServerState;
use crate::settings::RoutingPolicy;

/// Loads that differ by less than this number of requests count as equal.
const TIE_MARGIN: f64 = 0.5;
/// Largest load that prefix affinity accepts, as a multiple of the mean load.
const AFFINITY_BOUND: f64 = 1.25;
/// Number of requests on a server, as a multiple of its slots, from which it is saturated for a
/// class; indexed by class.
const MAX_BACKLOG: [f64; 4] = [2.0, 1.5, 1.0, 0.75];
/// Load of a pool, as a fraction of its slots, from which the pool counts as full.
const FULL_POOL_LOAD: f64 = 0.95;
/// Load added per consecutive failure of a server, as a fraction of its slots. The number of
/// failures that counts is capped at the number that ejects a server.
const FAILURE_LOAD: f64 = 0.5;

/// Load added per overdue request of this host, since requests of other hosts are probably
/// delayed on that server as well.
const OVERDUE_LOAD: f64 = 2.0;

/// What a backend server is chosen for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteQuery<'a> {
    pub(crate) policy: RoutingPolicy,
    pub(crate) domain: &'a DomainId,
    pub(crate) class: RequestClass,
    pub(crate) model: Option<&'a ModelId>,
    pub(crate) prefix: Option<u64>,
    pub(crate) exclude: &'a [ServerId],
}

/// Result of choosing a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RouteChoice {
    Server(ServerId),
    /// Every eligible server is saturated for the class; `full` if the pool has no free slot.
    Saturated {
        full: bool,
    },
    NoServer,
}

/// An eligible server with its estimated load.
struct Candidate<'a> {
    server: &'a ServerId,
    state: &'a ServerState,
    /// The estimated number of requests on the server, including penalties.
    load: f64,
    /// The part of the load that is known from own requests and fresh reports.
    known_load: f64,
}

impl<'a> Candidate<'a> {
    const fn new((server, state): (&'a ServerId, &'a ServerState)) -> Self {
        Self {
            server,
            state,
            load: 0.0,
            known_load: 0.0,
        }
    }

    fn relative_load(&self) -> f64 {
        self.load / f64::from(self.state.slots)
    }

    fn has_room(&self) -> bool {
        self.load + 1.0 <= f64::from(self.state.slots)
    }

    fn is_saturated(&self, class: RequestClass) -> bool {
        self.known_load >= MAX_BACKLOG[class.index()] * f64::from(self.state.slots)
    }
}

/// Chooses a server of the pool according to the routing policy of the query.
pub(crate) fn choose_server(
    now: MonoTime,
    pool: &PoolState,
    query: &RouteQuery<'_>,
    rng: &mut StdRng,
) -> RouteChoice {
    let candidates = find_candidates(now, pool, query);
    if candidates.is_empty() {
        return RouteChoice::NoServer;
    }
    let chosen = match query.policy {
        RoutingPolicy::Random => Some(&candidates[rng.random_range(0..candidates.len())]),
        RoutingPolicy::LeastReported => least_reported(&candidates),
        RoutingPolicy::TwoChoices => two_choices(&candidates, query, rng),
        RoutingPolicy::PrefixAffinity => {
            prefix_affinity(&candidates, query).or_else(|| two_choices(&candidates, query, rng))
        }
    };
    match chosen {
        Some(candidate) => RouteChoice::Server(candidate.server.clone()),
        None => RouteChoice::Saturated {
            full: is_pool_full(&candidates),
        },
    }
}

fn find_candidates<'a>(
    now: MonoTime,
    pool: &'a PoolState,
    query: &RouteQuery<'_>,
) -> Vec<Candidate<'a>> {
    let subset = pool.subset.iter();
    let mut candidates: Vec<Candidate<'a>> = subset
        .filter_map(|server| Some((server, pool.servers.get(server)?)))
        .filter(|(server, state)| is_eligible(server, state, query))
        .map(Candidate::new)
        .collect();
    if candidates.is_empty() && pool.subset.len() < pool.servers.len() {
        let servers = pool.servers.iter();
        candidates = servers
            .filter(|(server, state)| is_eligible(server, state, query))
            .map(Candidate::new)
            .collect();
    }
    estimate_loads(now, &mut candidates);
    candidates
}

fn is_eligible(server: &ServerId, state: &ServerState, query: &RouteQuery<'_>) -> bool {
    !state.leaving
        && state.health.is_serving()
        && state.may_have_model(query.model)
        && !query.exclude.contains(server)
}

/// Estimates the number of requests on each server.
///
/// The estimate is the sum of this host's requests in flight and those of other hosts in the
/// latest report. As a report ages, its value decays towards the mean of all candidates.
fn estimate_loads(now: MonoTime, candidates: &mut [Candidate<'_>]) {
    let reports: Vec<(f64, f64)> = candidates
        .iter()
        .map(|candidate| candidate.state.load_of_others(now))
        .collect();
    let weight: f64 = reports.iter().map(|(_, weight)| weight).sum();
    let total: f64 = reports.iter().map(|(others, weight)| others * weight).sum();
    let mean = total / weight.max(f64::MIN_POSITIVE);
    for (candidate, (others, weight)) in candidates.iter_mut().zip(reports) {
        let state = candidate.state;
        let failure_load = f64::from(state.health.consecutive_failures()) * FAILURE_LOAD;
        let overdue = state.overdue(now) as f64 * OVERDUE_LOAD;
        candidate.known_load = state.in_flight() as f64 + weight * others;
        let unknown_load = (1.0 - weight) * mean;
        let penalty = failure_load * f64::from(state.slots) + overdue;
        candidate.load = candidate.known_load + unknown_load + penalty;
    }
}

/// Returns whether the estimated load fills the slots of the pool.
fn is_pool_full(candidates: &[Candidate<'_>]) -> bool {
    let load: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    let slots = candidates.iter().map(|candidate| candidate.state.slots);
    load >= FULL_POOL_LOAD * slots.map(f64::from).sum::<f64>()
}

fn least_reported<'a, 'b>(candidates: &'b [Candidate<'a>]) -> Option<&'b Candidate<'a>> {
    let load = |candidate: &Candidate<'_>| candidate.state.reported_total();
    candidates
        .iter()
        .min_by(|a, b| load(a).total_cmp(&load(b)).then(a.server.cmp(b.server)))
}

fn two_choices<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    query: &RouteQuery<'_>,
    rng: &mut StdRng,
) -> Option<&'b Candidate<'a>> {
    let first = rng.random_range(0..candidates.len());
    let mut second = rng.random_range(0..candidates.len().max(2) - 1);
    if second >= first {
        second = (second + 1) % candidates.len();
    }
    let better = less_loaded(&candidates[first], &candidates[second], query.domain);
    if better.has_room() {
        return Some(better);
    }
    if let Some(free) = random_with_free_slot(candidates, rng) {
        return Some(free);
    }
    let least = candidates
        .iter()
        .min_by(|a, b| a.relative_load().total_cmp(&b.relative_load()))?;
    let least = less_loaded(better, least, query.domain);
    (!least.is_saturated(query.class)).then_some(least)
}

/// Chooses a random server with a free slot.
///
/// The choice is random because hosts with the same stale reports would otherwise all send to the
/// same server.
fn random_with_free_slot<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    rng: &mut StdRng,
) -> Option<&'b Candidate<'a>> {
    let free = candidates.iter().filter(|candidate| candidate.has_room());
    let count = free.clone().count();
    if count == 0 {
        return None;
    }
    free.clone().nth(rng.random_range(0..count))
}

/// Returns the less loaded of two servers; on a tie, one in this host's failure domain wins.
fn less_loaded<'a, 'b>(
    left: &'b Candidate<'a>,
    right: &'b Candidate<'a>,
    domain: &DomainId,
) -> &'b Candidate<'a> {
    let slots = f64::from(left.state.slots.min(right.state.slots));
    let difference = (left.relative_load() - right.relative_load()) * slots;
    if difference.abs() < TIE_MARGIN {
        let prefers_right = left.state.domain != *domain && right.state.domain == *domain;
        return if prefers_right { right } else { left };
    }
    if difference <= 0.0 { left } else { right }
}

/// Chooses the least loaded server that has the prefix cached, or else the server that rendezvous
/// hashing assigns to the prefix. Servers whose load exceeds the bound are not chosen.
fn prefix_affinity<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    query: &RouteQuery<'_>,
) -> Option<&'b Candidate<'a>> {
    let prefix = query.prefix?;
    let total: f64 = candidates.iter().map(Candidate::relative_load).sum();
    let slots = candidates
        .iter()
        .map(|candidate| candidate.state.slots)
        .min()?;
    let mean = total / candidates.len() as f64;
    let bound = AFFINITY_BOUND * mean + 1.0 / f64::from(slots);
    let fits = |candidate: &&Candidate<'_>| {
        candidate.relative_load() <= bound && !candidate.is_saturated(query.class)
    };
    let weight = |candidate: &&Candidate<'_>| {
        pair_weight(&prefix.to_le_bytes(), candidate.server.as_str().as_bytes())
    };
    let holders = candidates.iter().filter(|c| c.state.has_prefix(prefix));
    holders
        .filter(fits)
        .min_by(|a, b| a.relative_load().total_cmp(&b.relative_load()))
        .or_else(|| candidates.iter().max_by_key(weight).filter(fits))
}
