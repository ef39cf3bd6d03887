//! Request rates of workspaces, shared by hosts without a coordinator.

use std::time::Duration;

use hollywheel_config::WorkspaceObject;
use hollywheel_types::{MonoTime, SortedMap, WorkspaceId};

/// Bounds the share of one host to so many times an equal part of the rate.
pub const MAX_SHARE_FACTOR: f64 = 2.0;
/// The part of the rate that is always split equally.
const EQUAL_PART: f64 = 0.2;
/// News of the demand at other hosts is used for so long.
const NEWS_LIFETIME: Duration = Duration::from_secs(10);
/// Time over which the own demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);
/// Bounds the time a caller is told to wait for a token.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Limits one workspace at this host.
#[derive(Clone, Debug)]
struct WorkspaceQuota {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: MonoTime,
    demand: f64,
    peers: Option<(f64, MonoTime)>,
}

/// Limits the workspaces that have a rate.
#[derive(Clone, Debug)]
pub(crate) struct QuotaTable {
    hosts: u32,
    entries: SortedMap<WorkspaceId, WorkspaceQuota>,
}

impl Default for QuotaTable {
    fn default() -> Self {
        Self {
            hosts: 1,
            entries: SortedMap::new(),
        }
    }
}

impl QuotaTable {
    pub(crate) fn set_hosts(&mut self, now: MonoTime, hosts: u32) {
        let before = self.hosts;
        for quota in self.entries.values_mut() {
            quota.refill(now, before);
        }
        self.hosts = hosts.max(1);
        for quota in self.entries.values_mut() {
            quota.tokens = quota.tokens.min(quota.capacity(now, self.hosts));
        }
    }

    pub(crate) fn install(&mut self, now: MonoTime, workspaces: &[WorkspaceObject]) {
        let mut entries = Vec::new();
        for object in workspaces {
            let Some(rate) = object.rate else { continue };
            let kept = self.entries.remove(&object.name);
            let mut quota = kept.unwrap_or(WorkspaceQuota::full(now));
            quota.rate = rate.get();
            quota.burst = object.burst.map_or(rate.get(), f64::from);
            quota.tokens = quota.tokens.min(quota.capacity(now, self.hosts));
            entries.push((object.name.clone(), quota));
        }
        self.entries = entries.into_iter().collect();
    }

    /// Takes the demand for a workspace at all other hosts, in requests a second.
    pub(crate) fn set_peers(&mut self, now: MonoTime, workspace: &WorkspaceId, demand: f64) {
        let hosts = self.hosts;
        if let Some(quota) = self.entries.get_mut(workspace) {
            quota.refill(now, hosts);
            quota.peers = Some((demand.max(0.0), now));
        }
    }

    /// Returns the demand seen at this host, in requests a second.
    pub(crate) fn demand(&self, now: MonoTime, workspace: &WorkspaceId) -> f64 {
        let quota = self.entries.get(workspace);
        quota.map_or(0.0, |quota| quota.demand_at(now))
    }

    /// Takes one request from the rate of a workspace.
    ///
    /// # Errors
    ///
    /// Returns the time until there is room for one more.
    pub(crate) fn take(&mut self, now: MonoTime, workspace: &WorkspaceId) -> Result<(), Duration> {
        let hosts = self.hosts;
        let Some(quota) = self.entries.get_mut(workspace) else {
            return Ok(());
        };
        quota.take(now, hosts)
    }

    /// Gives back what a request took that was refused for another reason.
    pub(crate) fn give_back(&mut self, workspace: &WorkspaceId) {
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
            peers: None,
        }
    }

    fn take(&mut self, now: MonoTime, hosts: u32) -> Result<(), Duration> {
        self.refill(now, hosts);
        self.demand += 1.0 / DEMAND_WINDOW.as_secs_f64();
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let rate = self.rate * self.share(now, hosts);
        let seconds = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
        let limit = MAX_RETRY_AFTER.as_secs_f64();
        Err(Duration::from_secs_f64(seconds.clamp(0.0, limit)))
    }

    fn refill(&mut self, now: MonoTime, hosts: u32) {
        let span = now.since(self.refilled_at).as_secs_f64();
        let gained = self.rate * self.share(now, hosts) * span;
        self.demand = self.demand_at(now);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + gained).min(self.capacity(now, hosts));
    }

    fn demand_at(&self, now: MonoTime) -> f64 {
        let span = now.since(self.refilled_at).as_secs_f64();
        self.demand * (-span / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    fn capacity(&self, now: MonoTime, hosts: u32) -> f64 {
        (self.burst * self.share(now, hosts)).max(1.0)
    }

    /// Returns the part of the rate that belongs to this host.
    fn share(&self, now: MonoTime, hosts: u32) -> f64 {
        let equal = 1.0 / f64::from(hosts);
        let Some((peers, at)) = self.peers else {
            return equal;
        };
        let demand = self.demand_at(now);
        if now.since(at) > NEWS_LIFETIME || demand + peers <= 0.0 {
            return equal;
        }
        let observed = demand / (demand + peers);
        let share = EQUAL_PART * equal + (1.0 - EQUAL_PART) * observed;
        share.min(MAX_SHARE_FACTOR * equal).min(1.0)
    }
}
