//! Registry of the metrics and methods that record them.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hollywheel_node::{NodeEvent, RequestSummary};
use hollywheel_policy::{AttemptKind, AttemptOutcome, RequestEnd};
use hollywheel_store::{StoreFailure, StoreReply};
use hollywheel_types::WorkspaceId;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::connections::ConnectionMetrics;
use super::labels::{ClassLabels, CostLabels, EndLabels, KindLabels, WorkspaceLabels};
use super::status_counters::StatusCounters;
use super::workspace::WorkspaceRank;

/// Bucket bounds of the histograms of request latencies, in seconds.
const REQUEST_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0,
];
/// Bucket bounds of the histograms of token latencies, in seconds.
const TOKEN_BUCKETS: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];
/// Label of the series shared by the workspaces that have none of their own.
const OTHER_WORKSPACES: &str = "other";

type HistogramFamily<L> = Family<L, Histogram, fn() -> Histogram>;

fn request_histogram() -> Histogram {
    Histogram::new(REQUEST_BUCKETS)
}

fn token_histogram() -> Histogram {
    Histogram::new(TOKEN_BUCKETS)
}

/// All metrics of the host.
pub struct DaemonMetrics {
    registry: Registry,
    requests: HistogramFamily<ClassLabels>,
    first_tokens: HistogramFamily<ClassLabels>,
    token_gaps: HistogramFamily<ClassLabels>,
    workspaces: HistogramFamily<WorkspaceLabels>,
    received: Counter,
    ends: Family<EndLabels, Counter>,
    refusals: Family<KindLabels, Counter>,
    rejected: Family<KindLabels, Counter>,
    attempts: Family<KindLabels, Counter>,
    outcomes: Family<KindLabels, Counter>,
    claims: Counter,
    mismatches: Counter,
    store_calls: Counter,
    store_failures: Family<KindLabels, Counter>,
    costs: Family<CostLabels, Gauge<f64, AtomicU64>>,
    ejected: Gauge,
    ejections: Gauge,
    ready: Gauge,
    config_version: Gauge,
    hosts_alive: Gauge,
    in_flight: Gauge,
    connections_open: Family<KindLabels, Gauge>,
    connections_refused: Family<KindLabels, Counter>,
    rows_removed: Family<KindLabels, Counter>,
    retention_passes: Counter,
    workspace_rank: Mutex<WorkspaceRank>,
    status_counters: Mutex<StatusCounters>,
}

impl fmt::Debug for DaemonMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DaemonMetrics").finish_non_exhaustive()
    }
}

macro_rules! register {
    ($registry:ident, $($field:ident: $value:expr, $name:literal, $help:literal;)*) => {
        $(let $field = $value; $registry.register($name, $help, $field.clone());)*
    };
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl DaemonMetrics {
    /// Creates the metrics with every value at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("hollywheel");
        register! { registry,
            requests: HistogramFamily::new_with_constructor(request_histogram as fn() -> Histogram), "request_seconds", "Time to the complete answer by class";
            first_tokens: HistogramFamily::new_with_constructor(token_histogram as fn() -> Histogram), "first_token_seconds", "Time to the first token by class";
            token_gaps: HistogramFamily::new_with_constructor(token_histogram as fn() -> Histogram), "token_gap_seconds", "Longest time between two tokens of a request by class";
            workspaces: HistogramFamily::new_with_constructor(request_histogram as fn() -> Histogram), "workspace_request_seconds", "Time to the complete answer by workspace; the less busy are folded into other";
            received: Counter::default(), "requests_received", "Requests received";
            ends: Family::default(), "requests_ended", "Requests by class, end and verdict";
            refusals: Family::default(), "refusals", "Requests without a complete answer by reason";
            rejected: Family::default(), "calls_rejected", "Calls rejected before they became requests, by problem";
            attempts: Family::default(), "attempts_sent", "Attempts by kind: first, retry or hedge";
            outcomes: Family::default(), "attempts_ended", "Attempts by outcome";
            claims: Counter::default(), "claims", "Claims recorded";
            mismatches: Counter::default(), "answer_mismatches", "Answers dropped, since they did not match their attempt";
            store_calls: Counter::default(), "store_calls", "Calls of the table service";
            store_failures: Family::default(), "store_failures", "Calls of the table service without an answer, by kind";
            costs: Family::default(), "stage_cost_milliseconds", "Time of backend servers by stage, class and what it was spent for";
            ejected: Gauge::default(), "servers_ejected", "Backend servers that are ejected now";
            ejections: Gauge::default(), "ejections", "Ejections of backend servers since the pools were installed";
            ready: Gauge::default(), "ready", "Whether the host takes requests";
            config_version: Gauge::default(), "config_version", "Configuration version in force";
            hosts_alive: Gauge::default(), "hosts_alive", "Hosts taken for alive, this one included";
            in_flight: Gauge::default(), "requests_in_flight", "Requests in progress";
            rows_removed: Family::default(), "rows_removed", "Old rows removed from the table service by table";
            retention_passes: Counter::default(), "claim_passes", "Passes over the claims that ended";
            connections_open: Family::default(), "connections_open", "Open connections by listener";
            connections_refused: Family::default(), "connections_refused", "Connections closed at the bound by listener";
        }
        Self {
            registry,
            requests,
            first_tokens,
            token_gaps,
            workspaces,
            received,
            ends,
            refusals,
            rejected,
            attempts,
            outcomes,
            claims,
            mismatches,
            store_calls,
            store_failures,
            costs,
            ejected,
            ejections,
            ready,
            config_version,
            hosts_alive,
            in_flight,
            connections_open,
            connections_refused,
            rows_removed,
            retention_passes,
            workspace_rank: Mutex::new(WorkspaceRank::default()),
            status_counters: Mutex::new(StatusCounters::default()),
        }
    }

    /// Records an event of the node state machine.
    pub fn observe(&self, event: &NodeEvent) {
        match event {
            NodeEvent::Received { .. } => {
                self.received.inc();
            }
            NodeEvent::Sent { kind, .. } => count(&self.attempts, kind_name(*kind)),
            NodeEvent::AttemptEnded { outcome, .. } => {
                count(&self.outcomes, outcome_name(*outcome));
            }
            NodeEvent::Mismatched { .. } => {
                self.mismatches.inc();
            }
            NodeEvent::Claimed { .. } => {
                self.claims.inc();
            }
            NodeEvent::Ended(summary) => self.observe_end(summary),
            NodeEvent::Admitted { .. } => {}
        }
    }

    fn observe_end(&self, summary: &RequestSummary) {
        let class = summary.class.name();
        self.status_counters().record(summary);
        self.ends
            .get_or_create(&EndLabels {
                class,
                end: end_name(summary.end),
                verdict: summary.verdict.name(),
            })
            .inc();
        if let Some(reason) = summary.reason {
            count(&self.refusals, reason.name());
        }
        let label = self.workspace_label(&summary.workspace);
        if !matches!(summary.end, RequestEnd::Attained | RequestEnd::Late) {
            return;
        }
        let labels = ClassLabels { class };
        let seconds = summary.total.as_secs_f64();
        self.requests.get_or_create(&labels).observe(seconds);
        self.workspaces
            .get_or_create(&WorkspaceLabels { workspace: label })
            .observe(seconds);
        if let Some(first) = summary.first_token {
            let family = self.first_tokens.get_or_create(&labels);
            family.observe(first.as_secs_f64());
        }
        if let Some(token_gap) = summary.longest_gap {
            let family = self.token_gaps.get_or_create(&labels);
            family.observe(token_gap.as_secs_f64());
        }
    }

    /// Locks and returns the counters for the host status.
    pub fn status_counters(&self) -> MutexGuard<'_, StatusCounters> {
        self.status_counters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn workspace_label(&self, workspace: &WorkspaceId) -> String {
        let mut workspace_rank = self
            .workspace_rank
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for demoted in workspace_rank.count(workspace) {
            self.workspaces.remove(&WorkspaceLabels {
                workspace: demoted.to_string(),
            });
        }
        let label = if workspace_rank.is_tracked(workspace) {
            workspace.as_str()
        } else {
            OTHER_WORKSPACES
        };
        label.to_owned()
    }

    /// Records a call that was rejected before it became a request.
    pub fn call_rejected(&self, problem: &'static str) {
        count(&self.rejected, problem);
    }

    /// Records old rows that were deleted from a table.
    pub fn rows_removed(&self, table: &'static str, rows: u64) {
        if rows > 0 {
            let labels = KindLabels { kind: table };
            self.rows_removed.get_or_create(&labels).inc_by(rows);
        }
    }

    /// Records the end of a retention pass over the claims.
    pub fn pass_ended(&self) {
        self.retention_passes.inc();
    }

    /// Returns the connection metrics of a listener.
    pub fn connections(&self, kind: &'static str) -> ConnectionMetrics {
        let labels = KindLabels { kind };
        ConnectionMetrics {
            open: self.connections_open.get_or_create(&labels).clone(),
            refused: self.connections_refused.get_or_create(&labels).clone(),
        }
    }

    /// Records a call to the table service and its result.
    pub fn store_called(&self, result: &Result<StoreReply, StoreFailure>) {
        self.store_calls.inc();
        match result {
            Ok(_) => {}
            Err(StoreFailure::Refused { .. }) => count(&self.store_failures, "refused"),
            Err(StoreFailure::Unknown) => count(&self.store_failures, "unknown"),
        }
    }

    /// Sets the backend server time that a stage has spent on a class for one purpose, in
    /// milliseconds.
    pub fn set_cost(&self, stage: &str, class: &'static str, spent: &'static str, millis: f64) {
        let labels = CostLabels {
            stage: stage.to_owned(),
            class,
            spent,
        };
        self.costs.get_or_create(&labels).set(millis);
    }

    /// Sets the number of backend servers that are ejected.
    pub fn set_ejected(&self, servers: usize) {
        self.ejected.set(i64::try_from(servers).unwrap_or(i64::MAX));
    }

    /// Sets the number of ejections since the pools were installed.
    pub fn set_ejections(&self, ejections: u64) {
        let ejections = i64::try_from(ejections).unwrap_or(i64::MAX);
        self.ejections.set(ejections);
    }

    /// Sets whether the host accepts requests.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(i64::from(ready));
    }

    /// Sets the configuration version in force.
    pub fn set_config_version(&self, version: u64) {
        let version = i64::try_from(version).unwrap_or(i64::MAX);
        self.config_version.set(version);
    }

    /// Sets the number of live hosts.
    pub fn set_hosts_alive(&self, hosts: usize) {
        let hosts = i64::try_from(hosts).unwrap_or(i64::MAX);
        self.hosts_alive.set(hosts);
    }

    /// Sets the number of requests in flight.
    pub fn set_in_flight(&self, requests: usize) {
        let requests = i64::try_from(requests).unwrap_or(i64::MAX);
        self.in_flight.set(requests);
    }

    /// Returns the metrics as OpenMetrics text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn count(family: &Family<KindLabels, Counter>, kind: &'static str) {
    family.get_or_create(&KindLabels { kind }).inc();
}

const fn kind_name(kind: AttemptKind) -> &'static str {
    match kind {
        AttemptKind::First => "first",
        AttemptKind::Retry => "retry",
        AttemptKind::Hedge => "hedge",
    }
}

const fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered => "answered",
        AttemptOutcome::Refused => "refused",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::TimedOut => "timed-out",
        AttemptOutcome::Cancelled => "cancelled",
    }
}

const fn end_name(end: RequestEnd) -> &'static str {
    match end {
        RequestEnd::Attained => "attained",
        RequestEnd::Late => "late",
        RequestEnd::Refused => "refused",
        RequestEnd::Failed => "failed",
    }
}
