//! Cold servers: what this host knows about them and which requests they may get.
//!
//! A cold server is left out of the candidates of its pool while warm servers take the request. Beyond
//! that it gets requests only with a permit, as a server does that names a limit.

// Numbers of other hosts are decoded here.
#![deny(
    clippy::arithmetic_side_effects,
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::unwrap_used
)]

use std::time::Duration;

use hollywheel_adapter::ResponseHead;
use hollywheel_serving::{
    ColdLimit, ColdUpdate, PlacementVerdict, PromptPart, RowChange, ServerRecord, cold_permit_rate,
};
use hollywheel_types::{PoolId, RequestRate, ServerId};
use hollywheel_wire::serving::{ColdEntry, ServerEntry};

use crate::host::{Host, HostState};
use crate::log::{log_line, millis};
use crate::peer_server::micros;

/// The servers that a placement may choose from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerClass {
    /// Servers that are not cold.
    Warm,
    /// Servers that are cold.
    Cold,
}

impl HostState {
    /// Returns what a cold server of a pool tolerates; none if the pool has no such limit or the
    /// settings state no bound.
    fn cold_limit(&self, pool: &PoolId) -> Option<ColdLimit> {
        let bounds = self.settings().bounds;
        bounds.cold_overshoot.and(bounds.cold_slack)?;
        self.serving_set()?.pools.get(pool)?.cold
    }

    /// Returns whether cold servers of a pool are treated differently from warm ones.
    pub(crate) fn has_cold_limit(&self, pool: &PoolId) -> bool {
        self.cold_limit(pool).is_some()
    }

    /// Returns the known servers with their pools, from which it is told whether a server joins a pool
    /// that was running; none before the first complete listing, whose servers may have been running
    /// for long.
    pub(crate) fn known_pools(&self) -> Vec<(ServerId, PoolId)> {
        let bounds = self.settings().bounds;
        let registry = self.registry.borrow();
        let is_listed = registry.listed_place().is_some();
        if bounds.cold_overshoot.and(bounds.cold_slack).is_none() || !is_listed {
            return Vec::new();
        }
        let changes = registry.changes_after(0).into_iter();
        changes
            .filter_map(|change| Some((change.server, change.record?.pool)))
            .collect()
    }

    /// Returns the rate of permits for a cold server of a pool; none if the pool has no limit for cold
    /// servers.
    fn cold_pool_rate(&self, pool: &PoolId) -> Option<RequestRate> {
        let limit = self.cold_limit(pool)?;
        let bounds = self.settings().bounds;
        let (overshoot, slack) = (bounds.cold_overshoot?, bounds.cold_slack?);
        Some(cold_permit_rate(limit.rate, overshoot, slack))
    }

    /// Returns the rate of permits for a server if it is cold.
    pub(crate) fn cold_rate(&self, server: &ServerId) -> Option<RequestRate> {
        let now = self.now();
        if !self.cold.borrow().is_cold(now, server) {
            return None;
        }
        let registry = self.registry.borrow();
        self.cold_pool_rate(&registry.usable(now, server)?.pool)
    }

    /// Returns the servers of a pool to which requests may be sent now and that are warm or cold.
    pub(crate) fn class_servers(
        &self,
        pool: &PoolId,
        prompt: Option<u64>,
        class: ServerClass,
    ) -> Vec<(ServerId, ServerRecord)> {
        let now = self.now();
        let knows_cold = self.cold.borrow().has_cold(now) && self.cold_limit(pool).is_some();
        if !knows_cold {
            return match class {
                ServerClass::Warm => self.pool_servers(pool, prompt),
                ServerClass::Cold => Vec::new(),
            };
        }
        let mut servers = self.pool_servers(pool, prompt);
        let cold = self.cold.borrow();
        servers.retain(|(server, _)| cold.is_cold(now, server) == (class == ServerClass::Cold));
        servers
    }

    /// Returns the warm servers of a pool, as [`Self::pool_servers`] lists them.
    pub(crate) fn warm_servers(
        &self,
        pool: &PoolId,
        prompt: Option<u64>,
    ) -> Vec<(ServerId, ServerRecord)> {
        self.class_servers(pool, prompt, ServerClass::Warm)
    }

    /// Returns whether every server of a pool is cold and none has a place within `patience`.
    pub(crate) fn has_only_busy_cold(
        &self,
        pool: &PoolId,
        prompt: Option<u64>,
        patience: Duration,
    ) -> bool {
        let cold = self.class_servers(pool, prompt, ServerClass::Cold);
        if cold.is_empty() || !self.warm_servers(pool, prompt).is_empty() {
            return false;
        }
        let now = self.now();
        let table = self.cold.borrow();
        let mut waits = cold
            .iter()
            .filter_map(|(server, _)| table.place_wait(now, server));
        waits.all(|wait| wait > patience)
    }

    /// Applies what a newer entry of a server says about its being cold. `joined` tells whether a new
    /// incarnation has just started, as far as is known.
    pub(crate) fn note_cold_entry(&self, change: &RowChange, joined: bool, source: &str) {
        let Some(record) = &change.record else {
            return;
        };
        let limit = self.cold_limit(&record.pool);
        let start = limit.filter(|_| joined).map(|limit| limit.start);
        let now = self.now();
        let update = self
            .cold
            .borrow_mut()
            .note_entry(now, &change.server, record, start);
        // Pools without a limit for cold servers are served as if no server was ever cold.
        if limit.is_some() {
            self.handle_cold_update(&change.server, update, source);
        }
    }

    /// Applies what a response says about its server's being cold.
    pub(crate) fn note_cold_response(&self, server: &ServerId, facts: &ResponseHead) {
        let Some(left) = facts.cold_left else {
            return;
        };
        let now = self.now();
        let registry = self.registry.borrow();
        let pool = registry.usable(now, server).map(|record| &record.pool);
        let is_limited = pool.is_some_and(|pool| self.cold_limit(pool).is_some());
        drop(registry);
        if is_limited {
            let update = self.cold.borrow_mut().note_response(now, server, left);
            self.handle_cold_update(server, update, "response");
        }
    }

    fn handle_cold_update(&self, server: &ServerId, update: Option<ColdUpdate>, source: &str) {
        let now = self.now();
        match update {
            Some(ColdUpdate::Cold { left }) => {
                let cold_ms = millis(left);
                log_line!(self, info, ServerCold, server = %server, cold_ms, source);
                self.loads.borrow_mut().note_warm_at(server, now + left);
            }
            Some(ColdUpdate::Changed { left }) => {
                self.loads.borrow_mut().note_warm_at(server, now + left);
            }
            Some(ColdUpdate::Warm) => {
                log_line!(self, info, ServerWarm, server = %server, source);
                self.loads.borrow_mut().note_warm_at(server, now);
            }
            None => {}
        }
    }

    /// Logs the servers whose cold time has ended.
    pub(crate) fn report_warm_servers(&self) {
        let now = self.now();
        let warmed = self.cold.borrow_mut().take_warmed(now);
        let registry = self.registry.borrow();
        for server in &warmed {
            let pool = registry.usable(now, server).map(|record| &record.pool);
            if pool.is_some_and(|pool| self.cold_limit(pool).is_some()) {
                log_line!(self, info, ServerWarm, server = %server, source = "time");
            }
        }
    }

    /// Returns the number of cold servers in use of pools with a limit for them.
    pub(crate) fn cold_count(&self) -> usize {
        let now = self.now();
        let cold = self.cold.borrow();
        if !cold.has_cold(now) {
            return 0;
        }
        let Some(set) = self.serving_set() else {
            return 0;
        };
        let registry = self.registry.borrow();
        let pools = set.pools.keys();
        let pools = pools.filter(|pool| self.cold_limit(pool).is_some());
        pools
            .flat_map(|pool| registry.pool_servers(now, pool))
            .filter(|(server, _)| cold.is_cold(now, server))
            .count()
    }

    /// Counts a permit for a cold server that was granted or denied.
    pub(crate) fn count_cold_permit(&self, server: &ServerId, granted: bool) {
        let registry = self.registry.borrow();
        let Some(record) = registry.usable(self.now(), server) else {
            return;
        };
        let label = self.metrics.label(record.pool.as_str());
        let counts = match granted {
            true => &self.metrics.cold_permits,
            false => &self.metrics.cold_denials,
        };
        counts.get_or_create(&label).inc();
    }
}

/// Returns whether the pool of a changed server had another server before the change.
pub(crate) fn has_other_server(known: &[(ServerId, PoolId)], change: &RowChange) -> bool {
    let pool = change.record.as_ref().map(|record| &record.pool);
    known
        .iter()
        .any(|(server, known_pool)| Some(known_pool) == pool && *server != change.server)
}

/// Returns the servers that may get a request with prompt affinity, of which those that were cold get a
/// growing fraction of the prompt parts; `None` if these are all.
pub(crate) fn admitted_servers(
    host: &HostState,
    pool: &PoolId,
    parts: &[PromptPart],
    servers: &[(ServerId, ServerRecord)],
) -> Option<Vec<(ServerId, ServerRecord)>> {
    let now = host.now();
    let cold = host.cold.borrow();
    let last_shared = parts.split_last().and_then(|(_, shared)| shared.last());
    let part = last_shared.filter(|_| cold.has_ramp(now) && host.cold_limit(pool).is_some())?;
    let admits = |server: &ServerId| cold.admits_part(now, server, part.id);
    if servers.iter().all(|(server, _)| admits(server)) {
        return None;
    }
    let mut admitted = servers.to_vec();
    admitted.retain(|(server, _)| admits(server));
    Some(admitted)
}

/// Places a request with prompt affinity among the servers of [`admitted_servers`]. If these don't take
/// it, those that were cold may.
pub(crate) fn place_by_share(
    host: &HostState,
    pool: &PoolId,
    parts: &[PromptPart],
    servers: &[(ServerId, ServerRecord)],
    place: impl Fn(&[(ServerId, ServerRecord)]) -> PlacementVerdict,
) -> PlacementVerdict {
    let Some(admitted) = admitted_servers(host, pool, parts, servers) else {
        return place(servers);
    };
    match place(&admitted) {
        PlacementVerdict::Server(server) => PlacementVerdict::Server(server),
        PlacementVerdict::Full | PlacementVerdict::NoServer => place(servers),
    }
}

/// Adds to the entry of a server how much longer it is cold.
pub(crate) fn encode_cold_left(host: &Host, change: &RowChange, entry: &mut ServerEntry) {
    let pool = change.record.as_ref().map(|record| &record.pool);
    if pool.is_some_and(|pool| host.cold_limit(pool).is_some()) {
        let left = host.cold.borrow().left(host.now(), &change.server);
        entry.cold_left_us = Some(micros(left.unwrap_or_default()));
    }
}

/// Returns what a request for a permit says about a server that is cold.
pub(crate) fn encode_cold(host: &Host, server: &ServerId) -> Option<ColdEntry> {
    let rate = host.cold_rate(server)?;
    let left = host.cold.borrow().left(host.now(), server)?;
    Some(ColdEntry {
        server: server.to_string(),
        left_us: micros(left),
        rate: rate.get(),
    })
}

/// Returns the rate of permits for a server that this host or the host that asks for a permit takes for
/// cold: the smaller one if they differ, for example since they have different configurations.
pub(crate) fn joint_cold_rate(
    host: &Host,
    server: &ServerId,
    asked: Option<&ColdEntry>,
) -> Option<RequestRate> {
    let asked = asked.filter(|entry| entry.left_us > 0);
    let asked = asked.map(|entry| RequestRate::per_second(entry.rate));
    least_rate(host.cold_rate(server), asked)
}

/// Returns the smaller of two rates, or the only one.
pub(crate) fn least_rate(
    left: Option<RequestRate>,
    right: Option<RequestRate>,
) -> Option<RequestRate> {
    match (left, right) {
        (Some(left), Some(right)) if right.get() < left.get() => Some(right),
        (None, right) => right,
        (left, _) => left,
    }
}
