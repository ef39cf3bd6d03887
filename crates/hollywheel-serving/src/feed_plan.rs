//! How often the platform's store is asked, and by how many hosts.

use std::time::Duration;

/// The fewest hosts that read the store: with three, one may be cut off and one restart.
const MIN_READERS: usize = 3;
/// One reader serves so many hosts, each of which asks twice a second.
const HOSTS_PER_READER: usize = 48;
/// The part of the bound for which a feed is held open. A connection that has gone silent is
/// noticed after it and the slack of an answer.
const WAIT_PART: f64 = 0.35;
/// The part of the bound up to which a view counts as fresh.
const FRESH_PART: f64 = 0.6;

/// Says how the store's feeds are followed.
///
/// Answers the calls of a large fleet, all of which are paid for: they grow with the readers and
/// shrink with the time for which a feed is held open, which only the bound on news limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedPlan {
    /// A feed is answered after this time if nothing has changed.
    pub wait: Duration,
    /// A view of the store that is younger than this follows it.
    pub fresh_view: Duration,
}

impl FeedPlan {
    /// Plans for news that must be in force after a bound: a configuration, or a server that
    /// leaves.
    pub fn new(bound: Duration) -> Self {
        Self {
            wait: bound.mul_f64(WAIT_PART),
            fresh_view: bound.mul_f64(FRESH_PART),
        }
    }
}

/// Returns the number of hosts that read the store for a fleet.
pub fn reader_count(hosts: usize) -> usize {
    hosts.div_ceil(HOSTS_PER_READER).max(MIN_READERS)
}
