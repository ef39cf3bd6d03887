//! What the parts of the process share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, watch};

use hollywheel_adapter::{HostLimits, HostSettings, ResponseHead};
use hollywheel_clock::HostClock;
use hollywheel_serving::{
    CallerPatience, FeedPlan, HostRecord, HostTable, LoadTable, PathForecast, RetryBudget,
    RowChange, ServerRecord, ServerRegistry, ServingSet, ShardWaits, StoreEra, StorePlace,
    StoreView,
};
use hollywheel_types::{HostId, MonoTime, PipelineId, PoolId, ServerId, SortedMap};

use crate::batch_duty::BatchDuty;
use crate::connection_pool::ConnectionPool;
use crate::follow::ReadingDuty;
use crate::log::{LogBound, log_line, millis};
use crate::metrics::HostMetrics;
use crate::peer_client::PeerClient;
use crate::results::ResultOutbox;

/// Holds a configuration with the document that it was read from, for other hosts.
#[derive(Clone)]
pub(crate) struct InstalledSet {
    pub(crate) set: Rc<ServingSet>,
    pub(crate) document: Bytes,
}

/// Holds what the parts of the process share.
pub(crate) struct HostState {
    settings: RefCell<Rc<HostSettings>>,
    pub(crate) clock: HostClock,
    pub(crate) incarnation: u64,
    pub(crate) log: LogBound,
    pub(crate) metrics: HostMetrics,
    installed: RefCell<Option<InstalledSet>>,
    pub(crate) registry: RefCell<ServerRegistry>,
    pub(crate) hosts: RefCell<HostTable>,
    pub(crate) view: RefCell<StoreView>,
    /// The latest era of the store that this host has heard of.
    era: watch::Sender<Option<StoreEra>>,
    pub(crate) loads: RefCell<LoadTable>,
    budgets: RefCell<SortedMap<PoolId, RetryBudget>>,
    pub(crate) forecast: RefCell<PathForecast>,
    pub(crate) patience: RefCell<CallerPatience>,
    pub(crate) pool_waits: RefCell<SortedMap<PoolId, ShardWaits>>,
    pub(crate) connections: ConnectionPool,
    pub(crate) batches: BatchDuty,
    pub(crate) peers: PeerClient,
    pub(crate) outbox: ResultOutbox,
    pub(crate) reading: ReadingDuty,
    /// Wakes those that wait for a change of the view.
    pub(crate) changed: Notify,
    pub(crate) stopping: watch::Sender<StopPhase>,
    pub(crate) requests: Cell<u64>,
    /// Connections of callers that are open.
    pub(crate) callers: Cell<u64>,
    next_tie: Cell<u64>,
}

/// Returns the size of a host that duties are given by: what its link and its processor allow,
/// in units of the smallest host described (10 megabits a second, a twentieth of a core),
/// cubed, so that many small hosts do not take the duties from a few large ones.
fn host_weight(limits: &HostLimits) -> u32 {
    let link = limits.link_mbps / 10.0;
    let processor = limits.cpu_share / 0.05;
    link.min(processor).clamp(1.0, 1000.0).powi(3) as u32
}

/// Says how far the graceful stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum StopPhase {
    /// The host serves.
    Serving,
    /// The host is not ready, and answers tell callers to connect elsewhere.
    Leaving,
    /// Connections without a request are closed, and new ones are not taken.
    Closing,
}

/// Names the shared state.
pub(crate) type Host = Rc<HostState>;

impl HostState {
    pub(crate) fn new(settings: HostSettings, clock: HostClock) -> Host {
        let incarnation = clock.incarnation().0;
        let own = HostRecord {
            name: settings.host.clone(),
            address: settings.peer_address,
            domain: settings.domain.clone(),
            incarnation,
            weight: host_weight(&settings.limits),
        };
        Rc::new(Self {
            log: LogBound::new(clock),
            metrics: HostMetrics::new(),
            installed: RefCell::default(),
            registry: RefCell::default(),
            hosts: RefCell::new(HostTable::new(own)),
            view: RefCell::default(),
            era: watch::Sender::new(None),
            loads: RefCell::default(),
            budgets: RefCell::default(),
            forecast: RefCell::default(),
            patience: RefCell::default(),
            pool_waits: RefCell::default(),
            connections: ConnectionPool::default(),
            batches: BatchDuty::default(),
            peers: PeerClient::default(),
            outbox: ResultOutbox::default(),
            reading: ReadingDuty::default(),
            changed: Notify::new(),
            stopping: watch::Sender::new(StopPhase::Serving),
            requests: Cell::new(0),
            callers: Cell::new(0),
            next_tie: Cell::new(incarnation),
            settings: RefCell::new(Rc::new(settings)),
            clock,
            incarnation,
        })
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Rc<HostSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts other settings in force. Addresses that are listened on stay.
    pub(crate) fn replace_settings(&self, settings: HostSettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns how the store is followed, by the tighter bound on its news.
    pub(crate) fn feed_plan(&self) -> FeedPlan {
        let bounds = self.settings.borrow().bounds;
        FeedPlan::new(bounds.config_apply.min(bounds.drain))
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Says whether the graceful stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow() >= StopPhase::Leaving
    }

    /// Waits until the graceful stop has come to a phase.
    pub(crate) async fn wait_for_stop(&self, wanted: StopPhase) {
        // The sender lives as long as the host.
        let _ = self
            .stopping
            .subscribe()
            .wait_for(|phase| *phase >= wanted)
            .await;
    }

    /// Returns the configuration in force.
    pub(crate) fn set(&self) -> Option<Rc<ServingSet>> {
        let installed = self.installed.borrow();
        installed
            .as_ref()
            .map(|installed| Rc::clone(&installed.set))
    }

    /// Returns the configuration in force with its document.
    pub(crate) fn installed(&self) -> Option<InstalledSet> {
        self.installed.borrow().clone()
    }

    /// Reads a configuration and puts it in force if it is newer than the one in force.
    pub(crate) fn install(&self, document: &Bytes, source: &str) {
        let set = match hollywheel_adapter::decode_config(document) {
            Ok(set) => set,
            Err(error) => {
                log_line!(self, error, ConfigUnreadable, source, detail = %error);
                return;
            }
        };
        let before = self.set().map_or(0, |set| set.version.0);
        if set.version.0 <= before {
            return;
        }
        log_line!(
            self,
            info,
            ConfigInForce,
            version = set.version.0,
            before,
            source,
            pipelines = set.pipelines.len(),
            pools = set.pools.len()
        );
        self.metrics
            .config_version
            .set(i64::try_from(set.version.0).unwrap_or(i64::MAX));
        let is_known = |name: &PipelineId| set.pipelines.iter().any(|known| known.name == *name);
        self.patience.borrow_mut().retain(is_known);
        self.forecast.borrow_mut().retain(is_known);
        *self.installed.borrow_mut() = Some(InstalledSet {
            set: Rc::new(set),
            document: document.clone(),
        });
        self.changed.notify_waiters();
    }

    /// Returns the latest era of the store that this host has heard of.
    pub(crate) fn store_era(&self) -> Option<StoreEra> {
        *self.era.borrow()
    }

    /// Notes that the store, or a host that follows it, tells an era; returns whether none later
    /// is known.
    pub(crate) fn note_era(&self, era: StoreEra, source: &str) -> bool {
        let known = self.store_era();
        if known >= Some(era) {
            return known == Some(era);
        }
        let now = self.now();
        if let Some(before) = known {
            let age = self.view.borrow().age(now);
            log_line!(
                self,
                warn,
                StoreEraChanged,
                era = era.0,
                before = before.0,
                source,
                age_ms = age.map(millis)
            );
        }
        self.registry.borrow_mut().note_era(now, era);
        let gauge = i64::try_from(era.0).unwrap_or(i64::MAX);
        self.metrics.store_era.set(gauge);
        self.era.send_replace(Some(era));
        true
    }

    /// Waits until a later era of the store than the one given is known.
    pub(crate) async fn wait_for_later_era(&self, era: StoreEra) {
        // The sender lives as long as the host.
        let _ = self
            .era
            .subscribe()
            .wait_for(|known| *known > Some(era))
            .await;
    }

    /// Applies a complete list of backend servers, as it was at a place.
    pub(crate) fn list_servers(&self, place: StorePlace, rows: Vec<RowChange>, source: &str) {
        let now = self.now();
        let before = self.registry.borrow().change();
        self.registry.borrow_mut().apply_listing(now, place, rows);
        let changed = self.registry.borrow().changes_after(before);
        for change in &changed {
            self.note_server(&change.server, change.place, source);
        }
        if !changed.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Uses the servers whose withheld entries were written again.
    pub(crate) fn settle_servers(&self) {
        let settled = self.registry.borrow_mut().settle(self.now());
        for server in &settled {
            let place = self.registry.borrow().listed_place().unwrap_or_default();
            self.note_server(server, place, "written again");
        }
        if !settled.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Applies a change of a backend server.
    pub(crate) fn apply_server(&self, change: RowChange, source: &str) {
        let (server, place) = (change.server.clone(), change.place);
        let now = self.now();
        let differs = self.registry.borrow_mut().apply(now, change);
        if differs {
            self.note_server(&server, place, source);
            self.changed.notify_waiters();
        }
    }

    fn note_server(&self, server: &ServerId, place: StorePlace, source: &str) {
        let registry = self.registry.borrow();
        let usable = registry.usable(self.now(), server);
        let state = if usable.is_some() {
            "usable"
        } else {
            "not usable"
        };
        let pool = usable.map(|record| record.pool.to_string());
        log_line!(
            self,
            info,
            ServerChanged,
            server = %server,
            place = %place,
            state,
            pool,
            source
        );
    }

    /// Lists the servers of a pool that may be used now.
    pub(crate) fn pool_servers(&self, pool: &PoolId) -> Vec<(ServerId, ServerRecord)> {
        let registry = self.registry.borrow();
        registry
            .pool_servers(self.now(), pool)
            .map(|(server, record)| (server.clone(), record.clone()))
            .collect()
    }

    /// Takes what the head of a server's answer says of the server itself.
    pub(crate) fn note_answer(&self, server: &ServerId, facts: &ResponseHead) {
        let now = self.now();
        if let Some(report) = facts.report {
            self.loads.borrow_mut().note_report(now, server, report);
        }
        if let Some(pause) = facts.retry_after {
            self.loads.borrow_mut().note_pause(now, server, pause);
            log_line!(self, info, ServerPaused, server = %server, pause_ms = millis(pause));
        }
        if facts.leaving && self.registry.borrow_mut().note_leaving(server) {
            log_line!(self, info, ServerLeaving, server = %server);
            self.changed.notify_waiters();
        }
    }

    /// Returns the rest of the time for which every server of a pool wants no requests; none if
    /// one does, or if the pool has none.
    pub(crate) fn pool_pause(&self, pool: &PoolId) -> Option<Duration> {
        let now = self.now();
        let registry = self.registry.borrow();
        let servers = registry.pool_servers(now, pool).map(|(server, _)| server);
        self.loads.borrow().pool_pause(now, servers)
    }

    /// Returns the load of a server as far as it is known, in parts of its slots.
    pub(crate) fn server_load(&self, server: &ServerId, record: &ServerRecord) -> f64 {
        let requests = self.loads.borrow().estimate(self.now(), server);
        requests / f64::from(record.slots.max(1))
    }

    /// Returns the record by which the other hosts learn of this one.
    pub(crate) fn own_record(&self) -> HostRecord {
        let settings = self.settings();
        HostRecord {
            name: settings.host.clone(),
            address: settings.peer_address,
            domain: settings.domain.clone(),
            incarnation: self.incarnation,
            weight: host_weight(&settings.limits),
        }
    }

    /// Counts a request for a pool that is sent for the first time.
    pub(crate) fn count_request(&self, pool: &PoolId) {
        self.with_budget(pool, |budget, now, _| budget.count_request(now));
    }

    /// Takes one repeated send from the budget of a pool.
    pub(crate) fn take_repeat(&self, pool: &PoolId) -> bool {
        let taken = self.with_budget(pool, RetryBudget::take_repeat);
        if taken {
            let name = self.metrics.name(pool.as_str());
            self.metrics.repeats.get_or_create(&name).inc();
        }
        taken
    }

    /// Says whether the budget of a pool holds a repeated send, without taking it.
    pub(crate) fn has_repeat(&self, pool: &PoolId) -> bool {
        self.with_budget(pool, RetryBudget::has_repeat)
    }

    fn with_budget<T>(
        &self,
        pool: &PoolId,
        act: impl FnOnce(&mut RetryBudget, MonoTime, usize) -> T,
    ) -> T {
        let now = self.now();
        let hosts = self.hosts.borrow().known_count();
        let settings = self.settings();
        let bounds = &settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.get_or_insert_with(pool.clone(), || {
            RetryBudget::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window)
        });
        act(budget, now, hosts)
    }

    /// Adds a host or replaces what is known of it.
    pub(crate) fn upsert_host(&self, record: HostRecord, place: StorePlace, source: &str) {
        let (name, incarnation) = (record.name.clone(), record.incarnation);
        if self.hosts.borrow_mut().upsert(record, place) {
            log_line!(self, info, HostJoined, host = %name, incarnation, source);
            self.changed.notify_waiters();
        }
    }

    /// Removes a host that has left.
    pub(crate) fn remove_host(&self, name: &HostId, place: StorePlace, source: &str) {
        if self.hosts.borrow_mut().remove(name, place) {
            self.note_left(name, source);
        }
    }

    /// Applies a complete listing of the hosts' rows.
    pub(crate) fn list_hosts(&self, place: StorePlace, listed: &[HostId]) {
        let left = self.hosts.borrow_mut().apply_listing(place, listed);
        for name in left {
            self.note_left(&name, "store");
        }
    }

    fn note_left(&self, name: &HostId, source: &str) {
        log_line!(self, info, HostLeft, host = %name, source);
        self.changed.notify_waiters();
    }

    /// Notes that a host stops.
    pub(crate) fn note_leaving_host(&self, name: &HostId) {
        if self.hosts.borrow_mut().note_leaving(name) {
            log_line!(self, info, HostLeaving, host = %name);
            self.changed.notify_waiters();
        }
    }

    /// Notes that a host did not answer in a duty.
    pub(crate) fn pass_over(&self, name: &HostId, duty: &str, detail: &str) {
        let now = self.now();
        // An address of the settings that does not answer is no host yet, and is tried again soon.
        if self.hosts.borrow_mut().note_unreachable(now, name) {
            log_line!(self, warn, HostPassedOver, host = %name, duty, detail);
        }
    }

    /// Returns a number that differs between requests and hosts.
    pub(crate) fn tie(&self) -> u64 {
        /// The step of a Weyl sequence over 64 bits (the golden ratio), which spreads numbers
        /// evenly.
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let tie = self.next_tie.get().wrapping_add(STEP);
        self.next_tie.set(tie);
        tie
    }
}
