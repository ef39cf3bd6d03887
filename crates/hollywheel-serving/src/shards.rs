//! Division of a pool into shards, each with its own batcher host.

use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, ServerId, SortedMap};

use crate::registry::ServerRecord;

/// The minimum mean number of servers per failure domain for a pool to be sharded by domain. With
/// fewer, requests would wait for a server of their shard while servers of other shards are idle.
const MIN_SHARD_SERVERS: f64 = 3.5;
/// The age up to which a reported queueing time of a shard is used.
const MAX_WAIT_AGE: Duration = Duration::from_millis(1000);
/// A request goes to another shard than the preferred one only if its queueing time is shorter by
/// more than this, which is longer than half a call.
const SPILL_MARGIN: Duration = Duration::from_millis(200);

/// Identifies a shard of a pool: the servers of one failure domain, or all servers.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PoolShard {
    /// All servers of the pool.
    Whole,
    /// The servers of one failure domain.
    Domain(DomainId),
}

impl PoolShard {
    /// Returns whether a server belongs to the shard.
    pub fn holds(&self, record: &ServerRecord) -> bool {
        match self {
            Self::Whole => true,
            Self::Domain(domain) => record.domain == *domain,
        }
    }

    /// Returns the failure domain of the shard; none for the whole pool.
    pub const fn domain(&self) -> Option<&DomainId> {
        match self {
            Self::Whole => None,
            Self::Domain(domain) => Some(domain),
        }
    }
}

/// Holds the queueing time that each shard of a pool last reported, and when.
pub type ShardWaits = SortedMap<PoolShard, (Duration, MonoTime)>;

/// Returns the shortest queueing time among recent reports of the shards of a pool; zero if there
/// is none.
pub fn least_wait(now: MonoTime, waits: Option<&ShardWaits>) -> Duration {
    let reported = waits.into_iter().flat_map(|waits| waits.values());
    let fresh = reported.filter(|(_, at)| now.since(*at) <= MAX_WAIT_AGE);
    fresh.map(|(wait, _)| *wait).min().unwrap_or_default()
}

/// Divides the servers of a pool into shards. Hosts with the same list of servers get the same
/// shards.
pub fn split_into_shards(servers: &[(ServerId, ServerRecord)]) -> Vec<PoolShard> {
    let mut domains: Vec<&DomainId> = servers.iter().map(|(_, record)| &record.domain).collect();
    domains.sort();
    domains.dedup();
    if domains.len() < 2 || servers.len() as f64 / (domains.len() as f64) < MIN_SHARD_SERVERS {
        return vec![PoolShard::Whole];
    }
    domains
        .into_iter()
        .cloned()
        .map(PoolShard::Domain)
        .collect()
}

/// Chooses the shard for the pieces of a request: the shard of the preferred failure domain, or
/// else a shard drawn in proportion to its servers, unless another shard reported a much shorter
/// queueing time.
///
/// The comparison of queueing times balances a burst in one failure domain, or the loss of servers
/// in one.
pub fn choose_shard(
    now: MonoTime,
    servers: &[(ServerId, ServerRecord)],
    preferred: Option<&DomainId>,
    waits: Option<&ShardWaits>,
    tie: u64,
) -> PoolShard {
    let shards = split_into_shards(servers);
    if shards.len() == 1 {
        return PoolShard::Whole;
    }
    let wait = |shard: &PoolShard| {
        let reported = waits.and_then(|waits| waits.get(shard));
        reported
            .filter(|(_, at)| now.since(*at) <= MAX_WAIT_AGE)
            .map_or(Duration::ZERO, |(wait, _)| *wait)
    };
    let by_domain = preferred.cloned().map(PoolShard::Domain);
    let first = by_domain
        .filter(|shard| shards.contains(shard))
        .unwrap_or_else(|| {
            let count = u64::try_from(servers.len()).unwrap_or(u64::MAX).max(1);
            let index = usize::try_from(tie % count).unwrap_or(0);
            PoolShard::Domain(servers[index].1.domain.clone())
        });
    let least = shards.into_iter().min_by_key(wait);
    match least {
        Some(other) if wait(&other) + SPILL_MARGIN < wait(&first) => other,
        _ => first,
    }
}
