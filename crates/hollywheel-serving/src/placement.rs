//! Placement of requests on backend servers.

use hollywheel_types::{DomainId, MonoTime, ServerId};
use xxhash_rust::xxh3::Xxh3;

use crate::load::LoadTable;
use crate::registry::ServerRecord;

/// The load limit of a server as a multiple of the mean load of the candidates; above it a request
/// goes to the next server in hash order (consistent hashing with bounded loads).
const LOAD_BOUND: f64 = 1.5;
/// Prompt affinity is ignored for shared prompts with fewer tokens than this: processing them again
/// is faster than waiting for a loaded server.
const MIN_SHARED_TOKENS: u32 = 1000;
/// A server counts as slow if its mean latency exceeds the median of the candidates by this factor.
const SLOW_RATIO: f64 = 2.0;
/// Smaller differences in mean latency, in seconds, are those of connections and scheduling, and
/// callers do not notice them.
const MIN_SLOW_EXCESS: f64 = 0.025;

/// Describes one part of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// The identifier, equal for all requests that share the part.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

/// Holds the size of a generation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenCounts {
    /// The number of tokens of the whole prompt.
    pub prompt: u32,
    /// The largest number of tokens that may be generated.
    pub output: u32,
}

/// Describes a request to place and the servers that may take it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The current time.
    pub now: MonoTime,
    /// The servers that are in use.
    pub servers: &'a [(ServerId, ServerRecord)],
    /// Servers to which this request was already sent.
    pub exclude: &'a [ServerId],
    /// A number that differs between requests and hosts, which breaks ties between equal servers.
    pub tie: u64,
    /// The failure domain that is preferred among servers with equal load.
    pub domain: Option<&'a DomainId>,
}

/// Describes which server takes a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementVerdict {
    /// The request goes to this server.
    Server(ServerId),
    /// Every candidate is at its load limit.
    Full,
    /// No candidate is left: there is no server, or all were tried or have asked for a pause.
    NoServer,
}

/// Holds a server that may take the request.
struct Candidate<'a> {
    server: &'a ServerId,
    record: &'a ServerRecord,
    /// The requests on the server, including the one to place, divided by its slots.
    load: f64,
    /// How long work takes on the server at this moment, as a multiple of the usual time.
    slowdown: f64,
    /// The factor by which the load counts in comparisons, above 1 after the server was cold.
    ramp: f64,
    /// Whether the server lost a connection or was silent a moment ago.
    avoided: bool,
}

impl Candidate<'_> {
    /// Returns a measure of the time after which the request would end on this server.
    const fn expected_time(&self) -> f64 {
        self.load * self.slowdown * self.ramp
    }
}

/// Returns a pseudo-random weight of a pair, for rendezvous hashing and for breaking ties.
pub(crate) fn pair_weight(left: u64, right: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&left.to_le_bytes());
    hasher.update(right.as_bytes());
    hasher.digest()
}

/// Lists the servers that may take the request. Servers that have asked for a pause are left out;
/// servers ejected after failures are used only if no other server is left.
fn candidates<'a>(query: &PlacementQuery<'a>, loads: &LoadTable) -> Vec<Candidate<'a>> {
    let available = query
        .servers
        .iter()
        .filter(|(server, _)| !query.exclude.contains(server))
        .filter(|(server, _)| loads.pause_left(query.now, server).is_none())
        .map(|(server, record)| {
            let known = loads.snapshot(query.now, server);
            Candidate {
                server,
                record,
                load: (known.requests + 1.0) / f64::from(record.slots.max(1)),
                slowdown: known.slowdown,
                ramp: loads.ramp_factor(query.now, server),
                avoided: known.avoided,
            }
        });
    let (healthy, ejected): (Vec<_>, Vec<_>) =
        available.partition(|candidate| !loads.is_ejected(query.now, candidate.server));
    let mut chosen = if healthy.is_empty() { ejected } else { healthy };
    weigh_latency(query.now, &mut chosen, loads);
    chosen
}

/// Scales up the load of servers whose mean latency is far above the median of the candidates, by
/// less the longer they have not responded. Latency that a server's reported slowdown explains does
/// not count: the slowdown is applied by itself, as of now.
fn weigh_latency(now: MonoTime, candidates: &mut [Candidate<'_>], loads: &LoadTable) {
    let mut times: Vec<f64> = candidates
        .iter()
        .filter_map(|candidate| loads.latency(candidate.server))
        .map(|latency| latency.seconds)
        .collect();
    if times.len() < 2 {
        return;
    }
    times.sort_by(f64::total_cmp);
    let median = times[(times.len() - 1) / 2].max(f64::MIN_POSITIVE);
    for candidate in candidates {
        let Some(latency) = loads.latency(candidate.server) else {
            continue;
        };
        let excess = latency.unexplained_seconds() - median;
        let ratio = 1.0 + excess / median * latency.confidence(now);
        if excess > MIN_SLOW_EXCESS && ratio > SLOW_RATIO {
            candidate.load *= ratio;
        }
    }
}

/// Chooses the server with the least load, scaled by its slowdown, among those whose load does not
/// exceed `full_load`. Equal servers are chosen by the tie number, so that hosts with the same
/// information spread their requests. Servers that are avoided are used only if the others are full.
/// The limit compares the load without the slowdown, since a
/// server's queue holds a number of requests whatever its speed.
///
/// A server that was cold gets its share step by step: its load counts several times in comparisons, but
/// not against `full_load`, so that its capacity is used when the others are full.
///
/// Suited to bursts on a small pool of plain services, where a host's own requests and the load
/// reports in responses are a better estimate of the load than periodic reports.
pub fn choose_least_loaded(
    query: &PlacementQuery<'_>,
    loads: &LoadTable,
    full_load: f64,
) -> PlacementVerdict {
    let candidates = candidates(query, loads);
    if candidates.is_empty() {
        return PlacementVerdict::NoServer;
    }
    let available = candidates
        .iter()
        .filter(|candidate| candidate.load <= full_load);
    let least = available.min_by(|left, right| {
        let tie_rank =
            |candidate: &Candidate<'_>| pair_weight(query.tie, candidate.server.as_str());
        let in_other_domain = |candidate: &Candidate<'_>| {
            query
                .domain
                .is_some_and(|domain| candidate.record.domain != *domain)
        };
        left.avoided
            .cmp(&right.avoided)
            .then_with(|| left.expected_time().total_cmp(&right.expected_time()))
            .then_with(|| in_other_domain(left).cmp(&in_other_domain(right)))
            .then_with(|| tie_rank(left).cmp(&tie_rank(right)))
    });
    match least {
        Some(candidate) => PlacementVerdict::Server(candidate.server.clone()),
        None => PlacementVerdict::Full,
    }
}

/// Chooses a model engine by rendezvous hashing of the last shared prompt part; engines whose load
/// is above the bound are skipped in favour of the next in hash order.
///
/// All hosts agree on where a prompt part is cached without exchanging messages. The load bound
/// spreads a popular prompt part, or a burst of long prompts, over more than one engine.
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
    let has_room = |candidate: &&Candidate<'_>| !candidate.avoided && candidate.load <= bound;
    match order.iter().find(has_room) {
        Some(candidate) => PlacementVerdict::Server(candidate.server.clone()),
        None => choose_least_loaded(query, loads, full_load),
    }
}
