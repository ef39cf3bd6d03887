//! The division of a pool's servers among the hosts that collect its pieces.

use std::time::Duration;

use hollywheel_types::{DomainId, MonoTime, ServerId, SortedMap};

use crate::registry::ServerRecord;

/// A failure domain has a shard of its own if the domains have at least so many servers each, on
/// average: with fewer, requests wait for a free server of their shard while others are idle.
const MIN_SHARD_SERVERS: f64 = 3.5;
/// What a shard told of its wait is used for this time.
const WAIT_AGE: Duration = Duration::from_millis(1000);
/// A request goes to another shard than the preferred one if it waits this much less there, more
/// than half a call.
const SPILL_TIME: Duration = Duration::from_millis(200);

/// Names a part of a pool: the servers of one failure domain, or all.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PoolShard {
    /// All servers.
    Whole,
    /// The servers of a failure domain.
    Domain(DomainId),
}

impl PoolShard {
    /// Says whether a server belongs to the shard.
    pub fn holds(&self, record: &ServerRecord) -> bool {
        match self {
            Self::Whole => true,
            Self::Domain(domain) => record.domain == *domain,
        }
    }

    /// Returns the failure domain, if the shard is one's.
    pub const fn domain(&self) -> Option<&DomainId> {
        match self {
            Self::Whole => None,
            Self::Domain(domain) => Some(domain),
        }
    }
}

/// Holds what the shards of a pool told of their waits.
pub type ShardWaits = SortedMap<PoolShard, (Duration, MonoTime)>;

/// Returns the least wait that the shards of a pool told lately; none told is none known.
pub fn least_wait(now: MonoTime, waits: Option<&ShardWaits>) -> Duration {
    let told = waits.into_iter().flat_map(|waits| waits.values());
    let fresh = told.filter(|(_, at)| now.since(*at) <= WAIT_AGE);
    fresh.map(|(wait, _)| *wait).min().unwrap_or_default()
}

/// Divides the servers of a pool into shards; all hosts that know the same servers get the same.
pub fn divide_pool(servers: &[(ServerId, ServerRecord)]) -> Vec<PoolShard> {
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

/// Chooses the shard for the pieces of a request: that of the preferred domain, else one by the
/// number of its servers, unless another one is known to wait much less.
///
/// Answers a burst in one failure domain, and servers lost in one.
pub fn choose_shard(
    now: MonoTime,
    servers: &[(ServerId, ServerRecord)],
    preferred: Option<&DomainId>,
    waits: Option<&ShardWaits>,
    tie: u64,
) -> PoolShard {
    let shards = divide_pool(servers);
    if shards.len() == 1 {
        return PoolShard::Whole;
    }
    let wait = |shard: &PoolShard| {
        let told = waits.and_then(|waits| waits.get(shard));
        told.filter(|(_, at)| now.since(*at) <= WAIT_AGE)
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
        Some(other) if wait(&other) + SPILL_TIME < wait(&first) => other,
        _ => first,
    }
}
