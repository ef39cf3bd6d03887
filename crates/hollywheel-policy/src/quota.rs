//! Rate limits of workspaces, divided among the hosts without a coordinator.

use std::time::Duration;

use hollywheel_config::WorkspaceObject;
use hollywheel_types::{MonoTime, SortedMap, WorkspaceId};

/// Upper bound on the share of one host, as a multiple of an equal share of the rate.
pub const MAX_SHARE_FACTOR: f64 = 2.0;
/// Fraction of the rate that is always divided equally.
const EQUAL_FRACTION: f64 = 0.2;
/// Time after which the reported demand at other hosts is ignored.
const PEER_DEMAND_LIFETIME: Duration = Duration::from_secs(10);
/// Time constant over which this host's demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);
/// Upper bound on the retry-after hint for a rate-limited request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Token bucket of one workspace at this host.
#[derive(Clone, Debug)]
struct WorkspaceQuota {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: MonoTime,
    /// The average request rate seen at this host, per second.
    demand: f64,
    /// The request rate at all other hosts, per second, and when it was received.
    peer_demand: Option<(f64, MonoTime)>,
}

/// Token buckets of the workspaces that have a rate limit.
#[derive(Clone, Debug)]
pub(crate) struct QuotaTable {
    host_count: u32,
    entries: SortedMap<WorkspaceId, WorkspaceQuota>,
}

impl Default for QuotaTable {
    fn default() -> Self {
        Self {
            host_count: 1,
            entries: SortedMap::new(),
        }
    }
}

impl QuotaTable {
    pub(crate) fn set_host_count(&mut self, now: MonoTime, host_count: u32) {
        let previous_count = self.host_count;
        for quota in self.entries.values_mut() {
            quota.refill(now, previous_count);
        }
        self.host_count = host_count.max(1);
        for quota in self.entries.values_mut() {
            quota.tokens = quota.tokens.min(quota.capacity(now, self.host_count));
        }
    }

    pub(crate) fn install(&mut self, now: MonoTime, workspaces: &[WorkspaceObject]) {
        let mut entries = Vec::new();
        for object in workspaces {
            let Some(rate) = object.rate else { continue };
            let previous = self.entries.remove(&object.name);
            let mut quota = previous.unwrap_or(WorkspaceQuota::full(now));
            quota.rate = rate.get();
            quota.burst = object.burst.map_or(rate.get(), f64::from);
            quota.tokens = quota.tokens.min(quota.capacity(now, self.host_count));
            entries.push((object.name.clone(), quota));
        }
        self.entries = entries.into_iter().collect();
    }

    /// Updates the demand for a workspace at all other hosts, in requests per second.
    pub(crate) fn set_peer_demand(&mut self, now: MonoTime, workspace: &WorkspaceId, demand: f64) {
        let host_count = self.host_count;
        if let Some(quota) = self.entries.get_mut(workspace) {
            quota.refill(now, host_count);
            quota.peer_demand = Some((demand.max(0.0), now));
        }
    }

    /// Returns the demand seen at this host, in requests per second.
    pub(crate) fn demand(&self, now: MonoTime, workspace: &WorkspaceId) -> f64 {
        let quota = self.entries.get(workspace);
        quota.map_or(0.0, |quota| quota.demand_at(now))
    }

    /// Takes one token from the bucket of a workspace.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token is available.
    pub(crate) fn take(&mut self, now: MonoTime, workspace: &WorkspaceId) -> Result<(), Duration> {
        let host_count = self.host_count;
        let Some(quota) = self.entries.get_mut(workspace) else {
            return Ok(());
        };
        quota.take(now, host_count)
    }

    /// Puts back the token of a request that was rejected for another reason.
    pub(crate) fn refund(&mut self, workspace: &WorkspaceId) {
        if let Some(quota) = self.entries.get_mut(workspace) {
            quota.tokens += 1.0;
        }
    }
}

impl WorkspaceQuota {
    const fn full(now: MonoTime) -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            tokens: f64::INFINITY,
            refilled_at: now,
            demand: 0.0,
            peer_demand: None,
        }
    }

    fn take(&mut self, now: MonoTime, host_count: u32) -> Result<(), Duration> {
        self.refill(now, host_count);
        self.demand += 1.0 / DEMAND_WINDOW.as_secs_f64();
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let rate = self.rate * self.share(now, host_count);
        let seconds = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
        let limit = MAX_RETRY_AFTER.as_secs_f64();
        Err(Duration::from_secs_f64(seconds.clamp(0.0, limit)))
    }

    fn refill(&mut self, now: MonoTime, host_count: u32) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let gained = self.rate * self.share(now, host_count) * elapsed;
        self.demand = self.demand_at(now);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + gained).min(self.capacity(now, host_count));
    }

    fn demand_at(&self, now: MonoTime) -> f64 {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.demand * (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    fn capacity(&self, now: MonoTime, host_count: u32) -> f64 {
        (self.burst * self.share(now, host_count)).max(1.0)
    }

    /// Returns this host's fraction of the rate.
    fn share(&self, now: MonoTime, host_count: u32) -> f64 {
        let equal_share = 1.0 / f64::from(host_count);
        let Some((peer_demand, received_at)) = self.peer_demand else {
            return equal_share;
        };
        let demand = self.demand_at(now);
        if now.since(received_at) > PEER_DEMAND_LIFETIME || demand + peer_demand <= 0.0 {
            return equal_share;
        }
        let demand_share = demand / (demand + peer_demand);
        let share = EQUAL_FRACTION * equal_share + (1.0 - EQUAL_FRACTION) * demand_share;
        share.min(MAX_SHARE_FACTOR * equal_share).min(1.0)
    }
}
