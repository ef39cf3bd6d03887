//! State shared by all tasks of the process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use hollywheel_adapter::{HostLimits, HostSettings, ResponseHead};
use hollywheel_clock::HostClock;
use hollywheel_serving::{
    BudgetShare, ColdTable, CrashCause, CrashTable, EngineTable, EvacuationTable, FeedPlan,
    HostRecord, HostTable, LatencyForecast, LimitChange, LimitNotice, LimitTable, LoadTable,
    PackedDocument, PermitLedger, RetryBudget, RetryDetector, RowChange, ServerListing,
    ServerRecord, ServerRegistry, ServingSet, ShardWaits, SlackShare, StoreEra, StorePlace,
    StoreView,
};
use hollywheel_types::{
    ConfigVersion, HostId, MonoTime, PipelineId, PoolId, RequestRate, ServerId, SortedMap,
};

use crate::batch_coordinator::BatchCoordinator;
use crate::cold_servers::has_other_server;
use crate::config_fetch::ConfigNotice;
use crate::connection_pool::ConnectionPool;
use crate::containment::PanicRecorder;
use crate::evacuations::EvacuationReview;
use crate::follow::ReaderRole;
use crate::log::{LogLimiter, log_line, millis};
use crate::memory_budget::MemoryBudget;
use crate::metrics::HostMetrics;
use crate::peer_client::PeerClient;
use crate::results::ReleaseQueue;
use crate::supervisor::{TaskEntry, TaskNeed};

/// The active configuration and the document that it was read from, which other hosts get.
#[derive(Clone)]
pub(crate) struct InstalledSet {
    pub(crate) set: Rc<ServingSet>,
    pub(crate) packed: Rc<PackedDocument>,
}

/// State shared by all tasks of the process.
pub(crate) struct HostState {
    settings: RefCell<Rc<HostSettings>>,
    pub(crate) clock: HostClock,
    /// Number that tells this run of the host apart from its earlier ones; rises with each start.
    pub(crate) incarnation: u64,
    pub(crate) log: Rc<LogLimiter>,
    pub(crate) panics: PanicRecorder,
    pub(crate) metrics: HostMetrics,
    installed: RefCell<Option<InstalledSet>>,
    /// Newer configuration that another host has.
    pub(crate) config_notice: watch::Sender<Option<ConfigNotice>>,
    pub(crate) registry: RefCell<ServerRegistry>,
    pub(crate) hosts: RefCell<HostTable>,
    /// Freshness of this host's copy of the store.
    pub(crate) view: RefCell<StoreView>,
    /// Latest era of the store known to this host.
    era: watch::Sender<Option<StoreEra>>,
    /// Load, pauses and failures of the backend servers.
    pub(crate) loads: RefCell<LoadTable>,
    /// What runs on the engines of pools whose engines are chosen by an estimate.
    pub(crate) engines: RefCell<SortedMap<PoolId, EngineTable>>,
    /// Limits that backend servers have named on their requests.
    pub(crate) limits: RefCell<LimitTable>,
    /// Permits that this host has granted for servers with a limit.
    pub(crate) permits: RefCell<PermitLedger>,
    /// Servers that are cold, or were until a short time ago.
    pub(crate) cold: RefCell<ColdTable>,
    /// Causes of crashes of servers.
    pub(crate) crashes: RefCell<CrashTable>,
    /// Causes that were blocked when the evidence last changed.
    pub(crate) blocked_causes: RefCell<Vec<CrashCause>>,
    /// Failure domains that the operator has evacuated.
    pub(crate) evacuations: RefCell<EvacuationTable>,
    pub(crate) evacuation_review: RefCell<EvacuationReview>,
    /// Retry budgets of the pools.
    budgets: RefCell<SortedMap<PoolId, RetryBudget>>,
    /// This host's share in the slack of the retry budgets.
    budget_share: RefCell<BudgetShare>,
    /// Learned times of stages and final calls.
    pub(crate) forecast: RefCell<LatencyForecast>,
    /// Waits of recent callers, by which retries of refused requests are recognised.
    pub(crate) patience: RefCell<RetryDetector>,
    /// Queueing delays last reported by the coordinators of pools.
    pub(crate) pool_waits: RefCell<SortedMap<PoolId, ShardWaits>>,
    pub(crate) connections: ConnectionPool,
    /// Memory for bodies of callers and backend servers.
    pub(crate) body_memory: MemoryBudget,
    pub(crate) coordinator: BatchCoordinator,
    pub(crate) peers: PeerClient,
    /// Stage results that wait to be freed.
    pub(crate) release_queue: ReleaseQueue,
    pub(crate) reader_role: ReaderRole,
    /// Notified when the configuration, a server or a host changes, or the store is lost.
    pub(crate) view_changed: Notify,
    pub(crate) stopping: watch::Sender<StopPhase>,
    /// Time by which requests must have an answer during the graceful stop.
    pub(crate) answers_until: Cell<Option<MonoTime>>,
    /// Tasks without which the host cannot serve and that keep ending.
    failing_tasks: RefCell<Vec<&'static str>>,
    /// Number of requests being served.
    pub(crate) open_requests: Cell<u64>,
    /// Number of open connections from callers.
    pub(crate) caller_connections: Cell<u64>,
    tie_breaker_state: Cell<u64>,
}

/// Returns the weight by which a host is selected as a coordinator or reader: the smaller of its
/// link and processor capacity, in units of the smallest supported host (10 Mbit/s, a twentieth
/// of a core), cubed so that a few large hosts are selected before many small ones.
fn host_weight(limits: &HostLimits) -> u32 {
    let link = limits.link_mbps / 10.0;
    let processor = limits.cpu_share / 0.05;
    link.min(processor).clamp(1.0, 1000.0).powi(3) as u32
}

/// Phase of the graceful stop.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum StopPhase {
    /// The host serves.
    Serving,
    /// The host reports that it is not ready, and responses ask callers to close the connection.
    Leaving,
    /// Idle connections are closed, and new ones are closed at once.
    Closing,
    /// Requests without an answer get their final one, since the process is about to end.
    Ending,
}

/// Shared handle of the process state.
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
        let body_memory = MemoryBudget::new(settings.limits.memory_mb);
        let log = Rc::new(LogLimiter::new(clock));
        let metrics = HostMetrics::new();
        let panics = PanicRecorder::new(Rc::clone(&log), metrics.panics.clone());
        Rc::new(Self {
            log,
            metrics,
            installed: RefCell::default(),
            config_notice: watch::Sender::new(None),
            registry: RefCell::default(),
            hosts: RefCell::new(HostTable::new(own)),
            view: RefCell::default(),
            era: watch::Sender::new(None),
            loads: RefCell::default(),
            engines: RefCell::default(),
            limits: RefCell::default(),
            permits: RefCell::default(),
            cold: RefCell::default(),
            crashes: RefCell::default(),
            blocked_causes: RefCell::default(),
            evacuations: RefCell::new(EvacuationTable::new(settings.bounds.evacuation)),
            evacuation_review: RefCell::default(),
            budgets: RefCell::default(),
            budget_share: RefCell::new(BudgetShare::new(clock.now(), settings.bounds.retry_window)),
            forecast: RefCell::default(),
            patience: RefCell::default(),
            pool_waits: RefCell::default(),
            connections: ConnectionPool::new(panics.clone()),
            peers: PeerClient::new(body_memory.clone(), panics.clone()),
            panics,
            body_memory,
            coordinator: BatchCoordinator::default(),
            release_queue: ReleaseQueue::default(),
            reader_role: ReaderRole::default(),
            view_changed: Notify::new(),
            stopping: watch::Sender::new(StopPhase::Serving),
            answers_until: Cell::new(None),
            failing_tasks: RefCell::default(),
            open_requests: Cell::new(0),
            caller_connections: Cell::new(0),
            tie_breaker_state: Cell::new(incarnation),
            settings: RefCell::new(Rc::new(settings)),
            clock,
            incarnation,
        })
    }

    /// Updates the metrics that are measured when they are asked for.
    pub(crate) fn measure(&self) {
        let gauge = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        let metrics = &self.metrics;
        metrics.open_requests.set(gauge(self.open_requests.get()));
        let connections = self.caller_connections.get();
        metrics.caller_connections.set(gauge(connections));
        metrics
            .body_bytes
            .set(gauge(self.body_memory.used() as u64));
        self.measure_evacuations();
        metrics.cold_servers.set(gauge(self.cold_count() as u64));
    }

    /// Returns the current settings.
    pub(crate) fn settings(&self) -> Rc<HostSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Replaces the settings. Listeners keep the addresses that they are bound to.
    pub(crate) fn replace_settings(&self, settings: HostSettings) {
        let bound = settings.bounds.evacuation;
        self.evacuations.borrow_mut().set_bound(bound);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns how the store is followed, from the tighter of the bounds on applying a
    /// configuration and on draining a server.
    pub(crate) fn feed_plan(&self) -> FeedPlan {
        let bounds = self.settings.borrow().bounds;
        FeedPlan::new(bounds.config_apply.min(bounds.drain))
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Records whether a task keeps ending. The host is not ready while one does without which it
    /// cannot serve.
    pub(crate) fn set_failing(&self, entry: &TaskEntry, failing: bool) {
        if entry.need == TaskNeed::Upkeep {
            return;
        }
        let mut tasks = self.failing_tasks.borrow_mut();
        let was_failing = !tasks.is_empty();
        tasks.retain(|name| *name != entry.name);
        if failing {
            tasks.push(entry.name);
        }
        let is_failing = !tasks.is_empty();
        if was_failing != is_failing {
            let reason = format!("task {}", entry.name);
            log_line!(self, warn, ReadyChanged, ready = !is_failing, reason);
        }
    }

    /// Returns whether the host can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        let can_serve = self.failing_tasks.borrow().is_empty();
        let is_informed = self.serving_set().is_some() && self.knows_evacuations();
        can_serve && !self.is_stopping() && is_informed
    }

    /// Returns whether the graceful stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow() >= StopPhase::Leaving
    }

    /// Waits until the graceful stop has reached a phase.
    pub(crate) async fn wait_for_stop(&self, wanted: StopPhase) {
        // The sender lives as long as the host.
        let _ = self
            .stopping
            .subscribe()
            .wait_for(|phase| *phase >= wanted)
            .await;
    }

    /// Returns the active configuration; `None` before the first one was read.
    pub(crate) fn serving_set(&self) -> Option<Rc<ServingSet>> {
        let installed = self.installed.borrow();
        installed
            .as_ref()
            .map(|installed| Rc::clone(&installed.set))
    }

    /// Returns the active configuration with its document.
    pub(crate) fn installed(&self) -> Option<InstalledSet> {
        self.installed.borrow().clone()
    }

    /// Returns the version of the active configuration; 0 before the first one was read.
    pub(crate) fn config_version(&self) -> ConfigVersion {
        self.serving_set()
            .map_or(ConfigVersion(0), |set| set.version)
    }

    /// Reads a configuration and activates it if it is newer than the active one. An invalid
    /// configuration is logged and ignored.
    pub(crate) fn install(&self, document: &[u8], source: &str) {
        self.install_document(document, None, source);
    }

    /// Activates a configuration that came from another host, as [`Self::install`] does.
    pub(crate) fn install_packed(&self, packed: PackedDocument, source: &str) {
        match packed.unpack() {
            Ok(document) => self.install_document(&document, Some(packed), source),
            Err(error) => log_line!(self, error, ConfigInvalid, source, detail = %error),
        }
    }

    /// Activates a configuration, given as a document and, if known, in its compressed form.
    fn install_document(&self, document: &[u8], packed: Option<PackedDocument>, source: &str) {
        let set = match hollywheel_adapter::decode_config(document) {
            Ok(set) => set,
            Err(error) => {
                log_line!(self, error, ConfigInvalid, source, detail = %error);
                return;
            }
        };
        let before = self.config_version().0;
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
            pools = set.pools.len(),
            bytes = document.len()
        );
        self.metrics
            .config_version
            .set(i64::try_from(set.version.0).unwrap_or(i64::MAX));
        self.metrics
            .config_bytes
            .set(i64::try_from(document.len()).unwrap_or(i64::MAX));
        let is_known = |name: &PipelineId| set.pipelines.iter().any(|known| known.name == *name);
        self.patience.borrow_mut().retain(is_known);
        self.forecast.borrow_mut().retain(is_known);
        let packed = packed.unwrap_or_else(|| PackedDocument::pack(set.version, document));
        *self.installed.borrow_mut() = Some(InstalledSet {
            set: Rc::new(set),
            packed: Rc::new(packed),
        });
        self.view_changed.notify_waiters();
    }

    /// Returns the latest era of the store known to this host.
    pub(crate) fn store_era(&self) -> Option<StoreEra> {
        *self.era.borrow()
    }

    /// Records an era reported by the store or by another host; returns whether it is the latest
    /// known one.
    pub(crate) fn observe_era(&self, era: StoreEra, source: &str) -> bool {
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

    /// Waits until an era of the store after `era` is known.
    pub(crate) async fn wait_for_later_era(&self, era: StoreEra) {
        // The sender lives as long as the host.
        let _ = self
            .era
            .subscribe()
            .wait_for(|known| *known > Some(era))
            .await;
    }

    /// Applies a complete listing of the backend servers as of a place in the store's history.
    pub(crate) fn apply_server_listing(&self, listing: ServerListing, source: &str) {
        let now = self.now();
        let before = self.registry.borrow().change();
        let known = self.known_pools();
        self.registry.borrow_mut().apply_listing(now, listing);
        let changed = self.registry.borrow().changes_after(before);
        for change in &changed {
            self.note_cold_entry(change, has_other_server(&known, change), source);
            self.note_engine_change(&change.server);
            self.log_server_change(&change.server, change.place, source);
        }
        if !changed.is_empty() {
            self.view_changed.notify_waiters();
        }
    }

    /// Uses servers again whose entries were withheld since the store was restored from an older
    /// copy and have been written again since.
    pub(crate) fn release_withheld_servers(&self) {
        let settled = self.registry.borrow_mut().restore_rewritten(self.now());
        for server in &settled {
            let place = self.registry.borrow().listed_place().unwrap_or_default();
            self.log_server_change(server, place, "written again");
        }
        if !settled.is_empty() {
            self.view_changed.notify_waiters();
        }
    }

    /// Applies a change of a backend server.
    pub(crate) fn apply_server(&self, change: RowChange, source: &str) {
        let (server, place) = (change.server.clone(), change.place);
        let now = self.now();
        let known = self.known_pools();
        let noted = change.clone();
        let differs = self.registry.borrow_mut().apply(now, change);
        if differs {
            self.note_cold_entry(&noted, has_other_server(&known, &noted), source);
            self.note_engine_change(&server);
            self.log_server_change(&server, place, source);
            self.view_changed.notify_waiters();
        }
    }

    /// Logs whether a server may be used after a change.
    fn log_server_change(&self, server: &ServerId, place: StorePlace, source: &str) {
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

    /// Returns whether a server is avoided after its first lost connection or silent request.
    pub(crate) fn avoids_lost_servers(&self) -> bool {
        let settings = self.settings();
        settings.memory_pressure || settings.bounds.evacuation.is_some()
    }

    /// Returns the servers of a pool to which a request may be sent now. `prompt` is the last shared
    /// part of its prompt, by which prompts leave and rejoin an evacuated failure domain gradually;
    /// work without one leaves at once.
    pub(crate) fn pool_servers(
        &self,
        pool: &PoolId,
        prompt: Option<u64>,
    ) -> Vec<(ServerId, ServerRecord)> {
        let registry = self.registry.borrow();
        let servers = registry.pool_servers(self.now(), pool);
        let mut servers: Vec<(ServerId, ServerRecord)> = servers
            .map(|(server, record)| (server.clone(), record.clone()))
            .collect();
        drop(registry);
        self.retain_accepting(&mut servers, prompt);
        servers
    }

    /// Applies what the head of an answer reports about its server: load, a requested pause, and
    /// whether it is shutting down.
    pub(crate) fn apply_answer_facts(&self, server: &ServerId, facts: &ResponseHead) {
        let now = self.now();
        let registry = self.registry.borrow();
        // A server that is not usable gets no requests, whatever its load.
        if let (Some(report), Some(record)) = (facts.report, registry.usable(now, server)) {
            let mut loads = self.loads.borrow_mut();
            loads.note_report(now, server, report, record.slots);
            drop(loads);
            self.note_engine_report(server, report);
            if let Some(slowdown) = report.slowdown {
                let label = self.metrics.label(record.pool.as_str());
                let histogram = self.metrics.slowdown.get_or_create(&label);
                histogram.observe(slowdown);
            }
        }
        drop(registry);
        self.note_cold_response(server, facts);
        if let Some(pause) = facts.retry_after {
            self.loads.borrow_mut().note_pause(now, server, pause);
            log_line!(self, info, ServerPaused, server = %server, pause_ms = millis(pause));
        }
        if facts.leaving && self.registry.borrow_mut().note_leaving(server) {
            log_line!(self, info, ServerLeaving, server = %server);
            self.view_changed.notify_waiters();
        }
    }

    /// Applies a notice about a server's limit and logs the change; returns whether there is one.
    pub(crate) fn apply_limit(&self, server: &ServerId, notice: LimitNotice, source: &str) -> bool {
        let change = self.limits.borrow_mut().apply(server, notice);
        match change {
            Some(LimitChange::Named { rate, before }) => {
                let before = before.map(RequestRate::get);
                let limit = rate.get();
                log_line!(self, info, ServerLimited, server = %server, limit, before, source);
            }
            Some(LimitChange::Ended { before, lasted }) => {
                log_line!(
                    self,
                    info,
                    ServerLimitEnded,
                    server = %server,
                    before = before.get(),
                    lasted_ms = millis(lasted),
                    source
                );
            }
            None => return false,
        }
        let count = self.limits.borrow().limited_count();
        let gauge = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.limited_servers.set(gauge);
        self.view_changed.notify_waiters();
        true
    }

    /// Counts a request to a server if the server has named a limit.
    pub(crate) fn count_limited_send(&self, server: &ServerId, pool: &PoolId) {
        if self.limits.borrow().limit(server).is_some() {
            let label = self.metrics.label(pool.as_str());
            self.metrics.limited_sends.get_or_create(&label).inc();
        }
    }

    /// Counts a request, call or release of results that was withheld because of a limit.
    pub(crate) fn count_limited_denial(&self, pool: &PoolId) {
        let label = self.metrics.label(pool.as_str());
        self.metrics.limited_denials.get_or_create(&label).inc();
    }

    /// Returns the time after which the caller of a rejected request finds a place: the end of the
    /// first pause of a server of the pool, or the first place that no other caller of this host was
    /// told at a server with a limit. `None` if a server accepts requests or the pool has none.
    pub(crate) fn retry_wait(&self, pool: &PoolId) -> Option<Duration> {
        let now = self.now();
        let has_cold_limit = self.has_cold_limit(pool);
        let registry = self.registry.borrow();
        let loads = self.loads.borrow();
        let cold = self.cold.borrow();
        let mut limits = self.limits.borrow_mut();
        let mut first: Option<(Duration, &ServerId)> = None;
        let servers = registry.pool_servers(now, pool);
        for (server, _) in servers.filter(|(_, record)| self.accepts_sends(now, record, None)) {
            let pause = loads.pause_left(now, server);
            let place = cold.place_wait(now, server).filter(|_| has_cold_limit);
            let wait = pause.max(limits.announced_wait(now, server)).max(place)?;
            if first.is_none_or(|(least, _)| wait < least) {
                first = Some((wait, server));
            }
        }
        let (wait, server) = first?;
        limits.announce_place(now, server, self.hosts.borrow().known_count());
        Some(wait)
    }

    /// Returns how long every server of a pool is still paused; `None` if one of them accepts
    /// requests or if the pool has no servers.
    pub(crate) fn pool_pause(&self, pool: &PoolId) -> Option<Duration> {
        let now = self.now();
        let registry = self.registry.borrow();
        let servers = registry.pool_servers(now, pool);
        let servers = servers.filter(|(_, record)| self.accepts_sends(now, record, None));
        let servers = servers.map(|(server, _)| server);
        self.loads.borrow().pool_pause(now, servers)
    }

    /// Returns the estimated load of a server as a fraction of its slots.
    pub(crate) fn server_load(&self, server: &ServerId, record: &ServerRecord) -> f64 {
        let requests = self.loads.borrow().estimate(self.now(), server);
        requests / f64::from(record.slots.max(1))
    }

    /// Returns the record through which the other hosts discover this one.
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

    /// Counts a new request for a pool towards its retry budget.
    pub(crate) fn count_request(&self, pool: &PoolId) {
        self.with_budget(pool, |budget, now, _| budget.count_request(now));
    }

    /// Takes one retry from the budget of a pool; returns whether it was available.
    pub(crate) fn take_repeat(&self, pool: &PoolId) -> bool {
        let taken = self.with_budget(pool, RetryBudget::take_repeat);
        let label = self.metrics.label(pool.as_str());
        let counts = match taken {
            true => &self.metrics.repeats,
            false => &self.metrics.withheld_repeats,
        };
        counts.get_or_create(&label).inc();
        taken
    }

    /// Returns whether the budget of a pool allows a retry, without taking it.
    pub(crate) fn has_repeat(&self, pool: &PoolId) -> bool {
        self.with_budget(pool, RetryBudget::has_repeat)
    }

    /// Calls a function with the retry budget of a pool, the time and this host's share of the slack.
    fn with_budget<T>(
        &self,
        pool: &PoolId,
        act: impl FnOnce(&mut RetryBudget, MonoTime, SlackShare) -> T,
    ) -> T {
        let now = self.now();
        let known = self.hosts.borrow().sharing_count();
        let share = self.budget_share.borrow_mut().share(now, known);
        let gauge = i64::try_from(share.hosts().unwrap_or(0)).unwrap_or(i64::MAX);
        self.metrics.budget_hosts.set(gauge);
        let settings = self.settings();
        let bounds = &settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.get_or_insert_with(pool.clone(), || {
            RetryBudget::new(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window)
        });
        act(budget, now, share)
    }

    /// Adds a host or replaces its record.
    pub(crate) fn upsert_host(&self, record: HostRecord, place: StorePlace, source: &str) {
        let (name, incarnation) = (record.name.clone(), record.incarnation);
        if self.hosts.borrow_mut().upsert(record, place) {
            log_line!(self, info, HostJoined, host = %name, incarnation, source);
            self.view_changed.notify_waiters();
        }
    }

    /// Removes a host that has left.
    pub(crate) fn remove_host(&self, name: &HostId, place: StorePlace, source: &str) {
        if self.hosts.borrow_mut().remove(name, place) {
            self.handle_host_left(name, source);
        }
    }

    /// Applies a complete listing of the hosts as of a place in the store's history.
    pub(crate) fn apply_host_listing(&self, place: StorePlace, listed: &[HostId]) {
        let left = self.hosts.borrow_mut().apply_listing(place, listed);
        for name in left {
            self.handle_host_left(&name, "store");
        }
    }

    /// Logs that a host has left and wakes the tasks that wait for changes.
    fn handle_host_left(&self, name: &HostId, source: &str) {
        log_line!(self, info, HostLeft, host = %name, source);
        self.view_changed.notify_waiters();
    }

    /// Marks a host as shutting down.
    pub(crate) fn mark_host_leaving(&self, name: &HostId) {
        if self.hosts.borrow_mut().note_leaving(name) {
            log_line!(self, info, HostLeaving, host = %name);
            self.view_changed.notify_waiters();
        }
    }

    /// Marks a host as unreachable after it failed to answer, so that others are selected instead
    /// for a while. `duty` names the role in which it was called.
    pub(crate) fn mark_unreachable(&self, name: &HostId, duty: &str, detail: &str) {
        let now = self.now();
        // A seed address from the settings is not a known host; it is not logged and is tried
        // again soon.
        if self.hosts.borrow_mut().note_unreachable(now, name) {
            log_line!(self, warn, HostUnreachable, host = %name, duty, detail);
        }
    }

    /// Logs and counts the part of an answer that had arrived when its call was given up after
    /// `waited`.
    pub(crate) fn log_discarded(&self, source: &str, bytes: usize, waited: Duration) {
        if bytes == 0 {
            return;
        }
        self.metrics.discarded_bytes.inc_by(bytes as u64);
        let waited_ms = millis(waited);
        log_line!(self, warn, AnswerDiscarded, source, bytes, waited_ms);
    }

    /// Returns a pseudo-random number, different for each call and host.
    pub(crate) fn next_tie_breaker(&self) -> u64 {
        /// Step of a 64-bit Weyl sequence: 2^64 divided by the golden ratio, which spreads the
        /// numbers evenly.
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let tie_breaker = self.tie_breaker_state.get().wrapping_add(STEP);
        self.tie_breaker_state.set(tie_breaker);
        tie_breaker
    }
}
