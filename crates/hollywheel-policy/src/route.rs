//! The choice of a backend server.

use hollywheel_types::{DomainId, ModelId, MonoTime, RequestClass, ServerId};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::hash::pair_weight;
use crate::pool::PoolState;
use crate::server::ServerState;
use crate::settings::RoutingPolicy;

/// Loads that differ by less than so many requests count as equal.
const TIE_MARGIN: f64 = 0.5;
/// Prefix affinity accepts so many times the mean load.
const AFFINITY_BOUND: f64 = 1.25;
/// The requests on a server, as a multiple of its slots, up to which a class is sent to it.
const BACKLOG: [f64; 4] = [2.0, 1.5, 1.0, 0.75];
/// The load of a pool, as a part of its slots, that leaves none free to count on.
const FULL_LOAD: f64 = 0.95;
/// Each failure in a row counts as this part of the slots; failures beyond a limit add nothing.
const FAILURE_LOAD: f64 = 0.5;

/// Each request that should have been answered counts as so many, since others wait there too.
const OVERDUE_LOAD: f64 = 2.0;

/// Says what a server is wanted for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteQuery<'a> {
    pub(crate) policy: RoutingPolicy,
    pub(crate) domain: &'a DomainId,
    pub(crate) class: RequestClass,
    pub(crate) model: Option<&'a ModelId>,
    pub(crate) prefix: Option<u64>,
    pub(crate) exclude: &'a [ServerId],
}

/// Holds the result of a choice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RouteChoice {
    Server(ServerId),
    /// Every server has as much as the class may add to; `full` if no slot is free at all.
    Saturated {
        full: bool,
    },
    NoServer,
}

struct Candidate<'a> {
    server: &'a ServerId,
    state: &'a ServerState,
    /// The estimated requests on the server.
    load: f64,
    /// The part of them that is known.
    known: f64,
}

impl<'a> Candidate<'a> {
    const fn new((server, state): (&'a ServerId, &'a ServerState)) -> Self {
        Self {
            server,
            state,
            load: 0.0,
            known: 0.0,
        }
    }

    fn relative(&self) -> f64 {
        self.load / f64::from(self.state.slots)
    }

    fn has_room(&self) -> bool {
        self.load + 1.0 <= f64::from(self.state.slots)
    }

    fn is_saturated(&self, class: RequestClass) -> bool {
        self.known >= BACKLOG[class.index()] * f64::from(self.state.slots)
    }
}

/// Chooses a server of a pool.
pub(crate) fn choose_server(
    now: MonoTime,
    pool: &PoolState,
    query: &RouteQuery<'_>,
    random: &mut StdRng,
) -> RouteChoice {
    let candidates = find_candidates(now, pool, query);
    if candidates.is_empty() {
        return RouteChoice::NoServer;
    }
    let chosen = match query.policy {
        RoutingPolicy::Random => Some(&candidates[random.random_range(0..candidates.len())]),
        RoutingPolicy::LeastReported => least_reported(&candidates),
        RoutingPolicy::TwoChoices => two_choices(&candidates, query, random),
        RoutingPolicy::PrefixAffinity => {
            prefix_affinity(&candidates, query).or_else(|| two_choices(&candidates, query, random))
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
        && state.may_hold(query.model)
        && !query.exclude.contains(server)
}

/// Estimates the requests on each server: this host's own, and those of others from the last
/// report, which fades to the mean of the candidates as it ages.
fn estimate_loads(now: MonoTime, candidates: &mut [Candidate<'_>]) {
    let reports: Vec<(f64, f64)> = candidates
        .iter()
        .map(|candidate| candidate.state.others(now))
        .collect();
    let weight: f64 = reports.iter().map(|(_, weight)| weight).sum();
    let total: f64 = reports.iter().map(|(others, weight)| others * weight).sum();
    let mean = total / weight.max(f64::MIN_POSITIVE);
    for (candidate, (others, weight)) in candidates.iter_mut().zip(reports) {
        let state = candidate.state;
        let failures = f64::from(state.health.failures()) * FAILURE_LOAD;
        let overdue = state.overdue(now) as f64 * OVERDUE_LOAD;
        candidate.known = state.in_flight() as f64 + weight * others;
        let unknown = (1.0 - weight) * mean;
        let signs = failures * f64::from(state.slots) + overdue;
        candidate.load = candidate.known + unknown + signs;
    }
}

/// Says whether the estimated requests fill the slots of the pool.
fn is_pool_full(candidates: &[Candidate<'_>]) -> bool {
    let load: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    let slots = candidates.iter().map(|candidate| candidate.state.slots);
    load >= FULL_LOAD * slots.map(f64::from).sum::<f64>()
}

fn least_reported<'a, 'b>(candidates: &'b [Candidate<'a>]) -> Option<&'b Candidate<'a>> {
    let load = |candidate: &Candidate<'_>| candidate.state.reported_load();
    candidates
        .iter()
        .min_by(|a, b| load(a).total_cmp(&load(b)).then(a.server.cmp(b.server)))
}

fn two_choices<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    query: &RouteQuery<'_>,
    random: &mut StdRng,
) -> Option<&'b Candidate<'a>> {
    let first = random.random_range(0..candidates.len());
    let mut second = random.random_range(0..candidates.len().max(2) - 1);
    if second >= first {
        second = (second + 1) % candidates.len();
    }
    let better = lighter(&candidates[first], &candidates[second], query.domain);
    if better.has_room() {
        return Some(better);
    }
    if let Some(free) = random_free(candidates, random) {
        return Some(free);
    }
    let least = candidates
        .iter()
        .min_by(|a, b| a.relative().total_cmp(&b.relative()))?;
    let least = lighter(better, least, query.domain);
    (!least.is_saturated(query.class)).then_some(least)
}

/// Chooses any server with a free slot. The choice is random since hosts that share a stale
/// report would otherwise all send to the same server.
fn random_free<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    random: &mut StdRng,
) -> Option<&'b Candidate<'a>> {
    let free = candidates.iter().filter(|candidate| candidate.has_room());
    let count = free.clone().count();
    if count == 0 {
        return None;
    }
    free.clone().nth(random.random_range(0..count))
}

fn lighter<'a, 'b>(
    left: &'b Candidate<'a>,
    right: &'b Candidate<'a>,
    domain: &DomainId,
) -> &'b Candidate<'a> {
    let slots = f64::from(left.state.slots.min(right.state.slots));
    let difference = (left.relative() - right.relative()) * slots;
    if difference.abs() < TIE_MARGIN {
        let prefers_right = left.state.domain != *domain && right.state.domain == *domain;
        return if prefers_right { right } else { left };
    }
    if difference <= 0.0 { left } else { right }
}

/// Chooses the server that holds a prefix, or else the one that it belongs to by rendezvous
/// hashing, unless it is loaded above the bound.
fn prefix_affinity<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    query: &RouteQuery<'_>,
) -> Option<&'b Candidate<'a>> {
    let prefix = query.prefix?;
    let total: f64 = candidates.iter().map(Candidate::relative).sum();
    let slots = candidates
        .iter()
        .map(|candidate| candidate.state.slots)
        .min()?;
    let mean = total / candidates.len() as f64;
    let bound = AFFINITY_BOUND * mean + 1.0 / f64::from(slots);
    let fits = |candidate: &&Candidate<'_>| {
        candidate.relative() <= bound && !candidate.is_saturated(query.class)
    };
    let weight = |candidate: &&Candidate<'_>| {
        pair_weight(&prefix.to_le_bytes(), candidate.server.as_str().as_bytes())
    };
    let holders = candidates.iter().filter(|c| c.state.holds_prefix(prefix));
    holders
        .filter(fits)
        .min_by(|a, b| a.relative().total_cmp(&b.relative()))
        .or_else(|| candidates.iter().max_by_key(weight).filter(fits))
}
