//! Which backend server takes a request.

use hollywheel_types::{DomainId, MonoTime, ServerId};
use xxhash_rust::xxh3::Xxh3;

use crate::load::LoadTable;
use crate::registry::ServerRecord;

/// A server may have so many times the mean load before a request goes to the next one in its
/// order (consistent hashing with bounded loads).
const LOAD_BOUND: f64 = 1.5;
/// A shared part below so many tokens is read again faster than a loaded server answers.
const MIN_SHARED_TOKENS: u32 = 1000;
/// A server that takes so many times the mean of its pool counts as slow.
const SLOW_RATIO: f64 = 2.0;

/// Describes one part of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// The id, the same for all requests that share the part.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// Says what a server is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The time.
    pub now: MonoTime,
    /// The servers that may be used.
    pub servers: &'a [(ServerId, ServerRecord)],
    /// Servers that this request was already sent to.
    pub exclude: &'a [ServerId],
    /// A number that differs between requests and hosts, to choose among equals.
    pub tie: u64,
    /// The failure domain that is preferred among equals.
    pub domain: Option<&'a DomainId>,
}

/// Says which server takes a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementVerdict {
    /// This one.
    Server(ServerId),
    /// All have as many requests as they take, or have asked for time.
    Full,
    /// There is none.
    NoServer,
}

struct Candidate<'a> {
    server: &'a ServerId,
    record: &'a ServerRecord,
    load: f64,
}

fn pair_weight(left: u64, right: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&left.to_le_bytes());
    hasher.update(right.as_bytes());
    hasher.digest()
}

/// Lists the servers that may take the request: none that has asked for time, and those passed
/// over for failures only if no other is left.
fn candidates<'a>(query: &PlacementQuery<'a>, loads: &LoadTable) -> Vec<Candidate<'a>> {
    let fresh = query
        .servers
        .iter()
        .filter(|(server, _)| !query.exclude.contains(server))
        .filter(|(server, _)| loads.pause_left(query.now, server).is_none())
        .map(|(server, record)| Candidate {
            server,
            record,
            load: (loads.estimate(query.now, server) + 1.0) / f64::from(record.slots.max(1)),
        });
    let (good, ejected): (Vec<_>, Vec<_>) =
        fresh.partition(|candidate| !loads.is_ejected(query.now, candidate.server));
    let mut chosen = if good.is_empty() { ejected } else { good };
    weigh_latency(&mut chosen, loads);
    chosen
}

/// Raises the load of servers that answer much more slowly than the others.
fn weigh_latency(candidates: &mut [Candidate<'_>], loads: &LoadTable) {
    let mut times: Vec<f64> = candidates
        .iter()
        .filter_map(|candidate| loads.latency(candidate.server))
        .collect();
    if times.len() < 2 {
        return;
    }
    times.sort_by(f64::total_cmp);
    let median = times[(times.len() - 1) / 2].max(f64::MIN_POSITIVE);
    for candidate in candidates {
        let ratio = loads.latency(candidate.server).unwrap_or(median) / median;
        if ratio > SLOW_RATIO {
            candidate.load *= ratio;
        }
    }
}

/// Chooses the server with the least load; equals are chosen among by the tie number, so that
/// hosts that know the same do not all choose the same.
///
/// Answers a burst on a small pool of plain services, where a host's own requests and the
/// servers' answers tell the load better than any report.
pub fn choose_least_loaded(
    query: &PlacementQuery<'_>,
    loads: &LoadTable,
    full_load: f64,
) -> PlacementVerdict {
    let candidates = candidates(query, loads);
    if candidates.is_empty() {
        return PlacementVerdict::NoServer;
    }
    let least = candidates.iter().min_by(|left, right| {
        let rank = |candidate: &Candidate<'_>| pair_weight(query.tie, candidate.server.as_str());
        let foreign = |candidate: &Candidate<'_>| {
            query
                .domain
                .is_some_and(|domain| candidate.record.domain != *domain)
        };
        left.load
            .total_cmp(&right.load)
            .then_with(|| foreign(left).cmp(&foreign(right)))
            .then_with(|| rank(left).cmp(&rank(right)))
    });
    match least {
        Some(candidate) if candidate.load <= full_load => {
            PlacementVerdict::Server(candidate.server.clone())
        }
        Some(_) => PlacementVerdict::Full,
        None => PlacementVerdict::NoServer,
    }
}

/// Chooses a model engine: the one that the last shared prompt part belongs to, by rendezvous
/// hashing, unless its load is above the bound; then the next in the part's order.
///
/// Answers a hot prompt part and a burst of long prompts: all hosts agree on where a part is
/// cached without exchanging messages, and the bound spreads what one engine can't take.
pub fn choose_engine(
    query: &PlacementQuery<'_>,
    loads: &LoadTable,
    parts: &[PromptPart],
    full_load: f64,
) -> PlacementVerdict {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let tokens = shared
        .iter()
        .fold(0_u32, |sum, part| sum.saturating_add(part.tokens));
    let Some(last) = shared.last().filter(|_| tokens >= MIN_SHARED_TOKENS) else {
        return choose_least_loaded(query, loads, full_load);
    };
    let mut order = candidates(query, loads);
    if order.is_empty() {
        return PlacementVerdict::NoServer;
    }
    let mean = order.iter().map(|candidate| candidate.load).sum::<f64>() / order.len() as f64;
    let slots = order.iter().map(|candidate| candidate.record.slots).max();
    let bound = (LOAD_BOUND * mean + 4.0 / f64::from(slots.unwrap_or(1).max(1))).min(full_load);
    order.sort_by_key(|candidate| {
        std::cmp::Reverse(pair_weight(last.id, candidate.server.as_str()))
    });
    match order.iter().find(|candidate| candidate.load <= bound) {
        Some(candidate) => PlacementVerdict::Server(candidate.server.clone()),
        None => choose_least_loaded(query, loads, full_load),
    }
}
