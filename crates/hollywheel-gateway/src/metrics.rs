//! Prometheus metrics of a host.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets in seconds, from the time of a non-streaming call to the
/// longest supported deadline.
const LATENCY_BUCKETS: [f64; 12] = [
    0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0,
];
/// Upper bounds of the buckets of reported slowdowns, as multiples of the usual time.
const SLOWDOWN_BUCKETS: [f64; 9] = [0.8, 1.0, 1.25, 1.6, 2.0, 3.0, 5.0, 10.0, 30.0];
/// Maximum number of distinct label values; further pipelines and pools are counted as `other`.
const MAX_SERIES: usize = 256;

/// Labels of the counter of ended requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct RequestLabels {
    pub(crate) pipeline: String,
    pub(crate) outcome: &'static str,
}

/// Label of the counter of requests without an answer.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ClassLabel {
    pub(crate) class: &'static str,
}

/// Label of the counter of panics.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct TaskLabel {
    pub(crate) task: &'static str,
}

/// Labels of the counter of groups of pieces without results.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct RefusalLabels {
    pub(crate) name: String,
    pub(crate) reason: &'static str,
}

/// Label of a series per priority of workspaces.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct RankLabel {
    pub(crate) rank: u32,
}

/// Label of a series per pipeline or pool.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct NameLabel {
    pub(crate) name: String,
}

/// Labels of the counter of shared tokens that are prefilled again.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct PrefillLabels {
    pub(crate) name: String,
    pub(crate) cause: &'static str,
}

/// Metrics of a host and the registry that encodes them.
pub(crate) struct HostMetrics {
    registry: Registry,
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) unanswered: Family<ClassLabel, Counter>,
    pub(crate) request_seconds: Family<NameLabel, Histogram>,
    pub(crate) first_seconds: Family<NameLabel, Histogram>,
    pub(crate) stage_seconds: Family<NameLabel, Histogram>,
    pub(crate) repeats: Family<NameLabel, Counter>,
    pub(crate) withheld_repeats: Family<NameLabel, Counter>,
    pub(crate) budget_hosts: Gauge,
    pub(crate) calls: Family<NameLabel, Counter>,
    pub(crate) call_pieces: Family<NameLabel, Counter>,
    pub(crate) saved_tokens: Family<NameLabel, Counter>,
    pub(crate) prefilled_tokens: Family<PrefillLabels, Counter>,
    pub(crate) reuse_wait_seconds: Family<NameLabel, Histogram>,
    pub(crate) popular_holders: Family<NameLabel, Gauge>,
    pub(crate) refused_groups: Family<RefusalLabels, Counter>,
    pub(crate) late_groups: Family<NameLabel, Counter>,
    pub(crate) group_seconds: Family<RankLabel, Histogram>,
    pub(crate) limited_sends: Family<NameLabel, Counter>,
    pub(crate) limited_denials: Family<NameLabel, Counter>,
    pub(crate) limited_servers: Gauge,
    pub(crate) slowdown: Family<NameLabel, Histogram>,
    pub(crate) cold_servers: Gauge,
    pub(crate) cold_permits: Family<NameLabel, Counter>,
    pub(crate) cold_denials: Family<NameLabel, Counter>,
    pub(crate) blocked_parts: Gauge,
    pub(crate) blocked_repetitions: Gauge,
    pub(crate) blocked_requests: Family<NameLabel, Counter>,
    pub(crate) panics: Family<TaskLabel, Counter>,
    pub(crate) open_requests: Gauge,
    pub(crate) caller_connections: Gauge,
    pub(crate) body_bytes: Gauge,
    pub(crate) store_calls: Counter,
    pub(crate) discarded_bytes: Counter,
    pub(crate) config_bytes: Gauge,
    pub(crate) config_version: Gauge,
    pub(crate) store_era: Gauge,
    pub(crate) evacuated_domains: Gauge,
    pub(crate) evacuated_pools: Gauge,
    pub(crate) evacuations_known: Gauge,
    known_names: std::cell::RefCell<Vec<String>>,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}

fn slowdown_histogram() -> Histogram {
    Histogram::new(SLOWDOWN_BUCKETS)
}

impl HostMetrics {
    pub(crate) fn new() -> Self {
        let metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            unanswered: Family::default(),
            request_seconds: Family::new_with_constructor(latency_histogram),
            first_seconds: Family::new_with_constructor(latency_histogram),
            stage_seconds: Family::new_with_constructor(latency_histogram),
            repeats: Family::default(),
            withheld_repeats: Family::default(),
            budget_hosts: Gauge::default(),
            calls: Family::default(),
            call_pieces: Family::default(),
            saved_tokens: Family::default(),
            prefilled_tokens: Family::default(),
            reuse_wait_seconds: Family::new_with_constructor(latency_histogram),
            popular_holders: Family::default(),
            refused_groups: Family::default(),
            late_groups: Family::default(),
            group_seconds: Family::new_with_constructor(latency_histogram),
            limited_sends: Family::default(),
            limited_denials: Family::default(),
            limited_servers: Gauge::default(),
            slowdown: Family::new_with_constructor(slowdown_histogram),
            cold_servers: Gauge::default(),
            cold_permits: Family::default(),
            cold_denials: Family::default(),
            blocked_parts: Gauge::default(),
            blocked_repetitions: Gauge::default(),
            blocked_requests: Family::default(),
            panics: Family::default(),
            open_requests: Gauge::default(),
            caller_connections: Gauge::default(),
            body_bytes: Gauge::default(),
            store_calls: Counter::default(),
            discarded_bytes: Counter::default(),
            config_bytes: Gauge::default(),
            config_version: Gauge::default(),
            store_era: Gauge::default(),
            evacuated_domains: Gauge::default(),
            evacuated_pools: Gauge::default(),
            evacuations_known: Gauge::default(),
            known_names: std::cell::RefCell::default(),
        };
        metrics.registered()
    }

    /// Registers every metric under its name.
    fn registered(mut self) -> Self {
        let registry = &mut self.registry;
        registry.register(
            "hollywheel_requests",
            "Requests by pipeline and outcome",
            self.requests.clone(),
        );
        registry.register(
            "hollywheel_unanswered",
            "Requests without a complete answer by class of the cause",
            self.unanswered.clone(),
        );
        registry.register(
            "hollywheel_request_seconds",
            "Time to the end of an answer by pipeline",
            self.request_seconds.clone(),
        );
        registry.register(
            "hollywheel_first_seconds",
            "Time to the beginning of an answer by pipeline",
            self.first_seconds.clone(),
        );
        registry.register(
            "hollywheel_stage_seconds",
            "Time of a stage by pool",
            self.stage_seconds.clone(),
        );
        registry.register(
            "hollywheel_repeats",
            "Repeated sends by pool",
            self.repeats.clone(),
        );
        registry.register(
            "hollywheel_withheld_repeats",
            "Repeated sends for which the retry budget had nothing left, by pool",
            self.withheld_repeats.clone(),
        );
        registry.register(
            "hollywheel_budget_hosts",
            "Hosts among which the slack of the retry budgets is divided; 0 while this host knows no other",
            self.budget_hosts.clone(),
        );
        registry.register(
            "hollywheel_piece_calls",
            "Calls for pieces by pool",
            self.calls.clone(),
        );
        registry.register(
            "hollywheel_pieces",
            "Pieces in calls by pool",
            self.call_pieces.clone(),
        );
        registry.register(
            "hollywheel_saved_tokens",
            "Shared prompt tokens that were estimated to need no prefill, by pool",
            self.saved_tokens.clone(),
        );
        registry.register(
            "hollywheel_prefilled_tokens",
            "Shared prompt tokens that were estimated to be prefilled again, by pool and cause",
            self.prefilled_tokens.clone(),
        );
        registry.register(
            "hollywheel_reuse_wait_seconds",
            "Expected wait accepted to use a cached prompt, by pool",
            self.reuse_wait_seconds.clone(),
        );
        registry.register(
            "hollywheel_popular_holders",
            "Engines that hold the most popular prompt part, by pool",
            self.popular_holders.clone(),
        );
        registry.register(
            "hollywheel_refused_groups",
            "Groups of pieces refused or dropped from the queue by pool and reason",
            self.refused_groups.clone(),
        );
        registry.register(
            "hollywheel_late_groups",
            "Groups of pieces admitted after their latest finish for the objective, by pool",
            self.late_groups.clone(),
        );
        registry.register(
            "hollywheel_group_seconds",
            "Time from the admission of a group of pieces to its results by priority of the workspace",
            self.group_seconds.clone(),
        );
        registry.register(
            "hollywheel_limited_sends",
            "Requests, stage calls and releases of results sent to servers with a limit, by pool",
            self.limited_sends.clone(),
        );
        registry.register(
            "hollywheel_limited_denials",
            "Requests, stage calls and releases of results withheld because of a server's limit, by pool",
            self.limited_denials.clone(),
        );
        registry.register(
            "hollywheel_limited_servers",
            "Servers that have named a limit on their requests",
            self.limited_servers.clone(),
        );
        registry.register(
            "hollywheel_server_slowdown",
            "Slowdown that servers on shared machines report, as a multiple of the usual time, by pool",
            self.slowdown.clone(),
        );
        registry.register(
            "hollywheel_cold_servers",
            "Servers that are cold",
            self.cold_servers.clone(),
        );
        registry.register(
            "hollywheel_cold_permits",
            "Permits to send to a cold server that this host was granted, by pool",
            self.cold_permits.clone(),
        );
        registry.register(
            "hollywheel_cold_denials",
            "Permits to send to a cold server that this host was denied, by pool",
            self.cold_denials.clone(),
        );
        registry.register(
            "hollywheel_blocked_parts",
            "Prompt parts that count as the cause of crashes of servers",
            self.blocked_parts.clone(),
        );
        registry.register(
            "hollywheel_blocked_repetitions",
            "Requests and pieces of stages that count as the cause of crashes of servers",
            self.blocked_repetitions.clone(),
        );
        registry.register(
            "hollywheel_blocked_requests",
            "Requests refused since they crash servers, by pool",
            self.blocked_requests.clone(),
        );
        registry.register(
            "hollywheel_panics",
            "Panics that were contained, by the kind of work that met them",
            self.panics.clone(),
        );
        registry.register(
            "hollywheel_open_requests",
            "Requests being served",
            self.open_requests.clone(),
        );
        registry.register(
            "hollywheel_caller_connections",
            "Open connections from callers",
            self.caller_connections.clone(),
        );
        registry.register(
            "hollywheel_body_bytes",
            "Memory that bodies take",
            self.body_bytes.clone(),
        );
        registry.register(
            "hollywheel_store_calls",
            "Calls of the platform's store",
            self.store_calls.clone(),
        );
        registry.register(
            "hollywheel_discarded_bytes",
            "Bytes of answers of the store and of other hosts that were discarded before the rest arrived",
            self.discarded_bytes.clone(),
        );
        registry.register(
            "hollywheel_config_bytes",
            "Size of the document of the configuration in force",
            self.config_bytes.clone(),
        );
        registry.register(
            "hollywheel_config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "hollywheel_store_era",
            "Latest era of the platform's store that is known; it rises when the store comes back older",
            self.store_era.clone(),
        );
        registry.register(
            "hollywheel_evacuated_domains",
            "Failure domains that the operator has evacuated",
            self.evacuated_domains.clone(),
        );
        registry.register(
            "hollywheel_evacuated_pools",
            "Pools all of whose servers are in evacuated failure domains",
            self.evacuated_pools.clone(),
        );
        registry.register(
            "hollywheel_evacuations_known",
            "1 if all evacuations are known; 0 before, and where the settings have no bound on evacuations",
            self.evacuations_known.clone(),
        );
        self
    }

    /// Returns the label of a pipeline or pool; names beyond [`MAX_SERIES`] share one label.
    pub(crate) fn label(&self, name: &str) -> NameLabel {
        let mut names = self.known_names.borrow_mut();
        let known = names.binary_search_by(|known| known.as_str().cmp(name));
        let name = match known {
            Ok(_) => name,
            Err(position) if names.len() < MAX_SERIES => {
                names.insert(position, name.to_owned());
                name
            }
            Err(_) => "other",
        };
        NameLabel {
            name: name.to_owned(),
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# the metrics can't be written: {error}\n"),
        }
    }
}
