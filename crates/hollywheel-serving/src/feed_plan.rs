//! Polling of the platform's store: how long feeds stay open and how many hosts read them.

use std::time::Duration;

/// The minimum number of hosts that read the store. With three, one may be cut off while another
/// restarts.
const MIN_READERS: usize = 3;
/// The maximum number of hosts per reader. Each host polls its reader twice a second.
const HOSTS_PER_READER: usize = 48;
/// The time for which a feed call is held open, as a fraction of the bound. A silent connection is
/// noticed after this time plus the time-out margin of a response.
const WAIT_FRACTION: f64 = 0.35;
/// The age up to which a view of the store counts as fresh, as a fraction of the bound.
const FRESH_FRACTION: f64 = 0.6;

/// Holds the timing of the calls that follow the store's feeds.
///
/// Every call to the store costs money. The number of calls grows with the number of readers and
/// shrinks with the time for which a feed call is held open, which is limited only by the bound on
/// the propagation of changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedPlan {
    /// The time after which the store answers a feed call if nothing has changed.
    pub wait: Duration,
    /// The age up to which a view of the store counts as fresh.
    pub fresh_view: Duration,
}

impl FeedPlan {
    /// Creates a plan by which every host applies a change, such as a configuration or the departure
    /// of a server, within the bound.
    pub fn new(bound: Duration) -> Self {
        Self {
            wait: bound.mul_f64(WAIT_FRACTION),
            fresh_view: bound.mul_f64(FRESH_FRACTION),
        }
    }
}

/// Returns the number of hosts that read the store directly in a fleet of the given size.
pub fn reader_count(hosts: usize) -> usize {
    hosts.div_ceil(HOSTS_PER_READER).max(MIN_READERS)
}
